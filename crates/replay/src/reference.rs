//! The expected answers.
//!
//! The engine stand-ins run a deterministic model and the service stand-ins echo their call, so an
//! answer depends on every step that produced it. Only this module depends on how the stand-ins
//! answer.

use dragonflyrill_standins::reference;
use serde::Deserialize;

use crate::{
    prompt,
    trace::{
        Arrival, Header,
        checked::{Call, Generation},
    },
};

/// The texts of all tokens of the expected answer to `generation`.
pub fn expected_tokens(header: &Header, arrival: &Arrival, generation: &Generation) -> Vec<String> {
    let text = prompt::text(arrival, generation.prompt_tokens);
    let prompt = reference::tokenize(&text);
    let count = generation.max_tokens as usize;
    let model = generation.model.as_str();
    reference::expected_tokens(model, header.layers, &prompt, count)
        .into_iter()
        .map(reference::detokenize)
        .collect()
}

/// Splits the text of an answer into the texts of its tokens.
///
/// Each token starts with a space and has no other. A text that does not start with a space is
/// returned as one token.
pub fn split_tokens(text: &str) -> Vec<String> {
    let starts: Vec<usize> = text.match_indices(' ').map(|(i, _)| i).collect();
    if starts.first() != Some(&0) && !text.is_empty() {
        return vec![text.to_owned()];
    }
    let ends = starts.iter().skip(1).copied().chain([text.len()]);
    starts
        .iter()
        .zip(ends)
        .map(|(start, end)| text[*start..end].to_owned())
        .collect()
}

/// The answer of a service: the call that it ran.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Echo {
    /// The service.
    pub service: String,
    /// The HTTP method.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// The body as text.
    pub body: String,
}

/// The expected answer to `call`.
pub fn expected_echo(call: &Call) -> Echo {
    let path = call.path.split('?').next().unwrap_or_default();
    Echo {
        service: call.service.to_string(),
        method: call.method.as_str().to_owned(),
        path: path.to_owned(),
        body: call
            .body
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
    }
}
