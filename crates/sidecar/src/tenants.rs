//! Authentication: determines a request's tenant from its credential.

use std::rc::Rc;

use http::HeaderMap;
use wingspar_platform::headers;
use wingspar_routes::{Quota, Route, RouteTable, Tenant};

use crate::local_response::Reason;

/// The tenant of a request, with the properties needed to route the request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestTenant {
    /// Name of the tenant.
    pub name: Rc<str>,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// Quota for all its requests together; `None` if they aren't limited.
    pub quota: Option<Quota>,
    /// Regions in which its requests may run; empty if all regions are allowed.
    pub allowed_regions: Rc<[String]>,
}

impl From<&Tenant> for RequestTenant {
    fn from(tenant: &Tenant) -> Self {
        Self {
            name: tenant.name.as_str().into(),
            priority: tenant.priority,
            quota: tenant.quota,
            allowed_regions: tenant.allowed_regions.clone().into(),
        }
    }
}

/// Returns the tenant of a request, or `None` if its route is public or no tenants are configured.
pub fn authenticate(
    table: &RouteTable,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<RequestTenant>, Reason> {
    if !table.has_tenants() || route.public {
        return Ok(None);
    }
    let credential = only_credential(headers).ok_or(Reason::Unauthorized)?;
    match table.tenant_of(credential) {
        Some(tenant) => Ok(Some(RequestTenant::from(tenant))),
        None if table.configuration().unreadable.tenants > 0 => Err(Reason::Unreadable),
        None => Err(Reason::Unauthorized),
    }
}

/// Returns whether a request is refused for a credential that a later configuration may have. A request with no
/// credential or with several is refused under any configuration.
pub fn is_unknown_credential(table: &RouteTable, route: &Route, headers: &HeaderMap) -> bool {
    table.has_tenants()
        && !route.public
        && only_credential(headers).is_some_and(|credential| table.tenant_of(credential).is_none())
}

/// Returns the request's credential if there is exactly one and it is readable and not empty.
fn only_credential(headers: &HeaderMap) -> Option<&str> {
    let mut credentials = headers.get_all(headers::CREDENTIAL).iter();
    match (credentials.next(), credentials.next()) {
        (Some(credential), None) => credential.to_str().ok().filter(|text| !text.is_empty()),
        _ => None,
    }
}
