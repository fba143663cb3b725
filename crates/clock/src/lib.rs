//! The clocks of a host, and timers on them.
//!
//! A machine may be suspended for seconds. Its steady clock (`CLOCK_MONOTONIC`, which [`std::time::Instant`] and the
//! timers of tokio read) stands still meanwhile; everything outside the machine goes on. So there are three clocks:
//!
//! - [`Clock`] counts the time for which the machine was suspended. Whatever is agreed with others runs on it: bounds,
//!   terms, deadlines, and ages that are stated to other hosts.
//! - [`awake`] counts only the time in which the host ran. Whatever is concluded from the silence of others runs on it:
//!   a host that was suspended has not listened.
//! - [`wall`] is the time of day, which may jump. It dates log lines and names incarnations, and decides nothing.
//!
//! [`Clock::check`] notices a suspension and wakes all timers of the clock, so that what became due meanwhile is done at
//! once. A decision needs no timer: it compares with [`Clock::now`], which is right from the first instruction on.
//!
//! No other crate of a host reads a clock: they turn on the lint for the methods that `clippy.toml` lists.

pub mod awake;
mod clock;
mod source;
pub mod wall;

pub use clock::{Clock, Elapsed};
pub use source::{SteppedTime, TimeSource};
