//! What a target's lives held, and the checks over several targets.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use wingspar_standins::fleet::{
    FleetTarget, Holding, KeyChange, KeyEvent, KeySpan, fences_of_earlier_lives, holdings,
    low_fences, overlaps,
};

const ALLOWED: Duration = Duration::from_millis(500);

/// Events at milliseconds of a virtual time.
struct Events {
    began_at: Instant,
    events: Vec<KeyEvent>,
}

impl Events {
    fn new(began_at: Instant) -> Self {
        Self {
            began_at,
            events: Vec::new(),
        }
    }

    fn at(mut self, at: u64, life: u32, change: KeyChange) -> Self {
        let at = self.began_at + Duration::from_millis(at);
        self.events.push(KeyEvent { at, life, change });
        self
    }

    fn granted(self, at: u64, life: u32, (from, to, fence): (u64, u64, u64), until: u64) -> Self {
        let until = self.began_at + Duration::from_millis(until);
        let span = KeySpan { from, to, fence };
        self.at(at, life, KeyChange::Granted(span, until))
    }

    /// Keys, fence, beginning and end of each holding.
    fn rows(&self) -> Vec<(u64, u64, u64, u64, u64)> {
        let since_start = |at: Instant| at.duration_since(self.began_at).as_millis() as u64;
        let row = |held: &Holding| {
            let KeySpan { from, to, fence } = held.span;
            (
                from,
                to,
                fence,
                since_start(held.since),
                since_start(held.until),
            )
        };
        let mut rows = holdings(&self.events).iter().map(row).collect::<Vec<_>>();
        rows.sort_unstable();
        rows
    }
}

#[test]
fn renewals_prolong_a_holding_and_a_release_of_a_part_ends_that_part() {
    let events = Events::new(Instant::now())
        .granted(0, 0, (0, 99, 5), 1_000)
        .granted(800, 0, (0, 99, 5), 1_800)
        .at(1_200, 0, KeyChange::Released(40, 59))
        .granted(1_300, 0, (60, 99, 5), 2_300);
    assert_eq!(
        events.rows(),
        [
            (0, 39, 5, 0, 1_800),
            (40, 59, 5, 0, 1_200),
            (60, 99, 5, 0, 2_300),
        ]
    );
}

#[test]
fn a_hold_that_has_run_out_and_the_end_of_a_life_end_holdings() {
    let events = Events::new(Instant::now())
        .granted(0, 0, (0, 9, 5), 1_000)
        .granted(1_500, 0, (0, 9, 5), 2_500)
        .at(2_000, 0, KeyChange::Ended)
        .granted(2_600, 1, (0, 9, 6), 3_600);
    assert_eq!(
        events.rows(),
        [
            (0, 9, 5, 0, 1_000),
            (0, 9, 5, 1_500, 2_000),
            (0, 9, 6, 2_600, 3_600),
        ]
    );
}

#[test]
fn two_targets_overlap_for_as_long_as_both_hold_a_key() {
    let began_at = Instant::now();
    let first = Events::new(began_at)
        .granted(0, 0, (0, 99, 5), 1_000)
        .granted(900, 0, (0, 99, 7), 2_000);
    let short = Events::new(began_at).granted(1_600, 0, (50, 149, 8), 3_000);
    let long = Events::new(began_at).granted(700, 0, (50, 149, 6), 1_800);
    let both = |second: &Events| {
        let targets = [holdings(&first.events), holdings(&second.events)];
        overlaps(&targets, ALLOWED)
    };
    assert_eq!(both(&short), []);
    let found = both(&long);
    assert_eq!(found.len(), 1);
    assert_eq!((found[0].from, found[0].to), (50, 99));
    assert_eq!(found[0].lasted, Duration::from_millis(1_100));
}

#[test]
fn a_grant_under_a_fence_that_another_target_has_had_is_found() {
    let began_at = Instant::now();
    let first = holdings(&Events::new(began_at).granted(0, 0, (0, 99, 5), 500).events);
    let later = |fence| {
        let events = Events::new(began_at).granted(1_000, 0, (90, 199, fence), 2_000);
        low_fences(&[first.clone(), holdings(&events.events)])
    };
    assert_eq!(later(6), []);
    assert_eq!(later(5).len(), 1);
    assert_eq!(later(4).len(), 1);
}

#[test]
fn a_grant_under_a_fence_of_an_earlier_life_counts_once_the_later_life_is_known() {
    let renewed_at = |at: u64| {
        let events = Events::new(Instant::now())
            .granted(0, 0, (0, 99, 5), 1_000)
            .at(500, 0, KeyChange::Ended)
            .granted(800, 1, (0, 99, 5), 1_800)
            .at(1_000, 1, KeyChange::Acknowledged)
            .granted(at, 1, (0, 99, 5), at + 1_000);
        fences_of_earlier_lives(&events.events).len()
    };
    assert_eq!(renewed_at(1_400), 0);
    assert_eq!(renewed_at(1_600), 1);
}

async fn order(target: &FleetTarget, path: &str, order: &Value) -> u16 {
    order_for(target, path, order, "").await
}

/// Sends an order that is meant for a life; for any, if that is empty.
async fn order_for(target: &FleetTarget, path: &str, order: &Value, life: &str) -> u16 {
    let client = reqwest::Client::builder().no_proxy();
    let client = client.build().expect("a client");
    let url = format!("http://{}{path}", target.local_addr());
    let call = client.post(url).header("x-wingspar-expect-instance", life);
    let sent = call.body(order.to_string()).send();
    sent.await.expect("an answer").status().as_u16()
}

fn grant(from: u64, to: u64, fence: u64) -> Value {
    json!({"from": from, "to_version": to, "fence": fence, "hold_s": 5.0})
}

#[tokio::test]
async fn a_life_refuses_fences_below_those_that_it_has_seen_and_the_next_has_seen_none() {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let target = FleetTarget::start(address, "t", true).await;
    let target = target.expect("a target");
    assert_eq!(order(&target, "/grant", &grant(0, 99, 7)).await, 200);
    let release = json!({"from": 0, "to_version": 99, "fence": 7});
    assert_eq!(order(&target, "/release", &release).await, 200);
    assert!(!target.holds(50));
    assert_eq!(order(&target, "/grant", &grant(99, 150, 6)).await, 409);
    assert_eq!(order(&target, "/grant", &grant(100, 150, 6)).await, 200);
    target.end_life().await;
    assert!(!target.is_up());
    target.begin_life(true).await;
    assert_eq!(target.id(), "t");
    assert!(!target.holds(120));
    assert_eq!(order(&target, "/grant", &grant(0, 99, 3)).await, 200);
    target.end_life().await;
    target.begin_life(false).await;
    assert_eq!(target.id(), "t-2");
    let lives = holdings(&target.key_events());
    let lives = lives.iter().map(|held| held.life).collect::<Vec<_>>();
    assert_eq!(lives, [0, 0, 1]);
}

#[tokio::test]
async fn only_a_target_that_checks_grants_refuses_those_meant_for_another_life() {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let target = FleetTarget::start(address, "t", true).await;
    let target = target.expect("a target");
    let grant = grant(0, 99, 7);
    assert_eq!(order_for(&target, "/grant", &grant, "other").await, 200);
    target.check_grants();
    assert_eq!(order_for(&target, "/grant", &grant, "other").await, 421);
    assert_eq!(order_for(&target, "/grant", &grant, "t").await, 200);
    assert_eq!(order(&target, "/grant", &grant).await, 200);
}
