//! Structured logs: one JSON object a line on standard output.

use std::io::Write;

use log::kv::{Key, Value, VisitSource};
use serde_json::{Map, json};

struct Fields<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = match (value.to_u64(), value.to_bool()) {
            (Some(n), _) => json!(n),
            (_, Some(b)) => json!(b),
            _ => json!(value.to_string()),
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

/// What is logged if `RUST_LOG` is unset. The library of calls between hosts has lines for each
/// call, several a second and host.
const USUAL: &str = "info,tarpc=warn";

/// Sets up logging; `RUST_LOG` chooses what is logged.
///
/// A line has the time since the epoch in ms (`t`), the `level`, the `part` of the program, the
/// message (`m`) and the fields of the event.
pub fn init() {
    let env = env_logger::Env::default().default_filter_or(USUAL);
    env_logger::Builder::from_env(env)
        .target(env_logger::Target::Stdout)
        .format(|out, record| {
            let mut line = Map::new();
            let now = std::time::SystemTime::now();
            let since = now
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or_default();
            line.insert("t".to_owned(), json!(since.as_millis() as u64));
            line.insert("level".to_owned(), json!(record.level().as_str()));
            line.insert("part".to_owned(), json!(record.target()));
            line.insert("m".to_owned(), json!(record.args().to_string()));
            let visited = record.key_values().visit(&mut Fields(&mut line));
            debug_assert!(visited.is_ok(), "no field fails");
            writeln!(out, "{}", serde_json::Value::Object(line))
        })
        .init();
}
