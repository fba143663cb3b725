//! The life cycle of a request on its host, as typestates.
//!
//! ```text
//! Received -> Admitted -> Recorded -> Dispatched -> Streaming -> Answered
//!                     \-------------/
//! ```
//!
//! A repeatable request goes from [`Admitted`] directly to [`Dispatched`]. A request that is not
//! repeatable goes through [`Recorded`], which needs the [`Permit`] of the request's record. A
//! request can be refused, with a [`NotRunKind`], only in the states before [`Dispatched`], and it
//! can fail, with an [`AfterDispatchKind`], only in [`Dispatched`] and the states after it. So an
//! error can't claim "not run" once a byte may have reached an endpoint:
//!
//! ```compile_fail,E0277
//! use dragonflyrill_delivery::{error::NotRunKind, lifecycle::Request};
//! let req = Request::received("w/1".into()).admit().dispatch();
//! req.refuse(NotRunKind::Overloaded); // A dispatched request can't be refused.
//! ```
//!
//! ```compile_fail,E0308
//! use dragonflyrill_delivery::{error::NotRunKind, lifecycle::Request};
//! let req = Request::received("w/1".into()).admit().dispatch();
//! req.fail(NotRunKind::Overloaded); // It can't fail with a `NotRunKind` either.
//! ```
//!
//! ```compile_fail,E0599
//! use dragonflyrill_delivery::lifecycle::{NotRepeatable, Request};
//! let req = Request::received("w/1".into()).admit_not_repeatable();
//! req.dispatch(); // A call that is not repeatable has to be recorded first.
//! ```
//!
//! The same steps in order compile:
//!
//! ```
//! use dragonflyrill_delivery::{
//!     error::{AfterDispatchKind, NotRunKind, RunStatus},
//!     lifecycle::Request,
//! };
//! let refused = Request::received("w/1".into()).admit().refuse(NotRunKind::Overloaded);
//! assert_eq!(refused.kind().answer().run, RunStatus::NotRun);
//! let failed = Request::received("w/1".into()).admit().dispatch().fail(AfterDispatchKind::EndpointFailed);
//! assert_eq!(failed.kind().answer().run, RunStatus::MayHaveRun);
//! ```

use std::time::Duration;

use crate::{
    error::{AfterDispatchKind, ErrorKind, NotRunKind},
    record::{ExpiredPermit, Permit},
};

mod sealed {
    /// Keeps other crates from adding states.
    pub trait Sealed {}
}

/// Nothing of the request has reached an endpoint, and nothing will unless it is dispatched.
pub trait BeforeDispatch: sealed::Sealed {}
/// Something of the request may have reached an endpoint.
pub trait AfterDispatch: sealed::Sealed {}

/// A request in state `S`.
#[derive(Debug, PartialEq, Eq)]
pub struct Request<S> {
    id: String,
    state: S,
}

/// The request was read and checked.
#[derive(Debug, PartialEq, Eq)]
pub struct Received(());
/// The request holds its owner's right to run.
#[derive(Debug, PartialEq, Eq)]
pub struct Admitted(());
/// The request holds its owner's right to run, but has to be recorded before it is dispatched.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRepeatable(());
/// The request's record is in the table.
#[derive(Debug, PartialEq, Eq)]
pub struct Recorded {
    permit: Permit,
}
/// Bytes of the request may have been sent to an endpoint.
#[derive(Debug, PartialEq, Eq)]
pub struct Dispatched(());
/// A part of the answer was sent to the caller.
#[derive(Debug, PartialEq, Eq)]
pub struct Streaming(());
/// The request ended with its complete answer.
#[derive(Debug, PartialEq, Eq)]
pub struct Answered(());
/// The request was refused and never ran.
#[derive(Debug, PartialEq, Eq)]
pub struct Refused(NotRunKind);
/// The request ended without its complete answer.
#[derive(Debug, PartialEq, Eq)]
pub struct Failed(AfterDispatchKind);

impl sealed::Sealed for Received {}
impl sealed::Sealed for Admitted {}
impl sealed::Sealed for NotRepeatable {}
impl sealed::Sealed for Recorded {}
impl sealed::Sealed for Dispatched {}
impl sealed::Sealed for Streaming {}

impl BeforeDispatch for Received {}
impl BeforeDispatch for Admitted {}
impl BeforeDispatch for NotRepeatable {}
impl BeforeDispatch for Recorded {}
impl AfterDispatch for Dispatched {}
impl AfterDispatch for Streaming {}

impl<S> Request<S> {
    /// The request's id.
    pub fn id(&self) -> &str {
        &self.id
    }

    fn into_state<T>(self, state: T) -> Request<T> {
        Request { id: self.id, state }
    }
}

impl<S: BeforeDispatch> Request<S> {
    /// Ends the request without running it.
    pub fn refuse(self, kind: NotRunKind) -> Request<Refused> {
        self.into_state(Refused(kind))
    }
}

impl<S: AfterDispatch> Request<S> {
    /// Ends the request without its complete answer.
    pub fn fail(self, kind: AfterDispatchKind) -> Request<Failed> {
        self.into_state(Failed(kind))
    }

    /// Ends the request with its complete answer.
    pub fn finish(self) -> Request<Answered> {
        self.into_state(Answered(()))
    }
}

impl Request<Received> {
    /// Makes a request that was read and checked.
    pub fn received(id: String) -> Self {
        Self {
            id,
            state: Received(()),
        }
    }

    /// Admits a request that may be run more than once: its owner's limit has free capacity for it.
    pub fn admit(self) -> Request<Admitted> {
        self.into_state(Admitted(()))
    }

    /// Admits a request that must not be run more than once: its owner's limit has free capacity
    /// for it.
    pub fn admit_not_repeatable(self) -> Request<NotRepeatable> {
        self.into_state(NotRepeatable(()))
    }
}

impl Request<Admitted> {
    /// Marks the request as dispatched: from now on bytes may be sent to an endpoint.
    pub fn dispatch(self) -> Request<Dispatched> {
        self.into_state(Dispatched(()))
    }
}

impl Request<NotRepeatable> {
    /// Takes the permit of the request's record, which is in the table.
    pub fn record(self, permit: Permit) -> Request<Recorded> {
        self.into_state(Recorded { permit })
    }
}

impl Request<Recorded> {
    /// Consumes the permit and marks the request as dispatched: from now on bytes may be sent to an
    /// endpoint. Call this directly before the first byte is sent.
    ///
    /// # Errors
    /// [`PermitExpired`] after the permit's term: nothing was sent, and nothing may be sent.
    pub fn dispatch(self, now: Duration) -> Result<Request<Dispatched>, PermitExpired> {
        let Self { id, state } = self;
        match state.permit.consume(now) {
            Ok(()) => Ok(Request {
                id,
                state: Dispatched(()),
            }),
            Err(permit) => Err(PermitExpired {
                request: Request {
                    id,
                    state: Received(()),
                },
                permit,
            }),
        }
    }
}

/// The error for a permit that expired before the request was dispatched.
#[derive(Debug, PartialEq, Eq)]
pub struct PermitExpired {
    /// The request, which is to be refused.
    pub request: Request<Received>,
    /// The expired permit, for [`Recorder::abandon`](crate::record::Recorder::abandon).
    pub permit: ExpiredPermit,
}

impl Request<Dispatched> {
    /// Marks the request as streaming: the first part of its answer is sent to the caller.
    pub fn stream(self) -> Request<Streaming> {
        self.into_state(Streaming(()))
    }
}

impl Request<Refused> {
    /// The reason for the refusal.
    pub fn kind(&self) -> ErrorKind {
        self.state.0.into()
    }
}

impl Request<Failed> {
    /// The reason for the failure.
    pub fn kind(&self) -> ErrorKind {
        self.state.0.into()
    }
}
