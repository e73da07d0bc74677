//! A request with what the configuration in force says about it.

use std::sync::Arc;
use std::time::Instant;

use celerygate_steering::grants::TokenSource;
use celerygate_steering::lookup::rendezvous;
use celerygate_steering::routing::{self, EarlierAdmission, Recheck, RequestSubject, Route};
use celerygate_types::{OrganisationId, RegionId, ResultCode, ServiceId};
use smallvec::SmallVec;

use crate::adapter::RequestMetadata;
use crate::daemon::Daemon;
use crate::tables::Content;

/// A request that passed authentication and rate limiting.
pub(super) struct AdmittedRequest<'a> {
    pub(super) metadata: &'a RequestMetadata,
    pub(super) path: &'a str,
    /// The configuration from which the route, the service, the organisation and its homes are.
    pub(super) content: Arc<Content>,
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceId,
    pub(super) organisation: Option<OrganisationId>,
    pub(super) organisation_homes: SmallVec<[RegionId; 3]>,
    pub(super) object: Option<u64>,
    /// Source of its token; none if the organisation has no rate limit.
    pub(super) token: Option<TokenSource>,
    pub(super) arrived_at: Instant,
    pub(super) deadline: Instant,
    /// Time until which the caller waits. It may be later than `deadline`, which the operator limits
    /// for each route.
    pub(super) caller_deadline: Instant,
}

/// What to do with a request under the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextStep {
    /// Choose a target.
    Choose,
    /// Refuse the request, which has not run.
    Refuse(ResultCode),
    /// Respond with the last failure: the request may have run and must not be sent again.
    EndWithFailure,
}

impl AdmittedRequest<'_> {
    /// Returns whether the configuration of the last choice is still in force.
    pub(super) fn is_current(&self, daemon: &Daemon) -> bool {
        daemon.tables.revision() == self.content.replicated.revision
    }

    /// Applies the configuration in force, if another one was when the last target was chosen.
    pub(super) fn apply_configuration(&mut self, daemon: &Daemon, may_have_run: bool) -> NextStep {
        let Some(content) = daemon.tables.content() else { return NextStep::Choose };
        let revision = content.replicated.revision;
        if revision == self.content.replicated.revision {
            return NextStep::Choose;
        }
        let subject = RequestSubject {
            host: &self.metadata.host,
            path: self.path,
            key: self.metadata.key.as_ref().map(|key| key.as_bytes()),
        };
        let earlier = EarlierAdmission {
            service: &self.service,
            organisation: self.organisation.as_ref(),
            may_have_run,
        };
        let recheck = content.routing.recheck(&subject, &earlier);
        let (request, before) = (self.metadata.request.as_str(), self.content.replicated.revision);
        let (route, organisation) = match recheck {
            Recheck::KeepService(route, organisation) => (route, organisation),
            Recheck::SelectService(route, organisation) => {
                let service = select_service(daemon, &route);
                log::info!(request = request, route = route.name.as_str(),
                    before = self.service.as_str(), service = service.as_str(),
                    revision = revision.0; "service of a waiting request changed");
                self.service = service;
                (route, organisation)
            }
            Recheck::Refuse(code) => {
                log::info!(request = request, admitted_revision = before.0, revision = revision.0,
                    reason:% = code; "request is no longer allowed");
                return NextStep::Refuse(code);
            }
            Recheck::EndWithFailure => {
                log::info!(request = request, admitted_revision = before.0, revision = revision.0;
                    "request may have run and is not sent again");
                return NextStep::EndWithFailure;
            }
        };
        let rule = organisation.as_ref().and_then(|id| content.routing.organisation(id));
        self.organisation_homes = rule.map_or_else(SmallVec::new, |rule| rule.home_regions.clone());
        self.organisation = organisation;
        self.object = object_hash(self.metadata, &route);
        // Never later, because targets and a stopping VM rely on the deadline of the first choice.
        self.deadline = self.deadline.min(self.arrived_at + route.timeout);
        self.route = route;
        self.content = content;
        NextStep::Choose
    }
}

/// Selects the service of the next request on a route.
pub(super) fn select_service(daemon: &Daemon, route: &Route) -> ServiceId {
    if route.weighted_services.len() > 1 {
        routing::select_service(route, daemon.tables.next_split_number(&route.name)).clone()
    } else {
        route.weighted_services[0].service.clone()
    }
}

/// Returns the hash of a request's object if requests of the route go to the targets that know it.
pub(super) fn object_hash(metadata: &RequestMetadata, route: &Route) -> Option<u64> {
    let object = metadata.object.as_ref().filter(|_| route.has_affinity);
    object.map(|object| rendezvous::id_hash(object))
}
