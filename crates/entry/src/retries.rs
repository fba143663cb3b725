//! The owners' budgets of retries on this host.

use std::{cell::RefCell, time::Duration};

use dragonflyrill_catalogue::WorkspaceName;
use dragonflyrill_routing::{RetryBudget, budget::RetryBudgetConfig};
use rustc_hash::FxHashMap;

/// One budget for each owner, so that no owner's retries are paid by another.
///
/// Bounded by the workspaces of the catalogue: only admitted callers get here.
#[derive(Debug, Default)]
pub struct Retries {
    budgets: RefCell<FxHashMap<WorkspaceName, RetryBudget>>,
}

impl Retries {
    /// Notes a first try of `owner`.
    pub fn request(&self, owner: &WorkspaceName, now: Duration) {
        self.with(owner, now, |budget| budget.record_first_attempt(now));
    }

    /// Takes one retry of `owner` from its budget, if there is one left.
    pub fn try_retry(&self, owner: &WorkspaceName, now: Duration) -> bool {
        self.with(owner, now, |budget| budget.try_retry(now))
    }

    fn with<T>(
        &self,
        owner: &WorkspaceName,
        now: Duration,
        f: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.borrow_mut();
        if let Some(budget) = budgets.get_mut(owner) {
            return f(budget);
        }
        let fresh = RetryBudget::new(now, RetryBudgetConfig::default());
        f(budgets.entry(owner.clone()).or_insert(fresh))
    }
}
