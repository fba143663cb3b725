//! The catalogue: the configuration that operators declare, as validated types.
//!
//! An operator keeps [`Entry`] declarations in INI files under version control and applies them
//! with `dragonflyrillctl`. Every accepted [`Change`] gets the next [`Revision`]. A host folds the
//! changes into a [`Catalogue`] in revision order and never returns to a lower revision.
//!
//! Start with [`entry`] for the kinds of entries, then [`state`] for how changes are folded.
//! [`declare`] parses files, [`validate`] checks a complete catalogue, [`diff`] compares two sets
//! of entries and [`render`] writes entries as INI. Mistakes in declarations are reported as
//! [`fault`]s.

pub mod declare;
pub mod diff;
pub mod entry;
pub mod fault;
pub mod name;
pub mod render;
pub mod state;
pub mod validate;

pub use entry::{Entry, EntryKey};
pub use name::{ClassName, DataCentre, EndpointId, Name, TargetName, WorkspaceName};
pub use state::{Catalogue, Change, Revision};
