//! Messages on their way: lost, delayed, repeated, overtaken, cut off one way, or forged.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use wingspar_consensus::{Body, EntryId, Message};
use wingspar_world::{MonotonicTime, NodeId};

use super::ledger::Ledger;

pub type Packet = (NodeId, NodeId, Message<u64, Ledger>);

/// A mechanism that the network takes away, to prove that the checker would notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Forgery {
    None,
    /// Candidates claim the longest log, so that the vote restriction is void.
    LogClaims,
    /// Candidates claim a transfer and pre-votes are granted, so that the promise is void.
    TransferClaims,
    /// Answers claim to have heard a message not sent yet, so that leases run from nowhere.
    Echoes,
}

pub struct Network {
    pub loss: f64,
    pub duplication: f64,
    pub slow: f64,
    pub forgery: Forgery,
    /// Whether every message is encoded and decoded on its way.
    pub through_cbor: bool,
    pub cuts: BTreeSet<(NodeId, NodeId)>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    packets: BTreeMap<u64, Packet>,
    sequence: u64,
}

impl Network {
    pub fn new(forgery: Forgery) -> Self {
        Self {
            loss: 0.0,
            duplication: 0.0,
            slow: 0.0,
            forgery,
            through_cbor: false,
            cuts: BTreeSet::new(),
            due: BinaryHeap::new(),
            packets: BTreeMap::new(),
            sequence: 0,
        }
    }

    pub fn heal(&mut self) {
        self.loss = 0.0;
        self.duplication = 0.0;
        self.slow = 0.0;
        self.cuts.clear();
    }

    pub fn send(&mut self, now: u64, mut packet: Packet, random: &mut ChaCha8Rng) {
        let link = (packet.0.clone(), packet.1.clone());
        if self.cuts.contains(&link) || random.random_bool(self.loss) {
            return;
        }
        self.forge(&mut packet.2);
        if self.through_cbor {
            packet.2 = round_trip(&packet.2);
        }
        let copies = 1 + u32::from(random.random_bool(self.duplication));
        for _ in 0..copies {
            let delay = match random.random_bool(self.slow) {
                true => random.random_range(50_000..2_500_000),
                false => random.random_range(200..8_000),
            };
            self.deliver_at(now + delay, packet.clone());
        }
    }

    pub fn deliver_at(&mut self, time: u64, packet: Packet) {
        self.sequence += 1;
        self.due.push(Reverse((time, self.sequence)));
        self.packets.insert(self.sequence, packet);
    }

    pub fn next_time(&self) -> Option<u64> {
        self.due.peek().map(|Reverse((time, _))| *time)
    }

    pub fn pop(&mut self) -> Option<Packet> {
        let Reverse((_, sequence)) = self.due.pop()?;
        self.packets.remove(&sequence)
    }

    fn forge(&self, message: &mut Message<u64, Ledger>) {
        match (self.forgery, &mut message.body) {
            (Forgery::LogClaims, Body::PreVote { last, .. } | Body::Vote { last, .. }) => {
                *last = EntryId {
                    term: u64::MAX,
                    index: u64::MAX,
                };
            }
            (Forgery::TransferClaims, Body::Vote { transfer, .. }) => *transfer = true,
            (Forgery::TransferClaims, Body::PreVoteResponse { granted, .. }) => *granted = true,
            (
                Forgery::Echoes,
                Body::AppendResponse { echo, .. } | Body::HeartbeatResponse { echo },
            ) => *echo = MonotonicTime::MAX,
            _ => {}
        }
    }
}

fn round_trip(message: &Message<u64, Ledger>) -> Message<u64, Ledger> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("a message can be encoded");
    let decoded = ciborium::from_reader(bytes.as_slice()).expect("and decoded");
    assert_eq!(message, &decoded);
    decoded
}
