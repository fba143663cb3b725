//! The account of the connections to a listener, and which one is closed when there are too many.

use std::{cmp::Reverse, time::Duration};

/// How long a connection is kept in any case before its caller sends anything, or gets on with a request.
const GRACE_TIME: Duration = Duration::from_secs(1);
/// The number of connections that may be closing at the same time beyond the limit.
const MAX_CLOSING: usize = 32;

/// Identifies a connection, until it is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(usize);

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// It waits for its first request.
    New,
    /// It waits for another request.
    Idle,
    /// A request is being received.
    Receiving,
    /// A request is being answered.
    Answering,
    /// An answer is being sent, of which the caller last took something when this was recorded.
    Sending,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    activity: Activity,
    /// Since when it does this.
    since: Duration,
    /// Whether it is to be closed.
    closing: bool,
}

/// The answer to a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is accepted.
    Accepted(ConnectionId),
    /// It is accepted, and the second one is to be closed.
    InPlaceOf(ConnectionId, ConnectionId),
    /// It is refused: all others are in use.
    Refused,
}

/// The connections to a listener.
#[derive(Debug, Default)]
pub struct Connections {
    /// By the number of [`ConnectionId`].
    entries: Vec<Option<Entry>>,
    /// The numbers without a connection.
    unused: Vec<usize>,
    closing: usize,
}

impl Connections {
    /// The number of connections, with those that are to be closed.
    pub fn len(&self) -> usize {
        self.entries.len() - self.unused.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Decides on a new connection. At most `max` are kept, and a few more until those that they replace are closed.
    pub fn connect(&mut self, max: usize, now: Duration) -> Admission {
        let replaced = match self.len() - self.closing < max {
            true => None,
            false => match self.replaceable(now) {
                Some(id) if self.closing < MAX_CLOSING => Some(id),
                _ => return Admission::Refused,
            },
        };
        let entry = Entry {
            activity: Activity::New,
            since: now,
            closing: false,
        };
        let id = self.insert(entry);
        let Some(replaced) = replaced else {
            return Admission::Accepted(id);
        };
        self.close(replaced);
        Admission::InPlaceOf(id, replaced)
    }

    /// Records what a connection does from now on.
    pub fn record(&mut self, id: ConnectionId, activity: Activity, now: Duration) {
        if let Some(entry) = &mut self.entries[id.0] {
            entry.activity = activity;
            entry.since = now;
        }
    }

    /// Removes a connection that was closed.
    pub fn remove(&mut self, id: ConnectionId) {
        if let Some(entry) = self.entries[id.0].take() {
            self.closing -= usize::from(entry.closing);
            self.unused.push(id.0);
        }
    }

    fn insert(&mut self, entry: Entry) -> ConnectionId {
        let number = self.unused.pop().unwrap_or_else(|| {
            self.entries.push(None);
            self.entries.len() - 1
        });
        self.entries[number] = Some(entry);
        ConnectionId(number)
    }

    fn close(&mut self, id: ConnectionId) {
        if let Some(entry) = &mut self.entries[id.0] {
            entry.closing = true;
            self.closing += 1;
        }
    }

    /// The connection whose end costs its caller least, of those that cost the same the one that has done the same for
    /// longest: one that has sent nothing for a while, else one that waits for another request, else one whose caller does
    /// not get on with its request or does not read its answer, else one that has just begun.
    fn replaceable(&self, now: Duration) -> Option<ConnectionId> {
        let entries = self.entries.iter().enumerate();
        let open = entries.filter_map(|(n, e)| Some((n, e.as_ref().filter(|e| !e.closing)?)));
        let ranked = open.filter_map(|(number, e)| {
            let age = now.saturating_sub(e.since);
            Some((cost(e.activity, age)?, Reverse(age), number))
        });
        ranked.min().map(|(_, _, number)| ConnectionId(number))
    }
}

/// What it costs a caller that its connection is closed; `None` if it must not be.
fn cost(activity: Activity, age: Duration) -> Option<u8> {
    let within_grace = age < GRACE_TIME;
    match activity {
        Activity::New if !within_grace => Some(0),
        Activity::Idle => Some(1),
        Activity::Receiving | Activity::Sending if !within_grace => Some(2),
        Activity::New => Some(3),
        Activity::Receiving => Some(4),
        Activity::Answering | Activity::Sending => None,
    }
}
