//! The network between places: delays by zone, loss, duplication, reordering, slow links and cuts.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha12Rng;
use wingspar_world::{LinkTable, MonotonicTime, RegionName, ZoneName};

/// Index of a machine of the simulation.
pub type MachineIndex = usize;

/// Delay between processes within one zone, one way.
const SAME_ZONE_DELAY: Duration = Duration::from_micros(100);
/// Most jitter added to a delay on a good network.
const USUAL_JITTER_MICROS: u64 = 200;
/// Most delay added to a message that is reordered.
const REORDER_DELAY_MICROS: u64 = 40_000;

/// Somewhere messages come from or go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Place {
    /// A machine.
    Machine(MachineIndex),
    /// The platform's object API.
    Platform,
    /// Callers and operators.
    Outside,
}

/// Which messages a cut stops.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cut {
    /// From one machine to another, this way only.
    OneWay(MachineIndex, MachineIndex),
    /// Between two machines.
    Between(MachineIndex, MachineIndex),
    /// Between a machine and everything but callers.
    Machine(MachineIndex),
    /// Everything into a machine from other machines.
    Into(MachineIndex),
    /// Everything out of a machine to other machines.
    OutOf(MachineIndex),
    /// Between a zone and the rest.
    Zone(ZoneName),
    /// Between a region and the rest.
    Region(RegionName),
    /// Between a machine and the platform's object API.
    FromPlatform(MachineIndex),
}

/// How badly datagrams fare.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Conditions {
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share of datagrams that arrive twice.
    pub duplication: f64,
    /// Share of datagrams that are overtaken by later ones.
    pub reordering: f64,
}

#[derive(Debug, Clone)]
struct Position {
    zone: ZoneName,
    region: RegionName,
}

/// The network.
#[derive(Debug, Clone)]
pub struct Network {
    links: LinkTable,
    outside_delay: Duration,
    positions: Vec<Position>,
    cuts: BTreeMap<u64, Cut>,
    slow_zones: BTreeMap<u64, (ZoneName, Duration)>,
    conditions: Conditions,
    stream_order: BTreeMap<(Place, Place), MonotonicTime>,
}

impl Network {
    /// A good network. `outside_delay` lies between callers and every zone, one way.
    pub fn new(links: LinkTable, outside_delay: Duration) -> Self {
        Self {
            links,
            outside_delay,
            positions: Vec::new(),
            cuts: BTreeMap::new(),
            slow_zones: BTreeMap::new(),
            conditions: Conditions::default(),
            stream_order: BTreeMap::new(),
        }
    }

    /// Adds the next machine.
    pub fn add_machine(&mut self, region: RegionName, zone: ZoneName) -> MachineIndex {
        self.positions.push(Position { zone, region });
        self.positions.len() - 1
    }

    /// Sets how badly datagrams fare from now on.
    pub fn set_conditions(&mut self, conditions: Conditions) {
        self.conditions = conditions;
    }

    /// Starts a cut; `name` ends it again.
    pub fn cut(&mut self, name: u64, cut: Cut) {
        self.cuts.insert(name, cut);
    }

    /// Slows all messages into and out of a zone; `name` ends it again.
    pub fn slow(&mut self, name: u64, zone: ZoneName, added: Duration) {
        self.slow_zones.insert(name, (zone, added));
    }

    /// Ends a cut or slowness.
    pub fn mend(&mut self, name: u64) {
        self.cuts.remove(&name);
        self.slow_zones.remove(&name);
    }

    /// Whether something lies between two places, this way.
    pub fn is_cut(&self, from: Place, to: Place) -> bool {
        from != to && self.cuts.values().any(|cut| self.stops(cut, from, to))
    }

    /// Arrival times of a datagram: none, one or two.
    pub fn datagram(
        &mut self,
        random: &mut ChaCha12Rng,
        now: MonotonicTime,
        from: Place,
        to: Place,
    ) -> Vec<MonotonicTime> {
        if self.is_cut(from, to) || random.random_bool(self.conditions.loss) {
            return Vec::new();
        }
        let mut arrivals = vec![now + self.datagram_delay(random, from, to)];
        if random.random_bool(self.conditions.duplication) {
            arrivals.push(now + self.datagram_delay(random, from, to));
        }
        arrivals
    }

    /// Arrival time of a message on a stream, which keeps the order; `None` when cut.
    pub fn stream(
        &mut self,
        random: &mut ChaCha12Rng,
        now: MonotonicTime,
        from: Place,
        to: Place,
    ) -> Option<MonotonicTime> {
        if self.is_cut(from, to) {
            return None;
        }
        let arrival = now + self.delay(random, from, to);
        let last = self.stream_order.entry((from, to)).or_default();
        *last = arrival.max(*last);
        Some(*last)
    }

    fn datagram_delay(&self, random: &mut ChaCha12Rng, from: Place, to: Place) -> Duration {
        let delay = self.delay(random, from, to);
        if random.random_bool(self.conditions.reordering) {
            return delay + Duration::from_micros(random.random_range(0..REORDER_DELAY_MICROS));
        }
        delay
    }

    fn delay(&self, random: &mut ChaCha12Rng, from: Place, to: Place) -> Duration {
        let jitter = Duration::from_micros(random.random_range(0..USUAL_JITTER_MICROS));
        self.link_delay(from, to) + self.slowness(from, to) + jitter
    }

    fn link_delay(&self, from: Place, to: Place) -> Duration {
        match (self.position(from), self.position(to)) {
            (Some(one), Some(other)) if one.zone == other.zone => SAME_ZONE_DELAY,
            (Some(one), Some(other)) => self.links.delay(&one.zone, &other.zone),
            _ => self.outside_delay,
        }
    }

    fn slowness(&self, from: Place, to: Place) -> Duration {
        let touches = |zone: &ZoneName| {
            let ends = [self.position(from), self.position(to)];
            ends.into_iter().flatten().any(|end| &end.zone == zone)
        };
        let slow = self.slow_zones.values().filter(|(zone, _)| touches(zone));
        slow.map(|(_, added)| *added).sum()
    }

    fn position(&self, place: Place) -> Option<&Position> {
        match place {
            Place::Machine(index) => self.positions.get(index),
            Place::Platform | Place::Outside => None,
        }
    }

    fn stops(&self, cut: &Cut, from: Place, to: Place) -> bool {
        let machine = Place::Machine;
        match cut {
            Cut::OneWay(one, other) => (from, to) == (machine(*one), machine(*other)),
            Cut::Between(one, other) => is_pair(from, to, machine(*one), machine(*other)),
            Cut::Machine(one) => {
                let outside = from == Place::Outside || to == Place::Outside;
                !outside && (from == machine(*one) || to == machine(*one))
            }
            Cut::Into(one) => to == machine(*one) && matches!(from, Place::Machine(_)),
            Cut::OutOf(one) => from == machine(*one) && matches!(to, Place::Machine(_)),
            Cut::Zone(zone) => self.is_in_zone(from, zone) != self.is_in_zone(to, zone),
            Cut::Region(region) => self.is_in_region(from, region) != self.is_in_region(to, region),
            Cut::FromPlatform(one) => is_pair(from, to, machine(*one), Place::Platform),
        }
    }

    fn is_in_zone(&self, place: Place, zone: &ZoneName) -> bool {
        self.position(place).is_some_and(|one| &one.zone == zone)
    }

    fn is_in_region(&self, place: Place, region: &RegionName) -> bool {
        self.position(place)
            .is_some_and(|one| &one.region == region)
    }
}

fn is_pair(from: Place, to: Place, one: Place, other: Place) -> bool {
    (from, to) == (one, other) || (from, to) == (other, one)
}
