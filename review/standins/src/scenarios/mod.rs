//! The cases that are run as scripts.

pub mod foreign_entries;
pub mod left_server;
pub mod stale_list;
pub mod store_restored;

/// The outcome of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Held,
    Broken,
}
