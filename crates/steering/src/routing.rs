//! Routes of a deployment: which services serve a request, for whom, and within what time.

use std::collections::HashMap;
use std::time::Duration;

use celerygate_types::{OrganisationId, RegionId, ServiceId};
use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::grants::Limit;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Repeatable {
    /// The request may be sent again after any failure.
    Always,
    /// The request may be sent again only if it is known not to have run.
    OnlyIfNotRun,
}

/// One of the services of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its share, relative to the weights of the other services of the route.
    pub weight: f64,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: SmolStr,
    /// Host that it belongs to.
    pub host: SmolStr,
    /// Start of the paths that it serves; begins and ends with a slash.
    pub path_prefix: SmolStr,
    /// Whether its requests may run more than once.
    pub repeatable: Repeatable,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub target_latency: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Services that share its requests.
    pub weighted_services: SmallVec<[WeightedService; 2]>,
    /// Most targets that one request may be sent to.
    pub attempts_max: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether a target that has handled the same object recently is faster.
    pub has_affinity: bool,
    /// Whether its responses are large, so that they should not cross between data centres.
    pub has_large_responses: bool,
    /// Regions whose targets may serve it; empty for all.
    pub home_regions: SmallVec<[RegionId; 3]>,
}

/// What holds for all targets of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePolicy {
    /// Connections that a target accepts from all VMs together.
    pub connections: u32,
    /// Requests per second that a cold target bears from all VMs together.
    pub cold_requests_per_s: f64,
}

/// What holds for an organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationPolicy {
    /// Rate and burst; none when there is no limit.
    pub limit: Option<Limit>,
    /// Regions whose targets may serve it; empty for all.
    pub home_regions: SmallVec<[RegionId; 3]>,
}

/// The routes, services and organisations that are in force at one revision.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    routes_by_host: HashMap<SmolStr, Vec<Route>>,
    services: HashMap<ServiceId, ServicePolicy>,
    organisations: HashMap<OrganisationId, OrganisationPolicy>,
    organisations_by_key: HashMap<blake3::Hash, OrganisationId>,
    idle_timeout: Option<Duration>,
}

/// Why a set of routes, services and organisations cannot be in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RoutingError {
    /// A route names a service that is not there.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// Name of the route.
        route: SmolStr,
        /// The missing service.
        service: ServiceId,
    },
    /// Two routes serve the same paths of a host.
    #[error("routes {first} and {second} have the same host and prefix")]
    DuplicatePrefix {
        /// Name of one route.
        first: SmolStr,
        /// Name of the other route.
        second: SmolStr,
    },
    /// A route has no host.
    #[error("route {0} has no host")]
    NoHost(SmolStr),
    /// A prefix does not begin and end with a slash.
    #[error("the prefix of route {0} does not begin and end with a slash")]
    InvalidPrefix(SmolStr),
    /// A route has no service, or weights that are not positive together.
    #[error("route {0} has no service with a weight")]
    NoWeight(SmolStr),
    /// The target latency is far above the timeout.
    #[error("the target latency of route {0} is a minute or more above its timeout")]
    LatencyAboveTimeout(SmolStr),
    /// A route has no time to be served in.
    #[error("route {0} has no timeout")]
    NoTimeout(SmolStr),
    /// A key belongs to two organisations.
    #[error("organisations {first} and {second} share a key")]
    SharedKey {
        /// One holder of the key.
        first: OrganisationId,
        /// The other holder.
        second: OrganisationId,
    },
}

/// Excess of a route's target latency over its timeout from which the route is refused.
const LATENCY_EXCESS: Duration = Duration::from_secs(60);

/// An organisation with its keys, as an operator describes it.
#[derive(Clone, Debug)]
pub struct OrganisationEntry {
    /// Id.
    pub organisation: OrganisationId,
    /// Hashes of its keys.
    pub keys: Vec<blake3::Hash>,
    /// What holds for it.
    pub policy: OrganisationPolicy,
}

impl RoutingTable {
    /// Checks the parts against each other and builds the table.
    ///
    /// # Errors
    ///
    /// Returns the first fault that is found; nothing of a faulty set is used.
    pub fn build(
        routes: Vec<Route>,
        services: HashMap<ServiceId, ServicePolicy>,
        organisations: Vec<OrganisationEntry>,
    ) -> Result<Self, RoutingError> {
        let mut table = Self { services, ..Self::default() };
        for route in routes {
            table.check_route(&route)?;
            let siblings = table.routes_by_host.entry(route.host.clone()).or_default();
            if let Some(other) = siblings.iter().find(|own| own.path_prefix == route.path_prefix) {
                return Err(RoutingError::DuplicatePrefix {
                    first: other.name.clone(),
                    second: route.name,
                });
            }
            siblings.push(route);
        }
        for siblings in table.routes_by_host.values_mut() {
            siblings.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        for entry in organisations {
            for key in entry.keys {
                let holder = table.organisations_by_key.insert(key, entry.organisation.clone());
                if let Some(first) = holder.filter(|holder| *holder != entry.organisation) {
                    return Err(RoutingError::SharedKey { first, second: entry.organisation });
                }
            }
            table.organisations.insert(entry.organisation, entry.policy);
        }
        Ok(table)
    }

    /// Returns the table with a limit on the time for which callers may keep idle connections.
    #[must_use]
    pub fn with_idle_timeout(self, idle_timeout: Option<Duration>) -> Self {
        Self { idle_timeout, ..self }
    }

    /// Returns the longest time for which a caller may keep an idle connection.
    pub fn idle_timeout(&self) -> Option<Duration> {
        self.idle_timeout
    }

    fn check_route(&self, route: &Route) -> Result<(), RoutingError> {
        let name = || route.name.clone();
        if route.host.is_empty() {
            return Err(RoutingError::NoHost(name()));
        }
        if !(route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/')) {
            return Err(RoutingError::InvalidPrefix(name()));
        }
        if route.timeout.is_zero() {
            return Err(RoutingError::NoTimeout(name()));
        }
        if route.target_latency >= route.timeout + LATENCY_EXCESS {
            return Err(RoutingError::LatencyAboveTimeout(name()));
        }
        let valid = |part: &WeightedService| part.weight.is_finite() && part.weight >= 0.0;
        let weight: f64 = route.weighted_services.iter().map(|part| part.weight).sum();
        if !route.weighted_services.iter().all(valid) || weight <= 0.0 {
            return Err(RoutingError::NoWeight(name()));
        }
        match route.weighted_services.iter().find(|part| !self.services.contains_key(&part.service))
        {
            Some(part) => {
                Err(RoutingError::UnknownService { route: name(), service: part.service.clone() })
            }
            None => Ok(()),
        }
    }

    /// Returns the route of a request: of the routes of its host the one with the longest prefix of
    /// the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes_by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Returns the rule of a service.
    pub fn service(&self, service: &ServiceId) -> Option<&ServicePolicy> {
        self.services.get(service)
    }

    /// Returns the rule of an organisation.
    pub fn organisation(&self, organisation: &OrganisationId) -> Option<&OrganisationPolicy> {
        self.organisations.get(organisation)
    }

    /// Returns whether requests need a key unless their route is open.
    pub fn needs_keys(&self) -> bool {
        !self.organisations.is_empty()
    }

    /// Returns the organisation that holds a key.
    pub fn organisation_of_key(&self, key: &[u8]) -> Option<&OrganisationId> {
        self.organisations_by_key.get(&blake3::hash(key))
    }

    /// Returns the organisations that have a limit.
    pub fn limits(&self) -> impl Iterator<Item = (OrganisationId, Limit)> {
        let limits = |(id, policy): (&OrganisationId, &OrganisationPolicy)| {
            Some((id.clone(), policy.limit?))
        };
        self.organisations.iter().filter_map(limits)
    }
}

/// Step between the positions of successive requests: the fraction of the golden ratio, whose
/// multiples spread evenly over the unit interval at every length of the sequence.
const POSITION_STEP: f64 = 0.618_033_988_749_895;

/// Returns the service for the request with this number on a route, in proportion to the weights.
pub fn select_service(route: &Route, request_number: u64) -> &ServiceId {
    let total: f64 = route.weighted_services.iter().map(|part| part.weight).sum();
    let mut position = (request_number as f64 * POSITION_STEP).fract() * total;
    for part in &route.weighted_services {
        if position < part.weight {
            return &part.service;
        }
        position -= part.weight;
    }
    // Rounding can leave a rest after the last part; a table has no route without services.
    &route.weighted_services[route.weighted_services.len() - 1].service
}

/// Returns whether both sets of homes allow a region; an empty set allows every region.
pub fn allows_region(route: &[RegionId], organisation: &[RegionId], region: &RegionId) -> bool {
    let allows = |homes: &[RegionId]| homes.is_empty() || homes.contains(region);
    allows(route) && allows(organisation)
}

#[cfg(test)]
#[path = "routing_tests.rs"]
mod tests;
