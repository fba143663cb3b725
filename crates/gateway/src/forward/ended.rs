//! Whether endpoints have ended while they ran a request.
//!
//! A connection that ends in the midst of an answer may have been reset on the way, or the endpoint may
//! have dropped this request only. A process that has ended is told by its address: nobody listens there
//! any more, and whoever asks hears so at once. Silence proves nothing: a cut link is as silent. Nor does
//! one that listens prove that it is the same one: its next start may be there already, which is heard of
//! when it is listed.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::ServiceConfig;
use futures_util::{
    FutureExt,
    future::{LocalBoxFuture, Shared},
};
use rustc_hash::FxHashMap;

use super::{Admitted, send::Failed};
use crate::{gateway::Gateway, http::connection};

/// How long it may take to hear that nobody listens: the network needs a ms at most, and the request waits
/// meanwhile.
const REFUSED_WITHIN: Duration = Duration::from_millis(60);

/// A look at the address of an endpoint: true if nobody listens there.
type Look = Shared<LocalBoxFuture<'static, bool>>;

/// Looks at endpoints that may have ended. All requests that ran at one end together: one looks for all.
#[derive(Default)]
pub struct Looks(RefCell<FxHashMap<Rc<str>, Look>>);

impl Looks {
    fn look(&self, gateway: &Gateway, id: &Rc<str>, addr: SocketAddr) -> Look {
        let mut looks = self.0.borrow_mut();
        // One that found nothing may find more the next time; an end is for good.
        let directory = gateway.directory.borrow();
        looks.retain(|id, look| look.peek() != Some(&false) && directory.get(id).is_some());
        let new = || {
            nobody_listens(addr, gateway.codec.clone())
                .boxed_local()
                .shared()
        };
        looks.entry(id.clone()).or_insert_with(new).clone()
    }
}

async fn nobody_listens(addr: SocketAddr, config: ServiceConfig) -> bool {
    let opened = connection::open_within(addr, &config, REFUSED_WITHIN).await;
    opened.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionRefused)
}

/// An endpoint that ran a part of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ran<'a> {
    pub(super) id: &'a Rc<str>,
    pub(super) addr: SocketAddr,
}

/// A run at these endpoints has failed, of which the first was sent the request: notes if one of them has
/// ended, and where one may have, so that its end counts once it is heard of.
pub(super) async fn note(gateway: &Gateway, admitted: &Admitted, ran: &[Ran<'_>], failed: &Failed) {
    let broke_off = match failed {
        Failed::NotSent(_) | Failed::NotRun(_) => return,
        Failed::MayHaveRun(_) => false,
        Failed::BrokeOff(_) => true,
    };
    if let Some(over) = ran
        .iter()
        .find(|r| gateway.directory.borrow().has_ended(r.id))
    {
        return gateway.record_termination(admitted.fingerprint(), over.id);
    }
    for (place, part) in ran.iter().enumerate() {
        // A later part that has ended has the first one break off after a while; it is lost by then.
        let lost = gateway.directory.borrow().is_unresponsive(part.id);
        let suspected = lost || (broke_off && place == 0);
        if !suspected {
            continue;
        }
        // A run that was given up must not wait for an address that is as silent.
        if broke_off
            && gateway
                .termination_checks
                .look(gateway, part.id, part.addr)
                .await
        {
            return gateway.record_termination(admitted.fingerprint(), part.id);
        }
        gateway.record_broken_run(admitted.fingerprint(), part.id);
    }
}
