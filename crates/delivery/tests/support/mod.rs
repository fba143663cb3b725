//! Models and the search that the tests of the state machines share.
#![allow(dead_code)]

pub(crate) mod engine;
pub(crate) mod explore;
pub(crate) mod fleet;
pub(crate) mod records;
pub(crate) mod world;
