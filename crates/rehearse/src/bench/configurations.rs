//! What a configuration of many routes costs: a look-up, taking a version in, and the bytes of a version.

use std::fmt::Write;
use std::hint::black_box;
use std::time::Instant;

use wingspar_platform::parse_configuration;
use wingspar_routes::{ChangeLog, Configuration, ConfigurationChanges, Route, RouteTable};
use wingspar_sidecar::packed::{pack, unpack};

use super::{Bound, Row};

/// Routes of a small operator.
const FEW: usize = 20;
/// Routes of an operator who has added a large catalogue.
const MANY: usize = 1_420;
/// Tenants of both.
const TENANTS: usize = 84;
/// Look-ups that are timed.
const LOOK_UPS: usize = 200_000;
/// Versions that are timed.
const VERSIONS: usize = 40;

/// A look-up among many routes takes so many times what it takes among few: the longer host and more lengths of prefixes
/// may cost something, the number of routes may not.
const LOOK_UP_RATIO: f64 = 4.0;
/// A version that changes one route takes this part of the whole's bytes at most.
const CHANGES_SHARE: f64 = 0.05;

pub(super) fn measure() -> Vec<Row> {
    let many = configuration(MANY, 1);
    let later = next(&many);
    let changes = ConfigurationChanges::between(&many, &later);
    let changes = pack(&changes.into_iter().collect::<Vec<_>>());
    let mut rows = look_ups(&many);
    rows.extend(bytes(&many, &changes));
    rows.extend(times(&many, &later, &changes));
    rows
}

fn row(name: &'static str, value: f64, unit: &'static str, bound: Bound) -> Row {
    Row {
        name,
        value,
        unit,
        bound,
    }
}

fn look_ups(many: &Configuration) -> Vec<Row> {
    let among_few = look_up_ns(&configuration(FEW, 1));
    let among_many = look_up_ns(many);
    let ratio = among_many / among_few;
    vec![
        row("look-up, 20 routes", among_few, "ns", Bound::None),
        row("look-up, 1,420 routes", among_many, "ns", Bound::None),
        row("walk over 1,420 routes", walk_ns(many), "ns", Bound::None),
        row(
            "look-up, 1,420 routes over 20",
            ratio,
            "",
            Bound::AtMost(LOOK_UP_RATIO),
        ),
    ]
}

fn bytes(many: &Configuration, changes: &[u8]) -> Vec<Row> {
    let whole = pack(many).len() as f64;
    let changed = changes.len() as f64;
    vec![
        row("a version whole", whole, "bytes", Bound::None),
        row(
            "a version of one changed route",
            changed,
            "bytes",
            Bound::None,
        ),
        row(
            "its share of the whole",
            changed / whole,
            "",
            Bound::AtMost(CHANGES_SHARE),
        ),
    ]
}

fn times(many: &Configuration, later: &Configuration, changes: &[u8]) -> Vec<Row> {
    let text = json(MANY, 1);
    let whole = pack(many);
    let read = millis(|| {
        black_box(parse_configuration(text.as_bytes()).is_ok());
    });
    let packing = millis(|| {
        black_box(pack(many));
    });
    let unpacking = millis(|| {
        black_box(unpack::<Configuration>(&whole));
    });
    let telling = millis(|| {
        let mut log = ChangeLog::default();
        log.follow(many, later);
        black_box(log);
    });
    let building = millis(|| {
        black_box(RouteTable::new(many.clone()));
    });
    [
        ("read from the store's text", read),
        ("pack whole", packing),
        ("unpack whole", unpacking),
        ("tell what has changed", telling),
        ("take changes in", take_in_ms(many, changes)),
        ("build the table of look-ups", building),
    ]
    .into_iter()
    .map(|(name, value)| row(name, value, "ms", Bound::None))
    .collect()
}

/// A configuration as the store tells it.
fn json(routes: usize, version: u64) -> String {
    let mut text = format!(r#"{{"version": {version}, "routes": ["#);
    for number in 0..routes {
        let comma = if number == 0 { "" } else { "," };
        // Writing to a text can't fail.
        let _written = write!(
            text,
            r#"{comma}{{"name": "route-{number}", "host": "shop{}.example", "path_prefix": "/part{number}/", "kind": "idempotent",
               "timeout_s": 1.2, "slo_s": 0.4, "priority": 1, "service": "service-{}", "max_attempts": 2}}"#,
            number % 5,
            number % 4,
        );
    }
    text.push_str(r#"], "services": [], "tenants": ["#);
    for number in 0..TENANTS {
        let comma = if number == 0 { "" } else { "," };
        let _written = write!(
            text,
            r#"{comma}{{"name": "tenant-{number}", "api_keys": ["credential-{number}-a", "credential-{number}-b"]}}"#
        );
    }
    text.push_str("]}");
    text
}

fn configuration(routes: usize, version: u64) -> Configuration {
    parse_configuration(json(routes, version).as_bytes()).expect("it is of the store's form")
}

/// The next version, in which one route has another priority.
fn next(configuration: &Configuration) -> Configuration {
    let mut next = configuration.clone();
    next.version += 1;
    let changed = next.routes.len() / 2;
    next.routes[changed].priority += 1;
    next
}

/// Hosts and paths that requests ask for, of all routes in turn.
fn asked(configuration: &Configuration) -> Vec<(String, String)> {
    let routes = configuration.routes.iter();
    routes
        .map(|route| {
            (
                route.host.clone(),
                format!("{}some/thing", route.path_prefix),
            )
        })
        .collect()
}

fn look_up_ns(configuration: &Configuration) -> f64 {
    let table = RouteTable::new(configuration.clone());
    let asked = asked(configuration);
    let began_at = Instant::now();
    for (host, path) in asked.iter().cycle().take(LOOK_UPS) {
        black_box(table.find(host, path));
    }
    began_at.elapsed().as_secs_f64() * 1e9 / LOOK_UPS as f64
}

/// The same by a walk over the routes of the host, longest prefix first.
fn walk_ns(configuration: &Configuration) -> f64 {
    let mut routes = configuration.routes.iter().collect::<Vec<_>>();
    routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
    let takes = |route: &Route, host: &str, path: &str| {
        route.host == host && path.starts_with(&route.path_prefix)
    };
    let asked = asked(configuration);
    let began_at = Instant::now();
    let walks = LOOK_UPS / 20;
    for (host, path) in asked.iter().cycle().take(walks) {
        black_box(routes.iter().find(|route| takes(route, host, path)));
    }
    began_at.elapsed().as_secs_f64() * 1e9 / walks as f64
}

/// Milliseconds that a node takes for a version of which it is given the changes.
fn take_in_ms(known: &Configuration, changes: &[u8]) -> f64 {
    millis(|| {
        let changes = unpack::<Vec<ConfigurationChanges>>(changes).unwrap_or_default();
        let mut configuration = known.clone();
        for changes in &changes {
            black_box(changes.apply(&mut configuration));
        }
        black_box(RouteTable::new(configuration));
    })
}

fn millis(work: impl Fn()) -> f64 {
    let began_at = Instant::now();
    for _ in 0..VERSIONS {
        work();
    }
    began_at.elapsed().as_secs_f64() * 1e3 / VERSIONS as f64
}
