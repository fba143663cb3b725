//! `explain`: what was decided for one request, and what was known when it was.
//!
//! It works on logs collected from hosts, without the platform. A request's own lines come from the
//! host that read it; around them stand what that host learnt of catalogue, store and peers, and what
//! any host wrote of the endpoints that the request went to. Lines are put in order by the hosts'
//! own clocks.

use std::{collections::BTreeSet, fmt, fs, path::Path};

use dragonflyrill_fleet::incarnations;
use serde::{Serialize, Serializer};
use serde_json::{Map, Value};

use crate::{
    args,
    error::CtlError,
    report::{Exit, Report},
};

/// The parts of a host's log that tell what it believed.
const BELIEFS: [&str; 6] = ["catalogue", "fleet", "host", "peers", "roster", "store"];
/// The fields of a request's lines that name endpoints.
const NAMING: [&str; 3] = ["to", "chain", "endpoint"];
/// The fields that are printed before the others, or not at all, in the plain form.
const LEADING: [&str; 5] = ["t", "level", "part", "m", "id"];

/// One line of a host's log.
#[derive(Debug, Clone)]
struct Line {
    host: String,
    /// By the host's clock, in ms since the epoch.
    at_ms: u64,
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line: JSON, before which collectors may have put words whose last one is the host.
    /// None if it is not the log's.
    fn read(raw: &str, usual_host: &str) -> Option<Self> {
        let (prefix, json) = raw.split_at(raw.find('{')?);
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let at_ms = fields.get("t")?.as_u64()?;
        let host = prefix.split_whitespace().next_back().unwrap_or(usual_host);
        Some(Self {
            host: host.to_owned(),
            at_ms,
            fields,
        })
    }

    fn text(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// The line without its time, the same on all hosts that learnt the same.
    fn told(&self) -> String {
        let mut fields = self.fields.clone();
        fields.remove("t");
        Value::Object(fields).to_string()
    }

    fn is_of(&self, id: &str) -> bool {
        self.text("id") == id
    }

    /// The names of the endpoints that this line is about, alone or as the chain
    /// `ID=LAYERS,ID=LAYERS`. What is wrong with an entry is told of a name, all else of one start.
    fn endpoints(&self) -> impl Iterator<Item = &str> {
        let texts = NAMING.iter().map(|f| self.text(f));
        let parts = texts.flat_map(|text| text.split(','));
        let ids = parts.map(|part| part.split_once('=').map_or(part, |(id, _)| id));
        let names = ids.map(incarnations::name);
        names.filter(|name| !name.is_empty())
    }
}

/// Why a line is shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Role {
    /// It is the request's own.
    Request,
    /// It concerns an endpoint that the request went to.
    Endpoint,
    /// It tells what the request's host believed.
    Host,
}

/// A line that is shown.
#[derive(Debug)]
struct Shown {
    role: Role,
    line: Line,
}

impl Serialize for Shown {
    fn serialize<S: Serializer>(&self, ser: S) -> Result<S::Ok, S::Error> {
        let mut fields = self.line.fields.clone();
        fields.insert("host".to_owned(), self.line.host.clone().into());
        let role = serde_json::to_value(self.role).map_err(serde::ser::Error::custom)?;
        fields.insert("role".to_owned(), role);
        fields.serialize(ser)
    }
}

/// What the logs tell of a request.
#[derive(Debug, Serialize)]
pub struct Explained {
    id: String,
    /// When its first line was written, in ms since the epoch.
    from_ms: u64,
    /// Lines of the files that are not of the gateway's log.
    skipped: usize,
    lines: Vec<Shown>,
}

impl fmt::Display for Explained {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}; ms from its first line:", self.id)?;
        for Shown { role, line } in &self.lines {
            let mark = match role {
                Role::Request => '>',
                Role::Endpoint => 'e',
                Role::Host => 'h',
            };
            let after = i128::from(line.at_ms) - i128::from(self.from_ms);
            let (host, part, m) = (&line.host, line.text("part"), line.text("m"));
            write!(f, "{mark} {after:>+7} {host} {part}: {m}")?;
            for (name, value) in &line.fields {
                if !LEADING.contains(&name.as_str()) {
                    write!(f, " {name}={value}")?;
                }
            }
            writeln!(f)?;
        }
        if self.skipped > 0 {
            writeln!(f, "{} lines are not of the gateway's log", self.skipped)?;
        }
        Ok(())
    }
}

impl Report for Explained {
    fn exit(&self) -> Exit {
        Exit::Ok
    }
}

/// Runs the command.
///
/// # Errors
/// [`CtlError::Usage`] if no file is given, one can't be read, or none has lines of the request.
pub fn run(cmd: &args::Explain) -> Result<Explained, CtlError> {
    if cmd.files.is_empty() {
        return Err(CtlError::Usage("no log file is given".to_owned()));
    }
    let mut lines = Vec::new();
    let mut skipped = 0;
    for file in &cmd.files {
        let text = fs::read_to_string(file)
            .map_err(|e| CtlError::Usage(format!("{file}: cannot be read: {e}")))?;
        let usual_host = Path::new(file).file_stem().unwrap_or_default();
        let usual_host = usual_host.to_string_lossy();
        for raw in text.lines().filter(|raw| !raw.trim().is_empty()) {
            match Line::read(raw, &usual_host) {
                Some(line) => lines.push(line),
                None => skipped += 1,
            }
        }
    }
    explain(&cmd.id, lines, skipped, cmd.before_ms).ok_or_else(|| {
        let looked = "requests that go well are logged only up to `requests_per_second`";
        CtlError::Usage(format!("no line has id {}; {looked}", cmd.id))
    })
}

fn explain(id: &str, mut lines: Vec<Line>, skipped: usize, before_ms: u64) -> Option<Explained> {
    lines.sort_by_key(|line| line.at_ms);
    let own: Vec<&Line> = lines.iter().filter(|line| line.is_of(id)).collect();
    let (from_ms, to_ms) = (own.first()?.at_ms, own.last()?.at_ms);
    let hosts: BTreeSet<String> = own.iter().map(|line| line.host.clone()).collect();
    let endpoints: BTreeSet<String> = own
        .iter()
        .flat_map(|line| line.endpoints())
        .map(str::to_owned)
        .collect();
    let meanwhile = from_ms.saturating_sub(before_ms)..=to_ms;
    let mut told = BTreeSet::new();
    let mut role = |line: &Line| {
        if line.is_of(id) {
            return Some(Role::Request);
        }
        if !meanwhile.contains(&line.at_ms) || line.fields.contains_key("id") {
            return None;
        }
        let own_host = hosts.contains(&line.host);
        let endpoint = incarnations::name(line.text("endpoint"));
        if !endpoint.is_empty() {
            // Every host writes what the list says; of other hosts the first to know is enough.
            let concerns = endpoints.contains(endpoint) && (told.insert(line.told()) || own_host);
            return concerns.then_some(Role::Endpoint);
        }
        let believed = BELIEFS.contains(&line.text("part")) && own_host;
        believed.then_some(Role::Host)
    };
    let shown = lines.into_iter().filter_map(|line| {
        let role = role(&line)?;
        Some(Shown { role, line })
    });
    Some(Explained {
        id: id.to_owned(),
        from_ms,
        skipped,
        lines: shown.collect(),
    })
}
