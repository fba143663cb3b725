//! Runs `check` on the example declarations and on invalid input.

mod common;

use common::{TempFile, command_line, repository_path, run_command};
use dragonflyrill_ctl::{
    args::{Args, EarlyExit},
    report::Exit,
};

fn example_path(name: &str) -> String {
    repository_path(&format!("config/catalogue/{name}"))
}

#[actix_rt::test]
async fn example_catalogues_pass_the_check() {
    for name in ["namhae.ini", "kiosknetz.ini"] {
        let (exit, out) = run_command(&["check", &example_path(name)]).await;
        assert_eq!(
            (exit, out.as_str()),
            (Exit::Ok, "58 entries in 1 files: ok\n"),
            "{name}"
        );
    }
}

#[actix_rt::test]
async fn the_group_in_the_operators_page_passes_the_check() {
    let page =
        std::fs::read_to_string(repository_path("docs/operators/catalogue.md")).expect("a page");
    let lines: Vec<&str> = page.lines().filter_map(|l| l.strip_prefix(';')).collect();
    assert_eq!(lines.first(), Some(&"[group drill-lm geoje]"));
    let group = TempFile::new("group.ini", &lines.join("\n"));
    let (exit, out) = run_command(&["check", &example_path("namhae.ini"), group.path()]).await;
    assert_eq!(
        (exit, out.as_str()),
        (Exit::Ok, "59 entries in 2 files: ok\n")
    );
}

#[actix_rt::test]
async fn the_same_entry_in_two_files_names_the_first_file() {
    let file = example_path("namhae.ini");
    let (exit, out) = run_command(&["check", &file, &file]).await;
    assert_eq!(exit, Exit::Invalid);
    assert_eq!(out.lines().count(), 58);
    assert!(out.contains(&format!(
        "{file}: [model drill-lm]: declared twice; expected one section for each entry; the first is in {file}"
    )));
}

#[actix_rt::test]
async fn a_missing_file_is_reported_by_name() {
    let (exit, out) = run_command(&["--output", "json", "check", "no-such-file.ini"]).await;
    assert_eq!(exit, Exit::Invalid);
    assert!(out.contains("\"file\":\"no-such-file.ini\""), "{out}");
}

#[test]
fn an_invalid_command_line_is_distinguished_from_a_request_for_help() {
    assert!(matches!(
        Args::parse(&command_line(&["--help"])),
        Err(EarlyExit::Help(_))
    ));
    assert!(matches!(
        Args::parse(&command_line(&["frobnicate"])),
        Err(EarlyExit::Usage(_))
    ));
    let invalid = command_line(&["--platform", "localhost:2379", "status"]);
    assert!(matches!(Args::parse(&invalid), Err(EarlyExit::Usage(_))));
}
