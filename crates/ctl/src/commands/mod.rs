//! One module per command, and `plan`, which `apply` and `diff` share.

pub mod apply;
pub mod check;
pub mod diff;
pub mod explain;
pub mod get;
pub mod status;
pub mod watch;

mod plan;
