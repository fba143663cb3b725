//! Checks of what callers received.

use super::{Evidence, Violations};
use crate::{
    record::{Answer, CallAnswer, Record, RequestOutcome, RunState},
    reference,
    trace::{Arrival, Header, Work, checked::Call, raw::Check},
};

/// The violations of a check that needs no ledger.
pub fn violations(evidence: Evidence<'_>, check: Check) -> Violations {
    let mut violations = Violations::default();
    for record in &evidence.run_result.records {
        let arrival = &evidence.trace.arrivals[record.arrival];
        let fault = match check {
            Check::AnswersEqual => fault(&evidence.trace.header, arrival, record),
            Check::Refused => refused(record),
            Check::Failed => failed(record),
            Check::Late => late(arrival, record),
            _ => None,
        };
        violations.looked_at += 1;
        let line = fault.map(|fault| format!("{}: {fault}", arrival.id));
        violations.lines.extend(line);
    }
    violations
}

fn refused(record: &Record) -> Option<String> {
    match &record.outcome {
        RequestOutcome::Refused(r) if r.run == RunState::NotRun => Some(r.code.clone()),
        _ => None,
    }
}

fn failed(record: &Record) -> Option<String> {
    match &record.outcome {
        RequestOutcome::Refused(r) if r.run != RunState::NotRun => Some(r.code.clone()),
        RequestOutcome::Lost(reason) => Some(reason.clone()),
        _ => None,
    }
}

fn late(arrival: &Arrival, record: &Record) -> Option<String> {
    let took = record.ended.saturating_sub(record.intended);
    let deadline = arrival.deadline?;
    let answered = matches!(record.outcome, RequestOutcome::Answered(_));
    (answered && took > deadline)
        .then(|| format!("{} ms of {}", took.as_millis(), deadline.as_millis()))
}

/// What is wrong with the answer of `record`, if there is one.
pub(crate) fn fault(header: &Header, arrival: &Arrival, record: &Record) -> Option<String> {
    if let Some(fault) = record.protocol_errors.first() {
        return Some(fault.clone());
    }
    match &arrival.work {
        Work::Generation(generation) => {
            let expected = reference::expected_tokens(header, arrival, generation);
            tokens_fault(record, &expected)
        }
        Work::Call(call) => match &record.outcome {
            RequestOutcome::Answered(Answer::Call(answer)) => call_fault(call, answer),
            RequestOutcome::Answered(Answer::Tokens(_)) => {
                Some("the answer is of another kind".to_owned())
            }
            RequestOutcome::Refused(_) | RequestOutcome::Lost(_) => None,
        },
    }
}

/// What is wrong with the tokens of a generation, answered or not.
fn tokens_fault(record: &Record, expected: &[String]) -> Option<String> {
    let of = expected.len();
    let tokens = match &record.outcome {
        RequestOutcome::Answered(Answer::Tokens(tokens)) if tokens.len() != of => {
            return Some(format!("{} tokens of {of}", tokens.len()));
        }
        RequestOutcome::Answered(Answer::Tokens(tokens)) => tokens,
        RequestOutcome::Answered(Answer::Call(_)) => {
            return Some("the answer is of another kind".to_owned());
        }
        RequestOutcome::Refused(_) | RequestOutcome::Lost(_) => &record.streamed,
    };
    if tokens.len() > of {
        return Some(format!("{} tokens streamed of {of}", tokens.len()));
    }
    let differs = tokens.iter().zip(expected).position(|(a, b)| a != b)?;
    Some(format!("token {differs} differs from the reference"))
}

fn call_fault(call: &Call, answer: &CallAnswer) -> Option<String> {
    let expected = reference::expected_echo(call);
    match serde_json::from_slice::<reference::Echo>(&answer.body) {
        Ok(echo) if echo == expected => None,
        Ok(echo) => Some(format!("the answer is to another call: {echo:?}")),
        Err(e) => Some(format!("the answer is not whole: {e}")),
    }
}
