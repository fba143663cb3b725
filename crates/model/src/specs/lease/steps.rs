//! The state of the table, the hosts, the orders in flight and the endpoint, and the steps that
//! change it.

use std::fmt;

use super::{Config, Mutation};
use crate::specs::successors::Successors;

/// The maximum number of orders in flight.
pub(super) const MAX_ORDERS: usize = 3;

/// The maximum number of declarations.
pub(super) const MAX_DECLARATIONS: u8 = 2;

/// A step; a `usize` is the index of the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Operators declare a new value for the endpoint.
    Declare,
    /// A host receives the declared value.
    Learn(usize),
    /// A host sends the table a draw of the next number.
    Draw(usize),
    /// The table applies or refuses the draw.
    TakeDraw(usize),
    /// The answer to the draw arrives.
    Drawn(usize),
    /// A host that lost the answer to its draw reads the row.
    ReadRow(usize),
    /// The holder of the newest number sends or resends its order.
    Send(usize),
    /// The holder issues a different order under the same number.
    Redecide(usize),
    /// An order arrives at the endpoint.
    Obey(Order),
    /// A crashed host restarts.
    Restart(usize),
    /// Fault: a host draws while another host holds the lease.
    Overtake(usize),
    /// Fault: a host whose number was superseded sends its order.
    SendStale(usize),
    /// Fault: the answer to a draw is lost.
    LoseAnswer(usize),
    /// Fault: an order is lost.
    LoseOrder(Order),
    /// Fault: an order is duplicated.
    DoubleOrder(Order),
    /// Fault: a host crashes.
    Crash(usize),
    /// Fault: the endpoint restarts and loses its state.
    RestartEndpoint,
}

/// An order to the endpoint to adopt a value, under a fencing number.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Order {
    pub(super) fence: u8,
    pub(super) value: u8,
    /// The sequence number of the decision; part of the model only, not sent to the endpoint.
    decision: u8,
}

impl fmt::Debug for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "number {}: value {}", self.fence, self.value)
    }
}

/// The row of the lease in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Row {
    holder: usize,
    order: Order,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(super) struct Host {
    up: bool,
    /// The declared value as the host last received it.
    known: u8,
    /// The order that the host may send.
    order: Option<Order>,
    draw: Option<Draw>,
    sent: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Draw {
    /// The fencing number that must be the newest for the draw to succeed.
    after: u8,
    value: u8,
    place: Place,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Place {
    ToTable,
    Done(Order),
    NotDone,
    InDoubt,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub(super) struct Endpoint {
    pub(super) value: u8,
    fence: u8,
    /// The sequence number of the newest decision that took effect.
    decision: u8,
    pub(super) went_back: bool,
}

/// A state of the lease specification.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) declared: u8,
    row: Row,
    decisions: u8,
    pub(super) hosts: [Host; State::HOSTS],
    /// The orders in flight, sorted so that states which differ only in their order are equal.
    orders: [Option<Order>; MAX_ORDERS],
    pub(super) endpoint: Endpoint,
    declarations: u8,
    overtakes: u8,
    stale_orders: u8,
    losses: u8,
    crashes: u8,
    endpoint_restarts: u8,
}

type Steps<'a> = Successors<'a, Step, State>;

impl Config {
    pub(super) fn environment_steps(&self, state: &State, next: &mut Steps<'_>) {
        if state.declarations > 0 {
            next.add(Step::Declare, |s| {
                s.declarations -= 1;
                s.declared += 1;
            });
        }
        if state.endpoint.value > 0 {
            next.add_faults(
                |s| &mut s.endpoint_restarts,
                |next| next.add(Step::RestartEndpoint, |s| s.endpoint = Endpoint::default()),
            );
        }
    }

    pub(super) fn order_steps(&self, state: &State, next: &mut Steps<'_>) {
        for (i, order) in state.orders.iter().enumerate() {
            let Some(order) = *order else { continue };
            next.add(Step::Obey(order), |s| {
                s.remove_order(i);
                self.apply_order(&mut s.endpoint, order);
            });
            next.add_faults(
                |s| &mut s.losses,
                |next| {
                    next.add(Step::LoseOrder(order), |s| s.remove_order(i));
                    if state.has_free_slot() {
                        next.add(Step::DoubleOrder(order), |s| s.insert_order(order));
                    }
                },
            );
        }
    }

    fn apply_order(&self, endpoint: &mut Endpoint, order: Order) {
        if self.checks && order.fence < endpoint.fence && !self.has(Mutation::NoCheck) {
            return;
        }
        endpoint.fence = order.fence.max(endpoint.fence);
        endpoint.went_back |= order.decision < endpoint.decision;
        endpoint.decision = order.decision.max(endpoint.decision);
        endpoint.value = order.value;
    }

    pub(super) fn host_steps(&self, state: &State, h: usize, next: &mut Steps<'_>) {
        let host = &state.hosts[h];
        if !host.up {
            next.add(Step::Restart(h), |s| s.hosts[h].up = true);
            return;
        }
        next.add_faults(
            |s| &mut s.crashes,
            |next| next.add(Step::Crash(h), |s| s.hosts[h] = Host::default()),
        );
        if host.known != state.declared {
            next.add(Step::Learn(h), |s| s.hosts[h].known = s.declared);
        }
        match host.draw {
            Some(draw) => self.pending_draw_steps(h, draw, next),
            None => self.new_draw_steps(state, h, next),
        }
        if let Some(order) = host.order {
            self.send_steps(state, h, order, next);
        }
    }

    fn new_draw_steps(&self, state: &State, h: usize, next: &mut Steps<'_>) {
        let host = &state.hosts[h];
        let wanted = state.row.order.value != host.known;
        let own = state.row.holder == h;
        let wanted = wanted && !(own && self.has(Mutation::NoNewDraw) && host.order.is_some());
        let gone = state.holder_is_gone() && !self.has(Mutation::NoSuccessor);
        let mine = own && host.order.is_some();
        if wanted && mine || gone && host.known > 0 {
            next.add(Step::Draw(h), |s| s.start_draw(h));
        } else if host.known > 0 && !own {
            next.add_faults(
                |s| &mut s.overtakes,
                |next| next.add(Step::Overtake(h), |s| s.start_draw(h)),
            );
        }
    }

    fn pending_draw_steps(&self, h: usize, draw: Draw, next: &mut Steps<'_>) {
        match draw.place {
            Place::ToTable => next.add(Step::TakeDraw(h), |s| {
                let place = self.apply_draw(s, h, draw);
                s.hosts[h].draw = Some(Draw { place, ..draw });
            }),
            Place::InDoubt => next.add(Step::ReadRow(h), |s| {
                s.hosts[h].draw = None;
                if s.row.holder == h {
                    s.hosts[h].set_order(s.row.order);
                }
            }),
            Place::Done(_) | Place::NotDone => {
                next.add(Step::Drawn(h), |s| {
                    s.hosts[h].draw = None;
                    if let Place::Done(order) = draw.place {
                        s.hosts[h].set_order(order);
                    }
                });
                next.add_faults(
                    |s| &mut s.losses,
                    |next| next.add(Step::LoseAnswer(h), |s| self.lose_answer(s, h, draw)),
                );
            }
        }
    }

    fn apply_draw(&self, state: &mut State, h: usize, draw: Draw) -> Place {
        let newest = state.row.order.fence == draw.after;
        if !newest && !self.has(Mutation::DrawUnconditionally) {
            return Place::NotDone;
        }
        state.decisions += 1;
        let order = Order {
            fence: draw.after + 1,
            value: draw.value,
            decision: state.decisions,
        };
        state.row = Row { holder: h, order };
        Place::Done(order)
    }

    fn lose_answer(&self, state: &mut State, h: usize, draw: Draw) {
        let place = Place::InDoubt;
        state.hosts[h].draw = Some(Draw { place, ..draw });
        if self.has(Mutation::AssumeDrawn) {
            state.hosts[h].draw = None;
            state.decisions += u8::from(draw.place == Place::NotDone);
            state.hosts[h].set_order(Order {
                fence: draw.after + 1,
                value: draw.value,
                decision: state.decisions,
            });
        }
    }

    fn send_steps(&self, state: &State, h: usize, order: Order, next: &mut Steps<'_>) {
        let host = &state.hosts[h];
        if !state.has_free_slot() {
            return;
        }
        let send = |s: &mut State| {
            s.hosts[h].sent = true;
            s.insert_order(order);
        };
        let again = !host.sent || !self.has(Mutation::NoReadBack);
        let differs = state.endpoint.value != order.value;
        if order != state.row.order {
            next.add_faults(
                |s| &mut s.stale_orders,
                |next| next.add(Step::SendStale(h), send),
            );
        } else if again && differs && !state.orders.contains(&Some(order)) {
            next.add(Step::Send(h), send);
        }
        if self.has(Mutation::SameNumber) && host.known > order.value && state.row.holder == h {
            next.add(Step::Redecide(h), |s| {
                s.decisions += 1;
                s.row.order.value = host.known;
                s.row.order.decision = s.decisions;
                let order = s.row.order;
                s.hosts[h].set_order(order);
            });
        }
    }
}

impl Host {
    fn set_order(&mut self, order: Order) {
        self.order = Some(order);
        self.sent = false;
    }
}

impl State {
    pub(super) const HOSTS: usize = 2;

    pub(super) fn new(cfg: &Config) -> Self {
        let order = Order {
            fence: 0,
            value: 0,
            decision: 0,
        };
        let up = Host {
            up: true,
            ..Host::default()
        };
        Self {
            declared: 0,
            row: Row { holder: 0, order },
            decisions: 0,
            hosts: [up; Self::HOSTS],
            orders: [None; MAX_ORDERS],
            endpoint: Endpoint::default(),
            declarations: cfg.declarations.min(MAX_DECLARATIONS),
            overtakes: cfg.overtakes,
            stale_orders: cfg.stale_orders,
            losses: cfg.losses,
            crashes: cfg.crashes,
            endpoint_restarts: cfg.endpoint_restarts,
        }
    }

    /// Whether the host that drew the newest number neither holds its order nor has a draw pending,
    /// so that it will not receive the order.
    fn holder_is_gone(&self) -> bool {
        let host = &self.hosts[self.row.holder];
        host.order != Some(self.row.order) && host.draw.is_none()
    }

    fn start_draw(&mut self, h: usize) {
        self.hosts[h].draw = Some(Draw {
            after: self.row.order.fence,
            value: self.hosts[h].known,
            place: Place::ToTable,
        });
    }

    fn has_free_slot(&self) -> bool {
        self.orders.contains(&None)
    }

    fn insert_order(&mut self, order: Order) {
        let free = self.orders.iter_mut().find(|place| place.is_none());
        if let Some(free) = free {
            *free = Some(order);
        }
        self.orders.sort_unstable();
    }

    fn remove_order(&mut self, i: usize) {
        self.orders[i] = None;
        self.orders.sort_unstable();
    }
}
