//! What one run plays: from a seed, or from a preset and a seed.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use thiserror::Error;
use wingspar_world::MonotonicTime;

use crate::checker::LossKind;
use crate::fault::{CutShape, Fault, ScheduledFault, Whom};
use crate::mix;
use crate::network::Conditions;
use crate::topology::Topology;

/// Time for the group to form and the first configuration to be written.
pub const WARM_UP: Duration = Duration::from_millis(8_000);
/// Time in which faults strike in a mix.
const FAULT_WINDOW: Duration = Duration::from_millis(14_000);
/// Time in which faults strike at a first start.
const FOUNDING_WINDOW: Duration = Duration::from_millis(3_000);
/// Longest time from the last mending until everything works again.
pub const SETTLE: Duration = Duration::from_millis(18_000);
/// Bound on unserved time after a loss.
pub const LOSS_BOUND: Duration = Duration::from_millis(4_000);
/// Largest rate error of a clock within the drift bound, in parts per million.
const ALLOWED_DRIFT_PPM: i32 = 20_000;
/// Rate error of a clock far beyond the drift bound, in parts per million.
const EXCESSIVE_DRIFT_PPM: i32 = 300_000;

/// A named kind of run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Preset {
    /// Two or more faults drawn from the seed.
    Mix,
    /// Faults while the group is founded and the first configuration is written.
    FirstStart,
    /// No fault: callers and racing operators only.
    Calm,
    /// An owner's machine is lost.
    OwnerLoss,
    /// The control leader's machine is lost.
    LeaderLoss,
    /// Leader and an owner are lost together.
    LeaderAndOwnerLoss,
    /// The same, with the store down.
    LeaderAndOwnerLossStoreDown,
    /// A zone is lost.
    ZoneLoss,
    /// The region is cut off from its callers and the platform.
    RegionCut,
    /// The store is down for longer than all leases, and an owner is lost.
    StoreOutage,
    /// An owner freezes and returns as if nothing happened.
    FrozenOwner,
    /// Nodes pause and return with an old configuration while operators change it.
    ReturningNodes,
    /// Targets drain while other machines fail.
    DrainsUnderFire,
    /// Planned stops, one after the other.
    PlannedStops,
    /// Processes restart with lost memory.
    Restarts,
    /// A majority of the voters restarts at once.
    MajorityLoss,
    /// Clocks drift as far as the bound allows, with an owner cut off.
    Drift,
    /// A clock runs far too slow: beyond what the leases allow for.
    DriftBeyondBound,
}

/// All presets with their names.
pub const PRESETS: [(Preset, &str); 18] = [
    (Preset::Mix, "mix"),
    (Preset::FirstStart, "first-start"),
    (Preset::Calm, "calm"),
    (Preset::OwnerLoss, "owner-loss"),
    (Preset::LeaderLoss, "leader-loss"),
    (Preset::LeaderAndOwnerLoss, "leader-and-owner-loss"),
    (
        Preset::LeaderAndOwnerLossStoreDown,
        "leader-and-owner-loss-store-down",
    ),
    (Preset::ZoneLoss, "zone-loss"),
    (Preset::RegionCut, "region-cut"),
    (Preset::StoreOutage, "store-outage"),
    (Preset::FrozenOwner, "frozen-owner"),
    (Preset::ReturningNodes, "returning-nodes"),
    (Preset::DrainsUnderFire, "drains-under-fire"),
    (Preset::PlannedStops, "planned-stops"),
    (Preset::Restarts, "restarts"),
    (Preset::MajorityLoss, "majority-loss"),
    (Preset::Drift, "drift"),
    (Preset::DriftBeyondBound, "drift-beyond-bound"),
];

/// A name that is no preset.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("there is no scenario {0:?}")]
pub struct UnknownPreset(pub String);

impl fmt::Display for Preset {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let found = PRESETS.iter().find(|(preset, _)| preset == self);
        formatter.write_str(found.map_or("unnamed", |(_, name)| name))
    }
}

impl FromStr for Preset {
    type Err = UnknownPreset;
    fn from_str(text: &str) -> Result<Self, UnknownPreset> {
        let found = PRESETS.iter().find(|(_, name)| *name == text);
        found
            .map(|(preset, _)| *preset)
            .ok_or_else(|| UnknownPreset(text.to_owned()))
    }
}

/// Everything that one run plays.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Draws everything that happens at random.
    pub seed: u64,
    /// The kind of run.
    pub preset: Preset,
    /// The deployment.
    pub topology: Topology,
    /// The faults, in order of time.
    pub faults: Vec<ScheduledFault>,
    /// Largest rate error of the machines' clocks, in parts per million.
    pub drift_ppm: i32,
    /// Rate error of one back-end machine's clock, when it is far out of bounds.
    pub broken_clock_ppm: Option<i32>,
    /// How far the platform's list of machines lags.
    pub machine_list_lag: Duration,
    /// Operators change things while faults strike.
    pub operators: bool,
    /// Why keys are unserved once the first fault has struck.
    pub loss: LossKind,
    /// Bound on unserved time from the first fault on.
    pub loss_bound: Option<Duration>,
    /// Requests of callers a second.
    pub requests_per_second: u32,
}

impl Scenario {
    /// The mix of faults that a seed gives.
    pub fn from_seed(seed: u64) -> Self {
        Self::of(Preset::Mix, seed)
    }

    /// A preset, with times and machines from a seed.
    pub fn of(preset: Preset, seed: u64) -> Self {
        let mut random = ChaCha12Rng::seed_from_u64(seed ^ 0x5ce0_a210);
        let topology = if random.random_bool(0.5) {
            Topology::tegid()
        } else {
            Topology::caroni()
        };
        let mut scenario = Self {
            seed,
            preset,
            topology,
            faults: Vec::new(),
            drift_ppm: if random.random_bool(0.5) {
                100
            } else {
                ALLOWED_DRIFT_PPM
            },
            broken_clock_ppm: None,
            machine_list_lag: Duration::from_millis(random.random_range(0..5_000)),
            operators: false,
            loss: LossKind::Mixed,
            loss_bound: None,
            requests_per_second: 40,
        };
        scenario.add_faults(&mut random);
        scenario.faults.sort_by_key(|fault| fault.at);
        scenario
    }

    /// When the last fault is over.
    pub fn mended_at(&self) -> MonotonicTime {
        let begin = MonotonicTime::ZERO + WARM_UP;
        let ends = self.faults.iter().map(ScheduledFault::ends);
        let operators_end = if self.operators {
            begin + FAULT_WINDOW
        } else {
            begin
        };
        ends.fold(operators_end, MonotonicTime::max)
    }

    /// When the run ends.
    pub fn ends_at(&self) -> MonotonicTime {
        self.mended_at() + SETTLE
    }

    /// When operators' changes begin and end.
    pub fn operators_window(&self) -> (MonotonicTime, MonotonicTime) {
        let begin = MonotonicTime::ZERO + WARM_UP;
        (begin, begin + FAULT_WINDOW)
    }

    fn add_faults(&mut self, random: &mut ChaCha12Rng) {
        let at = millis(8_500 + random.random_range(0..2_000));
        let owner = Whom::OwnerOf(random.random_range(0..Topology::keys().len()));
        match self.preset {
            Preset::Mix => {
                self.operators = random.random_bool(0.6);
                let begin = MonotonicTime::ZERO + WARM_UP;
                self.faults = mix::draw(random, begin, FAULT_WINDOW);
            }
            Preset::FirstStart => self.faults = mix::draw(random, millis(200), FOUNDING_WINDOW),
            Preset::Calm => self.operators = true,
            Preset::OwnerLoss => {
                self.lose(
                    at,
                    LossKind::Owner,
                    Fault::Destroy(Whom::OwnerBesidesVoters),
                );
            }
            Preset::LeaderLoss => {
                self.lose(at, LossKind::Leader, Fault::Destroy(Whom::Leader));
            }
            Preset::LeaderAndOwnerLoss => {
                self.lose(at, LossKind::LeaderAndOwner, Fault::DestroyLeaderAndOwner);
            }
            Preset::LeaderAndOwnerLossStoreDown => {
                self.add(at - Duration::from_millis(400), 9_000, Fault::StoreDown);
                self.lose(at, LossKind::LeaderAndOwner, Fault::DestroyLeaderAndOwner);
            }
            Preset::ZoneLoss => {
                self.lose(at, LossKind::Zone, Fault::DestroyZone(Whom::Leader));
            }
            Preset::RegionCut => self.add(at, 6_000, Fault::Cut(owner, CutShape::Region)),
            Preset::StoreOutage => {
                self.add(at, 12_000, Fault::StoreDown);
                let later = at + Duration::from_millis(4_000);
                self.lose(
                    later,
                    LossKind::Owner,
                    Fault::Destroy(Whom::OwnerBesidesVoters),
                );
            }
            Preset::FrozenOwner => self.add_frozen_owner(random, at, owner),
            Preset::ReturningNodes => {
                self.operators = true;
                self.requests_per_second = 150;
                let lossy = Conditions {
                    loss: 0.35,
                    ..Conditions::default()
                };
                self.add(at, 14_000, Fault::BadNetwork(lossy));
                for number in 0..5 {
                    let at = at + Duration::from_millis(2_500) * number;
                    let whom = Whom::Number(number as usize);
                    self.add(at, 2_200, Fault::Pause(whom));
                }
            }
            Preset::DrainsUnderFire => {
                self.operators = true;
                self.add(at, 2_500, Fault::Pause(owner));
                self.add(
                    at + Duration::from_secs(3),
                    3_000,
                    Fault::Kill(Whom::Leader),
                );
            }
            Preset::PlannedStops => self.add_planned_stops(at),
            Preset::Restarts => {
                self.add(at, 500, Fault::Kill(owner));
                self.add(at + Duration::from_secs(4), 100, Fault::Kill(Whom::Leader));
                self.add(at + Duration::from_secs(8), 2_500, Fault::Kill(owner));
            }
            Preset::MajorityLoss => self.add(at, 1_000, Fault::KillMajority),
            Preset::Drift => {
                self.drift_ppm = ALLOWED_DRIFT_PPM;
                self.add(at, 5_000, Fault::Cut(owner, CutShape::Whole));
            }
            Preset::DriftBeyondBound => {
                self.broken_clock_ppm = Some(-EXCESSIVE_DRIFT_PPM);
                self.add(at, 5_000, Fault::Cut(Whom::Number(0), CutShape::Whole));
            }
        }
    }

    fn add_frozen_owner(&mut self, random: &mut ChaCha12Rng, at: MonotonicTime, owner: Whom) {
        let frozen_ms = random.random_range(1_000..6_000);
        if random.random_bool(0.5) {
            // What was sent to the back ends just before is read when they thaw.
            let before = Duration::from_millis(200);
            self.add(at - before, frozen_ms + 200, Fault::FreezeBackEnds(owner));
        }
        self.add(at, frozen_ms, Fault::Pause(owner));
    }

    fn add_planned_stops(&mut self, at: MonotonicTime) {
        for number in 0..3 {
            let at = at + Duration::from_secs(6) * number;
            let whom = if number == 1 {
                Whom::Leader
            } else {
                Whom::Number(number as usize)
            };
            self.add(at, 5_000, Fault::Leave(whom));
        }
    }

    fn lose(&mut self, at: MonotonicTime, loss: LossKind, fault: Fault) {
        self.loss = loss;
        self.loss_bound = Some(LOSS_BOUND);
        self.add(at, 0, fault);
    }

    fn add(&mut self, at: MonotonicTime, lasts_ms: u64, fault: Fault) {
        self.faults.push(ScheduledFault {
            at,
            lasts: Duration::from_millis(lasts_ms),
            fault,
        });
    }
}

fn millis(value: u64) -> MonotonicTime {
    MonotonicTime::from_millis(value)
}
