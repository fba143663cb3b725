//! The report of a conflict: both versions of each entry, and how to resolve the conflict.

use std::{collections::BTreeMap, fmt};

use dragonflyrill_catalogue::{
    entry::{Entry, EntryKey},
    render,
    state::{Catalogue, Change, Revision},
};
use dragonflyrill_store::catalogue_store::{Head, Proposal};
use serde::Serialize;

/// The maximum number of listed entries that only others changed. `watch` shows all changes.
const MAX_LISTED_OTHERS: usize = 10;

/// An entry that both this apply and other operators changed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BothChanged {
    /// The entry's section.
    pub section: String,
    /// The version in force; `None` if the entry was removed.
    pub theirs: Option<Entry>,
    /// The version of this apply; `None` if it removes the entry.
    pub yours: Option<Entry>,
}

/// A conflict of an apply with changes of other operators; nothing was applied.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Conflict {
    /// The revision that this apply is based on.
    pub base: Revision,
    /// The newest revision.
    pub head: Revision,
    /// The authors of the changes since the base, sorted.
    pub authors: Vec<String>,
    /// Sections of entries that others changed and this apply didn't.
    pub others: Vec<String>,
    /// Entries that both changed.
    pub both: Vec<BothChanged>,
}

impl Conflict {
    /// A conflict of a restoration above revision `above` with a change of another operator.
    pub(super) fn during_restore(above: Revision, head: &Head) -> Self {
        Self {
            base: above,
            head: head.revision,
            authors: Vec::new(),
            others: Vec::new(),
            both: Vec::new(),
        }
    }

    /// Compares `proposal` with the changes `since` its base; `current` is the catalogue in force.
    pub fn new(proposal: &Proposal, head: &Head, since: &[Change], current: &Catalogue) -> Self {
        let yours = changed_entries(&proposal.puts, &proposal.deletes);
        let mut theirs = BTreeMap::new();
        for change in since {
            theirs.extend(changed_entries(&change.puts, &change.deletes));
        }
        let mut authors: Vec<String> = since.iter().map(|c| c.author.clone()).collect();
        authors.sort();
        authors.dedup();
        let mut conflict = Self {
            base: proposal.base,
            head: head.revision,
            authors,
            others: Vec::new(),
            both: Vec::new(),
        };
        for key in theirs.keys() {
            let section = render::section(key);
            match yours.get(key) {
                None => conflict.others.push(section),
                Some(yours) => conflict.both.push(BothChanged {
                    section,
                    theirs: current.get(key).cloned(),
                    yours: yours.cloned(),
                }),
            }
        }
        conflict
    }
}

/// Returns the entries that a change sets or removes; `None` is a removal.
fn changed_entries<'a>(
    puts: &'a [Entry],
    deletes: &'a [EntryKey],
) -> BTreeMap<EntryKey, Option<&'a Entry>> {
    let removed = deletes.iter().map(|key| (key.clone(), None));
    let set = puts.iter().map(|e| (e.key(), Some(e)));
    removed.chain(set).collect()
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "conflict: this was made on revision {}, the newest is {}",
            self.base.0, self.head.0
        )?;
        if !self.authors.is_empty() {
            write!(f, " by {}", self.authors.join(", "))?;
        }
        writeln!(f, "; nothing was applied")?;
        for both in &self.both {
            writeln!(f, "both changed [{}]", both.section)?;
            write_version(f, "in force", both.theirs.as_ref())?;
            write_version(f, "yours", both.yours.as_ref())?;
        }
        for section in self.others.iter().take(MAX_LISTED_OTHERS) {
            writeln!(f, "others changed [{section}]")?;
        }
        if let Some(more) = self
            .others
            .len()
            .checked_sub(MAX_LISTED_OTHERS)
            .filter(|n| *n > 0)
        {
            writeln!(f, "and {more} more entries that you don't change")?;
        }
        writeln!(
            f,
            "way out: `get` what is in force, merge it into your files, and apply again with --base {}",
            self.head.0
        )
    }
}

fn write_version(f: &mut fmt::Formatter<'_>, title: &str, entry: Option<&Entry>) -> fmt::Result {
    let Some(entry) = entry else {
        return writeln!(f, "  {title}: removed");
    };
    writeln!(f, "  {title}:")?;
    for p in render::properties(entry) {
        writeln!(f, "    {} = {}", p.key, p.value)?;
    }
    Ok(())
}
