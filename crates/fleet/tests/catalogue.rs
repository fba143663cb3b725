//! Tests that routes are found by host and longest prefix, and that requests are split between
//! services by weight.

use std::{rc::Rc, time::Duration};

use dragonflyrill_fleet::catalogue::{
    CallerLimits, Catalogue, CatalogueParts, Route, RouteKind, Service, Workspace,
};

fn service(name: &str) -> Rc<Service> {
    Rc::new(Service {
        name: name.into(),
        max_connections: 10,
        engine: None,
    })
}

fn route(name: &str, prefix: &str, services: Vec<(Rc<Service>, u32)>) -> Route {
    Route {
        name: name.into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        gap_target: Duration::ZERO,
        priority: 1,
        max_attempts: 2,
        anonymous: false,
        services,
    }
}

fn catalogue() -> Catalogue {
    let app = service("app");
    let new = service("new");
    Catalogue::from(CatalogueParts {
        version: 3,
        routes: vec![
            ("h".into(), route("short", "/a/", vec![(app.clone(), 1)])),
            (
                "h".into(),
                route("long", "/a/b/", vec![(app.clone(), 90), (new.clone(), 10)]),
            ),
        ],
        services: vec![app, new],
        keys: vec![(
            "key".into(),
            Workspace {
                name: "w".into(),
                priority: Some(1),
            },
        )],
        needs_keys: true,
        caller_limits: CallerLimits::default(),
    })
}

fn route_name(path: &str) -> Option<String> {
    catalogue().route("h", path).map(|r| r.name.to_string())
}

#[test]
fn the_longest_prefix_wins() {
    assert_eq!(route_name("/a/b/c").as_deref(), Some("long"));
    assert_eq!(route_name("/a/bc").as_deref(), Some("short"));
    assert_eq!(route_name("/a"), None);
    assert!(catalogue().route("other", "/a/b/").is_none());
}

#[test]
fn requests_are_split_by_weight() {
    let catalogue = catalogue();
    let route = catalogue.route("h", "/a/b/").expect("the route exists");
    assert_eq!(&*route.pick_service(0.0).name, "app");
    assert_eq!(&*route.pick_service(0.899).name, "app");
    assert_eq!(&*route.pick_service(0.901).name, "new");
}

#[test]
fn a_key_belongs_to_one_workspace() {
    assert_eq!(
        catalogue()
            .workspace_by_key("key")
            .map(|w| w.name.to_string())
            .as_deref(),
        Some("w")
    );
    assert!(catalogue().workspace_by_key("other").is_none());
}
