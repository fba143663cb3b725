//! The work of a run for the workspace of its caller.

use std::rc::Rc;

use dragonflyrill_fleet::choice::RequestDemand;

use super::AdmittedRequest;
use crate::gateway::Gateway;

/// Counts the work of a run for a workspace until it is dropped.
pub(super) struct WorkspaceWorkGuard<'a> {
    gateway: &'a Gateway,
    workspace: &'a Rc<str>,
    tokens: f64,
}

impl Drop for WorkspaceWorkGuard<'_> {
    fn drop(&mut self) {
        let mut usage = self.gateway.usage.borrow_mut();
        usage.end(self.workspace, self.tokens);
    }
}

impl AdmittedRequest {
    /// Counts a run that is dispatched for the workspace of its caller; `None` if the caller has no workspace.
    pub(super) fn count_work<'a>(
        &'a self,
        gateway: &'a Gateway,
        demand: &RequestDemand,
    ) -> Option<WorkspaceWorkGuard<'a>> {
        let workspace = self.workspace.as_ref()?;
        let tokens = demand.prompt_tokens + demand.answer_tokens;
        gateway.usage.borrow_mut().begin(workspace, tokens);
        Some(WorkspaceWorkGuard {
            gateway,
            workspace,
            tokens,
        })
    }
}
