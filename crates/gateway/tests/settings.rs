//! All settings are checked at once, and each error names its file, section and key.

use std::time::Duration;

use dragonflyrill_gateway::settings::Settings;

const TEXT: &str = "\
[host]
name = h1
address = 10.1.0.40
data_centre = z1

[listen]
callers = 10.1.0.40:8227
readiness = 10.1.0.40:8220
metrics_port = 7340
peers_port = 7341

[store]
address = 10.200.1.7:8223

[bounds]
key_revocation_ms = 5000
config_apply_ms = 2000
endpoint_drain_ms = 2000
grace_s = 8

[retries]
ratio = 0.2
burst = 200
window_s = 10
";

fn errors(from: &str, to: &str) -> Vec<String> {
    let errors = Settings::parse("file.ini", &TEXT.replace(from, to)).expect_err("refused");
    errors.iter().map(ToString::to_string).collect()
}

#[test]
fn the_template_filled_in_is_read() {
    let settings = Settings::parse("file.ini", TEXT).expect("valid");
    assert_eq!(settings.host, "h1");
    assert_eq!(settings.metrics.to_string(), "10.1.0.40:7340");
    assert_eq!(settings.grace, Duration::from_secs(8));
    assert_eq!(settings.retries.burst, 200.0);
}

#[test]
fn an_error_names_file_section_and_key() {
    let found = errors("metrics_port = 7340", "metrics_port = many");
    assert_eq!(
        found,
        [
            "file.ini: [listen] metrics_port: \"many\" can't be used: a whole number from 1 to 65535 is needed"
        ]
    );
    let found = errors("grace_s = 8\n", "");
    assert_eq!(found, ["file.ini: [bounds] grace_s: is missing"]);
    let found = errors("ratio = 0.2", "ratio = -1");
    assert_eq!(
        found,
        ["file.ini: [retries] ratio: \"-1\" can't be used: a number not below zero is needed"]
    );
}

#[test]
fn all_errors_are_returned_at_once() {
    let found = errors(
        "callers = 10.1.0.40:8227\nreadiness",
        "callers = x\nreadyness",
    );
    assert_eq!(found.len(), 3, "{found:?}");
    assert!(found.iter().any(|e| e.contains("readyness: is not known")));
}

#[test]
fn a_request_is_quarantined_for_an_hour_unless_the_settings_say_otherwise() {
    let default_settings = Settings::parse("file.ini", TEXT).expect("valid");
    assert_eq!(
        default_settings.request_quarantine,
        Duration::from_secs(3600)
    );
    let text = TEXT.replace("window_s = 10", "window_s = 10\nhold_s = 60");
    let shorter = Settings::parse("file.ini", &text).expect("valid");
    assert_eq!(shorter.request_quarantine, Duration::from_secs(60));
}
