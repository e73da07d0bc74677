//! State shared by all tasks of a daemon.

use std::sync::Arc;
use std::time::{Duration, Instant};

use celerygate_daemon::telemetry::Metrics;
use celerygate_daemon::upstream::ConnectionPool;
use celerygate_steering::grants::QuotaWindow;
use celerygate_types::wire::{DaemonRecord, DaemonRole, FleetSettings};
use celerygate_types::{Clock, DataCentreId, Incarnation, RegionId, RequestCount};

use crate::adapter::ProtocolAdapter;
use crate::forward::ResponseBuffers;
use crate::group::Group;
use crate::leaving_store::LeavingStore;
use crate::mesh::Mesh;
use crate::tables::Tables;

/// Returns the window, overage and slack with which the deployment limits the requests of an
/// organisation.
pub fn quota_window(settings: &FleetSettings) -> QuotaWindow {
    QuotaWindow {
        window: Duration::from_millis(settings.bounds.quota_window_ms),
        overage: settings.bounds.quota_overage,
        slack: RequestCount(settings.bounds.quota_slack_requests),
    }
}

/// State shared by all tasks of one daemon.
pub struct Daemon {
    /// Settings of this VM and the deployment.
    pub settings: FleetSettings,
    /// Clock that includes time during which the VM was suspended.
    pub clock: Clock,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Shared tables.
    pub tables: Arc<Tables>,
    /// Connections to the other daemons.
    pub mesh: Mesh,
    /// The member of the control group; only on a control VM.
    pub group: Option<Group>,
    /// Storage for the targets that leave; only on a control VM.
    pub leaving_store: Option<LeavingStore>,
    /// Functions with which the front end translates messages.
    pub adapter: ProtocolAdapter,
    /// Connection pool for targets.
    pub pool: Arc<ConnectionPool>,
    /// Memory for the bodies of targets' responses.
    pub response_buffers: ResponseBuffers,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
}

impl Daemon {
    /// Returns the number of control VMs of which at least one knows every acknowledged change.
    pub fn control_quorum(&self) -> usize {
        self.settings.lost_disks_max as usize + 1
    }

    /// Returns whether the configuration in force is known to have been the newest one in the first half of
    /// the time within which a change is in force everywhere. The other half is for the request's way, and
    /// for control VMs that put a change into force after it was acknowledged.
    pub fn has_recent_configuration(&self) -> bool {
        let own = self.tables.revision();
        let newest_at = self.tables.revision_age.lock().newest_at(own, self.control_quorum());
        let age_max = Duration::from_millis(self.settings.bounds.propagation_ms) / 2;
        newest_at.is_some_and(|at| self.now().saturating_duration_since(at) <= age_max)
    }

    /// Returns the current monotonic time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the record with which this daemon announces itself to others.
    pub fn own_record(&self) -> DaemonRecord {
        DaemonRecord {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            role: self.role(),
            region: self.settings.region.clone(),
            data_centre: self.settings.data_centre.clone(),
            callers_address: self.settings.listeners.callers.clone(),
            state: self.tables.state(),
        }
    }

    /// Returns the role of this daemon: control if it has a data folder.
    pub fn role(&self) -> DaemonRole {
        if self.settings.data_folder.is_some() { DaemonRole::Control } else { DaemonRole::Entry }
    }

    /// Returns the region of a data centre, none if the settings do not list it.
    pub fn region_of(&self, data_centre: &DataCentreId) -> Option<&RegionId> {
        let places = &self.settings.data_centres;
        let place = places.iter().find(|place| place.data_centre == *data_centre);
        place.map(|place| &place.region)
    }

    /// Returns the interval of targets' heartbeats.
    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.settings.heartbeat_ms)
    }
}
