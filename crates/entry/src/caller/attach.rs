//! Attaching a call to its run.

use std::rc::Rc;

use crate::{
    caller::{answer, envelope::Envelope},
    host::Host,
    requests::{Failure, Opened, Reader, Slot},
};

/// A caller's hold on the run of its call.
#[derive(Debug)]
pub struct Attached {
    /// The hold.
    pub reader: Reader,
    /// The slot, if there is no run yet: the caller is to start it.
    pub fresh: Option<Rc<Slot>>,
}

/// Attaches to the run of a call.
///
/// # Errors
/// The call's key names another call.
pub fn attach(
    host: &Host,
    envelope: &Envelope,
    fingerprint: u64,
    repeatable: bool,
) -> Result<Attached, Failure> {
    // A call that must not run twice is driven to its end even if its caller goes.
    let named = envelope.key.is_some() || !repeatable;
    let mut requests = host.requests.borrow_mut();
    let (slot, fresh) = match requests.open(envelope.request_key(), fingerprint, named) {
        Opened::Known(slot) => (slot, None),
        Opened::New(slot) => (slot.clone(), Some(slot)),
        Opened::Reused => return Err(answer::key_reused()),
    };
    host.metrics.requests_running.set(requests.running() as i64);
    Ok(Attached {
        reader: Reader::attach(slot),
        fresh,
    })
}
