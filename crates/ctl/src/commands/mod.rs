//! One module for each command.

pub mod apply;
pub mod check;
pub mod diff;
pub mod explain;
pub mod get;
pub mod status;
pub mod watch;

mod wanted;
