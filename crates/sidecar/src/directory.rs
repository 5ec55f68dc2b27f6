//! The directory by which a router finds nodes and key owners.

use std::collections::HashMap;
use std::net::SocketAddr;

use wingspar_ownership::{NodeName, Table, step_function};
use wingspar_quota::Shard;

use crate::leaving_targets::LifeDigest;
use crate::network_paths::{Relation, Topology};

/// A node with a target, as a destination for requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// Name of the node.
    pub node: NodeName,
    /// Zone of the node.
    pub zone: String,
    /// Address at which the node listens for other nodes.
    pub address: SocketAddr,
    /// Slots of the node's target: the most requests that the target runs concurrently.
    pub slots: u32,
    /// The life of the node's target, that is, one run of the target's process.
    pub life: LifeDigest,
    /// How near the node is to this router's node.
    pub relation: Relation,
}

/// A leader's table, indexed for lookups.
#[derive(Debug, Default)]
pub struct Directory {
    table: Table,
    /// Nodes whose targets accept work, by service, the nearest first.
    by_service: HashMap<String, Vec<Destination>>,
    /// All nodes with a target.
    by_node: HashMap<NodeName, Destination>,
    /// Name and address of the owner of each shard.
    quota_owners: HashMap<Shard, (NodeName, SocketAddr)>,
}

impl Directory {
    /// Indexes a table for a node with this topology.
    pub fn new(table: Table, topology: &Topology) -> Self {
        let mut by_service = HashMap::<String, Vec<Destination>>::new();
        let mut by_node = HashMap::new();
        let mut quota_owners = HashMap::new();
        for member in &table.members {
            let owner = (member.node.clone(), member.address);
            let shards = member.quota_shards.iter();
            quota_owners.extend(shards.map(|shard| (*shard, owner.clone())));
            let Some(target) = &member.target else {
                continue;
            };
            let destination = Destination {
                node: member.node.clone(),
                zone: member.zone.clone(),
                address: member.address,
                slots: target.slots,
                life: LifeDigest::of(&target.id),
                relation: topology.relation(&member.zone),
            };
            if target.accepting && !member.leaving {
                by_service
                    .entry(target.service.clone())
                    .or_default()
                    .push(destination.clone());
            }
            by_node.insert(member.node.clone(), destination);
        }
        for destinations in by_service.values_mut() {
            destinations.sort_by_key(|destination| destination.relation);
        }
        Self {
            table,
            by_service,
            by_node,
            quota_owners,
        }
    }

    /// The indexed table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Number of known nodes, at least one.
    pub fn nodes(&self) -> usize {
        self.table.members.len().max(1)
    }

    /// Nodes whose targets of a service accept work, the nearest first.
    pub fn destinations(&self, service: &str) -> &[Destination] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// The node that owns a key or, if there is none, that is planned to become its owner.
    pub fn owner(&self, service: &str, key: u16) -> Option<&Destination> {
        let owners = self
            .table
            .services
            .iter()
            .find(|known| known.service == service)?;
        let owned = step_function::at(&owners.owners, key).and_then(Option::as_ref);
        let node = owned.or_else(|| step_function::at(&owners.plan, key))?;
        self.by_node.get(node)
    }

    /// The node that owns a shard of tenants' quotas, and the address at which it listens for other nodes.
    pub fn quota_owner(&self, shard: Shard) -> Option<&(NodeName, SocketAddr)> {
        self.quota_owners.get(&shard)
    }

    /// The node with this name, if it has a target.
    pub fn node(&self, node: &NodeName) -> Option<&Destination> {
        self.by_node.get(node)
    }
}
