//! Minimal specifications of the core protocol, and an exhaustive model checker for them.
//!
//! A specification defines the transitions of a small system of hosts, endpoints and the
//! platform's table, including faults, and the properties that must hold. The programs of the
//! system don't use this crate.
//!
//! Start with [`checker`], which searches any [`checker::Spec`]; then read one of [`specs`]. Each
//! has a configuration with its bounds and optionally one mutation, which removes one rule of the
//! protocol. The search must find no counterexample without a mutation and a shortest
//! counterexample with one. [`report`] runs all specifications for the binary and the tests;
//! docs/model.md has the results.

pub mod checker;
pub mod report;
pub mod specs;
