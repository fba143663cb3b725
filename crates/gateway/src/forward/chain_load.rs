//! The load of a run on its chain.

use std::{cell::Cell, rc::Rc};

use dragonflyrill_fleet::{chains::Chain, choice::RequestDemand};

use crate::gateway::Gateway;

/// Counts a request in the load of a chain until it is dropped, and its prompt until the prompt is processed.
pub(super) struct ChainLoadGuard<'a> {
    gateway: &'a Gateway,
    chain: Rc<Chain>,
    /// Tokens of the prompt until it is processed, then 0.
    prompt: Cell<f64>,
    /// Tokens of the prompt and of the expected answer.
    tokens: f64,
}

impl<'a> ChainLoadGuard<'a> {
    /// Counts a request that is dispatched to the chain.
    pub(super) fn new(gateway: &'a Gateway, chain: Rc<Chain>, demand: &RequestDemand) -> Self {
        let tokens = demand.prompt_tokens + demand.answer_tokens;
        let mut loads = gateway.loads.borrow_mut();
        loads.add_request(&chain, tokens);
        loads.record_dispatch(gateway.now());
        loads.add_prefill(&chain, demand.prompt_tokens);
        Self {
            gateway,
            chain,
            prompt: Cell::new(demand.prompt_tokens),
            tokens,
        }
    }

    /// Records that the prompt was processed.
    pub(super) fn end_prefill(&self) {
        let prompt = self.prompt.take();
        if prompt > 0.0 {
            let mut loads = self.gateway.loads.borrow_mut();
            loads.remove_prefill(&self.chain, prompt);
        }
    }
}

impl Drop for ChainLoadGuard<'_> {
    fn drop(&mut self) {
        self.end_prefill();
        self.gateway
            .loads
            .borrow_mut()
            .remove_request(&self.chain, self.tokens);
    }
}
