//! Dispatches that are to be made beside silent ones.

use std::{future, rc::Rc};

use dragonflyrill_fleet::budget::RetryReason;
use futures_util::future::{FutureExt, LocalBoxFuture};

use super::AdmittedRequest;
use crate::gateway::Gateway;

/// A dispatch that is to be made beside a silent one, once a retry is acquired for it. `T` says where it goes.
pub(super) struct Replacement<'a, T> {
    target: T,
    acquired: LocalBoxFuture<'a, bool>,
}

impl<'a, T> Replacement<'a, T> {
    /// Begins to acquire a retry for a dispatch to `target`.
    pub(super) fn new(gateway: &'a Rc<Gateway>, admitted: &'a AdmittedRequest, target: T) -> Self {
        let acquired = admitted.acquire_retry(gateway, RetryReason::Loss);
        Self {
            target,
            acquired: acquired.boxed_local(),
        }
    }

    /// Waits until the retry is acquired or denied, and takes the replacement: returns its target, or `None` if the
    /// retry is denied. Pending while there is no replacement. Cancel safe.
    pub(super) async fn decided(replacement: &mut Option<Self>) -> Option<T> {
        let acquired = match replacement {
            Some(replacement) => replacement.acquired.as_mut().await,
            None => future::pending().await,
        };
        let target = replacement.take().map(|replacement| replacement.target);
        target.filter(|_| acquired)
    }
}
