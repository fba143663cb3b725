//! The tokens of a streamed answer, over all attempts of one caller.

use std::time::Duration;

use actix_rt::time::Instant;

/// The tokens received so far, and the errors in the order or content of the received events.
///
/// Invariant: `tokens` holds the tokens `0..tokens.len()`, each as it was first received.
#[derive(Debug)]
pub struct ReceivedTokens {
    origin: Instant,
    tokens: Vec<String>,
    first_token_at: Option<Duration>,
    last_token_at: Option<Duration>,
    inter_token_gaps: Vec<Duration>,
    protocol_errors: Vec<String>,
    /// The index of the next token expected on the current connection.
    next_index: usize,
}

impl ReceivedTokens {
    /// An empty state. Times are relative to `origin`.
    pub fn new(origin: Instant) -> Self {
        Self {
            origin,
            tokens: Vec::new(),
            first_token_at: None,
            last_token_at: None,
            inter_token_gaps: Vec::new(),
            protocol_errors: Vec::new(),
            next_index: 0,
        }
    }

    /// Starts a new connection, whose first token must have the index `next_index`.
    pub fn start_connection(&mut self, next_index: usize) {
        self.next_index = next_index;
    }

    /// The number of tokens received.
    pub fn len(&self) -> usize {
        self.tokens.len()
    }

    /// Whether no token was received.
    pub fn is_empty(&self) -> bool {
        self.tokens.is_empty()
    }

    /// Adds the token `index`. Within a connection indices must be consecutive, and a token that an
    /// earlier connection delivered must have the same text; otherwise a protocol error is added.
    pub fn add_token(&mut self, index: usize, text: &str) {
        if index != self.next_index {
            let expected = self.next_index;
            self.add_protocol_error(format!("token {index} came where {expected} was due"));
        }
        self.next_index = index + 1;
        match self.tokens.get(index) {
            Some(earlier) if earlier != text => {
                self.add_protocol_error(format!("token {index} was repeated with a different text"))
            }
            Some(_) => {}
            None if index == self.tokens.len() => self.append(text),
            None => {}
        }
    }

    fn append(&mut self, text: &str) {
        let now = self.origin.elapsed();
        self.tokens.push(text.to_owned());
        self.first_token_at.get_or_insert(now);
        if let Some(last) = self.last_token_at.replace(now) {
            self.inter_token_gaps.push(now.saturating_sub(last));
        }
    }

    /// Records a protocol error.
    pub fn add_protocol_error(&mut self, error: String) {
        /// The first errors of a request suffice to judge and report it.
        const MAX_PROTOCOL_ERRORS: usize = 8;
        if self.protocol_errors.len() < MAX_PROTOCOL_ERRORS {
            self.protocol_errors.push(error);
        }
    }

    /// When the first token was received.
    pub fn first_token_at(&self) -> Option<Duration> {
        self.first_token_at
    }

    /// The tokens received so far.
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Removes and returns the times between consecutive tokens.
    pub fn take_inter_token_gaps(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.inter_token_gaps)
    }

    /// Removes and returns the protocol errors.
    pub fn take_protocol_errors(&mut self) -> Vec<String> {
        std::mem::take(&mut self.protocol_errors)
    }
}
