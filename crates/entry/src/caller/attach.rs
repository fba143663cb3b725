//! Attaches a call to the run of its request.

use std::rc::Rc;

use crate::{
    caller::{answer, envelope::Envelope},
    host::Host,
    requests::{Failure, OpenResult, Reader, Slot},
};

/// A caller's access to the run of its call.
#[derive(Debug)]
pub struct Attachment {
    /// Keeps the run from being abandoned and reads its answer.
    pub reader: Reader,
    /// The slot, if the request has no run yet: whoever attached starts it.
    pub new_slot: Option<Rc<Slot>>,
}

/// Attaches to the run of a call, or opens a slot for a new one.
///
/// # Errors
/// The call's idempotency key was used with another call.
pub fn attach(
    host: &Host,
    envelope: &Envelope,
    fingerprint: u64,
    repeatable: bool,
) -> Result<Attachment, Failure> {
    // A call that must not run twice is driven to its end even if its caller disconnects.
    let named = envelope.key.is_some() || !repeatable;
    let mut requests = host.requests.borrow_mut();
    let (slot, new_slot) = match requests.open(envelope.request_key(), fingerprint, named) {
        OpenResult::Known(slot) => (slot, None),
        OpenResult::New(slot) => (slot.clone(), Some(slot)),
        OpenResult::KeyReused => return Err(answer::key_reused()),
    };
    host.metrics.requests_running.set(requests.running() as i64);
    Ok(Attachment {
        reader: Reader::attach(slot),
        new_slot,
    })
}
