//! Services and data centres that the configuration and the settings name.

use std::collections::HashSet;

use celerygate_types::wire::InstanceRecord;
use celerygate_types::{DataCentreId, ServiceId};

/// Services and data centres for which targets can be used.
#[derive(Clone, Debug, Default)]
pub(super) struct NamedPlaces {
    /// Services of the configuration in force.
    pub(super) services: HashSet<ServiceId>,
    /// Data centres of the deployment; none if they are not known.
    pub(super) data_centres: Option<HashSet<DataCentreId>>,
}

impl NamedPlaces {
    /// Returns whether a report names a service and a data centre of the deployment.
    pub(super) fn contain(&self, record: &InstanceRecord) -> bool {
        let data_centres = self.data_centres.as_ref();
        self.services.contains(&record.service)
            && data_centres.is_none_or(|known| known.contains(&record.data_centre))
    }
}
