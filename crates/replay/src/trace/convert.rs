//! Validates the lines of a trace and converts them into checked types.

use std::time::Duration;

use dragonflyrill_catalogue::name::{self, ClassName, DataCentre, TargetName, WorkspaceName};

use super::{
    checked::{
        Action, Arrival, Call, DEFAULT_FAULTS_PATH, DEFAULT_RECOVERY_WINDOW, FORMAT_VERSION, Fault,
        Generation, Header, MAX_ID_BYTES, MAX_TOKENS, Method, Outcome, Post, Recovery, Signal,
        Work,
    },
    error::TraceErrorKind,
    raw,
};

impl TryFrom<raw::Header> for Header {
    type Error = TraceErrorKind;

    fn try_from(raw: raw::Header) -> Result<Self, TraceErrorKind> {
        if raw.trace != FORMAT_VERSION {
            return Err(TraceErrorKind::Version(raw.trace));
        }
        Ok(Self {
            deployment: checked_name("deployment", &raw.deployment, |s| name::Name::try_from(s))?,
            model: checked_name("model", &raw.model, |s| TargetName::try_from(s))?,
            layers: in_range("layers", raw.layers, 1, 4096, "from 1 to 4096")?,
            seed: raw.seed,
        })
    }
}

impl Arrival {
    /// Converts a request line. `header` supplies the model if the line leaves it out.
    pub fn from_request(raw: raw::Request, header: &Header) -> Result<Self, TraceErrorKind> {
        let model = match &raw.model {
            Some(model) => checked_name("model", model, |s| TargetName::try_from(s))?,
            None => header.model.clone(),
        };
        if model != header.model {
            return Err(TraceErrorKind::Format {
                field: "model",
                value: model.to_string(),
                expected: "the header's model, whose layers are known",
            });
        }
        let tokens = "from 1 to 1048576";
        let generation = Generation {
            model,
            prompt_tokens: in_range("prompt_tokens", raw.prompt_tokens, 1, MAX_TOKENS, tokens)?,
            max_tokens: in_range("max_tokens", raw.max_tokens, 1, MAX_TOKENS, tokens)?,
            stream: raw.stream,
            chat: raw.chat,
        };
        let id = checked_id("id", raw.id)?;
        Ok(Self {
            at: Duration::from_millis(raw.at_ms),
            workspace: checked_name("workspace", &raw.workspace, |s| WorkspaceName::try_from(s))?,
            class: checked_name("class", &raw.class, |s| ClassName::try_from(s))?,
            deadline: raw.deadline_ms.map(milliseconds),
            repeatable: raw.repeatable,
            data_centre: checked_name("data_centre", &raw.data_centre, |s| {
                DataCentre::try_from(s)
            })?,
            key: checked_key(raw.key, &id)?,
            id,
            work: Work::Generation(generation),
        })
    }
}

impl TryFrom<raw::Call> for Arrival {
    type Error = TraceErrorKind;

    fn try_from(raw: raw::Call) -> Result<Self, TraceErrorKind> {
        let call = Call {
            service: checked_name("service", &raw.service, |s| TargetName::try_from(s))?,
            method: Method::try_from(raw.method)?,
            path: checked_path(raw.path)?,
            body: raw.body,
        };
        let id = checked_id("id", raw.id)?;
        Ok(Self {
            at: Duration::from_millis(raw.at_ms),
            workspace: checked_name("workspace", &raw.workspace, |s| WorkspaceName::try_from(s))?,
            class: checked_name("class", &raw.class, |s| ClassName::try_from(s))?,
            deadline: raw.deadline_ms.map(milliseconds),
            repeatable: raw.repeatable,
            data_centre: checked_name("data_centre", &raw.data_centre, |s| {
                DataCentre::try_from(s)
            })?,
            key: checked_key(raw.key, &id)?,
            id,
            work: Work::Call(call),
        })
    }
}

impl TryFrom<String> for Method {
    type Error = TraceErrorKind;

    fn try_from(raw: String) -> Result<Self, TraceErrorKind> {
        match raw.as_str() {
            "GET" => Ok(Self::Get),
            "POST" => Ok(Self::Post),
            "PUT" => Ok(Self::Put),
            "DELETE" => Ok(Self::Delete),
            _ => Err(TraceErrorKind::Format {
                field: "method",
                value: raw,
                expected: "GET, POST, PUT or DELETE",
            }),
        }
    }
}

impl TryFrom<raw::Fault> for Fault {
    type Error = TraceErrorKind;

    fn try_from(mut raw: raw::Fault) -> Result<Self, TraceErrorKind> {
        let signal = match raw.action {
            raw::Action::Kill => Some(Signal::Kill),
            raw::Action::Stop => Some(Signal::Stop),
            raw::Action::Cont => Some(Signal::Cont),
            raw::Action::Term => Some(Signal::Term),
            raw::Action::Start => Some(Signal::Start),
            raw::Action::Post => None,
        };
        let action = match (signal, raw.body) {
            (Some(signal), None) => Action::Signal(signal),
            (None, Some(body)) => Action::Post(Post {
                path: checked_post_path(raw.path.take())?,
                body,
            }),
            (Some(_), Some(_)) => {
                let reason = "only \"do\":\"post\" has a body";
                return Err(TraceErrorKind::Unexpected {
                    field: "body",
                    reason,
                });
            }
            (None, None) => {
                let reason = "\"do\":\"post\" posts it";
                return Err(TraceErrorKind::Missing {
                    field: "body",
                    reason,
                });
            }
        };
        if raw.path.is_some() {
            let reason = "only \"do\":\"post\" has a path";
            return Err(TraceErrorKind::Unexpected {
                field: "path",
                reason,
            });
        }
        Ok(Self {
            at: Duration::from_millis(raw.at_ms),
            id: checked_id("id", raw.id)?,
            target: checked_name("target", &raw.target, |s| name::Name::try_from(s))?.into(),
            action,
        })
    }
}

impl TryFrom<raw::Outcome> for Outcome {
    type Error = TraceErrorKind;

    fn try_from(raw: raw::Outcome) -> Result<Self, TraceErrorKind> {
        if raw.check == raw::Check::Recovery {
            return Recovery::try_from(raw).map(Self::Recovery);
        }
        let reason = "only the check \"recovery\" has it";
        let unexpected = [
            ("fault", raw.fault.is_some()),
            ("max_ms", raw.max_ms.is_some()),
            ("window_ms", raw.window_ms.is_some()),
        ];
        if let Some((field, _)) = unexpected.into_iter().find(|(_, present)| *present) {
            return Err(TraceErrorKind::Unexpected { field, reason });
        }
        Ok(Self::AtMost(raw.check, raw.max.unwrap_or(0)))
    }
}

impl TryFrom<raw::Outcome> for Recovery {
    type Error = TraceErrorKind;

    fn try_from(raw: raw::Outcome) -> Result<Self, TraceErrorKind> {
        let missing = |field| TraceErrorKind::Missing {
            field,
            reason: "the check \"recovery\" needs it",
        };
        if raw.max.is_some() {
            let reason = "the check \"recovery\" has max_ms";
            return Err(TraceErrorKind::Unexpected {
                field: "max",
                reason,
            });
        }
        let window = match raw.window_ms {
            Some(value @ 0) => {
                return Err(TraceErrorKind::Range {
                    field: "window_ms",
                    value,
                    expected: "at least 1",
                });
            }
            Some(ms) => Duration::from_millis(ms),
            None => DEFAULT_RECOVERY_WINDOW,
        };
        Ok(Self {
            fault: raw.fault.ok_or_else(|| missing("fault"))?,
            max: Duration::from_millis(raw.max_ms.ok_or_else(|| missing("max_ms"))?),
            window,
        })
    }
}

fn milliseconds(ms: u32) -> Duration {
    Duration::from_millis(ms.into())
}

fn checked_name<T>(
    field: &'static str,
    raw: &str,
    check: impl Fn(&str) -> Result<T, name::NameError>,
) -> Result<T, TraceErrorKind> {
    check(raw).map_err(|e| TraceErrorKind::Name {
        field,
        reason: e.to_string(),
    })
}

fn in_range(
    field: &'static str,
    value: u32,
    min: u32,
    max: u32,
    expected: &'static str,
) -> Result<u32, TraceErrorKind> {
    if (min..=max).contains(&value) {
        return Ok(value);
    }
    let value = value.into();
    Err(TraceErrorKind::Range {
        field,
        value,
        expected,
    })
}

fn checked_id(field: &'static str, raw: String) -> Result<String, TraceErrorKind> {
    let allowed = |b: u8| b.is_ascii_graphic() && b != b'/';
    if (1..=MAX_ID_BYTES).contains(&raw.len()) && raw.bytes().all(allowed) {
        return Ok(raw);
    }
    Err(TraceErrorKind::Format {
        field,
        value: raw,
        expected: "1 to 128 visible ASCII characters without '/'",
    })
}

fn checked_key(raw: Option<String>, id: &str) -> Result<String, TraceErrorKind> {
    match raw {
        Some(key) => checked_id("key", key),
        None => Ok(id.to_owned()),
    }
}

fn checked_path(raw: String) -> Result<String, TraceErrorKind> {
    if raw.starts_with('/') && raw.bytes().all(|b| b.is_ascii_graphic()) {
        return Ok(raw);
    }
    Err(TraceErrorKind::Format {
        field: "path",
        value: raw,
        expected: "visible ASCII starting with '/'",
    })
}

fn checked_post_path(raw: Option<String>) -> Result<String, TraceErrorKind> {
    let path = checked_path(raw.unwrap_or_else(|| DEFAULT_FAULTS_PATH.to_owned()))?;
    if path.starts_with("/standin/") {
        return Ok(path);
    }
    Err(TraceErrorKind::Format {
        field: "path",
        value: path,
        expected: "below /standin/",
    })
}
