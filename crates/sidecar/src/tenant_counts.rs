//! Request counts by tenant, with a bounded number of time series.

use std::cell::RefCell;
use std::collections::HashSet;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

/// Maximum number of tenants with a label of their own: as many as an operator can read, at a few
/// hundred bytes each, in a process that may have thousands of tenants.
const MAX_TENANTS: usize = 50;
/// Label for all other tenants; in parentheses, since a tenant may be named "others".
const OTHERS: &str = "(others)";

/// Labels of a request count.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TenantLabels {
    /// Name of the tenant, or `(others)`.
    pub tenant: String,
    /// How the request ended.
    pub outcome: &'static str,
}

/// Counts requests by tenant. A tenant gets its own label from its first request that no target
/// answered, since such requests are what an operator looks for; all other tenants share one label.
#[derive(Default)]
pub struct TenantCounts {
    /// Number of requests by tenant and outcome.
    pub requests: Family<TenantLabels, Counter>,
    labeled_tenants: RefCell<HashSet<String>>,
}

impl TenantCounts {
    /// Counts a request. `answered` is whether a target answered it.
    pub fn count(&self, tenant: &str, outcome: &'static str, answered: bool) {
        let labels = TenantLabels {
            tenant: self.label(tenant, answered).to_owned(),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
    }

    fn label<'a>(&self, tenant: &'a str, answered: bool) -> &'a str {
        let mut labeled_tenants = self.labeled_tenants.borrow_mut();
        if labeled_tenants.contains(tenant) {
            return tenant;
        }
        if answered || labeled_tenants.len() >= MAX_TENANTS {
            return OTHERS;
        }
        labeled_tenants.insert(tenant.to_owned());
        tenant
    }
}
