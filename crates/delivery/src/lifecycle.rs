//! The life of a request on its host, as types.
//!
//! ```text
//! Received -> Admitted -> Recorded -> Dispatched -> Streaming -> Answered
//!                     \-------------/
//! ```
//!
//! A repeatable request goes from [`Admitted`] straight to [`Dispatched`]; one that is not goes by
//! way of [`Recorded`], which takes the [`Permit`] of its record. Only states before [`Dispatched`]
//! can be refused, with a [`NotRunKind`]; only those from it on can fail, with an
//! [`AfterDispatchKind`]. So "not run" can't be said once a byte may have reached an endpoint:
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
//! req.fail(NotRunKind::Overloaded); // It can't fail with such a kind either.
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
//! use dragonflyrill_delivery::{error::{AfterDispatchKind, NotRunKind, RunStatus}, lifecycle::Request};
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
    /// Keeps others from adding states.
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

/// Read and checked.
#[derive(Debug, PartialEq, Eq)]
pub struct Received(());
/// Holds its owner's right to run.
#[derive(Debug, PartialEq, Eq)]
pub struct Admitted(());
/// Holds its owner's right to run, and has to be recorded first.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRepeatable(());
/// Its record is in the table.
#[derive(Debug, PartialEq, Eq)]
pub struct Recorded {
    permit: Permit,
}
/// Bytes may have left for an endpoint.
#[derive(Debug, PartialEq, Eq)]
pub struct Dispatched(());
/// Part of the answer went to the caller.
#[derive(Debug, PartialEq, Eq)]
pub struct Streaming(());
/// The answer is whole.
#[derive(Debug, PartialEq, Eq)]
pub struct Answered(());
/// Was never run.
#[derive(Debug, PartialEq, Eq)]
pub struct Refused(NotRunKind);
/// Ended without its whole answer.
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
    /// Ends the request unrun.
    pub fn refuse(self, kind: NotRunKind) -> Request<Refused> {
        self.into_state(Refused(kind))
    }
}

impl<S: AfterDispatch> Request<S> {
    /// Ends the request without its whole answer.
    pub fn fail(self, kind: AfterDispatchKind) -> Request<Failed> {
        self.into_state(Failed(kind))
    }

    /// Ends the request with its whole answer.
    pub fn finish(self) -> Request<Answered> {
        self.into_state(Answered(()))
    }
}

impl Request<Received> {
    /// A request that was read and checked.
    pub fn received(id: String) -> Self {
        Self {
            id,
            state: Received(()),
        }
    }

    /// The owner's limit has room for the request, which may be run more than once.
    pub fn admit(self) -> Request<Admitted> {
        self.into_state(Admitted(()))
    }

    /// The owner's limit has room for the request, which must not be run more than once.
    pub fn admit_not_repeatable(self) -> Request<NotRepeatable> {
        self.into_state(NotRepeatable(()))
    }
}

impl Request<Admitted> {
    /// From here on bytes may leave for an endpoint.
    pub fn dispatch(self) -> Request<Dispatched> {
        self.into_state(Dispatched(()))
    }
}

impl Request<NotRepeatable> {
    /// The request's record is in the table.
    pub fn record(self, permit: Permit) -> Request<Recorded> {
        self.into_state(Recorded { permit })
    }
}

impl Request<Recorded> {
    /// From here on bytes may leave for an endpoint. Call it right before they do.
    ///
    /// # Errors
    /// [`TooLate`] after the permit's term: nothing was sent, and nothing may be.
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

/// The permit lapsed before the request was dispatched.
#[derive(Debug, PartialEq, Eq)]
pub struct PermitExpired {
    /// The request, to be refused.
    pub request: Request<Received>,
    /// The permit, for [`Recorder::abandon`](crate::record::Recorder::abandon).
    pub permit: ExpiredPermit,
}

impl Request<Dispatched> {
    /// The first part of the answer goes to the caller.
    pub fn stream(self) -> Request<Streaming> {
        self.into_state(Streaming(()))
    }
}

impl Request<Refused> {
    /// Why it was refused.
    pub fn kind(&self) -> ErrorKind {
        self.state.0.into()
    }
}

impl Request<Failed> {
    /// Why it failed.
    pub fn kind(&self) -> ErrorKind {
        self.state.0.into()
    }
}
