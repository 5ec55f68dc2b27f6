//! Look-ups of routes and the choice within a split.

use quickcheck::quickcheck;
use wingspar_routes::{Configuration, Limits, Repeatability, Route, RouteTable, WeightedService};

fn route(host: &str, prefix: &str, parts: &[(&str, u32)]) -> Route {
    let destinations = parts.iter().map(|(service, weight)| WeightedService {
        service: (*service).to_owned(),
        weight: *weight,
    });
    Route {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        repeatability: Repeatability::Idempotent,
        timeout: None,
        objective: None,
        priority: 0,
        max_attempts: 1,
        destinations: destinations.collect(),
        public: false,
        allowed_regions: Vec::new(),
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable::new(Configuration {
        version: 1,
        routes,
        services: Vec::new(),
        limits: Limits::default(),
        tenants: Vec::new(),
    })
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table(vec![
        route("a.example", "/", &[("root", 1)]),
        route("a.example", "/x/", &[("x", 1)]),
        route("a.example", "/x/y/", &[("y", 1)]),
        route("b.example", "/x/", &[("other", 1)]),
    ]);
    let found = |host: &str, path: &str| table.find(host, path).map(|route| route.name.clone());
    assert_eq!(
        found("a.example", "/x/y/z").as_deref(),
        Some("a.example/x/y/")
    );
    assert_eq!(found("a.example", "/x/z").as_deref(), Some("a.example/x/"));
    assert_eq!(found("A.Example:8080", "/x").as_deref(), Some("a.example/"));
    assert_eq!(found("b.example", "/y"), None);
    assert_eq!(found("c.example", "/x/"), None);
}

#[test]
fn a_split_gives_each_part_its_share() {
    let table = table(vec![route("a", "/", &[("big", 90), ("small", 10)])]);
    let route = table.find("a", "/").expect("a route");
    let small = (0..20_000)
        .filter(|id: &u32| table.choose_service(route, &id.to_le_bytes()) == Some("small"))
        .count();
    assert!((1_800..2_200).contains(&small), "{small} of 20000");
}

#[test]
fn a_split_without_weight_goes_nowhere() {
    let table = table(vec![route("a", "/", &[("x", 0), ("y", 0)])]);
    let route = table.find("a", "/").expect("a route");
    assert_eq!(table.choose_service(route, b"id"), None);
}

quickcheck! {
    fn a_request_always_goes_to_the_same_part(id: Vec<u8>) -> bool {
        let table = table(vec![route("a", "/", &[("x", 3), ("y", 5), ("z", 1)])]);
        let route = table.find("a", "/").expect("a route");
        let first = table.choose_service(route, &id);
        first.is_some() && first == table.choose_service(route, &id)
    }
}
