//! Property tests of parsing, rendering and comparing declarations: no entry may be lost or
//! changed, and no text may cause a panic.

mod common;

use dragonflyrill_catalogue::{
    declare::{Declarations, Source},
    diff::{Diff, UndeclaredEntries},
    entry::Entry,
    render,
    state::{Catalogue, Change, FoldOutcome, Revision},
};
use proptest::prelude::*;

fn change(diff: &Diff, revision: u64) -> Change {
    Change {
        revision: Revision(revision),
        change_id: "c".to_owned(),
        author: "a".to_owned(),
        accepted_ms: 0,
        puts: diff.puts(),
        deletes: diff.deletes(),
    }
}

proptest! {
    #[test]
    fn a_rendered_file_parses_to_the_same_entries(entries in common::entries()) {
        let text = render::file(&entries);
        prop_assert_eq!(common::parse(&text).expect(&text), entries);
    }

    #[test]
    fn an_entry_is_unchanged_by_a_round_trip_through_json(entry in common::entry()) {
        let json = serde_json::to_string(&entry).expect("JSON");
        let back: Entry = serde_json::from_str(&json).expect("an entry");
        prop_assert_eq!(back, entry);
    }

    #[test]
    fn arbitrary_text_never_panics(text in any::<String>()) {
        let _ = common::parse(&text);
    }

    #[test]
    fn text_made_of_format_tokens_never_panics_and_declares_one_entry_per_section(
        words in prop::collection::vec(
            prop::sample::select(vec![
                "[", "]", "=", ":", "\n", "\r", "\\", "\"", "'", ";", "#", " ", "\t", ",", "/",
                "workspace a", "limit a/b/c", "link a b", "data_centre a", "group m a", "range.0..8", "endpoints", "service s", "weight", "share.a",
                "not_repeatable", "latency_us", "1", "0.5", "\u{feff}", "\u{85}",
            ]),
            0..40,
        ),
    ) {
        let text = words.concat();
        if let Ok(entries) = common::parse(&text) {
            // Accepted text declares exactly one entry for each section line.
            let sections = text.lines().filter(|l| l.trim().starts_with('[')).count();
            prop_assert_eq!(entries.len(), sections, "{:?}", text);
        }
    }

    #[test]
    fn a_diff_with_prune_results_in_exactly_the_wanted_entries(
        old in common::entries(),
        new in common::entries(),
    ) {
        let mut catalogue = Catalogue::from_entries(Revision(4), old);
        let diff = Diff::between(&catalogue, &new, UndeclaredEntries::Prune);
        prop_assert_eq!(catalogue.fold(&change(&diff, 5)), FoldOutcome::Applied);
        prop_assert!(catalogue.entries().eq(&new));
        prop_assert!(Diff::between(&catalogue, &new, UndeclaredEntries::Prune).is_empty());
    }

    #[test]
    fn a_diff_without_prune_touches_only_declared_entries(
        old in common::entries(),
        new in common::entries(),
    ) {
        let catalogue = Catalogue::from_entries(Revision(4), old);
        let diff = Diff::between(&catalogue, &new, UndeclaredEntries::Keep);
        prop_assert!(diff.deletes().is_empty());
        prop_assert!(diff.puts().iter().all(|e| new.contains(e)));
    }

    #[test]
    fn two_files_that_declare_the_same_entry_are_refused(entry in common::entry()) {
        let text = render::entry(&entry);
        let sources = [
            Source { file: "a.ini", text: &text },
            Source { file: "b.ini", text: &text },
        ];
        let faults = Declarations::try_from(sources.as_slice()).expect_err("a duplicate");
        prop_assert_eq!(faults.0.len(), 1);
        prop_assert_eq!(&faults.0[0].file, "b.ini");
    }
}
