//! Event streams over a chain that its first stage drives.
//!
//! Events are passed on whole, as they arrive. When a run breaks off or stalls, another chain goes
//! on after the last event that was passed on, inside the same answer, if the route allows it.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use dragonflyrill_fleet::{
    adaptive_timeout::RunTiming,
    catalogue::Engine,
    chains::Chain,
    choice::{self, Choice, RequestDemand},
    layers::LayerRange,
};
use rand::Rng;
use tokio::time::{self, Instant};

use super::{
    Admitted, Ended, call, ended,
    events::{Events, Taken},
    on_chain::OnChain,
    probe,
    refusal::Refusal,
    send::{self, Begun, Failed, Target},
    success,
    tries::Tries,
    watch::Watch,
};
use crate::{gateway::Gateway, http::callers::Responder, ports::RequestMetadata};

/// From this fill of its fullest part on a chain gets nothing more. Requests end early as often as
/// late, so that a chain that looks full may have room.
const MOST_FILL: f64 = 1.6;
/// The least time that is counted as left for an event to be on time.
const LEAST_LEFT: Duration = Duration::from_millis(1);
/// The largest answer passed on whole because it is not a success.
const MOST_FAILURE: usize = 256 * 1024;

/// Forwards a stream and passes its events on.
pub(super) async fn forward(
    gateway: &Rc<Gateway>,
    admitted: &Admitted,
    out: &mut Responder<'_>,
) -> Result<(), Ended> {
    let mut stream = Stream {
        gateway,
        admitted,
        events: Events::after(admitted.incoming.last_event),
        tried: Vec::new(),
        tries: Tries::new(Refusal::NoEndpoint("no chain covers all layers")),
        last_event_at: None,
    };
    let run = time::timeout_at(admitted.due, stream.run(out)).await;
    match run {
        Ok(Ok(status)) => {
            gateway.metrics.answered(admitted.kind_label(), status);
            admitted.trail.answered(status);
            Ok(())
        }
        Ok(Err(ended)) => Err(cut(admitted, out, ended)),
        Err(_) => Err(cut(admitted, out, Ended::Refused(Refusal::OutOfTime))),
    }
}

/// Once a part of an answer was sent there is no other answer: the connection ends without the
/// mark of completeness.
fn cut(admitted: &Admitted, out: &Responder<'_>, ended: Ended) -> Ended {
    match ended {
        Ended::Refused(refusal) if out.started() => {
            admitted.trail.show();
            log::info!(target: "forward", id = admitted.trail.id(), why:? = refusal; "Stream breaks off.");
            Ended::Io(std::io::ErrorKind::ConnectionAborted.into())
        }
        other => other,
    }
}

/// One stream and the runs that it is made of.
struct Stream<'a> {
    gateway: &'a Rc<Gateway>,
    admitted: &'a Admitted,
    events: Events,
    /// The keys of the chains that it was sent to.
    tried: Vec<u64>,
    /// Runs that failed.
    tries: Tries,
    /// When the last events were passed on.
    last_event_at: Option<Instant>,
}

/// The next run of a stream.
struct Planned {
    chain: Chain,
    /// What the run needs.
    want: RequestDemand,
    /// Until its first event, as expected.
    expected_first: Duration,
    /// How full its fullest part is taken to be.
    expected_fill: f64,
}

/// How a run ended.
enum RunEnd {
    /// The stream is complete.
    Complete(http::StatusCode),
    /// It broke off or never began.
    Failed(Failed),
}

impl Stream<'_> {
    async fn run(&mut self, out: &mut Responder<'_>) -> Result<http::StatusCode, Ended> {
        let Some(engine) = self.admitted.service.engine.clone() else {
            return Err(Refusal::NoEndpoint("the service has no engines").into());
        };
        for _ in 0..self.admitted.most_sends() + call::MORE_TRIES {
            if !self.admitted.may_send(self.gateway, &mut self.tries) {
                break;
            }
            let Some(planned) = self.choose(&engine) else {
                break;
            };
            if self.tries.sent() > 0 {
                if !self.admitted.take_repeat(self.gateway).await {
                    break;
                }
                self.gateway
                    .metrics
                    .resumed
                    .inc_by(u64::from(out.started()));
                self.events.resume();
            }
            self.tried.push(planned.chain.key);
            let after_event = out.started().then(|| self.events.last()).flatten();
            let to = planned.chain.to_string();
            let (first, fill) = (planned.expected_first, planned.expected_fill);
            self.admitted.trail.sent(to, first, fill, after_event);
            match self.run_on(&planned, out).await? {
                RunEnd::Complete(status) => return Ok(status),
                RunEnd::Failed(failed) => {
                    self.note(&planned.chain, &failed, out.started());
                    self.note_end(&planned.chain, &failed).await;
                    self.tries.failed(failed);
                }
            }
        }
        Err(self.tries.refusal().into())
    }

    fn note(&self, chain: &Chain, failed: &Failed, started: bool) {
        self.admitted.trail.show();
        log::info!(
            target: "forward",
            id = self.admitted.trail.id(),
            request:% = self.admitted.fingerprint(),
            chain = chain.to_string(),
            started = started,
            after_event:? = self.events.last(),
            why:? = failed;
            "A run of a stream failed."
        );
    }

    /// Notes if an endpoint has ended under a run that failed, before another one gets it.
    async fn note_end(&self, chain: &Chain, failed: &Failed) {
        let parts = chain.stages.iter();
        let ran: Vec<ended::Ran<'_>> = parts
            .map(|part| ended::Ran {
                id: &part.id,
                addr: part.addr,
            })
            .collect();
        ended::note(self.gateway, self.admitted, &ran, failed).await;
    }

    /// The next run, if a chain can take it.
    fn choose(&mut self, engine: &Engine) -> Option<Planned> {
        let gateway = self.gateway;
        let chains = gateway.chains(&self.admitted.service.name, engine);
        let now = gateway.now();
        let want = self.want(engine);
        let loads = gateway.loads.borrow();
        let without_permit = gateway.without_permit(&self.admitted.service.name);
        let permitted =
            |chain: &Chain| !chain.stages.iter().any(|p| without_permit.contains(&p.id));
        let untried = |chain: &Chain| !self.tried.contains(&chain.key) && permitted(chain);
        let with_room = |chain: &Chain| untried(chain) && !loads.is_full(chain, now);
        let draw = rand::rng().random();
        let chosen = choice::choose(&chains, &loads, &want, now, draw, with_room)
            .or_else(|| choice::choose(&chains, &loads, &want, now, draw, untried));
        let Some(Choice { index, estimate }) = chosen else {
            if !chains.is_empty() && !without_permit.is_empty() {
                self.tries.not_sent(Refusal::AtLimit);
            }
            return None;
        };
        if estimate.memory_fill > MOST_FILL {
            let short = Refusal::NoEndpoint("memory is short everywhere");
            self.tries.not_sent(short);
            return None;
        }
        Some(Planned {
            chain: chains[index].clone(),
            want,
            expected_first: Duration::from_secs_f64(estimate.first_event_ms.max(0.0) / 1000.0),
            expected_fill: estimate.memory_fill,
        })
    }

    /// What the next run needs.
    fn want(&self, engine: &Engine) -> RequestDemand {
        let RequestMetadata {
            tokens,
            expected_answer_tokens,
            ..
        } = self.admitted.incoming;
        let prompt_tokens = tokens.map_or(engine.typical_prompt_tokens, |(prompt, _)| {
            f64::from(prompt)
        });
        let most = tokens.map_or(f64::INFINITY, |(_, most)| f64::from(most));
        let route = &self.admitted.route;
        let on_time = match self.last_event_at {
            Some(at) => at + route.gap_target,
            None => self.admitted.at + route.latency_target,
        };
        let left = on_time.saturating_duration_since(Instant::now());
        RequestDemand {
            prompt_tokens,
            answer_tokens: expected_answer_tokens
                .map_or(engine.typical_answer_tokens, f64::from)
                .min(most),
            first_event_target_ms: ms(left.max(LEAST_LEFT)),
            max_gap_ms: ms(route.gap_target),
            tokens_per_event: engine.tokens_per_event,
        }
    }

    /// What is waited for in the run that begins now.
    fn waited_for(&self, planned: &Planned) -> RunTiming {
        let route = &self.admitted.route;
        RunTiming {
            started: false,
            may_retry: self.admitted.may_go_on(&self.tries),
            first_event_target: route.latency_target,
            max_gap: route.gap_target,
            expected_first: planned.expected_first,
            waited_before: self.last_event_at.unwrap_or(self.admitted.at).elapsed(),
        }
    }

    async fn run_on(
        &mut self,
        planned: &Planned,
        out: &mut Responder<'_>,
    ) -> Result<RunEnd, Ended> {
        let gateway = self.gateway;
        let chain = &planned.chain;
        let on = OnChain::new(gateway, chain, &planned.want);
        let hops: Vec<(SocketAddr, LayerRange)> =
            chain.stages.iter().map(|p| (p.addr, p.layers)).collect();
        let parts: Vec<&Rc<str>> = chain.stages.iter().map(|p| &p.id).collect();
        let target = Target {
            id: &chain.first_stage().id,
            name: &chain.first_stage().name,
            addr: chain.first_stage().addr,
            chain: &hops,
            parts: &parts,
            after_event: self.events.last(),
            leaves: Cell::new(false),
        };
        let mut watch = Watch {
            gateway,
            chain,
            run: self.waited_for(planned),
        };
        let sent_at = Instant::now();
        let sent = tokio::select! {
            biased;
            sent = send::send(gateway, self.admitted, &target, watch.run.timeout()) => sent,
            given_up = watch.until_given_up(sent_at) => Err(target.given_up(given_up.why)),
        };
        let begun = match sent {
            Ok(begun) => begun,
            Err(failed) => {
                if matches!(failed, Failed::MayHaveRun(_) | Failed::BrokeOff(_)) {
                    probe::after_break(gateway, chain).await;
                }
                return Ok(RunEnd::Failed(failed));
            }
        };
        if begun.head.status.is_server_error() {
            let now = gateway.now();
            gateway.directory.borrow_mut().record_error(target.id, now);
            if self.admitted.may_go_on(&self.tries) {
                let why = format!("{} of its own", begun.head.status.as_u16());
                return Ok(RunEnd::Failed(Failed::MayHaveRun(why)));
            }
        }
        if !success(begun.head.status) {
            return self.pass_failure(begun, out).await;
        }
        let end = self.relay(&mut watch, &on, begun, sent_at, out).await?;
        if let RunEnd::Complete(_) = end {
            gateway.survived(self.admitted.fingerprint());
            let mut directory = gateway.directory.borrow_mut();
            chain
                .stages
                .iter()
                .for_each(|p| directory.record_success(&p.id));
        }
        Ok(end)
    }

    /// An answer that is not a stream: passed on if nothing was yet.
    async fn pass_failure(
        &mut self,
        mut begun: Begun,
        out: &mut Responder<'_>,
    ) -> Result<RunEnd, Ended> {
        let status = begun.head.status;
        let body = match begun.connection.read_body(MOST_FAILURE).await {
            Ok(body) => body,
            Err(e) => return Ok(RunEnd::Failed(Failed::MayHaveRun(e.to_string()))),
        };
        if out.started() {
            let why = format!("{} instead of the rest", status.as_u16());
            return Ok(RunEnd::Failed(Failed::MayHaveRun(why)));
        }
        let mut headers = std::mem::take(&mut begun.head.headers);
        self.gateway.platform.dialect.strip_answer(&mut headers);
        out.send_complete(status, headers, body).await?;
        Ok(RunEnd::Complete(status))
    }

    async fn relay(
        &mut self,
        watch: &mut Watch<'_>,
        on: &OnChain<'_>,
        mut begun: Begun,
        sent_at: Instant,
        out: &mut Responder<'_>,
    ) -> Result<RunEnd, Ended> {
        let status = begun.head.status;
        let mut since = sent_at;
        loop {
            let piece = tokio::select! {
                biased;
                piece = begun.connection.read_chunk() => piece,
                given_up = watch.until_given_up(since) => {
                    // What has ended sends nothing more, and its caller may as well know.
                    if out.started() && !given_up.over && !self.may_go_on_elsewhere() {
                        watch.run.may_retry = false;
                        continue;
                    }
                    return Ok(given_up_on(given_up.why));
                }
            };
            let piece = match piece {
                Ok(Some(piece)) => piece,
                Ok(None) if self.events.at_end_of_event() && out.started() => break,
                Ok(None) => return Ok(broke_off("it ended inside an event")),
                Err(e) => {
                    probe::after_break(self.gateway, watch.chain).await;
                    return Ok(broke_off(&e.to_string()));
                }
            };
            match self.events.take(piece) {
                Taken::Nothing => continue,
                Taken::Gap => return Ok(given_up_on("events are missing")),
                Taken::Events(events) => self.pass_on(&mut begun, events, out).await?,
            }
            on.read();
            watch.run.started = true;
            since = Instant::now();
            self.last_event_at = Some(since);
            let now = self.gateway.now();
            self.gateway.prober.event(watch.chain, now);
        }
        out.finish().await?;
        if begun.connection.reusable() {
            let addr = watch.chain.first_stage().addr;
            self.gateway
                .keep(addr, begun.connection, &self.admitted.service);
        }
        Ok(RunEnd::Complete(status))
    }

    /// Whether another chain has room for the rest of the stream now. One that is as good as full may
    /// refuse it, and an answer that was cut for that is worse than one that pauses.
    fn may_go_on_elsewhere(&mut self) -> bool {
        if self.admitted.held(self.gateway).is_some() {
            return false;
        }
        let Some(engine) = self.admitted.service.engine.clone() else {
            return false;
        };
        let name = &self.admitted.service.name;
        let Some(planned) = self.choose(&engine) else {
            return false;
        };
        let now = self.gateway.now();
        let full = self.gateway.loads.borrow().is_full(&planned.chain, now);
        let room = planned.expected_fill <= 1.0 && !full;
        room && self.gateway.may_repeat(name)
    }

    async fn pass_on(
        &mut self,
        begun: &mut Begun,
        events: Bytes,
        out: &mut Responder<'_>,
    ) -> Result<(), Ended> {
        if !out.started() {
            let mut headers = std::mem::take(&mut begun.head.headers);
            self.gateway.platform.dialect.strip_answer(&mut headers);
            out.start_stream(begun.head.status, headers)?;
        }
        self.gateway.metrics.relayed.inc_by(events.len() as u64);
        out.send_chunk(events).await?;
        self.admitted.trail.events();
        Ok(())
    }
}

fn given_up_on(why: &str) -> RunEnd {
    RunEnd::Failed(Failed::MayHaveRun(why.to_owned()))
}

fn broke_off(why: &str) -> RunEnd {
    RunEnd::Failed(Failed::BrokeOff(why.to_owned()))
}

fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
