//! A whole catalogue, split into parts.

use dragonflyrill_catalogue::{Catalogue, Entry};
use dragonflyrill_protocol::{
    HostId,
    spread::{self, Part},
};

/// Maximum number of parts; snapshots with more are rejected. With parts of 256 KiB, the default
/// target, this bounds a snapshot to 64 MiB.
const MAX_PARTS: u32 = 256;

/// Splits `catalogue` into parts of about `max` encoded bytes; at least one part.
pub(super) fn split(catalogue: &Catalogue, change_id: &str, max: usize) -> Vec<Part> {
    let mut groups: Vec<Vec<Entry>> = vec![Vec::new()];
    let mut free_bytes = max;
    for entry in catalogue.entries() {
        let bytes = spread::encoded_len(entry);
        if bytes > free_bytes && groups.last().is_some_and(|g| !g.is_empty()) {
            groups.push(Vec::new());
            free_bytes = max;
        }
        free_bytes = free_bytes.saturating_sub(bytes);
        if let Some(group) = groups.last_mut() {
            group.push(entry.clone());
        }
    }
    let parts = groups.len() as u32;
    let split_parts = (0..).zip(groups).map(|(index, entries)| Part {
        revision: catalogue.revision(),
        change_id: change_id.to_owned(),
        index,
        parts,
        entries,
    });
    split_parts.collect()
}

/// A catalogue of which some parts have arrived, all from one host.
#[derive(Debug, Clone)]
pub(super) struct Assembly {
    from: HostId,
    first: Part,
    parts: Vec<Option<Vec<Entry>>>,
}

impl Assembly {
    /// An assembly that starts with `part`; `None` if the numbering of the part is invalid.
    pub(super) fn start(from: &HostId, part: Part) -> Option<Self> {
        if part.parts == 0 || part.parts > MAX_PARTS || part.index >= part.parts {
            return None;
        }
        let mut assembly = Self {
            from: from.clone(),
            parts: vec![None; part.parts as usize],
            first: Part {
                entries: Vec::new(),
                ..part.clone()
            },
        };
        assembly.add(part);
        Some(assembly)
    }

    /// Whether `part` belongs to this assembly.
    pub(super) fn accepts(&self, from: &HostId, part: &Part) -> bool {
        let first = &self.first;
        let same_snapshot = first.revision == part.revision && first.change_id == part.change_id;
        *from == self.from && same_snapshot && first.parts == part.parts && part.index < part.parts
    }

    /// Adds a part that [`Self::accepts`] holds for.
    pub(super) fn add(&mut self, part: Part) {
        if let Some(slot) = self.parts.get_mut(part.index as usize) {
            *slot = Some(part.entries);
        }
    }

    /// Whether all parts have arrived.
    pub(super) fn is_complete(&self) -> bool {
        self.parts.iter().all(Option::is_some)
    }

    /// The catalogue, and the id of its newest change.
    pub(super) fn finish(self) -> (Catalogue, String) {
        let entries = self.parts.into_iter().flatten().flatten();
        let catalogue = Catalogue::from_entries(self.first.revision, entries);
        (catalogue, self.first.change_id)
    }
}
