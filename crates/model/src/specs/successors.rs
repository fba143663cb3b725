//! Collects the steps enabled in a state.

/// The steps enabled in one state, each with the state that it leads to.
pub(crate) struct Successors<'a, P, T> {
    state: &'a T,
    steps: Vec<(P, T)>,
}

impl<'a, P, T: Clone> Successors<'a, P, T> {
    pub(crate) fn of(state: &'a T) -> Self {
        let steps = Vec::new();
        Self { state, steps }
    }

    /// Adds `step`, which applies `change` to a copy of the state.
    pub(crate) fn add(&mut self, step: P, change: impl FnOnce(&mut T)) {
        let mut state = self.state.clone();
        change(&mut state);
        self.steps.push((step, state));
    }

    /// Adds the steps that `add_all` adds, as faults that each use one unit of `budget`. Adds
    /// nothing if the budget is 0.
    pub(crate) fn add_faults(
        &mut self,
        budget: fn(&mut T) -> &mut u8,
        add_all: impl FnOnce(&mut Self),
    ) {
        if *budget(&mut self.state.clone()) == 0 {
            return;
        }
        let before = self.steps.len();
        add_all(self);
        for (_, state) in &mut self.steps[before..] {
            *budget(state) -= 1;
        }
    }

    pub(crate) fn into_steps(self) -> Vec<(P, T)> {
        self.steps
    }
}
