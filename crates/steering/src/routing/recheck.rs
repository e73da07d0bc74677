//! What a change of the configuration means for a request that was admitted before it.

use std::sync::Arc;

use celerygate_types::{OrganisationId, ResultCode, ServiceId};

use super::{Repeatable, Route, RoutingTable};

/// What of a request determines its route and its organisation.
#[derive(Clone, Copy, Debug)]
pub struct RequestSubject<'a> {
    /// Host that the request names.
    pub host: &'a str,
    /// Path of the request.
    pub path: &'a str,
    /// API key, if the request has one.
    pub key: Option<&'a [u8]>,
}

/// What an earlier configuration decided for a request.
#[derive(Clone, Copy, Debug)]
pub struct EarlierAdmission<'a> {
    /// Service that was selected.
    pub service: &'a ServiceId,
    /// Organisation under whose limit the request was admitted, none on a public route.
    pub organisation: Option<&'a OrganisationId>,
    /// Whether an earlier attempt may have run the request.
    pub may_have_run: bool,
}

/// What to do with a request before its next target is chosen.
#[derive(Clone, Debug, PartialEq)]
pub enum Recheck {
    /// Choose a target by this route, which names the service of the earlier choice.
    KeepService(Arc<Route>, Option<OrganisationId>),
    /// Choose a target by this route, and select its service first.
    SelectService(Arc<Route>, Option<OrganisationId>),
    /// Refuse the request. It has not run.
    Refuse(ResultCode),
    /// Don't send the request again. It may have run, so that the last failure is the response.
    EndWithFailure,
}

impl RoutingTable {
    /// Returns the organisation of a request on a route, none if the route needs no key.
    ///
    /// # Errors
    ///
    /// When the route needs a key and the request has none or an unknown one.
    pub fn authenticate(
        &self,
        route: &Route,
        key: Option<&[u8]>,
    ) -> Result<Option<&OrganisationId>, ResultCode> {
        if route.is_public || !self.needs_keys() {
            return Ok(None);
        }
        let key = key.ok_or(ResultCode::KeyMissing)?;
        self.organisation_of_key(key).map(Some).ok_or(ResultCode::KeyRefused)
    }

    /// Decides by this table what to do with a request that an earlier table has admitted.
    pub fn recheck(&self, subject: &RequestSubject<'_>, earlier: &EarlierAdmission<'_>) -> Recheck {
        match self.readmit(subject, earlier) {
            Err(_) if earlier.may_have_run => Recheck::EndWithFailure,
            Err(code) => Recheck::Refuse(code),
            Ok((route, _))
                if earlier.may_have_run && route.repeatable == Repeatable::OnlyIfNotRun =>
            {
                Recheck::EndWithFailure
            }
            Ok((route, organisation)) => {
                // A service of weight 0 gets no requests.
                let names_service = |route: &Route| {
                    let mut services = route.weighted_services.iter();
                    services.any(|entry| entry.service == *earlier.service && entry.weight > 0.0)
                };
                let (keeps_service, organisation) = (names_service(route), organisation.cloned());
                if keeps_service {
                    Recheck::KeepService(Arc::clone(route), organisation)
                } else {
                    Recheck::SelectService(Arc::clone(route), organisation)
                }
            }
        }
    }

    fn readmit(
        &self,
        subject: &RequestSubject<'_>,
        earlier: &EarlierAdmission<'_>,
    ) -> Result<(&Arc<Route>, Option<&OrganisationId>), ResultCode> {
        let route = self.route(subject.host, subject.path).ok_or(ResultCode::UnknownPath)?;
        let organisation = self.authenticate(route, subject.key)?;
        let is_limited =
            |id: &OrganisationId| self.organisation(id).is_some_and(|rule| rule.limit.is_some());
        // The token of the request, if any, is that of the earlier organisation.
        if organisation != earlier.organisation && organisation.is_some_and(is_limited) {
            return Err(ResultCode::ConfigurationStale);
        }
        Ok((route, organisation))
    }
}

#[cfg(test)]
#[path = "recheck_tests.rs"]
mod tests;
