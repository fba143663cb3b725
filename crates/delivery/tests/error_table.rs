//! The table of errors in the documentation equals the table in the code.

use dragonflyrill_delivery::{ErrorKind, RunStatus};

const PAGE: &str = include_str!("../../../docs/errors.md");

fn row(kind: ErrorKind) -> String {
    let a = kind.answer();
    let retry = if a.retry_after { "yes" } else { "no" };
    format!(
        "| `{}` | {} | `{}` | {retry} | {} |",
        a.code,
        a.status,
        a.run.as_str(),
        a.meaning
    )
}

#[test]
fn page_lists_exactly_the_kinds_of_the_table() {
    let expected: Vec<String> = ErrorKind::ALL.iter().copied().map(row).collect();
    let listed: Vec<&str> = PAGE.lines().filter(|l| l.starts_with("| `")).collect();
    assert_eq!(listed, expected);
}

#[test]
fn codes_are_distinct() {
    let mut codes: Vec<_> = ErrorKind::ALL.iter().map(|k| k.answer().code).collect();
    codes.sort_unstable();
    codes.dedup();
    assert_eq!(codes.len(), ErrorKind::ALL.len());
}

#[test]
fn only_refusals_before_dispatch_say_not_run() {
    for kind in ErrorKind::ALL {
        let a = kind.answer();
        let refused_status = matches!(a.status, 400 | 403 | 404 | 413 | 422 | 429 | 503);
        assert!(a.run != RunStatus::NotRun || refused_status, "{}", a.code);
    }
}
