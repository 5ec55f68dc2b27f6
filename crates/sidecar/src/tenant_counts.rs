//! Requests by tenant, bounded in number however many tenants there are.

use std::cell::RefCell;
use std::collections::HashSet;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

/// Tenants that are told apart at most: what an operator can read, at a few hundred bytes each in a process that may
/// have thousands of tenants.
const MOST_TENANTS: usize = 50;
/// Stands for all tenants that aren't told apart; set in brackets, since a tenant may be called "others".
const OTHERS: &str = "(others)";

/// Labels of a tenant's request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TenantLabels {
    /// The tenant, or `(others)`.
    pub tenant: String,
    /// How the request ended.
    pub outcome: &'static str,
}

/// Counts requests by tenant. Tenants are told apart from their first request on that no target has answered, since
/// that is what an operator looks for; all others are summed.
#[derive(Default)]
pub struct TenantCounts {
    /// The figures.
    pub requests: Family<TenantLabels, Counter>,
    told_apart: RefCell<HashSet<String>>,
}

impl TenantCounts {
    /// Counts a request; `answered` says whether by a target.
    pub fn count(&self, tenant: &str, outcome: &'static str, answered: bool) {
        let labels = TenantLabels {
            tenant: self.label(tenant, answered).to_owned(),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
    }

    fn label<'a>(&self, tenant: &'a str, answered: bool) -> &'a str {
        let mut told_apart = self.told_apart.borrow_mut();
        if told_apart.contains(tenant) {
            return tenant;
        }
        if answered || told_apart.len() >= MOST_TENANTS {
            return OTHERS;
        }
        told_apart.insert(tenant.to_owned());
        tenant
    }
}
