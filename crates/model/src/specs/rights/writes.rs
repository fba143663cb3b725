//! The steps of transactions on the rows of the table.

use super::{
    Config, HOSTS, Mutation,
    state::{Place, State, Write, WriteKind},
    steps::{Step, Steps},
};

impl Config {
    pub(super) fn write_steps(&self, state: &State, h: usize, next: &mut Steps<'_>) {
        if let Some(write) = state.hosts[h].write {
            self.pending_write_steps(state, h, write, next);
        } else if state.is_running(h) && state.left.writes > 0 {
            for kind in self.possible_writes(state, h) {
                next.add(Step::Send(h, kind), |s| self.send(s, h, kind));
            }
        }
        if let Some(late) = state.hosts[h].late {
            next.add(Step::TransactLate(h), |s| {
                s.hosts[h].late = None;
                if self.applies(s, h, late) {
                    self.apply(s, h, late);
                }
            });
        }
    }

    fn pending_write_steps(&self, state: &State, h: usize, write: Write, next: &mut Steps<'_>) {
        if write.place == Place::ToTable {
            next.add(Step::Transact(h), |s| self.transact(s, h, write));
        }
        if !state.is_running(h) {
            return;
        }
        match write.place {
            Place::ToTable if state.hosts[h].late.is_none() => next.add_faults(
                |s| &mut s.left.lost_answers,
                |next| {
                    next.add(Step::SlowWrite(h), |s| {
                        s.hosts[h].write = Some(write.with_place(Place::InDoubt));
                        s.hosts[h].late = Some(write);
                    });
                },
            ),
            Place::ToTable => {}
            Place::Done | Place::NotDone => {
                next.add(Step::Answer(h), |s| self.answer(s, h, write));
                next.add_faults(
                    |s| &mut s.left.lost_answers,
                    |next| {
                        next.add(Step::LoseAnswer(h), |s| {
                            s.hosts[h].write = Some(write.with_place(Place::InDoubt));
                        });
                    },
                );
            }
            Place::InDoubt => next.add(Step::ReadOwn(h), |s| self.read_own(s, h)),
        }
    }

    /// The kinds of transactions that a host may send.
    fn possible_writes(&self, state: &State, h: usize) -> Vec<WriteKind> {
        let host = &state.hosts[h];
        let owner = state.rows[h].life == Some(host.life);
        let vacant = state.rows[h].life.is_none();
        let mut kinds = Vec::new();
        if owner && state.clock(h) + self.term > host.until {
            kinds.push(WriteKind::Renew);
        }
        if (owner || vacant) && state.pools[h] > 0 {
            kinds.push(WriteKind::Grow);
        }
        let lent = state.rows[h].units > host.units;
        let asked = state.surplus() > 0 || state.left.moves > 0;
        if owner && asked && (host.units > 0 || lent && self.has(Mutation::GiveBackWhileLent)) {
            kinds.push(WriteKind::Shrink);
        }
        kinds.extend(self.takeovers(state, h));
        kinds
    }

    fn takeovers<'a>(&'a self, state: &'a State, h: usize) -> impl Iterator<Item = WriteKind> + 'a {
        (0..HOSTS).filter_map(move |g| {
            let row = state.rows[g];
            let own = g == h && row.life == Some(state.hosts[h].life);
            let expired = state.now >= row.written + self.term + self.margin();
            let expired = expired || self.has(Mutation::TakeOverAtOnce);
            let eligible = row.units > 0 && !own && expired;
            eligible.then_some(WriteKind::TakeOver(g, row.version))
        })
    }

    fn send(&self, state: &mut State, h: usize, kind: WriteKind) {
        let sent = state.clock(h);
        state.left.writes -= 1;
        // The host stops using the unit before the table can allocate it to another host.
        if kind == WriteKind::Shrink {
            state.left.moves -= u8::from(state.allocated_units() <= state.limit);
            state.hosts[h].units = state.hosts[h].units.saturating_sub(1);
        }
        let host = &mut state.hosts[h];
        if kind == WriteKind::Grow && self.has(Mutation::UseBeforeAnswer) {
            host.units += 1;
        }
        host.write = Some(Write {
            kind,
            version: host.version,
            sent,
            place: Place::ToTable,
        });
    }

    fn transact(&self, state: &mut State, h: usize, write: Write) {
        let done = self.applies(state, h, write);
        if done {
            self.apply(state, h, write);
        }
        let place = match done {
            true => Place::Done,
            false => Place::NotDone,
        };
        state.hosts[h].write = Some(write.with_place(place));
    }

    fn applies(&self, state: &State, h: usize, write: Write) -> bool {
        let pool = write.kind != WriteKind::Grow || state.pools[h] > 0;
        let other = match write.kind {
            WriteKind::TakeOver(g, version) => state.rows[g].version == version,
            _ => true,
        };
        let own = state.rows[h].version == write.version;
        // A takeover of the row of the host's own previous incarnation needs no second condition.
        let own = own || matches!(write.kind, WriteKind::TakeOver(g, _) if g == h);
        pool && (own && other || self.has(Mutation::NoVersionCheck))
    }

    fn apply(&self, state: &mut State, h: usize, write: Write) {
        let mut gain = 0;
        match write.kind {
            WriteKind::Renew => {}
            WriteKind::Grow => {
                state.pools[h] -= 1;
                gain = 1;
            }
            WriteKind::Shrink => {
                let vanishes = state.surplus() > 0;
                state.rows[h].units = state.rows[h].units.saturating_sub(1);
                state.pools[h] += u8::from(!vanishes);
            }
            WriteKind::TakeOver(g, _) => {
                let vanishes = state.surplus().min(state.rows[g].units);
                gain = state.rows[g].units - vanishes;
                state.rows[g].units = 0;
                state.rows[g].life = None;
                state.rows[g].version += u8::from(g != h);
            }
        }
        let life = state.hosts[h].life;
        let now = state.now;
        let row = &mut state.rows[h];
        row.units += gain;
        row.version += 1;
        row.life = Some(life);
        row.sent = write.sent;
        row.written = now;
        row.gain = match write.kind {
            WriteKind::Grow if self.has(Mutation::UseBeforeAnswer) => 0,
            _ => gain,
        };
    }

    fn answer(&self, state: &mut State, h: usize, write: Write) {
        state.hosts[h].write = None;
        if write.place == Place::NotDone {
            self.read_own(state, h);
            return;
        }
        let clock = state.clock(h);
        self.apply_last_write(state, h);
        if self.has(Mutation::TermFromAnswer) {
            state.hosts[h].until = clock + self.term;
        }
    }

    /// Applies to the host the effect of the last write to its own row.
    fn apply_last_write(&self, state: &mut State, h: usize) {
        let row = state.rows[h];
        let host = &mut state.hosts[h];
        host.version = row.version;
        host.units += row.gain;
        host.until = row.sent + self.term;
        state.rows[h].gain = 0;
    }

    /// Reads the host's own row, which shows whether the last write took effect or the row has been
    /// taken over.
    fn read_own(&self, state: &mut State, h: usize) {
        state.hosts[h].write = None;
        let row = state.rows[h];
        let host = &mut state.hosts[h];
        if row.life != Some(host.life) {
            host.units = 0;
            host.until = 0;
            host.version = row.version;
        } else if row.version > host.version {
            self.apply_last_write(state, h);
        }
    }
}

impl Write {
    fn with_place(self, place: Place) -> Self {
        Self { place, ..self }
    }
}
