//! Whatever arrives and whatever fails, a tenant's requests that run stay within the bound in any window.

mod support;

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, quickcheck};
use support::{TENANT, ask, limit, millis, most_within, tenure, tolerance};
use wingspar_quota::{Ask, Fallback, Limit, Owner, Place, Returned, Tenure};

const NODES: usize = 7;

/// What happens next, so many milliseconds after the step before.
#[derive(Debug, Clone, Copy)]
struct Step {
    after_ms: u64,
    what: What,
}

#[derive(Debug, Clone, Copy)]
enum What {
    /// So many requests arrive at a router.
    Requests { router: usize, count: u16 },
    /// The same, but their targets turn them away a moment later.
    TurnedAway {
        router: usize,
        count: u16,
        for_ms: u64,
    },
    /// The owner is lost, or gives its shard up; another begins.
    AnotherOwner,
    /// The owner's answer is lost after it has granted tokens.
    AnswerLost { router: usize, count: u16 },
    /// A router is cut off from owners, or is back.
    Cut { router: usize },
    /// The owner pauses, or goes on.
    Pause,
    /// All processes start anew.
    RestartOfAll,
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        let router = usize::arbitrary(source) % NODES;
        let count = u16::arbitrary(source) % 12;
        let for_ms = u64::arbitrary(source) % 1_500;
        let what = match u8::arbitrary(source) % 32 {
            0 => What::AnotherOwner,
            1 => What::Cut { router },
            2 => What::Pause,
            3 => What::RestartOfAll,
            4..=6 => What::AnswerLost { router, count },
            7..=13 => What::TurnedAway {
                router,
                count,
                for_ms,
            },
            _ => What::Requests { router, count },
        };
        let after_ms = u64::arbitrary(source) % 120;
        Self { after_ms, what }
    }
}

/// Some routers, the owner of the tenant's shard, and the requests that have run.
struct Fleet {
    now: Duration,
    limit: Limit,
    owner: Owner,
    tenure: Tenure,
    is_paused: bool,
    cut: [bool; NODES],
    fallbacks: Vec<Fallback>,
    number: u64,
    /// Tokens that come back, and when.
    returning: Vec<(Duration, Returned)>,
    ran: Vec<Duration>,
}

impl Fleet {
    fn new(rate: f64) -> Self {
        let now = millis(100_000);
        Self {
            now,
            limit: limit(1, rate),
            owner: Owner::new(tolerance()),
            tenure: tenure(1, now),
            is_paused: false,
            cut: [false; NODES],
            fallbacks: Self::fallbacks(now),
            number: 0,
            returning: Vec::new(),
            ran: Vec::new(),
        }
    }

    fn fallbacks(now: Duration) -> Vec<Fallback> {
        (0..NODES)
            .map(|_| Fallback::new(now, tolerance()))
            .collect()
    }

    fn ask(&mut self, wanted: u16, returned: Vec<Returned>) -> (u16, Returned) {
        self.number += 1;
        let ask = Ask {
            returned,
            ..ask(self.number, wanted, self.limit)
        };
        let decision = self.owner.decide(self.now, self.tenure, &ask);
        let token = Returned {
            tenure: decision.tenure,
            granted_at_ms: decision.decided_at_ms,
            tokens: decision.granted,
        };
        (decision.granted, token)
    }

    fn answers(&self, router: usize) -> bool {
        !self.is_paused && !self.cut[router]
    }

    /// Requests that a router lets through without an owner.
    fn alone(&mut self, router: usize, count: u16) -> usize {
        let place = Place {
            position: router,
            nodes: NODES,
        };
        let (now, limit) = (self.now, self.limit);
        let fallback = &mut self.fallbacks[router];
        (0..count)
            .filter(|_| fallback.admit(now, place, TENANT, &limit))
            .count()
    }

    fn run(&mut self, requests: usize) {
        self.ran.extend(std::iter::repeat_n(self.now, requests));
    }

    fn pass(&mut self, after: Duration) {
        self.now += after;
        let due = |(at, _): &(Duration, Returned)| *at <= self.now;
        let (due, later) = self.returning.drain(..).partition::<Vec<_>, _>(due);
        self.returning = later;
        let returned = due.into_iter().map(|(_, token)| token).collect::<Vec<_>>();
        if !returned.is_empty() && !self.is_paused {
            self.ask(0, returned);
        }
    }

    /// Another owner begins.
    fn begin_tenure(&mut self) {
        self.tenure = tenure(self.tenure.id.0 + 1, self.now);
        self.owner = Owner::new(tolerance());
        self.is_paused = false;
    }

    fn step(&mut self, step: Step) {
        self.pass(millis(step.after_ms));
        match step.what {
            What::Requests { router, count } => {
                let admitted = if self.answers(router) {
                    usize::from(self.ask(count, Vec::new()).0)
                } else {
                    self.alone(router, count)
                };
                self.run(admitted);
            }
            What::TurnedAway {
                router,
                count,
                for_ms,
            } => {
                if self.answers(router) {
                    let (_, token) = self.ask(count, Vec::new());
                    self.returning.push((self.now + millis(for_ms), token));
                }
            }
            What::AnswerLost { router, count } => {
                if !self.is_paused {
                    self.ask(count, Vec::new());
                }
                let admitted = self.alone(router, count);
                self.run(admitted);
            }
            What::AnotherOwner => self.begin_tenure(),
            What::Cut { router } => self.cut[router] = !self.cut[router],
            What::Pause => self.is_paused = !self.is_paused,
            What::RestartOfAll => {
                self.begin_tenure();
                self.fallbacks = Self::fallbacks(self.now);
            }
        }
    }

    fn bound(&self) -> f64 {
        tolerance().allowed(&self.limit) + tolerance().beyond(&self.limit)
    }
}

quickcheck! {
    fn the_sum_over_all_nodes_stays_in_the_bound(steps: Vec<Step>, rate: u8) -> bool {
        let mut fleet = Fleet::new(f64::from(rate % 60) + 0.5);
        // A few hundred steps, so that several windows pass.
        let steps = steps.iter().cycle().take(steps.len() * 8);
        for step in steps {
            fleet.step(*step);
        }
        most_within(tolerance().window, &fleet.ran) as f64 <= fleet.bound()
    }

    fn a_lower_limit_binds_one_window_after_all_know_it(steps: Vec<Step>, rate: u8) -> bool {
        let mut fleet = Fleet::new(f64::from(rate) + 10.0);
        for step in &steps {
            fleet.step(*step);
        }
        fleet.limit = limit(2, fleet.limit.rate_per_s / 8.0);
        let known_at = fleet.now;
        for step in steps.iter().cycle().take(steps.len() * 4) {
            fleet.step(*step);
        }
        let later = fleet.ran.iter().filter(|time| **time >= known_at + tolerance().window);
        let later = later.copied().collect::<Vec<_>>();
        most_within(tolerance().window, &later) as f64 <= fleet.bound()
    }
}

#[test]
fn a_router_that_is_cut_off_for_long_adds_no_more_than_its_share() {
    let mut fleet = Fleet::new(8.0);
    fleet.cut[3] = true;
    fleet.pass(millis(20_000));
    for _ in 0..2_000 {
        for router in 0..NODES {
            let what = What::Requests { router, count: 2 };
            fleet.step(Step { after_ms: 1, what });
        }
    }
    let most = most_within(tolerance().window, &fleet.ran) as f64;
    assert!(most <= fleet.bound(), "{most} of {}", fleet.bound());
    assert!(
        most > tolerance().allowed(&fleet.limit),
        "the limit itself is used"
    );
}
