//! Tests of the settings of engines, services and links.

use std::{fs, path::PathBuf};

use dragonflyrill_standins::{
    engine::EngineConfig, relay::LinkConfig, service::ServiceConfig, settings::Settings,
};

fn parse(text: &str) -> Settings {
    Settings::parse("test", text).expect("pairs")
}

fn engine_error(text: &str) -> String {
    format!(
        "{:#}",
        EngineConfig::try_from(parse(text)).expect_err("refused")
    )
}

fn example(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "examples", name]
        .iter()
        .collect()
}

#[test]
fn an_engine_is_read_from_pairs() {
    let text = "id=e, model=m, layers=2..8, model_layers=12, layer_us=70, checks_fence=false";
    let cfg = EngineConfig::try_from(parse(text)).expect("engine");
    assert_eq!(
        (cfg.layers.first, cfg.layers.end, cfg.model_layers),
        (2, 8, 12)
    );
    assert_eq!((cfg.layer_us, cfg.checks_fence, &*cfg.id), (70, false, "e"));
}

#[test]
fn bad_settings_are_refused_with_their_source_and_key() {
    let cases = [
        ("model=m,layers=0..4", "test: id: missing"),
        (
            "id=e,model=m,layers=4",
            "test: layers: bad value \"4\": not FIRST..END",
        ),
        (
            "id=e,model=m,layers=4..4",
            "test: layers: bad value \"4..4\": not FIRST..END",
        ),
        (
            "id=e,model=m,layers=0..4,model_layers=3",
            "test: layers: 0..4 go beyond the model's 3",
        ),
        (
            "id=e,model=m,layers=0..4,colour=red",
            "test: colour: unknown key",
        ),
        (
            "id=e,model=m,layers=0..4,max_batch=0",
            "test: max_batch: has to be 1 or more",
        ),
        (
            "id=e,model=m,layers=0..4,time_scale=-1",
            "test: time_scale: bad value \"-1\": not a number from 0",
        ),
        (
            "id=e,model=m,layers=0..4,cache_event_loss=2",
            "test: cache_event_loss: bad value \"2\": not a share from 0 to 1",
        ),
        (
            "id=e,model=m,layers=0..4,layer_us=x",
            "test: layer_us: bad value \"x\": invalid digit found in string",
        ),
        (
            "id=e,model=m,layers=0..4,listen=here:1",
            "test: listen: bad value \"here:1\": invalid socket address syntax",
        ),
    ];
    for (text, error) in cases {
        assert_eq!(engine_error(text), error);
    }
    let pair = Settings::parse("test", "id").expect_err("refused");
    assert_eq!(pair.to_string(), "test: \"id\" is not written as key=value");
    let service = ServiceConfig::try_from(parse("id=s")).expect_err("refused");
    assert_eq!(service.to_string(), "test: service: missing");
    let link = LinkConfig::try_from(parse("id=l,listen=127.0.0.1:0")).expect_err("refused");
    assert_eq!(link.to_string(), "test: to: missing");
}

#[test]
fn the_example_of_engines_is_read_with_defaults() {
    let defaults = parse("model=drill-lm,model_layers=12,layer_us=1");
    let sections = Settings::read_ini(&example("engines.ini")).expect("example");
    let cfgs: Vec<_> = sections
        .into_iter()
        .map(|section| EngineConfig::try_from(section.with_defaults(&defaults)).expect("engine"))
        .collect();
    let ids: Vec<_> = cfgs.iter().map(|cfg| &*cfg.id).collect();
    assert_eq!(ids, ["tongyeong-a", "geoje-a"]);
    assert!(
        cfgs.iter()
            .all(|cfg| cfg.model == "drill-lm" && cfg.model_layers == 12)
    );
    assert_eq!((cfgs[0].layer_us, cfgs[1].load_ms_per_layer), (40, 20));
}

#[test]
fn the_example_of_services_is_read() {
    let sections = Settings::read_ini(&example("services.ini")).expect("example");
    let cfgs: Vec<_> = sections.into_iter().map(ServiceConfig::try_from).collect();
    assert_eq!(cfgs.len(), 1);
    assert_eq!(cfgs[0].as_ref().expect("service").service, "quay-app");
}

#[test]
fn an_error_in_a_file_names_the_file_and_the_section() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("bad.ini");
    fs::write(&path, "[e]\nmodel = m\nlayers = 0..4\ncolour = red\n").expect("file");
    let section = Settings::read_ini(&path).expect("file").remove(0);
    let err = EngineConfig::try_from(section)
        .expect_err("refused")
        .to_string();
    assert_eq!(err, format!("{} [e]: colour: unknown key", path.display()));
}
