//! A store of the catalogue that can be unavailable or rolled back.

use dragonflyrill_catalogue::{Change, Entry, Revision, entry::WorkspaceEntry};
use dragonflyrill_store::catalogue_store::Head;

#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    Unavailable,
    Head(Head),
    Changes(Vec<Change>),
}

#[derive(Debug, Clone, Default, PartialEq)]
pub struct Store {
    pub changes: Vec<Change>,
    pub unavailable: bool,
    /// Part of the change ids, to distinguish the changes made after a rollback.
    pub branch: u32,
}

impl Store {
    pub fn commit(&mut self) -> Revision {
        let n = self.changes.len() as u64 + 1;
        self.commit_entry(&format!("workspace-{}", n % 50))
    }

    pub fn commit_entry(&mut self, name: &str) -> Revision {
        let n = self.changes.len() as u64 + 1;
        let entry = WorkspaceEntry {
            name: name.try_into().unwrap(),
            weight: n as u32 + 1000 * self.branch,
        };
        self.changes.push(Change {
            revision: Revision(n),
            change_id: format!("change-{n}-{}", self.branch),
            author: "operator".to_owned(),
            accepted_ms: n,
            puts: vec![Entry::Workspace(entry)],
            deletes: Vec::new(),
        });
        Revision(n)
    }

    /// Restores an older copy. Changes committed from then on differ from those that it lost.
    pub fn roll_back(&mut self, to: usize) {
        self.changes.truncate(to);
        self.branch += 1;
    }

    pub fn head(&self) -> Head {
        self.changes.last().map_or_else(Head::default, |c| Head {
            revision: c.revision,
            change_id: c.change_id.clone(),
        })
    }

    pub fn read(&self, after: Revision) -> Answer {
        if self.unavailable {
            return Answer::Unavailable;
        }
        let newer: Vec<Change> = self
            .changes
            .iter()
            .skip(after.0 as usize)
            .cloned()
            .collect();
        if newer.is_empty() {
            return Answer::Head(self.head());
        }
        Answer::Changes(newer)
    }
}
