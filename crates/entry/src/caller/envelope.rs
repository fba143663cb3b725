//! The headers that every call may have.

use std::time::Duration;

use actix_http::header::HeaderMap;
use dragonflyrill_catalogue::{ClassName, EntryKey, WorkspaceName, entry::LimitEntry};
use dragonflyrill_delivery::ErrorKind;

use crate::{
    host::Host,
    requests::{Failure, RequestKey},
};

/// The header with the workspace of the call.
pub const WORKSPACE: &str = "x-workspace";
/// The header with the class of work; `interactive` if left out.
pub const CLASS: &str = "x-class";
/// The header with the time in milliseconds after which the answer is of no use.
pub const DEADLINE: &str = "x-deadline-ms";
/// The header with the caller's key for the call.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The header that says whether the call may run more than once.
pub const REPEATABLE: &str = "x-repeatable";

/// The class of calls without a class header.
const DEFAULT_CLASS: &str = "interactive";
/// The maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;
/// The maximum time that a caller may set as deadline, in milliseconds: one hour.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Checked headers of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// The workspace. Declared in the catalogue.
    pub workspace: WorkspaceName,
    /// The class of work.
    pub class: ClassName,
    /// The time that the caller set for the answer, if any.
    pub time_left: Option<Duration>,
    /// When the answer is no longer of use, by the host's clock.
    pub deadline: Duration,
    /// The caller's idempotency key, if any.
    pub key: Option<String>,
    /// Whether the call may run more than once, if the caller says so.
    pub repeatable: Option<bool>,
}

impl Envelope {
    /// Checks the headers of a call that has just arrived.
    ///
    /// # Errors
    /// A header is invalid, or the workspace is missing or not declared.
    pub fn read(host: &Host, headers: &HeaderMap) -> Result<Self, Failure> {
        let workspace = header_text(headers, WORKSPACE)?.ok_or_else(|| {
            bad_header(WORKSPACE, "", "the name of the calling workspace is needed")
        })?;
        let workspace = WorkspaceName::try_from(workspace)
            .map_err(|e| bad_header(WORKSPACE, workspace, &e.to_string()))?;
        if host
            .catalogue()
            .get(&EntryKey::Workspace(workspace.clone()))
            .is_none()
        {
            let message = format!("no workspace {workspace} is declared");
            return Err(Failure::new(ErrorKind::UnknownWorkspace, message));
        }
        let class = header_text(headers, CLASS)?.unwrap_or(DEFAULT_CLASS);
        let class =
            ClassName::try_from(class).map_err(|e| bad_header(CLASS, class, &e.to_string()))?;
        let time_left = header_text(headers, DEADLINE)?
            .map(parse_time_left)
            .transpose()?;
        let deadline = host.now() + time_left.unwrap_or(host.settings.default_deadline);
        let key = header_text(headers, IDEMPOTENCY_KEY)?
            .map(parse_key)
            .transpose()?;
        let repeatable = header_text(headers, REPEATABLE)?
            .map(parse_bool)
            .transpose()?;
        Ok(Self {
            workspace,
            class,
            time_left,
            deadline,
            key,
            repeatable,
        })
    }

    /// Applies the limit's deadline if the caller set none.
    pub fn apply_limit_deadline(&mut self, host: &Host, limit: &LimitEntry) {
        if self.time_left.is_none() {
            self.deadline = host.now() + Duration::from_millis(limit.deadline_ms.into());
        }
    }

    /// The key of the request: the caller's idempotency key, or a new id.
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

/// The value of header `name`, if there is one.
///
/// # Errors
/// The value is not plain text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Failure> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value
        .to_str()
        .map(Some)
        .map_err(|_| bad_header(name, "", "plain text is needed"))
}

fn bad_header(header: &str, value: &str, expected: &str) -> Failure {
    let message = format!("header {header}: {value:?} can't be used: {expected}");
    Failure::new(ErrorKind::BadRequest, message)
}

fn parse_time_left(value: &str) -> Result<Duration, Failure> {
    match value.parse::<u64>() {
        Ok(ms) if (1..=MAX_DEADLINE_MS).contains(&ms) => Ok(Duration::from_millis(ms)),
        _ => {
            let expected = format!("a whole number of milliseconds from 1 to {MAX_DEADLINE_MS}");
            Err(bad_header(DEADLINE, value, &expected))
        }
    }
}

fn parse_key(value: &str) -> Result<String, Failure> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    if value.is_empty() || value.len() > MAX_KEY_BYTES || !value.chars().all(allowed) {
        let expected =
            format!("1 to {MAX_KEY_BYTES} letters, digits, '-', '_', '.' and ':' are needed");
        return Err(bad_header(IDEMPOTENCY_KEY, value, &expected));
    }
    Ok(value.to_owned())
}

fn parse_bool(value: &str) -> Result<bool, Failure> {
    match value {
        "true" => Ok(true),
        "false" => Ok(false),
        _ => Err(bad_header(REPEATABLE, value, "true or false is needed")),
    }
}
