//! Terminations of which a quarantined part of prompts is known to be the cause.
//!
//! Whatever runs beside a request with such a part breaks off with it, and may do so several times. What the part
//! explains counts less against others. It still counts for something, because the part itself may have been quarantined
//! by coincidence, as a companion of the actual cause; that one goes on terminating endpoints without it.

use super::record::CountedTermination;

/// What a termination counts for.
const UNEXPLAINED_WEIGHT: Weight = Weight(2);
const EXPLAINED_WEIGHT: Weight = Weight(1);

/// The evidence against a suspect, in halves of an unexplained termination.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Weight(usize);

impl Weight {
    /// The weight of a number of unexplained terminations.
    pub(super) fn of_unexplained(terminations: usize) -> Self {
        Self(UNEXPLAINED_WEIGHT.0 * terminations)
    }
}

/// The kind of a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SuspectKind {
    /// A whole request.
    Request,
    /// A part of prompts, which different requests share.
    PromptPart,
}

/// The terminations that were observed under one quarantined part of prompts.
pub(super) type Explanation<'a> = &'a [CountedTermination];

/// Weighs terminations against a suspect of a kind, beside `explanations` of other suspects.
///
/// Of two parts the one with fewer terminations is explained by the other. With the same number both or none may be the
/// cause. A request is explained by a part with as many.
pub(super) fn weigh(
    kind: SuspectKind,
    terminations: &[CountedTermination],
    explanations: &[Explanation<'_>],
) -> Weight {
    let min_terminations = match kind {
        SuspectKind::Request => terminations.len(),
        SuspectKind::PromptPart => terminations.len() + 1,
    };
    let stronger = explanations.iter().filter(|e| e.len() >= min_terminations);
    let explained: Vec<&CountedTermination> = stronger.copied().flatten().collect();
    let weight = |t: &CountedTermination| match explained.iter().any(|e| e.endpoint == t.endpoint) {
        true => EXPLAINED_WEIGHT.0,
        false => UNEXPLAINED_WEIGHT.0,
    };
    Weight(terminations.iter().map(weight).sum())
}
