//! What a run counts for on its chain.

use std::cell::Cell;

use dragonflyrill_fleet::{chains::Chain, choice::RequestDemand};

use crate::gateway::Gateway;

/// Counts a request on a chain while it runs there, and its prompt while that is being read.
pub(super) struct OnChain<'a> {
    gateway: &'a Gateway,
    chain: &'a Chain,
    /// Tokens of the prompt that is not read yet; 0 once it is.
    prompt: Cell<f64>,
    /// Tokens of prompt and answer.
    tokens: f64,
}

impl<'a> OnChain<'a> {
    /// The request begins to run there.
    pub(super) fn new(gateway: &'a Gateway, chain: &'a Chain, want: &RequestDemand) -> Self {
        let tokens = want.prompt_tokens + want.answer_tokens;
        let mut loads = gateway.loads.borrow_mut();
        loads.add_request(chain, tokens);
        loads.record_dispatch(gateway.now());
        loads.add_prefill(chain, want.prompt_tokens);
        Self {
            gateway,
            chain,
            prompt: Cell::new(want.prompt_tokens),
            tokens,
        }
    }

    /// Its prompt has been read.
    pub(super) fn read(&self) {
        let prompt = self.prompt.take();
        if prompt > 0.0 {
            let mut loads = self.gateway.loads.borrow_mut();
            loads.remove_prefill(self.chain, prompt);
        }
    }
}

impl Drop for OnChain<'_> {
    fn drop(&mut self) {
        self.read();
        self.gateway
            .loads
            .borrow_mut()
            .remove_request(self.chain, self.tokens);
    }
}
