//! The run of one workload under one way of placing keys.

use std::time::Duration;

use wingspar_world::{KeyHash, MonotonicTime, TargetName};

use super::noise::poisson;
use super::workload::{Event, Workload};
use crate::baseline::{Observation, Placer};
use crate::{TargetState, churn, imbalance};

/// What a change of ownership costs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Costs {
    /// Time for which a key cannot be served during a planned hand-over.
    pub hand_over: Duration,
    /// Time for which a key cannot be served after the loss of its owner.
    pub loss: Duration,
}

/// Measures of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// The way of placing keys.
    pub placer: String,
    /// Mean over all requests of the [`imbalance`], by slots of the accepting targets.
    pub imbalance_mean: f64,
    /// Highest [`imbalance`] while the rate is at least a tenth of the top.
    pub imbalance_max: f64,
    /// Sum over time of [`churn`]: 1.0 means as many changes of owner as there are keys.
    pub churn: f64,
    /// Part of the churn that did not come at once with a change of targets.
    pub elective_churn: f64,
    /// Seconds for which a key could not be served: the mean over keys by their requests.
    pub unavailable_seconds: f64,
}

/// Runs a workload and measures.
pub fn run(workload: &Workload, placer: &mut dyn Placer, costs: Costs) -> Row {
    let mut model = Model::new(workload, costs);
    placer.set_targets(model.now(), &model.targets);
    model.owners = model.ask_owners(placer);
    while model.elapsed < workload.length {
        model.carry_out_events(placer);
        model.observe(placer);
        model.measure();
        model.elapsed += workload.step;
    }
    model.row(placer.name())
}

/// Share of the top rate from which the highest imbalance counts: that of a few requests is no matter.
const BUSY_SHARE: f64 = 0.1;

struct Model<'a> {
    workload: &'a Workload,
    costs: Costs,
    elapsed: Duration,
    targets: Vec<TargetState>,
    /// Position and share of the requests of each key, by key.
    keys: Vec<KeyShare>,
    /// Position in `keys` by rank.
    ranks: Vec<usize>,
    /// Position of each key's owner.
    owners: Vec<Option<usize>>,
    next_event: usize,
    steps: u32,
    requests: f64,
    imbalance_sum: f64,
    imbalance_max: f64,
    churn: f64,
    elective_churn: f64,
    unavailable: f64,
}

#[derive(Debug, Clone, Copy)]
struct KeyShare {
    key: KeyHash,
    /// Share of the requests by rank.
    zipf: f64,
    /// Share of the requests that the key has besides.
    extra: f64,
}

impl<'a> Model<'a> {
    fn new(workload: &'a Workload, costs: Costs) -> Self {
        let ranked = workload.hashes().into_iter().zip(workload.zipf());
        let mut by_key: Vec<(usize, KeyShare)> = ranked
            .map(|(key, zipf)| KeyShare {
                key,
                zipf,
                extra: 0.0,
            })
            .enumerate()
            .collect();
        by_key.sort_by_key(|(_, share)| share.key);
        let mut ranks = vec![0; by_key.len()];
        for (position, (rank, _)) in by_key.iter().enumerate() {
            ranks[*rank] = position;
        }
        Self {
            workload,
            costs,
            elapsed: Duration::ZERO,
            targets: workload.targets.clone(),
            keys: by_key.into_iter().map(|(_, share)| share).collect(),
            ranks,
            owners: Vec::new(),
            next_event: 0,
            steps: 0,
            requests: 0.0,
            imbalance_sum: 0.0,
            imbalance_max: 0.0,
            churn: 0.0,
            elective_churn: 0.0,
            unavailable: 0.0,
        }
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::ZERO + self.elapsed
    }

    fn carry_out_events(&mut self, placer: &mut dyn Placer) {
        while let Some(next) = self.workload.events.get(self.next_event) {
            if next.at > self.elapsed {
                return;
            }
            self.next_event += 1;
            self.carry_out(&next.event, placer);
        }
    }

    fn carry_out(&mut self, event: &Event, placer: &mut dyn Placer) {
        let mut lost = None;
        match event {
            Event::Hot { rank, share } => self.keys[self.ranks[*rank]].extra = *share,
            Event::Shift { ranks } => self.shift(*ranks),
            Event::Join(target) => self.targets.push(target.clone()),
            Event::Drain(name) => self.set_accepts(name, false),
            Event::Return(name) => self.set_accepts(name, true),
            Event::Lose(name) => {
                self.set_accepts(name, false);
                lost = Some(name);
            }
        }
        if !matches!(event, Event::Hot { .. } | Event::Shift { .. }) {
            placer.set_targets(self.now(), &self.targets);
            self.count_changes(placer, lost, false);
        }
    }

    fn shift(&mut self, count: usize) {
        let count = count.min(self.ranks.len() / 2);
        for rank in 0..count {
            let (one, other) = (self.ranks[rank], self.ranks[rank + count]);
            let zipf = self.keys[one].zipf;
            self.keys[one].zipf = self.keys[other].zipf;
            self.keys[other].zipf = zipf;
            self.ranks.swap(rank, rank + count);
        }
    }

    fn set_accepts(&mut self, name: &TargetName, accepts: bool) {
        let target = self.targets.iter_mut().find(|target| &target.name == name);
        target.expect("events name known targets").accepts = accepts;
    }

    fn observe(&mut self, placer: &mut dyn Placer) {
        let noisy = self.noisy_rates();
        self.set_target_rates(&noisy);
        let moved = placer.observe(&Observation {
            now: self.now(),
            minute_of_day: self.workload.minute_at(self.elapsed),
            targets: &self.targets,
            keys: &noisy,
        });
        if moved {
            self.count_changes(placer, None, true);
        }
    }

    fn set_target_rates(&mut self, keys: &[(KeyHash, f64)]) {
        let rates = self.sum_by_owner(keys.iter().map(|(_, rate)| *rate));
        for (target, rate) in self.targets.iter_mut().zip(rates) {
            target.requests_per_second = rate;
        }
    }

    /// Sums values of keys by the position of their owner.
    fn sum_by_owner(&self, values: impl Iterator<Item = f64>) -> Vec<f64> {
        let mut sums = vec![0.0; self.targets.len()];
        for (owner, value) in self.owners.iter().zip(values) {
            if let Some(owner) = owner {
                sums[*owner] += value;
            }
        }
        sums
    }

    /// Shares of the requests; they sum to 1.
    fn key_shares(&self) -> impl Iterator<Item = f64> {
        let sum: f64 = self.keys.iter().map(|key| key.zipf + key.extra).sum();
        self.keys
            .iter()
            .map(move |key| (key.zipf + key.extra) / sum)
    }

    /// Rates as they would be counted.
    fn noisy_rates(&self) -> Vec<(KeyHash, f64)> {
        let rate = self.workload.rate_at(self.elapsed);
        let counting = self.workload.counting.as_secs_f64();
        let step = u64::from(self.steps) ^ self.workload.seed.rotate_left(32);
        let noisy = |(key, share): (&KeyShare, f64)| {
            let count = poisson(share * rate * counting, key.key, step);
            (key.key, count / counting)
        };
        self.keys.iter().zip(self.key_shares()).map(noisy).collect()
    }

    fn ask_owners(&self, placer: &dyn Placer) -> Vec<Option<usize>> {
        let owner = |key: &KeyShare| self.position(placer.owner(key.key)?);
        self.keys.iter().map(owner).collect()
    }

    fn position(&self, name: &TargetName) -> Option<usize> {
        self.targets.iter().position(|target| &target.name == name)
    }

    fn count_changes(&mut self, placer: &dyn Placer, lost: Option<&TargetName>, elective: bool) {
        let owners = self.ask_owners(placer);
        let changed = churn(&self.owners, &owners);
        self.churn += changed;
        self.elective_churn += if elective { changed } else { 0.0 };
        let lost = lost.and_then(|name| self.position(name));
        self.unavailable += self.unavailable_time(&owners, lost);
        self.owners = owners;
    }

    fn unavailable_time(&self, owners: &[Option<usize>], lost: Option<usize>) -> f64 {
        let changes = self.owners.iter().zip(owners).zip(self.key_shares());
        let moved = changes.filter(|((before, after), _)| before != after);
        let costs = moved.map(|((before, _), share)| {
            let unplanned = lost.is_some() && *before == lost;
            let gap = if unplanned {
                self.costs.loss
            } else {
                self.costs.hand_over
            };
            gap.as_secs_f64() * share
        });
        costs.sum()
    }

    fn measure(&mut self) {
        let loads = self.sum_by_owner(self.key_shares());
        let slots = self.targets.iter().map(|target| match target.accepts {
            true => f64::from(target.slots),
            false => 0.0,
        });
        let imbalance = imbalance(&loads, &slots.collect::<Vec<_>>());
        let rate = self.workload.rate_at(self.elapsed);
        self.steps += 1;
        self.requests += rate;
        self.imbalance_sum += imbalance * rate;
        if rate >= self.workload.requests_per_second * BUSY_SHARE {
            self.imbalance_max = self.imbalance_max.max(imbalance);
        }
    }

    fn row(&self, placer: &str) -> Row {
        Row {
            placer: placer.to_owned(),
            imbalance_mean: self.imbalance_sum / self.requests.max(f64::MIN_POSITIVE),
            imbalance_max: self.imbalance_max,
            churn: self.churn,
            elective_churn: self.elective_churn,
            unavailable_seconds: self.unavailable,
        }
    }
}
