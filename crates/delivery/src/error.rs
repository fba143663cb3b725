//! The closed list of error kinds, and the table that maps each kind to its answer.

/// Whether the work of a request that ended with an error was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunStatus {
    /// Nothing of the request has reached an endpoint, and nothing will.
    NotRun,
    /// An endpoint may have run some or all of the work.
    MayHaveRun,
    /// The work ran; only its answer is not available.
    Ran,
}

impl RunStatus {
    /// The machine-readable value in an error body.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }
}

/// How an error kind is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The machine-readable code.
    pub code: &'static str,
    /// Whether the work was run.
    pub run: RunStatus,
    /// Whether the answer has a `Retry-After` header.
    pub retry_after: bool,
    /// The meaning of the error, for the documentation.
    pub meaning: &'static str,
}

macro_rules! subset {
    ($(#[$doc:meta])* $name:ident: $($kind:ident, $meaning:literal;)*) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum $name {
            $(#[doc = $meaning] $kind,)*
        }

        impl $name {
            /// All kinds, in the order of the documentation.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];
        }

        impl From<$name> for ErrorKind {
            fn from(kind: $name) -> Self {
                match kind {
                    $($name::$kind => Self::$kind,)*
                }
            }
        }

        impl TryFrom<ErrorKind> for $name {
            /// The unchanged kind, if it is not in this subset.
            type Error = ErrorKind;

            fn try_from(kind: ErrorKind) -> Result<Self, ErrorKind> {
                match kind {
                    $(ErrorKind::$kind => Ok(Self::$kind),)*
                    other => Err(other),
                }
            }
        }
    };
}

macro_rules! kinds {
    (
        NotRun { $($early:ident, $early_status:literal, $early_code:literal, $early_retry:literal, $early_meaning:literal;)* }
        AfterDispatch { $($kind:ident, $status:literal, $code:literal, $run:ident, $retry:literal, $meaning:literal;)* }
    ) => {
        /// Why a request did not get its complete answer.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum ErrorKind {
            $(#[doc = $early_meaning] $early,)*
            $(#[doc = $meaning] $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the documentation.
            pub const ALL: &'static [Self] = &[$(Self::$early,)* $(Self::$kind,)*];

            /// The answer to this kind of error.
            pub fn answer(self) -> Answer {
                match self {
                    $(Self::$early => Answer {
                        status: $early_status,
                        code: $early_code,
                        run: RunStatus::NotRun,
                        retry_after: $early_retry,
                        meaning: $early_meaning,
                    },)*
                    $(Self::$kind => Answer {
                        status: $status,
                        code: $code,
                        run: RunStatus::$run,
                        retry_after: $retry,
                        meaning: $meaning,
                    },)*
                }
            }
        }

        subset! {
            /// The kinds that state that nothing was run: only a request that was not dispatched
            /// can end with one of them.
            NotRunKind: $($early, $early_meaning;)*
        }

        subset! {
            /// The kinds with which a dispatched request can end.
            AfterDispatchKind: $($kind, $meaning;)*
        }
    };
}

kinds! {
    NotRun {
        BadRequest, 400, "bad_request", false, "The request is malformed; the message names the field.";
        TooLarge, 413, "too_large", false, "The request is larger than the host accepts.";
        UnknownWorkspace, 403, "unknown_workspace", false, "No such workspace is declared.";
        UnknownTarget, 404, "unknown_target", false, "No such model, service or path is declared.";
        UnknownRequest, 404, "unknown_request", false, "No request of this id is known here.";
        NoLimit, 403, "no_limit", false, "The workspace has no limit for this target and class of work.";
        KeyReused, 422, "idempotency_key_reused", false, "The idempotency key was used with another request.";
        OverLimit, 429, "over_limit", true, "The workspace's limit is in use.";
        Overloaded, 503, "overloaded", true, "The endpoints can't take the work in time.";
        DeadlineTooShort, 503, "deadline_too_short", true, "The work can't be done before its deadline; it was not begun.";
        NoEndpoint, 503, "no_endpoint", true, "No live endpoints cover the target.";
        RecordUnavailable, 503, "record_unavailable", true, "A call that is not repeatable can't be recorded now, so it was not begun.";
        NotReady, 503, "not_ready", true, "The host has no catalogue yet, or is draining.";
        HostFull, 503, "host_full", true, "The host has no memory left for the request, or all its connections are in use.";
        TooSlow, 503, "too_slow", true, "The request did not arrive in time.";
    }
    AfterDispatch {
        RecordUnknown, 503, "record_unknown", MayHaveRun, true, "A call that is not repeatable was not begun here, but may have been before under the same key, and its record can't be read now.";
        RunningElsewhere, 409, "running_elsewhere", MayHaveRun, true, "Another host has begun this call; its answer isn't there yet.";
        DeadlineExceeded, 504, "deadline_exceeded", MayHaveRun, true, "The deadline passed while the work was running.";
        EndpointFailed, 502, "endpoint_failed", MayHaveRun, true, "Endpoints failed while the work was running.";
        Interrupted, 503, "interrupted", MayHaveRun, true, "The host had to stop before the work ended.";
        Cancelled, 499, "cancelled", MayHaveRun, false, "The caller cancelled the request.";
        AnswerNotKept, 409, "answer_not_kept", Ran, false, "The work ran, and its answer is no longer kept.";
    }
}
