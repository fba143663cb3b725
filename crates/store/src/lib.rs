//! The interface to the platform's store: a transactional table and an object store.
//!
//! This crate is independent of the store's wire protocol: an adapter implements
//! [`table::TableApi`] and [`catalogue_store::SnapshotStore`]. A lost response has an error of its
//! own, [`PlatformError::Unknown`]: the write may have taken effect.
//!
//! Start with [`error`], then [`table`] with [`table::once`] for writes that must take effect at
//! most once, [`catalogue_store`] for the order of catalogue changes, and [`entry_hosts`] for the
//! rows by which entry hosts discover each other.

pub mod catalogue_store;
pub mod entry_hosts;
pub mod error;
pub mod table;

pub use error::PlatformError;
