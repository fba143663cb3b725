//! The steps of the search.

use super::{HOSTS, World};
use crate::fleet::host_id;

#[derive(Debug, Clone, Copy)]
pub(crate) enum Step {
    Commit,
    RollBack,
    Cut(usize),
    CutPlatform(usize),
    Restart(usize),
    Deliver(usize),
    Lose(usize),
    Duplicate(usize),
    Answer(usize),
    Round,
    /// A round in which all messages are delivered, except as specified.
    FullRound(Delivery),
    HealCut(usize),
}

/// How the messages of a full round are delivered.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Delivery {
    All,
    /// In reverse order, and each twice.
    DuplicatedReversed,
    /// Messages from and to this host are lost.
    Losing(usize),
    /// Every second message is lost, starting with the first (0) or the second (1).
    LosingHalf(usize),
    /// Messages to this host arrive after those of the next round.
    Delaying(usize),
    /// Answers of the platform arrive after the next round.
    DelayingAnswers,
}

impl World {
    pub(crate) fn steps(&self) -> Vec<Step> {
        let f = &self.faults;
        let mut steps = Vec::new();
        let mut when = |possible: bool, step| {
            if possible {
                steps.push(step);
            }
        };
        when(f.commits > 0, Step::Commit);
        when(
            f.roll_backs > 0 && self.store.changes.len() > 1,
            Step::RollBack,
        );
        if self.full_rounds {
            return self.full_round_steps();
        }
        when(f.rounds > 0, Step::Round);
        for n in 0..HOSTS {
            when(f.cuts > 0 && !self.cut.contains(&n), Step::Cut(n));
            let platform = !self.platform_cut.contains(&n);
            when(f.cuts > 0 && platform, Step::CutPlatform(n));
            when(f.restarts > 0, Step::Restart(n));
        }
        for i in 0..self.net.len() {
            when(true, Step::Deliver(i));
            when(f.losses > 0, Step::Lose(i));
            when(f.duplicates > 0, Step::Duplicate(i));
        }
        for i in 0..self.polls.len() {
            when(true, Step::Answer(i));
        }
        steps
    }

    fn full_round_steps(&self) -> Vec<Step> {
        let f = &self.faults;
        let mut steps = vec![Step::FullRound(Delivery::All)];
        if f.commits > 0 {
            steps.push(Step::Commit);
        }
        if f.roll_backs > 0 {
            steps.push(Step::RollBack);
        }
        if f.losses > 0 {
            let hosts = (0..HOSTS).flat_map(|n| [Delivery::Losing(n), Delivery::Delaying(n)]);
            let halves = [0, 1].map(Delivery::LosingHalf);
            let others = [Delivery::DuplicatedReversed, Delivery::DelayingAnswers];
            let all = hosts.chain(halves).chain(others);
            steps.extend(all.map(Step::FullRound));
        }
        for n in 0..HOSTS {
            if self.cut.contains(&n) {
                steps.push(Step::HealCut(n));
            } else if f.cuts > 0 {
                steps.push(Step::Cut(n));
            }
            if f.cuts > 0 && !self.platform_cut.contains(&n) {
                steps.push(Step::CutPlatform(n));
            }
            if f.restarts > 0 {
                steps.push(Step::Restart(n));
            }
        }
        steps
    }

    pub(super) fn run_full_round(&mut self, delivery: Delivery) {
        let delayed = std::mem::take(&mut self.delayed);
        self.round();
        if matches!(delivery, Delivery::DelayingAnswers) {
            self.delayed_polls.append(&mut self.polls);
        } else {
            let polls = std::mem::take(&mut self.delayed_polls);
            self.polls.extend(polls);
        }
        for pass in 0..12 {
            let polls = std::mem::take(&mut self.polls);
            for (n, _, answer) in polls {
                self.answer(n, answer);
            }
            let mut net = std::mem::take(&mut self.net);
            if net.is_empty() && pass > 0 {
                break;
            }
            if matches!(delivery, Delivery::DuplicatedReversed) {
                net.extend(net.clone());
                net.reverse();
            }
            for (i, sent) in net.into_iter().enumerate() {
                let from = (0..HOSTS).find(|n| host_id(*n) == sent.from.id);
                match delivery {
                    Delivery::Losing(n) if sent.to == n || from == Some(n) => {}
                    Delivery::LosingHalf(odd) if i % 2 == odd => {}
                    Delivery::Delaying(n) if sent.to == n => self.delayed.push(sent),
                    _ => self.deliver(sent),
                }
            }
        }
        for sent in delayed {
            self.deliver(sent);
        }
    }

    pub(crate) fn after(&self, step: Step) -> Self {
        let mut world = self.clone();
        world.depth += 1;
        world.history.push(step);
        let f = &mut world.faults;
        match step {
            Step::Commit => f.commits -= 1,
            Step::RollBack => f.roll_backs -= 1,
            Step::Cut(_) | Step::CutPlatform(_) => f.cuts -= 1,
            Step::Restart(_) => f.restarts -= 1,
            Step::Lose(_) => f.losses -= 1,
            Step::Duplicate(_) => f.duplicates -= 1,
            Step::Round => f.rounds -= 1,
            Step::FullRound(Delivery::All) => {}
            Step::FullRound(_) => f.losses -= 1,
            Step::Deliver(_) | Step::Answer(_) | Step::HealCut(_) => {}
        }
        world.perform(step);
        world.update_fingerprint();
        world
    }
}
