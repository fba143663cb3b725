//! A run of a stream on one chain: its request, and the events of its answer.

use std::{net::SocketAddr, rc::Rc};

use actix_http::header::HeaderMap;
use bytes::Bytes;
use dragonflyrill_clock::awake;
use dragonflyrill_fleet::{adaptive_timeout::RunTiming, chains::Chain, layers::LayerRange};
use futures_util::future::{FutureExt, LocalBoxFuture};
use http::StatusCode;

use super::plan::PlannedRun;
use crate::{
    forward::{
        AdmittedRequest, RunProgress,
        chain_load::ChainLoadGuard,
        events::{EventBatch, EventSplitter},
        is_success,
        run_monitor::RunMonitor,
        send::{self, Answer, Deadlines, DispatchError, DispatchState, Target},
        workspace_work::WorkspaceWorkGuard,
    },
    gateway::Gateway,
};

/// The maximum size of the body of an answer that is not a success.
const MAX_ERROR_ANSWER_BYTES: usize = 256 * 1024;

/// A run that was dispatched. Dropping it cancels it.
pub(super) struct Run<'a> {
    pub(super) exchange: Exchange<'a>,
    pub(super) monitor: RunMonitor<'a>,
    pub(super) chain: Rc<Chain>,
    /// How far its answer has got.
    pub(super) progress: RunProgress,
    /// Whether it is waited for although it may be lost, as it had no replacement.
    pub(super) waited_for: bool,
    /// Whether it was recorded that it may be lost with an endpoint.
    pub(super) terminations_suspected: bool,
    /// The estimated memory fill of the fullest stage when it was planned.
    pub(super) memory_fill: f64,
    pub(super) load: ChainLoadGuard<'a>,
    _work: Option<WorkspaceWorkGuard<'a>>,
}

impl<'a> Run<'a> {
    /// Dispatches a request to the chain of `planned`; the answer is to continue after the event `after_event`.
    pub(super) fn start(
        gateway: &'a Rc<Gateway>,
        admitted: &'a AdmittedRequest,
        planned: PlannedRun,
        timing: RunTiming,
        after_event: Option<u64>,
    ) -> Self {
        let PlannedRun {
            chain,
            demand,
            estimate,
        } = planned;
        let dispatch = Rc::new(DispatchState::default());
        let deadlines = Deadlines {
            connection: awake::Instant::now() + timing.timeout(),
            // The monitor decides how long to wait for the answer.
            answer: admitted.due,
        };
        let send = send_to_chain(
            gateway,
            admitted,
            chain.clone(),
            after_event,
            dispatch.clone(),
            deadlines,
        );
        Self {
            exchange: Exchange {
                phase: Phase::Sending(send.boxed_local()),
                events: EventSplitter::after(after_event),
            },
            monitor: RunMonitor::new(gateway, chain.clone(), dispatch, timing),
            load: ChainLoadGuard::new(gateway, chain.clone(), &demand),
            _work: admitted.count_work(gateway, &demand),
            chain,
            progress: RunProgress::Beginning,
            waited_for: false,
            terminations_suspected: false,
            memory_fill: estimate.memory_fill,
        }
    }

    /// Whether anything of the request was sent.
    pub(super) fn sent(&self) -> bool {
        self.monitor.dispatch.sending.get()
    }

    /// The error of the run if it is cancelled now.
    pub(super) fn cancelled(&self, why: &str) -> DispatchError {
        self.monitor.dispatch.cancelled(why)
    }
}

async fn send_to_chain(
    gateway: &Rc<Gateway>,
    admitted: &AdmittedRequest,
    chain: Rc<Chain>,
    after_event: Option<u64>,
    dispatch: Rc<DispatchState>,
    deadlines: Deadlines,
) -> Result<Answer, DispatchError> {
    let hops: Vec<(SocketAddr, LayerRange)> =
        chain.stages.iter().map(|p| (p.addr, p.layers)).collect();
    let endpoint_ids: Vec<&Rc<str>> = chain.stages.iter().map(|p| &p.id).collect();
    let first = chain.first_stage();
    let target = Target {
        id: &first.id,
        name: &first.name,
        addr: first.addr,
        chain: &hops,
        endpoint_ids: &endpoint_ids,
        after_event,
        state: &dispatch,
    };
    send::send(gateway, admitted, &target, deadlines).await
}

/// The request of a run and its answer.
pub(super) struct Exchange<'a> {
    phase: Phase<'a>,
    events: EventSplitter,
}

enum Phase<'a> {
    Sending(LocalBoxFuture<'a, Result<Answer, DispatchError>>),
    Answering(Box<Answer>),
    ReadingError(LocalBoxFuture<'a, Result<ErrorAnswer, DispatchError>>),
    Ended,
}

/// A complete answer that is not a success.
pub(super) struct ErrorAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// What a run yields next.
pub(super) enum RunOutput {
    /// Complete events that continue the answer.
    Events(Bytes),
    /// The endpoint answered with a status that is not a success. Its body is read by
    /// [`Exchange::read_error_answer`].
    NoSuccess(StatusCode),
    /// The complete answer with such a status.
    ErrorAnswer(Box<ErrorAnswer>),
    /// The answer has ended after a complete event, or before the first one.
    Complete,
    /// The run failed.
    Failed(DispatchError),
}

impl Exchange<'_> {
    /// Waits for what the run yields next. Cancel safe. Pending once the run has ended.
    pub(super) async fn next(&mut self) -> RunOutput {
        loop {
            match &mut self.phase {
                Phase::Sending(send) => match send.await {
                    Ok(answer) => {
                        let status = answer.head.status;
                        self.phase = Phase::Answering(Box::new(answer));
                        if !is_success(status) {
                            return RunOutput::NoSuccess(status);
                        }
                    }
                    Err(error) => return self.fail(error),
                },
                Phase::Answering(answer) => {
                    let piece = match answer.connection.read_chunk().await {
                        Ok(Some(piece)) => piece,
                        Ok(None) if self.events.is_at_event_boundary() => {
                            return RunOutput::Complete;
                        }
                        Ok(None) => return self.fail(ended_inside_event()),
                        Err(e) => return self.fail(DispatchError::BrokeOff(e.to_string())),
                    };
                    match self.events.push(piece) {
                        EventBatch::Empty => {}
                        EventBatch::Events(events) => return RunOutput::Events(events),
                        EventBatch::TooLong => {
                            let why = "an event of the stream is too long".to_owned();
                            return self.fail(DispatchError::BrokeOff(why));
                        }
                        EventBatch::Missing => {
                            let why = "events are missing in the stream".to_owned();
                            return self.fail(DispatchError::MayHaveRun(why));
                        }
                    }
                }
                Phase::ReadingError(read) => match read.await {
                    Ok(answer) => {
                        self.phase = Phase::Ended;
                        return RunOutput::ErrorAnswer(Box::new(answer));
                    }
                    Err(error) => return self.fail(error),
                },
                Phase::Ended => return std::future::pending().await,
            }
        }
    }

    /// Reads the body of an answer that is not a success next.
    pub(super) fn read_error_answer(&mut self) {
        if let Some(answer) = self.take_answer() {
            self.phase = Phase::ReadingError(read_error_answer(answer).boxed_local());
        }
    }

    fn fail(&mut self, error: DispatchError) -> RunOutput {
        self.phase = Phase::Ended;
        RunOutput::Failed(error)
    }

    /// The id of the last event that it yielded, or after which it was to continue.
    pub(super) fn last_event(&self) -> Option<u64> {
        self.events.last()
    }

    /// Takes the status and the headers of its answer.
    pub(super) fn take_head(&mut self) -> Option<(StatusCode, HeaderMap)> {
        match &mut self.phase {
            Phase::Answering(answer) => {
                let headers = std::mem::take(&mut answer.head.headers);
                Some((answer.head.status, headers))
            }
            Phase::Sending(_) | Phase::ReadingError(_) | Phase::Ended => None,
        }
    }

    /// Takes its answer, which ends it.
    pub(super) fn take_answer(&mut self) -> Option<Answer> {
        match std::mem::replace(&mut self.phase, Phase::Ended) {
            Phase::Answering(answer) => Some(*answer),
            Phase::Sending(_) | Phase::ReadingError(_) | Phase::Ended => None,
        }
    }
}

async fn read_error_answer(mut answer: Answer) -> Result<ErrorAnswer, DispatchError> {
    let body = answer.connection.read_body(MAX_ERROR_ANSWER_BYTES).await;
    match body {
        Ok(body) => Ok(ErrorAnswer {
            status: answer.head.status,
            headers: std::mem::take(&mut answer.head.headers),
            body,
        }),
        Err(e) => Err(DispatchError::MayHaveRun(e.to_string())),
    }
}

/// The error of a run whose answer ended regularly, but inside an event or before the first one.
pub(super) fn ended_inside_event() -> DispatchError {
    DispatchError::BrokeOff("the stream ended inside an event".to_owned())
}
