//! What the system asks of the platform's store: a transactional table and a place for objects.
//!
//! Nothing here knows how the store spells its calls: an adapter implements [`table::TableApi`] and
//! [`catalogue_store::SnapshotStore`]. A lost answer is a case of its own,
//! [`PlatformError::Unknown`]: the write may have taken effect.
//!
//! Start with [`error`], then [`table`] with [`table::once`] for writes that must happen at most
//! once, [`catalogue_store`] for the order of catalogue changes, and [`entry_hosts`] for the rows
//! by which entry hosts find each other.

pub mod catalogue_store;
pub mod entry_hosts;
pub mod error;
pub mod table;

pub use error::PlatformError;
