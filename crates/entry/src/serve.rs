//! Accepts callers' connections, and drains the host on shutdown.

use std::{rc::Rc, time::Duration};

use dragonflyrill_clock::awake;
use dragonflyrill_gateway::http::{codec_config, intake::Listener, listener};
use tokio::net::TcpListener;

use crate::{caller::Callers, control, host::Host};

/// The interval at which a drain checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serves callers on `listener` until the task is dropped.
pub async fn serve(host: Rc<Host>, listener: TcpListener) {
    let server = listener::Server {
        codec: codec_config(),
        intake: host.intake.clone(),
        closing: host.closing.subscribe(),
        handler: Rc::new(Callers::new(host)),
    };
    listener::serve(listener, Listener::Callers, server).await;
}

/// Refuses new requests and waits until all running ones have ended, at most the drain limit of the
/// settings. Also hands this host's rights over to other hosts and reports its shutdown to them.
///
/// Returns the number of requests that were still running at the end of the wait.
pub async fn drain(host: &Host) -> usize {
    host.draining.set(true);
    host.admission.hand_over();
    // The channel is closed only after the control arbiter has stopped.
    let _ = host.control.send(control::actor::Event::ShutDown);
    let running = host.requests.borrow().running();
    log::info!("drain: New requests are refused; {running} are running.");
    let until = host.now() + host.settings.drain_limit;
    loop {
        let running = host.requests.borrow().running();
        if running == 0 || host.now() >= until {
            host.closing.send_replace(true);
            return running;
        }
        awake::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
