//! Routing table of a deployment: routes, services and organisations.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use celerygate_types::{OrganisationId, RegionId, ServiceId};
use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::grants::Limit;

pub use self::recheck::{EarlierAdmission, Recheck, RequestSubject};

mod recheck;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Repeatable {
    /// The request may be retried after any failure.
    Always,
    /// The request may be retried only if it is known not to have run.
    OnlyIfNotRun,
}

/// A service of a route, with its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Weight relative to the other services of the route.
    pub weight: f64,
}

/// A route: the requests that it matches and how they are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: SmolStr,
    /// Host that it matches.
    pub host: SmolStr,
    /// Prefix of the paths that it matches; begins and ends with a slash.
    pub path_prefix: SmolStr,
    /// Whether its requests may be executed more than once.
    pub repeatable: Repeatable,
    /// Maximum time until the caller gets a response.
    pub timeout: Duration,
    /// Time within which responses should be sent.
    pub target_latency: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Services among which its requests are split.
    pub weighted_services: SmallVec<[WeightedService; 2]>,
    /// Maximum number of targets that one request may be sent to.
    pub attempts_max: u32,
    /// Whether requests are accepted without an API key.
    pub is_public: bool,
    /// Whether requests are faster on a target that has recently handled the same object.
    pub has_affinity: bool,
    /// Whether its responses are large and should not be sent between data centres.
    pub has_large_responses: bool,
    /// Regions whose targets may serve it; empty for all.
    pub home_regions: SmallVec<[RegionId; 3]>,
}

/// Limits of all targets of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePolicy {
    /// Maximum number of connections that a target accepts from all VMs together.
    pub connections: u32,
    /// Maximum rate of requests to a cold target, from all VMs together, in requests per second.
    pub cold_requests_per_s: f64,
}

/// Limit and home regions of an organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationPolicy {
    /// Rate limit and burst; `None` for no limit.
    pub limit: Option<Limit>,
    /// Regions whose targets may serve it; empty for all.
    pub home_regions: SmallVec<[RegionId; 3]>,
}

/// The routes, services and organisations of one revision.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    routes_by_host: HashMap<SmolStr, Vec<Arc<Route>>>,
    services: HashMap<ServiceId, ServicePolicy>,
    organisations: HashMap<OrganisationId, OrganisationPolicy>,
    organisations_by_key: HashMap<blake3::Hash, OrganisationId>,
    idle_timeout: Option<Duration>,
}

/// Why a set of routes, services and organisations is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RoutingError {
    /// A route refers to a service that does not exist.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// Name of the route.
        route: SmolStr,
        /// The missing service.
        service: ServiceId,
    },
    /// Two routes have the same host and path prefix.
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
    /// The path prefix of a route does not begin and end with a slash.
    #[error("the prefix of route {0} does not begin and end with a slash")]
    InvalidPrefix(SmolStr),
    /// A route has no service, an invalid weight, or weights whose sum is not positive.
    #[error("route {0} has no service with a weight")]
    NoWeight(SmolStr),
    /// The target latency of a route exceeds its timeout by a minute or more.
    #[error("the target latency of route {0} is a minute or more above its timeout")]
    LatencyAboveTimeout(SmolStr),
    /// The timeout of a route is zero.
    #[error("route {0} has no timeout")]
    NoTimeout(SmolStr),
    /// An API key belongs to two organisations.
    #[error("organisations {first} and {second} share a key")]
    SharedKey {
        /// One organisation.
        first: OrganisationId,
        /// The other organisation.
        second: OrganisationId,
    },
}

/// A route is refused if its target latency exceeds its timeout by this or more.
const MAX_LATENCY_EXCESS: Duration = Duration::from_secs(60);

/// An organisation with its API keys, from the configuration.
#[derive(Clone, Debug)]
pub struct OrganisationEntry {
    /// Id of the organisation.
    pub organisation: OrganisationId,
    /// BLAKE3 hashes of its API keys.
    pub keys: Vec<blake3::Hash>,
    /// Its limit and home regions.
    pub policy: OrganisationPolicy,
}

impl RoutingTable {
    /// Validates the routes, services and organisations and builds the table.
    ///
    /// # Errors
    ///
    /// Returns the first error found; an invalid set is refused as a whole.
    pub fn build(
        routes: Vec<Route>,
        services: HashMap<ServiceId, ServicePolicy>,
        organisations: Vec<OrganisationEntry>,
    ) -> Result<Self, RoutingError> {
        let mut table = Self { services, ..Self::default() };
        for route in routes {
            table.check_route(&route)?;
            let routes_of_host = table.routes_by_host.entry(route.host.clone()).or_default();
            if let Some(other) =
                routes_of_host.iter().find(|own| own.path_prefix == route.path_prefix)
            {
                return Err(RoutingError::DuplicatePrefix {
                    first: other.name.clone(),
                    second: route.name,
                });
            }
            routes_of_host.push(Arc::new(route));
        }
        for routes_of_host in table.routes_by_host.values_mut() {
            routes_of_host.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        for entry in organisations {
            for key in entry.keys {
                let previous = table.organisations_by_key.insert(key, entry.organisation.clone());
                if let Some(first) = previous.filter(|previous| *previous != entry.organisation) {
                    return Err(RoutingError::SharedKey { first, second: entry.organisation });
                }
            }
            table.organisations.insert(entry.organisation, entry.policy);
        }
        Ok(table)
    }

    /// Sets the maximum time for which callers may keep idle connections.
    #[must_use]
    pub fn with_idle_timeout(self, idle_timeout: Option<Duration>) -> Self {
        Self { idle_timeout, ..self }
    }

    /// Returns the maximum time for which a caller may keep an idle connection.
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
        if route.target_latency >= route.timeout + MAX_LATENCY_EXCESS {
            return Err(RoutingError::LatencyAboveTimeout(name()));
        }
        let is_valid = |entry: &WeightedService| entry.weight.is_finite() && entry.weight >= 0.0;
        let weight: f64 = route.weighted_services.iter().map(|entry| entry.weight).sum();
        if !route.weighted_services.iter().all(is_valid) || weight <= 0.0 {
            return Err(RoutingError::NoWeight(name()));
        }
        match route
            .weighted_services
            .iter()
            .find(|entry| !self.services.contains_key(&entry.service))
        {
            Some(entry) => {
                Err(RoutingError::UnknownService { route: name(), service: entry.service.clone() })
            }
            None => Ok(()),
        }
    }

    /// Returns the route of a request: of the routes of its host the one with the longest prefix of
    /// the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes_by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Returns the policy of a service.
    pub fn service(&self, service: &ServiceId) -> Option<&ServicePolicy> {
        self.services.get(service)
    }

    /// Returns the ids of all services.
    pub fn service_ids(&self) -> impl Iterator<Item = &ServiceId> {
        self.services.keys()
    }

    /// Returns the policy of an organisation.
    pub fn organisation(&self, organisation: &OrganisationId) -> Option<&OrganisationPolicy> {
        self.organisations.get(organisation)
    }

    /// Returns whether requests need an API key, except on public routes.
    pub fn needs_keys(&self) -> bool {
        !self.organisations.is_empty()
    }

    /// Returns the organisation that an API key belongs to.
    pub fn organisation_of_key(&self, key: &[u8]) -> Option<&OrganisationId> {
        self.organisations_by_key.get(&blake3::hash(key))
    }

    /// Returns the organisations that have a limit, with the limit.
    pub fn limits(&self) -> impl Iterator<Item = (OrganisationId, Limit)> {
        let limits = |(id, policy): (&OrganisationId, &OrganisationPolicy)| {
            Some((id.clone(), policy.limit?))
        };
        self.organisations.iter().filter_map(limits)
    }
}

/// Step between the positions of successive requests: the fractional part of the golden ratio,
/// whose multiples are distributed evenly over the unit interval for any number of requests.
const POSITION_STEP: f64 = 0.618_033_988_749_895;

/// Selects the service for the request with this number on a route, in proportion to the weights.
pub fn select_service(route: &Route, request_number: u64) -> &ServiceId {
    let total: f64 = route.weighted_services.iter().map(|entry| entry.weight).sum();
    let mut position = (request_number as f64 * POSITION_STEP).fract() * total;
    for entry in &route.weighted_services {
        if position < entry.weight {
            return &entry.service;
        }
        position -= entry.weight;
    }
    // Rounding can leave a remainder after the last service; every route in a table has a service.
    &route.weighted_services[route.weighted_services.len() - 1].service
}

/// Returns whether the home regions of both the route and the organisation allow a region; an empty
/// set allows every region.
pub fn allows_region(route: &[RegionId], organisation: &[RegionId], region: &RegionId) -> bool {
    let allows =
        |home_regions: &[RegionId]| home_regions.is_empty() || home_regions.contains(region);
    allows(route) && allows(organisation)
}

#[cfg(test)]
#[path = "routing_tests.rs"]
mod tests;
