//! Ways to hold a quota over many nodes, compared over the same arrivals: `docs/design/quotas.md` has the table.
//!
//! `cargo test -p wingspar-quota --test ways -- --nocapture` prints it. Nothing fails here, and an answer comes at once.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{TENANT, limit, millis, most_within, tenure, tolerance};
use wingspar_quota::{Answer, Ask, Decision, Limit, Owner, Refusals};

/// Headers of a datagram below its content.
const DATAGRAM_HEADERS: usize = 28;
const SECONDS: u64 = 20;
/// A tenant's usual requests, in parts of its rate.
const USUAL: f64 = 1.0 / 1.6;

/// Where and how often requests arrive.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Pattern {
    /// All at one node.
    OneClient,
    /// At any of 80 nodes, or of all if there are fewer.
    EightyClients,
    /// At one node, another each second.
    AnewEachSecond,
    /// Seven times as many as usual, at any node.
    SevenTimes,
}

struct Arrival {
    at: Duration,
    node: usize,
}

fn arrivals(pattern: Pattern, rate: f64, nodes: usize) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let factor = if pattern == Pattern::SevenTimes {
        7.0
    } else {
        1.0
    };
    let per_s = rate * USUAL * factor;
    let mut at = 0.0;
    let mut arrivals = Vec::new();
    loop {
        let uniform = random.random_range(f64::MIN_POSITIVE..1.0);
        at += -uniform.ln() / per_s;
        if at >= SECONDS as f64 {
            return arrivals;
        }
        let node = match pattern {
            Pattern::OneClient => 5 % nodes,
            Pattern::EightyClients => random.random_range(0..80.min(nodes)) * nodes / 80.min(nodes),
            Pattern::AnewEachSecond => (at as usize * 29) % nodes,
            Pattern::SevenTimes => random.random_range(0..nodes),
        };
        // The tenant's owner has been there for long.
        let at = millis(100_000) + Duration::from_secs_f64(at);
        arrivals.push(Arrival { at, node });
    }
}

/// Counts messages and their bytes.
#[derive(Default)]
struct Traffic {
    messages: usize,
    bytes: usize,
}

impl Traffic {
    fn add(&mut self, content: usize) {
        self.messages += 1;
        self.bytes += content + DATAGRAM_HEADERS;
    }
}

fn encoded(value: &impl serde::Serialize) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("it can be written");
    bytes.len()
}

/// A way to decide on requests.
trait Way {
    fn admits(&mut self, arrival: &Arrival) -> bool;
    fn traffic(&self) -> &Traffic;
}

/// The owner's side, and what passes between it and routers.
struct Asking {
    owner: Owner,
    limit: Limit,
    number: u64,
    traffic: Traffic,
}

impl Asking {
    fn new(limit: Limit) -> Self {
        let owner = Owner::new(tolerance());
        let traffic = Traffic::default();
        Self {
            owner,
            limit,
            number: 1 << 60,
            traffic,
        }
    }

    fn ask(&mut self, now: Duration, wanted: u16) -> Decision {
        self.number += 1;
        let ask = Ask {
            number: self.number,
            tenant: TENANT.to_owned(),
            wanted,
            limit: self.limit,
            returned: Vec::new(),
        };
        let decision = self.owner.decide(now, tenure(1 << 60, millis(0)), &ask);
        let answer = Answer {
            number: ask.number,
            decision: Some(decision),
        };
        self.traffic.add(encoded(&ask));
        self.traffic.add(encoded(&answer));
        decision
    }
}

/// A token is asked for with each request; a refusal is remembered for a moment.
struct AskEach {
    asking: Asking,
    refusals: Vec<Refusals>,
}

impl Way for AskEach {
    fn admits(&mut self, arrival: &Arrival) -> bool {
        let (now, limit) = (arrival.at, self.asking.limit);
        let refusals = &mut self.refusals[arrival.node];
        if refusals
            .refuses(now, TENANT, &limit, tolerance().window)
            .is_some()
        {
            return false;
        }
        let decision = self.asking.ask(now, 1);
        if decision.granted == 0 {
            let retry_after = millis(decision.retry_after_ms.into());
            refusals.refused(now, TENANT, &limit, retry_after, 1);
        }
        decision.granted > 0
    }

    fn traffic(&self) -> &Traffic {
        &self.asking.traffic
    }
}

/// A router asks for what it expects within a twentieth of the window; what it hasn't used by then is lost.
struct InAdvance {
    asking: Asking,
    refusals: Vec<Refusals>,
    /// Tokens in hand, and until when.
    in_hand: Vec<(u16, Duration)>,
    /// Requests in this second and in the one before.
    seen: Vec<(u64, u16, u16)>,
}

impl InAdvance {
    fn expected(&mut self, arrival: &Arrival) -> u16 {
        let second = arrival.at.as_secs();
        let seen = &mut self.seen[arrival.node];
        if seen.0 != second {
            let before = if seen.0 + 1 == second { seen.1 } else { 0 };
            *seen = (second, 0, before);
        }
        seen.1 += 1;
        (f64::from(seen.2) * (tolerance().window / 20).as_secs_f64()) as u16
    }
}

impl Way for InAdvance {
    fn admits(&mut self, arrival: &Arrival) -> bool {
        let (now, limit) = (arrival.at, self.asking.limit);
        let expected = self.expected(arrival);
        let (tokens, until) = &mut self.in_hand[arrival.node];
        if *tokens > 0 && now < *until {
            *tokens -= 1;
            return true;
        }
        let refusals = &mut self.refusals[arrival.node];
        if refusals
            .refuses(now, TENANT, &limit, tolerance().window)
            .is_some()
        {
            return false;
        }
        let decision = self.asking.ask(now, 1 + expected);
        if decision.granted == 0 {
            let retry_after = millis(decision.retry_after_ms.into());
            refusals.refused(now, TENANT, &limit, retry_after, 1);
            return false;
        }
        let until = now + tolerance().window / 20;
        self.in_hand[arrival.node] = (decision.granted - 1, until);
        true
    }

    fn traffic(&self) -> &Traffic {
        &self.asking.traffic
    }
}

/// Each node has a share of the rate, dealt anew every 0.4 s: a fifth equally, the rest by demand.
struct Shares {
    limit: Limit,
    nodes: usize,
    round: u64,
    demand: HashMap<usize, u32>,
    total: u32,
    /// Parts of the rate by node, other than the equal one.
    dealt: HashMap<usize, f64>,
    /// Tokens of a node, and when that was.
    buckets: HashMap<usize, (f64, Duration)>,
    traffic: Traffic,
}

const ROUND: Duration = Duration::from_millis(400);
const EQUAL_PART: f64 = 0.2;
/// A report or a share within a renewal: tenant, count, rate.
const SHARE_BYTES: usize = 24;

impl Shares {
    fn part(&self, node: usize) -> f64 {
        let equal = EQUAL_PART / self.nodes as f64;
        equal + self.dealt.get(&node).copied().unwrap_or_default()
    }

    fn deal(&mut self) {
        let total = f64::from(self.total.max(1));
        self.dealt.clear();
        for (node, demand) in self.demand.drain() {
            // They ride on renewals, so they have no headers of their own.
            self.traffic.messages += 2;
            self.traffic.bytes += 2 * SHARE_BYTES;
            let part = (1.0 - EQUAL_PART) * f64::from(demand) / total;
            self.dealt.insert(node, part);
        }
        self.total = 0;
    }
}

impl Way for Shares {
    fn admits(&mut self, arrival: &Arrival) -> bool {
        let round = (arrival.at.as_millis() / ROUND.as_millis()) as u64;
        if round != self.round {
            self.round = round;
            self.deal();
        }
        *self.demand.entry(arrival.node).or_default() += 1;
        self.total += 1;
        let part = self.part(arrival.node);
        let depth = (tolerance().depth(&self.limit) * part).max(EQUAL_PART);
        let bucket = self.buckets.entry(arrival.node);
        let (tokens, at) = bucket.or_insert((depth, arrival.at));
        let passed = (arrival.at - *at).as_secs_f64();
        *tokens = (*tokens + passed * self.limit.rate_per_s * part).min(depth.max(1.0));
        *at = arrival.at;
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }

    fn traffic(&self) -> &Traffic {
        &self.traffic
    }
}

/// What a way did with the arrivals.
#[derive(Debug)]
struct Outcome {
    /// Requests beyond the bound, in the worst window.
    over: f64,
    /// Part of what the limit allows that was refused.
    refused_below: f64,
    messages_per_s: f64,
    bytes_per_s: f64,
}

fn play(way: &mut dyn Way, limit: &Limit, arrivals: &[Arrival]) -> Outcome {
    let admitted = arrivals.iter().filter(|arrival| way.admits(arrival));
    let admitted = admitted.map(|arrival| arrival.at).collect::<Vec<_>>();
    let bound = tolerance().allowed(limit) + tolerance().beyond(limit);
    let owed = owed(limit, arrivals);
    let most = most_within(tolerance().window, &admitted) as f64;
    let traffic = way.traffic();
    Outcome {
        over: (most - bound).max(0.0),
        refused_below: (1.0 - admitted.len() as f64 / owed as f64).max(0.0),
        messages_per_s: traffic.messages as f64 / SECONDS as f64,
        bytes_per_s: traffic.bytes as f64 / SECONDS as f64,
    }
}

/// Requests that one bucket of the limit itself, which sees all, would admit.
fn owed(limit: &Limit, arrivals: &[Arrival]) -> usize {
    let mut tokens = limit.burst;
    let mut before = arrivals.first().map_or(Duration::ZERO, |first| first.at);
    let admits = |arrival: &&Arrival| {
        let passed = (arrival.at - before).as_secs_f64();
        before = arrival.at;
        tokens = (tokens + passed * limit.rate_per_s).min(limit.burst);
        let admitted = tokens >= 1.0;
        tokens -= f64::from(u8::from(admitted));
        admitted
    };
    arrivals.iter().filter(admits).count()
}

const PATTERNS: [Pattern; 4] = [
    Pattern::OneClient,
    Pattern::EightyClients,
    Pattern::AnewEachSecond,
    Pattern::SevenTimes,
];

fn ways(limit: Limit, nodes: usize) -> [(&'static str, Box<dyn Way>); 3] {
    let refusals = || (0..nodes).map(|_| Refusals::default()).collect::<Vec<_>>();
    let ask_each = AskEach {
        asking: Asking::new(limit),
        refusals: refusals(),
    };
    let in_advance = InAdvance {
        asking: Asking::new(limit),
        refusals: refusals(),
        in_hand: vec![(0, Duration::ZERO); nodes],
        seen: vec![(0, 0, 0); nodes],
    };
    let shares = Shares {
        limit,
        nodes,
        round: 0,
        demand: HashMap::new(),
        total: 0,
        dealt: HashMap::new(),
        buckets: HashMap::new(),
        traffic: Traffic::default(),
    };
    [
        ("ask each", Box::new(ask_each)),
        ("in advance", Box::new(in_advance)),
        ("shares", Box::new(shares)),
    ]
}

/// The outcomes of all ways for tenants of that rate, in the order of [`ways`].
fn compare(rate: f64, nodes: usize, pattern: Pattern) -> Vec<Outcome> {
    let limit = limit(1, rate);
    let arrivals = arrivals(pattern, rate, nodes);
    let mut outcomes = Vec::new();
    for (name, mut way) in ways(limit, nodes) {
        let outcome = play(way.as_mut(), &limit, &arrivals);
        println!(
            "{nodes:>6} nodes, {rate:>4} a second, {pattern:?}, {name}: over {:.0}, refused below {:.3}, \
             {:.0} messages and {:.0} bytes a second",
            outcome.over, outcome.refused_below, outcome.messages_per_s, outcome.bytes_per_s
        );
        outcomes.push(outcome);
    }
    outcomes
}

#[test]
fn asking_for_each_request_keeps_the_bound_and_refuses_nothing_below_the_limit() {
    for nodes in [83, 17_000] {
        for rate in [8.0, 100.0] {
            for pattern in PATTERNS {
                let outcomes = compare(rate, nodes, pattern);
                let asked = &outcomes[0];
                assert_eq!(asked.over, 0.0, "{pattern:?}");
                assert!(asked.refused_below <= 0.01, "{pattern:?}: {asked:?}");
            }
        }
    }
}

#[test]
fn shares_by_demand_refuse_tenants_whose_requests_come_anywhere() {
    let outcomes = compare(8.0, 83, Pattern::EightyClients);
    assert!(outcomes[2].refused_below > 0.3, "{outcomes:?}");
}

#[test]
fn tokens_in_advance_save_messages_only_where_a_node_sees_many_requests() {
    let spread = compare(8.0, 83, Pattern::EightyClients);
    assert!(spread[1].messages_per_s > 0.95 * spread[0].messages_per_s);
    let single = compare(100.0, 83, Pattern::OneClient);
    assert!(single[1].messages_per_s < 0.3 * single[0].messages_per_s);
}
