//! What every call says about itself in headers.

use std::time::Duration;

use actix_http::header::HeaderMap;
use dragonflyrill_catalogue::{ClassName, EntryKey, WorkspaceName, entry::LimitEntry};
use dragonflyrill_delivery::ErrorKind;

use crate::{
    host::Host,
    requests::{Failure, RequestKey},
};

/// The owner of the call.
pub const WORKSPACE: &str = "x-workspace";
/// The class of work; `interactive` if left out.
pub const CLASS: &str = "x-class";
/// Milliseconds until the answer is of no use.
pub const DEADLINE: &str = "x-deadline-ms";
/// The caller's name for the call.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Whether the call may be run again.
pub const REPEATABLE: &str = "x-repeatable";

/// The class of calls that name none.
const DEFAULT_CLASS: &str = "interactive";
/// The longest idempotency key, in bytes.
const MAX_KEY: usize = 128;
/// The longest deadline, in milliseconds: one hour.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Checked headers of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// The owner. Declared in the catalogue.
    pub workspace: WorkspaceName,
    /// The class of work.
    pub class: ClassName,
    /// Time left for the answer, if the caller said so.
    pub time_left: Option<Duration>,
    /// When the answer is of no use any more, by the host's clock.
    pub deadline: Duration,
    /// The caller's name for the call.
    pub key: Option<String>,
    /// Whether the call may be run again, if the caller said so.
    pub repeatable: Option<bool>,
}

impl Envelope {
    /// Checks the headers of a call that came in now.
    pub fn read(host: &Host, headers: &HeaderMap) -> Result<Self, Failure> {
        let workspace = text(headers, WORKSPACE)?
            .ok_or_else(|| bad(WORKSPACE, "", "the name of the calling workspace is needed"))?;
        let workspace = WorkspaceName::try_from(workspace)
            .map_err(|e| bad(WORKSPACE, workspace, &e.to_string()))?;
        if host
            .catalogue()
            .get(&EntryKey::Workspace(workspace.clone()))
            .is_none()
        {
            let message = format!("no workspace {workspace} is declared");
            return Err(Failure::new(ErrorKind::UnknownWorkspace, message));
        }
        let class = text(headers, CLASS)?.unwrap_or(DEFAULT_CLASS);
        let class = ClassName::try_from(class).map_err(|e| bad(CLASS, class, &e.to_string()))?;
        let time_left = text(headers, DEADLINE)?.map(time_left).transpose()?;
        let deadline = host.now() + time_left.unwrap_or(host.settings.default_deadline);
        let key = text(headers, IDEMPOTENCY_KEY)?.map(key).transpose()?;
        let repeatable = text(headers, REPEATABLE)?.map(truth).transpose()?;
        Ok(Self {
            workspace,
            class,
            time_left,
            deadline,
            key,
            repeatable,
        })
    }

    /// Takes over the limit's deadline if the caller named none.
    pub fn apply(&mut self, host: &Host, limit: &LimitEntry) {
        if self.time_left.is_none() {
            self.deadline = host.now() + Duration::from_millis(limit.deadline_ms.into());
        }
    }

    /// The name the call goes by: the caller's, or a new one.
    pub fn request_key(&self) -> RequestKey {
        let id = self
            .key
            .clone()
            .unwrap_or_else(|| uuid::Uuid::new_v4().simple().to_string());
        RequestKey {
            workspace: self.workspace.clone(),
            id,
        }
    }
}

/// The value of header `name`, if it is there and is text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Failure> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value
        .to_str()
        .map(Some)
        .map_err(|_| bad(name, "", "plain text is needed"))
}

fn bad(header: &str, value: &str, right: &str) -> Failure {
    let message = format!("header {header}: {value:?} can't be used: {right}");
    Failure::new(ErrorKind::BadRequest, message)
}

fn time_left(value: &str) -> Result<Duration, Failure> {
    match value.parse::<u64>() {
        Ok(ms) if (1..=MAX_DEADLINE_MS).contains(&ms) => Ok(Duration::from_millis(ms)),
        _ => {
            let right = format!("a whole number of milliseconds from 1 to {MAX_DEADLINE_MS}");
            Err(bad(DEADLINE, value, &right))
        }
    }
}

fn key(value: &str) -> Result<String, Failure> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    if value.is_empty() || value.len() > MAX_KEY || !value.chars().all(allowed) {
        let right = format!("1 to {MAX_KEY} letters, digits, '-', '_', '.' and ':' are needed");
        return Err(bad(IDEMPOTENCY_KEY, value, &right));
    }
    Ok(value.to_owned())
}

fn truth(value: &str) -> Result<bool, Failure> {
    match value {
        "true" => Ok(true),
        "false" => Ok(false),
        _ => Err(bad(REPEATABLE, value, "true or false is needed")),
    }
}
