//! What a host knows of one request under which endpoints have ended.

use std::{rc::Rc, time::Duration};

use super::{End, Hold, Span};

/// Starts of endpoints that may end under a request before it is held. Streams that run beside such a
/// request break off with it: one in five of them twice in a row, none three times.
const ENDS: usize = 3;
/// How often a hold doubles at most.
const MOST_DOUBLED: u32 = 8;
/// News of one moment differ by what they were on their way, from each host that passes them on to the
/// next. Later news of the same are new from here on, so that hosts don't tell each other for ever.
const SAME_MOMENT: Duration = Duration::from_secs(1);

/// A moment, counted from [`BEFORE_START`](super::BEFORE_START) before this process started.
pub(super) type Moment = Duration;

/// An end that counts.
#[derive(Debug, Clone)]
pub(super) struct Ended {
    endpoint: Rc<str>,
    at: Moment,
}

impl Ended {
    /// As others are told it now.
    pub(super) fn spelled(&self, now: Moment) -> End {
        End {
            endpoint: self.endpoint.clone(),
            age: now.saturating_sub(self.at),
        }
    }
}

/// A hold that lasts, or did.
#[derive(Debug, Clone, Copy)]
pub(super) struct Held {
    pub(super) times: u32,
    /// By [`Moment`]s.
    pub(super) span: Span,
    /// This host found it, or a process before it did, and keeps it.
    pub(super) own: bool,
}

impl Held {
    /// A hold that is told or found now.
    pub(super) fn placed(hold: Hold, now: Moment, own: bool) -> Self {
        Self {
            times: hold.times,
            span: hold.span(now),
            own,
        }
    }

    /// As others are told it now.
    pub(super) fn spelled(self, now: Moment) -> Hold {
        Hold::of(self.times, self.span, now)
    }
}

/// What is known of one request.
///
/// Invariants: all ends are later than `survived` and than the end of the hold; the hold began after
/// `survived`.
#[derive(Debug, Default)]
pub(super) struct Record {
    pub(super) ends: Vec<Ended>,
    pub(super) survived: Option<Moment>,
    pub(super) held: Option<Held>,
    /// The change with which it became what it is.
    pub(super) changed: u64,
    /// When it was last heard of.
    pub(super) heard: Moment,
}

impl Record {
    /// Ends up to then count no more.
    pub(super) fn settled(&self) -> Option<Moment> {
        self.survived.max(self.held.map(|h| h.span.until))
    }

    /// Takes an end, if it is new and counts.
    pub(super) fn end(&mut self, endpoint: &Rc<str>, at: Moment) -> bool {
        let counts = self.settled().is_none_or(|settled| settled < at);
        let known = self.ends.iter().any(|e| e.endpoint == *endpoint);
        if !counts || known {
            return false;
        }
        self.ends.push(Ended {
            endpoint: endpoint.clone(),
            at,
        });
        true
    }

    /// Begins a hold if enough has ended.
    pub(super) fn hold(&mut self, first: Duration, now: Moment) -> bool {
        let times = self.held.map_or(0, |h| h.times);
        let enough = if times == 0 { ENDS } else { 1 };
        if self.ends.len() < enough {
            return false;
        }
        self.held = Some(Held {
            times: times + 1,
            span: Span {
                since: now,
                until: now + first * 2u32.pow(times.min(MOST_DOUBLED)),
            },
            own: true,
        });
        self.ends.clear();
        true
    }

    /// An endpoint has answered it: what was held against it before says nothing.
    pub(super) fn survive(&mut self, at: Moment) {
        self.survived = self.survived.max(Some(at));
        self.ends.retain(|e| e.at > at);
        self.held = self.held.filter(|h| h.span.since > at);
    }

    /// Takes an answer that is later than the one known.
    pub(super) fn take_survival(&mut self, at: Moment) -> bool {
        let later = self.survived.is_none_or(|own| own + SAME_MOMENT < at);
        if later {
            self.survive(at);
        }
        later
    }

    /// Takes a hold that is further than the one known.
    pub(super) fn take_hold(&mut self, told: Held) -> bool {
        let over = self.survived.is_some_and(|at| told.span.since <= at);
        let further = self.held.is_none_or(|own| {
            let longer = told.span.until > own.span.until + SAME_MOMENT;
            told.times > own.times || (told.times == own.times && longer)
        });
        if over || !further {
            return false;
        }
        let own = self.held.is_some_and(|h| h.own) || told.own;
        self.held = Some(Held { own, ..told });
        self.ends.retain(|e| e.at > told.span.until);
        true
    }

    /// Whether it is held now.
    pub(super) fn is_held(&self, now: Moment) -> bool {
        self.held.is_some_and(|h| h.span.until > now)
    }
}
