//! What must hold after every step, whatever the network and the machines do.

use std::collections::BTreeMap;

use wingspar_consensus::{Entry, EntryId, Output, Payload, Replica};
use wingspar_world::NodeId;

use super::cluster::Node;
use super::ledger::{Ledger, Outputs};

pub type Verdict = Result<(), String>;

#[derive(Default)]
pub struct Checker {
    leaders: BTreeMap<u64, NodeId>,
    entries: BTreeMap<EntryId, (EntryId, Payload<u64>)>,
    /// By index: the entry, and the term in which it was committed.
    committed: BTreeMap<u64, (EntryId, u64)>,
    states: BTreeMap<u64, Ledger>,
}

impl Checker {
    pub fn after_step(
        &mut self,
        nodes: &BTreeMap<NodeId, Node>,
        stepped: &NodeId,
        outputs: &Outputs,
        now: u64,
    ) -> Verdict {
        let replica = &nodes[stepped].replica;
        replica
            .check_invariants()
            .map_err(|error| error.to_string())?;
        self.check_log(replica)?;
        self.check_state(replica)?;
        for output in outputs {
            if let Output::BecameLeader { term } = output {
                self.check_leader(nodes, replica, *term, now)?;
            }
        }
        check_leases(nodes, now)
    }

    /// Log matching, and agreement on what is committed.
    fn check_log(&mut self, replica: &Replica<Ledger>) -> Verdict {
        let mut before = replica.log().base();
        let base = before.index;
        for Entry { id, payload } in replica.log().iter() {
            let seen = self.entries.entry(*id);
            let (previous, known) = seen.or_insert_with(|| (before, payload.clone()));
            // A base made from a snapshot of an older generation stands for any term.
            if known != payload || (*previous != before && before.index > base) {
                return Err(format!("log matching: {id:?} differs at {}", replica.id()));
            }
            if id.index <= replica.commit_index() {
                let agreed = self.committed.entry(id.index);
                let (agreed, _) = agreed.or_insert((*id, replica.term()));
                if agreed != id {
                    let who = replica.id();
                    return Err(format!(
                        "committed entry lost: {agreed:?}, {who} has {id:?}"
                    ));
                }
            }
            before = *id;
        }
        Ok(())
    }

    fn check_state(&mut self, replica: &Replica<Ledger>) -> Verdict {
        let index = replica.applied_index();
        let state = self
            .states
            .entry(index)
            .or_insert_with(|| replica.state().clone());
        if state != replica.state() {
            return Err(format!("state at {index} differs at {}", replica.id()));
        }
        Ok(())
    }

    /// Election safety, leader completeness, and no new leader under another's lease.
    fn check_leader(
        &mut self,
        nodes: &BTreeMap<NodeId, Node>,
        leader: &Replica<Ledger>,
        term: u64,
        now: u64,
    ) -> Verdict {
        let elected = self
            .leaders
            .entry(term)
            .or_insert_with(|| leader.id().clone());
        if elected != leader.id() {
            return Err(format!(
                "two leaders of term {term}: {elected}, {}",
                leader.id()
            ));
        }
        let base = leader.log().base().index;
        // A candidate that learns late that it won lacks what later terms committed meanwhile.
        let committed = self.committed.range(base.max(1)..);
        for (index, (id, _)) in committed.filter(|(_, (_, in_term))| *in_term < term) {
            if leader.log().id_at(*index) != Some(*id) {
                let who = leader.id();
                return Err(format!(
                    "committed entry lost: leader {who} of {term} lacks {id:?}"
                ));
            }
        }
        let holder = nodes.values().find(|node| {
            let replica = &node.replica;
            replica.id() != leader.id() && replica.term() < term && node.holds_lease(now)
        });
        match holder {
            Some(node) => Err(format!(
                "lease: {} elected under the lease of {}",
                leader.id(),
                node.replica.id()
            )),
            None => Ok(()),
        }
    }
}

/// At most one lease at any instant; those of paused and killed leaders count.
fn check_leases(nodes: &BTreeMap<NodeId, Node>, now: u64) -> Verdict {
    let holders = nodes.values().filter(|node| node.holds_lease(now));
    let holders: Vec<_> = holders.map(|node| node.replica.id()).collect();
    if holders.len() > 1 {
        return Err(format!("lease: held at once by {holders:?}"));
    }
    Ok(())
}
