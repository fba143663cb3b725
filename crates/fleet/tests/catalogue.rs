//! Tests that routes are found by host and longest prefix, that requests are split between services
//! by weight, and which ranks the streams for a service may have.

use std::{rc::Rc, time::Duration};

use dragonflyrill_fleet::{
    admission::Rank,
    catalogue::{CallerLimits, Catalogue, CatalogueParts, Route, RouteKind, Service, Workspace},
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

/// A route with a priority.
fn prioritised(kind: RouteKind, priority: u8, services: &[&Rc<Service>]) -> (Box<str>, Route) {
    let services = services.iter().map(|s| ((*s).clone(), 1)).collect();
    let route = Route {
        kind,
        priority,
        ..route("r", "/r/", services)
    };
    ("h".into(), route)
}

fn with_ranks(routes: Vec<(Box<str>, Route)>, priorities: &[Option<u8>]) -> Catalogue {
    let workspace = |(n, priority): (usize, &Option<u8>)| {
        let workspace = Workspace {
            name: format!("w{n}").into(),
            priority: *priority,
        };
        (format!("key{n}").into(), workspace)
    };
    Catalogue::from(CatalogueParts {
        version: 3,
        routes,
        services: Vec::new(),
        keys: priorities.iter().enumerate().map(workspace).collect(),
        needs_keys: true,
        caller_limits: CallerLimits::default(),
    })
}

const STREAM: RouteKind = RouteKind::Stream { resumable: true };
const SINGLE_RUN: RouteKind = RouteKind::Stream { resumable: false };

fn rank(priority: u8, route_priority: u8) -> Rank {
    Rank {
        priority,
        route_priority,
    }
}

/// Guards against ranks that depend on the order or the number of routes.
#[test]
fn ranks_are_the_distinct_priorities_of_the_streams_of_a_service() {
    let (llm, other) = (service("llm"), service("other"));
    let routes = vec![
        prioritised(STREAM, 5, &[&llm]),
        prioritised(SINGLE_RUN, 2, &[&llm, &other]),
        prioritised(STREAM, 5, &[&llm]),
    ];
    let catalogue = with_ranks(routes, &[None]);
    assert_eq!(catalogue.ranks("llm"), [rank(2, 2), rank(5, 5)]);
    assert_eq!(catalogue.ranks("other"), [rank(2, 2)]);
    assert_eq!(catalogue.ranks("unknown"), []);
}

/// Guards against calls whose priorities shift the levels of streams, as calls are not admitted by
/// level.
#[test]
fn the_priorities_of_calls_are_no_ranks_of_streams() {
    let llm = service("llm");
    let routes = vec![
        prioritised(STREAM, 1, &[&llm]),
        prioritised(RouteKind::Idempotent, 0, &[&llm]),
        prioritised(RouteKind::NonIdempotent, 9, &[&llm]),
    ];
    let catalogue = with_ranks(routes, &[None]);
    assert_eq!(catalogue.ranks("llm"), [rank(1, 1)]);
}

/// Guards against a workspace whose priority precedes that of the route but has no position of its
/// own, so that its requests have the level of another rank.
#[test]
fn the_priorities_of_workspaces_are_ranks_of_each_service_with_streams() {
    let (llm, app) = (service("llm"), service("app"));
    let routes = vec![
        prioritised(STREAM, 1, &[&llm]),
        prioritised(RouteKind::Idempotent, 1, &[&app]),
    ];
    let catalogue = with_ranks(routes, &[Some(3), None, Some(0), Some(3)]);
    assert_eq!(catalogue.ranks("llm"), [rank(0, 1), rank(1, 1), rank(3, 1)]);
    assert_eq!(catalogue.ranks("app"), []);
}

/// Guards against ranks that no request has: where each workspace has a priority, they would lie between those of the
/// kinds of streams and leave less distance for these. Callers of an anonymous route may have no workspace.
#[test]
fn ranks_without_a_workspace_count_only_where_callers_need_none() {
    let llm = service("llm");
    let routes = || {
        vec![
            prioritised(STREAM, 0, &[&llm]),
            prioritised(STREAM, 2, &[&llm]),
        ]
    };
    let all_with_priority = with_ranks(routes(), &[Some(1), Some(1)]);
    assert_eq!(all_with_priority.ranks("llm"), [rank(1, 0), rank(1, 2)]);
    let mut anonymous = routes();
    anonymous[1].1.anonymous = true;
    let one_anonymous = with_ranks(anonymous, &[Some(1)]);
    assert_eq!(
        one_anonymous.ranks("llm"),
        [rank(1, 0), rank(1, 2), rank(2, 2)]
    );
}
