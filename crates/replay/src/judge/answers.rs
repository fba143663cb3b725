//! Checks of the answers that callers received.

use super::{Evidence, Violations};
use crate::{
    record::{Answer, CallAnswer, Record, RequestOutcome, RunState},
    reference,
    trace::{Arrival, Header, Work, checked::Call, raw::Check},
};

/// The violations of `check`, which must be one that needs no ledger.
pub fn violations(evidence: Evidence<'_>, check: Check) -> Violations {
    let mut violations = Violations::default();
    for record in &evidence.run_result.records {
        let arrival = &evidence.trace.arrivals[record.arrival];
        let error = match check {
            Check::AnswersEqual => answer_error(&evidence.trace.header, arrival, record),
            Check::Refused => refused(record),
            Check::Failed => failed(record),
            Check::Late => late(arrival, record),
            _ => None,
        };
        violations.looked_at += 1;
        let line = error.map(|error| format!("{}: {error}", arrival.id));
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
    let latency = record.ended.saturating_sub(record.intended);
    let deadline = arrival.deadline?;
    let answered = matches!(record.outcome, RequestOutcome::Answered(_));
    (answered && latency > deadline)
        .then(|| format!("{} ms of {}", latency.as_millis(), deadline.as_millis()))
}

/// Describes the error in the answer of `record`, if there is an answer and it has an error.
pub(crate) fn answer_error(header: &Header, arrival: &Arrival, record: &Record) -> Option<String> {
    if let Some(error) = record.protocol_errors.first() {
        return Some(error.clone());
    }
    match &arrival.work {
        Work::Generation(generation) => {
            let expected = reference::expected_tokens(header, arrival, generation);
            tokens_error(record, &expected)
        }
        Work::Call(call) => match &record.outcome {
            RequestOutcome::Answered(Answer::Call(answer)) => call_error(call, answer),
            RequestOutcome::Answered(Answer::Tokens(_)) => {
                Some("the answer has the wrong kind".to_owned())
            }
            RequestOutcome::Refused(_) | RequestOutcome::Lost(_) => None,
        },
    }
}

/// Describes the error in the tokens of a generation, if any. For a generation that was not
/// answered these are the tokens that were streamed.
fn tokens_error(record: &Record, expected: &[String]) -> Option<String> {
    let of = expected.len();
    let tokens = match &record.outcome {
        RequestOutcome::Answered(Answer::Tokens(tokens)) if tokens.len() != of => {
            return Some(format!("{} tokens of {of}", tokens.len()));
        }
        RequestOutcome::Answered(Answer::Tokens(tokens)) => tokens,
        RequestOutcome::Answered(Answer::Call(_)) => {
            return Some("the answer has the wrong kind".to_owned());
        }
        RequestOutcome::Refused(_) | RequestOutcome::Lost(_) => &record.streamed,
    };
    if tokens.len() > of {
        return Some(format!("{} tokens streamed of {of}", tokens.len()));
    }
    let first_difference = tokens.iter().zip(expected).position(|(a, b)| a != b)?;
    Some(format!(
        "token {first_difference} differs from the reference"
    ))
}

fn call_error(call: &Call, answer: &CallAnswer) -> Option<String> {
    let expected = reference::expected_echo(call);
    match serde_json::from_slice::<reference::Echo>(&answer.body) {
        Ok(echo) if echo == expected => None,
        Ok(echo) => Some(format!("the answer is to another call: {echo:?}")),
        Err(e) => Some(format!("the answer is not a valid echo: {e}")),
    }
}
