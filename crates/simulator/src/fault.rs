//! Faults and when they happen.

use std::time::Duration;

use wingspar_world::MonotonicTime;

use crate::network::{Conditions, MachineIndex};

/// A machine, named by what it is when the fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Whom {
    /// The leader of the control group.
    Leader,
    /// The machine that owns a watched key.
    OwnerOf(usize),
    /// A machine that owns some watched key and is neither leader nor another voter.
    OwnerBesidesVoters,
    /// A machine by number.
    Number(MachineIndex),
    /// A router.
    Router,
}

/// How a cut runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutShape {
    /// Nothing from the machine reaches other machines.
    OutOf,
    /// Nothing from other machines reaches the machine.
    Into,
    /// Neither, nor the platform.
    Whole,
    /// Between it and one other machine.
    From(MachineIndex),
    /// Towards one other machine only.
    OneWayTo(MachineIndex),
    /// Between its zone and all others.
    Zone,
    /// Between its region and the rest of the world.
    Region,
    /// Between it and the platform.
    Platform,
}

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The process ends at once; its back ends live. A new one starts when the fault is over.
    Kill(Whom),
    /// The machine is lost with everything on it, for good.
    Destroy(Whom),
    /// Leader and an owner are lost together, for good.
    DestroyLeaderAndOwner,
    /// All machines of the zone of a machine are lost, for good.
    DestroyZone(Whom),
    /// A majority of the voters ends at once; new processes start when the fault is over.
    KillMajority,
    /// The process stops and goes on when the fault is over.
    Pause(Whom),
    /// The back ends of a machine stop and go on.
    FreezeBackEnds(Whom),
    /// The process is asked to stop in order; a new one starts when the fault is over.
    Leave(Whom),
    /// A cut.
    Cut(Whom, CutShape),
    /// All messages of a machine's zone take longer.
    Slow(Whom, Duration),
    /// Datagrams fare badly everywhere.
    BadNetwork(Conditions),
    /// The store is down.
    StoreDown,
    /// The store is slow.
    StoreSlow(Duration),
    /// The store loses this share of its answers after they took effect.
    StoreLosesAnswers(f64),
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScheduledFault {
    /// When it strikes.
    pub at: MonotonicTime,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it is.
    pub fault: Fault,
}

impl ScheduledFault {
    /// When it is over.
    pub fn ends(&self) -> MonotonicTime {
        self.at + self.lasts
    }
}
