//! The example declarations, through the program's own check.

mod common;

use common::{File, output, repository, words};
use dragonflyrill_ctl::{
    args::{Args, EarlyExit},
    report::Exit,
};

fn example(name: &str) -> String {
    repository(&format!("config/catalogue/{name}"))
}

#[actix_rt::test]
async fn example_catalogues_pass_the_check() {
    for name in ["namhae.ini", "kiosknetz.ini"] {
        let (exit, out) = output(&["check", &example(name)]).await;
        assert_eq!(
            (exit, out.as_str()),
            (Exit::Ok, "58 entries in 1 files: ok\n"),
            "{name}"
        );
    }
}

#[actix_rt::test]
async fn the_group_of_the_operators_page_fits_the_example_catalogue() {
    let page = std::fs::read_to_string(repository("docs/operators/catalogue.md")).expect("a page");
    let lines: Vec<&str> = page.lines().filter_map(|l| l.strip_prefix(';')).collect();
    assert_eq!(lines.first(), Some(&"[group drill-lm geoje]"));
    let group = File::new("group.ini", &lines.join("\n"));
    let (exit, out) = output(&["check", &example("namhae.ini"), group.path()]).await;
    assert_eq!(
        (exit, out.as_str()),
        (Exit::Ok, "59 entries in 2 files: ok\n")
    );
}

#[actix_rt::test]
async fn the_same_entry_in_two_files_names_the_first_file() {
    let file = example("namhae.ini");
    let (exit, out) = output(&["check", &file, &file]).await;
    assert_eq!(exit, Exit::Invalid);
    assert_eq!(out.lines().count(), 58);
    assert!(out.contains(&format!(
        "{file}: [model drill-lm]: declared twice; expected one section for each entry; the first is in {file}"
    )));
}

#[actix_rt::test]
async fn a_missing_file_is_reported_by_name() {
    let (exit, out) = output(&["--output", "json", "check", "no-such-file.ini"]).await;
    assert_eq!(exit, Exit::Invalid);
    assert!(out.contains("\"file\":\"no-such-file.ini\""), "{out}");
}

#[test]
fn a_wrong_command_line_is_told_from_a_call_for_help() {
    assert!(matches!(
        Args::parse(&words(&["--help"])),
        Err(EarlyExit::Help(_))
    ));
    assert!(matches!(
        Args::parse(&words(&["frobnicate"])),
        Err(EarlyExit::Usage(_))
    ));
    let bad = words(&["--platform", "localhost:2379", "status"]);
    assert!(matches!(Args::parse(&bad), Err(EarlyExit::Usage(_))));
}
