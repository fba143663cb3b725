//! Runs the commands against an in-memory platform and checks their output and exit codes.

mod common;

use std::net::TcpListener;

use common::{Platform, TempFile, repository_path, run_command};
use dragonflyrill_ctl::report::Exit;

const WEIGHT_1: &str = "[workspace co-op]\nweight = 1\n";
const WEIGHT_2: &str = "[workspace co-op]\nweight = 2\n";

#[actix_rt::test]
async fn get_prints_the_applied_catalogue_as_the_same_declarations() {
    let platform = Platform::start().await;
    let example = repository_path("config/catalogue/kiosknetz.ini");
    let (exit, out) = platform.run(&["apply", &example]).await;
    assert_eq!(exit, Exit::Ok, "{out}");
    assert!(out.contains("accepted: revision 1 (change "), "{out}");

    let (exit, text) = platform.run(&["get"]).await;
    assert_eq!(exit, Exit::Ok);
    let copy = TempFile::new("given-back.ini", &text);
    let (exit, out) = platform.run(&["diff", "--prune", copy.path()]).await;
    assert_eq!(
        (exit, out.as_str()),
        (Exit::Ok, "no difference to revision 1\n")
    );
    let (exit, out) = platform.run(&["apply", "--prune", copy.path()]).await;
    assert_eq!(
        (exit, out.as_str()),
        (Exit::Ok, "nothing to change at revision 1\n")
    );
}

#[actix_rt::test]
async fn a_conflict_shows_both_versions_and_how_to_resolve_it() {
    let platform = Platform::start().await;
    let (one, two) = (
        TempFile::new("conflict-1.ini", WEIGHT_1),
        TempFile::new("conflict-2.ini", WEIGHT_2),
    );
    platform
        .run(&["apply", "--author", "kim", one.path()])
        .await;
    let late = ["apply", "--base", "0", "--author", "lee", two.path()];
    let (exit, out) = platform.run(&late).await;
    assert_eq!(exit, Exit::Conflict);
    assert_eq!(
        out,
        "conflict: this was made on revision 0, the newest is 1 by kim; nothing was applied\n\
         both changed [workspace co-op]\n  in force:\n    weight = 1\n  yours:\n    weight = 2\n\
         way out: `get` what is in force, merge it into your files, and apply again with --base 1\n"
    );
    let (exit, out) = platform.run(&["apply", "--base", "1", two.path()]).await;
    assert_eq!(exit, Exit::Ok, "{out}");
}

#[actix_rt::test]
async fn a_change_whose_response_is_lost_is_applied_once() {
    let platform = Platform::start().await;
    let one = TempFile::new("lost.ini", WEIGHT_1);
    platform.drop_next_responses(1);
    let (exit, out) = platform.run(&["apply", one.path()]).await;
    assert_eq!(exit, Exit::Ok, "{out}");
    let (_, out) = platform.run(&["status"]).await;
    assert_eq!(out, "store: revision 1\n");
}

#[actix_rt::test]
async fn wait_ends_when_the_change_is_in_force_on_every_host() {
    let platform = Platform::start().await;
    let one = TempFile::new("everywhere.ini", WEIGHT_1);
    // `apply` fails when a host is ahead of the store, so the change is applied before hosts are
    // added.
    let (exit, _) = platform.run(&["apply", one.path()]).await;
    assert_eq!(exit, Exit::Ok);
    platform.add_host("e1", "geoje", 1).await;
    platform.add_host("e2", "tongyeong", 1).await;
    let line = ["apply", "--wait", "--within", "0", one.path()];
    let (exit, out) = platform.run(&line).await;
    assert_eq!(
        (exit, out.as_str()),
        (Exit::Ok, "nothing to change at revision 1\n")
    );
}

#[actix_rt::test]
async fn wait_names_the_hosts_where_the_change_is_not_in_force_and_why() {
    let platform = Platform::start().await;
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let closed = listener.local_addr().expect("an address");
    drop(listener);
    platform.add_host("e1", "geoje", 0).await;
    platform.list_host("e2", "tongyeong", closed).await;
    let one = TempFile::new("lagging.ini", WEIGHT_1);
    let line = ["apply", "--wait", "--within", "0", one.path()];
    let (exit, out) = platform.run(&line).await;
    assert_eq!(exit, Exit::NotEverywhere);
    assert!(out.contains("accepted: revision 1"), "{out}");
    assert!(
        out.contains("not in force on e1 (geoje): at revision 0 for 40 ms\n"),
        "{out}"
    );
    let refused = "not in force on e2 (tongyeong): does not answer: Failed to connect to host";
    assert!(out.contains(refused), "{out}");

    let (exit, out) = platform.run(&["status"]).await;
    assert_eq!(exit, Exit::NotEverywhere);
    assert!(out.contains("geoje: 0 of 1 hosts at revision 1\n"), "{out}");
    assert!(
        out.contains("revision 0 for 40 ms, ready, 2 peers, incarnation 1\n"),
        "{out}"
    );
    assert!(
        out.contains("lags: e1 (geoje): at revision 0 for 40 ms\n"),
        "{out}"
    );
}

#[actix_rt::test]
async fn wait_without_a_listed_host_does_not_report_in_force() {
    let platform = Platform::start().await;
    let one = TempFile::new("nowhere.ini", WEIGHT_1);
    let line = ["apply", "--wait", "--within", "0", one.path()];
    let (exit, out) = platform.run(&line).await;
    assert_eq!(exit, Exit::NotEverywhere);
    assert!(out.starts_with("revision 1 is accepted, but "), "{out}");
}

#[actix_rt::test]
async fn apply_to_a_store_behind_its_hosts_fails_until_it_is_restored() {
    let platform = Platform::start().await;
    platform.add_host("e1", "geoje", 9).await;
    let one = TempFile::new("restored.ini", WEIGHT_1);
    let (exit, out) = platform.run(&["apply", one.path()]).await;
    assert_eq!(exit, Exit::Failed);
    assert!(
        out.starts_with("the store went back: host e1 has revision 9 in force"),
        "{out}"
    );
    let (exit, out) = platform.run(&["status"]).await;
    assert_eq!(exit, Exit::Failed);
    assert!(
        out.contains("ALARM: the store went back: hosts have revision 9 in force"),
        "{out}"
    );

    let (exit, _) = platform
        .run(&["apply", "--restore-above", "8", one.path()])
        .await;
    assert_eq!(exit, Exit::Failed, "a host is above 8");
    let (exit, out) = platform
        .run(&["apply", "--restore-above", "9", one.path()])
        .await;
    assert_eq!(exit, Exit::Ok, "{out}");
    assert!(out.contains("accepted: revision 11"), "{out}");
    let (_, out) = platform.run(&["get"]).await;
    assert_eq!(out, format!("; revision 11\n\n{WEIGHT_1}"));
    let (_, out) = platform
        .run(&["watch", "--after", "9", "--changes", "1"])
        .await;
    assert!(out.starts_with("revision 11 by "), "{out}");
}

#[actix_rt::test]
async fn an_inconsistent_change_is_reported_with_its_file() {
    let platform = Platform::start().await;
    let text = "[limit co-op/m/batch]\nrequests_per_second = 1\nin_flight = 1\n\
                deadline_ms = 1\nrepeatable = true\n";
    let file = TempFile::new("contradiction.ini", text);
    let (exit, out) = platform.run(&["apply", file.path()]).await;
    assert_eq!(exit, Exit::Invalid);
    let start = format!(
        "{}: [limit co-op/m/batch] \"co-op\": does not fit",
        file.path()
    );
    assert!(out.starts_with(&start), "{out}");

    let complete = platform.run(&["check", file.path()]).await;
    assert_eq!(complete.0, Exit::Invalid);
    let partial = platform.run(&["check", "--partial", file.path()]).await;
    assert_eq!(partial, (Exit::Ok, "1 entries in 1 files: ok\n".to_owned()));
}

#[actix_rt::test]
async fn an_entry_in_use_is_not_pruned() {
    let platform = Platform::start().await;
    let example = repository_path("config/catalogue/namhae.ini");
    platform.run(&["apply", &example]).await;
    let text = std::fs::read_to_string(&example).expect("the example");
    let without = text.replace("[model drill-lm]\nlayers = 32\ncontext = 8192\n", "");
    let file = TempFile::new("pruned.ini", &without);
    let (exit, out) = platform.run(&["apply", "--prune", file.path()]).await;
    assert_eq!(exit, Exit::Invalid);
    assert_eq!(
        out.lines().count(),
        20,
        "one for each limit on the model: {out}"
    );
}

#[actix_rt::test]
async fn watch_prints_changes_in_order() {
    let platform = Platform::start().await;
    for (n, text) in [WEIGHT_1, WEIGHT_2].into_iter().enumerate() {
        let file = TempFile::new("watched.ini", text);
        let id = format!("c{n}");
        platform
            .run(&["apply", "--author", "kim", "--change-id", &id, file.path()])
            .await;
    }
    let (exit, out) = platform
        .run(&["watch", "--after", "0", "--changes", "2"])
        .await;
    assert_eq!(exit, Exit::Ok);
    assert_eq!(
        out,
        "revision 1 by kim (change c0)\n  set [workspace co-op]\n\
         revision 2 by kim (change c1)\n  set [workspace co-op]\n"
    );
}

#[actix_rt::test]
async fn json_output_names_the_outcome() {
    let platform = Platform::start().await;
    let one = TempFile::new("json.ini", WEIGHT_1);
    let line = ["--output", "json", "apply", "--change-id", "c1", one.path()];
    let (_, out) = platform.run(&line).await;
    let start = r#"{"outcome":"accepted","revision":1,"change_id":"c1","#;
    assert!(out.starts_with(start), "{out}");
    let line = [
        "--output",
        "json",
        "apply",
        "--base",
        "0",
        "--change-id",
        "no id",
        one.path(),
    ];
    let (exit, out) = platform.run(&line).await;
    assert_eq!(exit, Exit::Invalid);
    assert!(
        out.starts_with(r#"{"error":"usage","message":"\"no id\" is not a change id"#),
        "{out}"
    );
}

#[actix_rt::test]
async fn an_unavailable_platform_gives_exit_code_failed() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let closed = listener.local_addr().expect("an address").to_string();
    drop(listener);
    let (exit, out) = run_command(&["--platform", &closed, "get"]).await;
    assert_eq!(exit, Exit::Failed);
    assert!(out.starts_with("catalogue: not sent: "), "{out}");
}
