//! The `explain` command: shows from logs what was decided for one request and what its host knew
//! at that time.
//!
//! It reads logs collected from hosts and doesn't use the platform. The lines with the request's id
//! come from the host that accepted the request. From `--before-ms` before the first of them up to
//! the last one, it also shows that host's lines on catalogue, store and peers, and the lines of
//! any host on the endpoints that the request was sent to. Lines are sorted by the time of each
//! host's own clock, so clock skew between hosts affects their order.

use std::{collections::BTreeSet, fmt, fs, path::Path};

use dragonflyrill_fleet::incarnations;
use serde::{Serialize, Serializer};
use serde_json::{Map, Value};

use crate::{
    args,
    error::CtlError,
    report::{Exit, Report},
};

/// The values of `part` in log lines that show a host's state: its own, and its view of catalogue,
/// store, peers and endpoints.
const HOST_STATE_PARTS: [&str; 6] = ["catalogue", "fleet", "host", "peers", "roster", "store"];
/// The fields of a request's lines that name endpoints.
const ENDPOINT_FIELDS: [&str; 3] = ["to", "chain", "endpoint"];
/// The fields that the plain format leaves out of its `name=value` pairs: it prints them before the
/// pairs or not at all.
const HEADER_FIELDS: [&str; 5] = ["t", "level", "part", "m", "id"];

/// One line of a host's log.
#[derive(Debug, Clone)]
struct LogLine {
    host: String,
    /// The time by the host's clock, in ms since the epoch.
    at_ms: u64,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line: a JSON object, before which a log collector may have put words. The last of
    /// these words is the host; without any, it is `default_host`. Returns `None` if the line is
    /// not of a gateway's log.
    fn parse(raw: &str, default_host: &str) -> Option<Self> {
        let (prefix, json) = raw.split_at(raw.find('{')?);
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let at_ms = fields.get("t")?.as_u64()?;
        let host = prefix
            .split_whitespace()
            .next_back()
            .unwrap_or(default_host);
        Some(Self {
            host: host.to_owned(),
            at_ms,
            fields,
        })
    }

    /// The text of `field`; empty if it is missing or no text.
    fn text(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// The line without host and time, which is equal on all hosts that logged the same event.
    fn without_time(&self) -> String {
        let mut fields = self.fields.clone();
        fields.remove("t");
        Value::Object(fields).to_string()
    }

    fn has_request_id(&self, id: &str) -> bool {
        self.text("id") == id
    }

    /// The names of the endpoints in this line; a field holds one endpoint or a chain
    /// `ID=LAYERS,ID=LAYERS`. Lines on a faulty registry entry have the endpoint's name, all others
    /// the id of one incarnation, so ids are reduced to names.
    fn endpoint_names(&self) -> impl Iterator<Item = &str> {
        let texts = ENDPOINT_FIELDS.iter().map(|f| self.text(f));
        let stages = texts.flat_map(|text| text.split(','));
        let ids = stages.map(|stage| stage.split_once('=').map_or(stage, |(id, _)| id));
        let names = ids.map(incarnations::name);
        names.filter(|name| !name.is_empty())
    }
}

/// Why a line is shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Role {
    /// The line has the request's id.
    Request,
    /// The line is on an endpoint that the request was sent to.
    Endpoint,
    /// The line shows the state of the request's host.
    Host,
}

/// A line of the report.
#[derive(Debug)]
struct ShownLine {
    role: Role,
    line: LogLine,
}

impl Serialize for ShownLine {
    fn serialize<S: Serializer>(&self, ser: S) -> Result<S::Ok, S::Error> {
        let mut fields = self.line.fields.clone();
        fields.insert("host".to_owned(), self.line.host.clone().into());
        let role = serde_json::to_value(self.role).map_err(serde::ser::Error::custom)?;
        fields.insert("role".to_owned(), role);
        fields.serialize(ser)
    }
}

/// The report of the `explain` command.
#[derive(Debug, Serialize)]
pub struct Explanation {
    id: String,
    /// The time of the request's first line, in ms since the epoch.
    from_ms: u64,
    /// The number of lines of the files that are not of a gateway's log.
    skipped: usize,
    lines: Vec<ShownLine>,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}; ms from its first line:", self.id)?;
        for ShownLine { role, line } in &self.lines {
            let marker = match role {
                Role::Request => '>',
                Role::Endpoint => 'e',
                Role::Host => 'h',
            };
            let after = i128::from(line.at_ms) - i128::from(self.from_ms);
            let (host, part, message) = (&line.host, line.text("part"), line.text("m"));
            write!(f, "{marker} {after:>+7} {host} {part}: {message}")?;
            for (name, value) in &line.fields {
                if !HEADER_FIELDS.contains(&name.as_str()) {
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

impl Report for Explanation {
    fn exit(&self) -> Exit {
        Exit::Ok
    }
}

/// Runs the command.
///
/// # Errors
/// [`CtlError::Usage`] if no file is given, a file can't be read, or no file has a line with the
/// request's id.
pub fn run(cmd: &args::Explain) -> Result<Explanation, CtlError> {
    if cmd.files.is_empty() {
        return Err(CtlError::Usage("no log file is given".to_owned()));
    }
    let mut lines = Vec::new();
    let mut skipped = 0;
    for file in &cmd.files {
        let text = fs::read_to_string(file)
            .map_err(|e| CtlError::Usage(format!("{file}: cannot be read: {e}")))?;
        let default_host = Path::new(file).file_stem().unwrap_or_default();
        let default_host = default_host.to_string_lossy();
        for raw in text.lines().filter(|raw| !raw.trim().is_empty()) {
            match LogLine::parse(raw, &default_host) {
                Some(line) => lines.push(line),
                None => skipped += 1,
            }
        }
    }
    explain(&cmd.id, lines, skipped, cmd.before_ms).ok_or_else(|| {
        let hint = "successful requests are logged only up to `requests_per_second`";
        CtlError::Usage(format!("no line has id {}; {hint}", cmd.id))
    })
}

/// Selects the lines to show for request `id`; `None` if no line has this id.
fn explain(
    id: &str,
    mut lines: Vec<LogLine>,
    skipped: usize,
    before_ms: u64,
) -> Option<Explanation> {
    lines.sort_by_key(|line| line.at_ms);
    let request_lines: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.has_request_id(id))
        .collect();
    let (from_ms, to_ms) = (request_lines.first()?.at_ms, request_lines.last()?.at_ms);
    let hosts: BTreeSet<String> = request_lines.iter().map(|line| line.host.clone()).collect();
    let endpoints: BTreeSet<String> = request_lines
        .iter()
        .flat_map(|line| line.endpoint_names())
        .map(str::to_owned)
        .collect();
    let shown_period = from_ms.saturating_sub(before_ms)..=to_ms;
    let mut seen = BTreeSet::new();
    let mut role = |line: &LogLine| {
        if line.has_request_id(id) {
            return Some(Role::Request);
        }
        if !shown_period.contains(&line.at_ms) || line.fields.contains_key("id") {
            return None;
        }
        let on_request_host = hosts.contains(&line.host);
        let endpoint = incarnations::name(line.text("endpoint"));
        if !endpoint.is_empty() {
            // Every host logs each change in the list of endpoints; of the lines of other hosts
            // only the first one on an event is shown.
            let is_shown = endpoints.contains(endpoint)
                && (seen.insert(line.without_time()) || on_request_host);
            return is_shown.then_some(Role::Endpoint);
        }
        let is_host_state = HOST_STATE_PARTS.contains(&line.text("part")) && on_request_host;
        is_host_state.then_some(Role::Host)
    };
    let shown = lines.into_iter().filter_map(|line| {
        let role = role(&line)?;
        Some(ShownLine { role, line })
    });
    Some(Explanation {
        id: id.to_owned(),
        from_ms,
        skipped,
        lines: shown.collect(),
    })
}
