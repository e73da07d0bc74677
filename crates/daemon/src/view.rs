//! The applied configuration, indexed for lookups on the request path.

use std::collections::{HashMap, HashSet};

use celerygate_steering::keys::KeyTable;
use celerygate_steering::lookup::BlockTable;
use celerygate_steering::shares;
use celerygate_types::wire::{Configuration, DrainSubject, Member, Organisation, Route, Service};
use celerygate_types::{KeyId, OrganisationId, RegionId, ServiceId, SharePpm, TargetId, VmId};

/// The organisation that a request is accounted to, and the API key that it presented.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Owner of the key.
    pub organisation: OrganisationId,
    /// The key that the request presented.
    pub key: KeyId,
}

/// An immutable configuration revision with its indexes. A change creates a new view; requests in
/// progress keep the view that they started with.
pub struct View {
    /// The configuration.
    pub configuration: Configuration,
    /// Keys by hash.
    pub keys: KeyTable,
    /// Client address blocks by network.
    pub blocks: BlockTable,
    services: HashMap<ServiceId, Service>,
    organisations: HashMap<OrganisationId, usize>,
    routes: HashMap<ServiceId, Vec<Route>>,
    members: HashMap<VmId, Member>,
    drained_regions: HashSet<RegionId>,
    drained_vms: HashSet<VmId>,
    drained_targets: HashSet<(ServiceId, TargetId)>,
}

impl View {
    /// Builds the indexes.
    pub fn new(configuration: Configuration) -> Self {
        let services =
            configuration.services.iter().map(|s| (s.service.clone(), s.clone())).collect();
        let organisations = configuration
            .organisations
            .iter()
            .enumerate()
            .map(|(index, organisation)| (organisation.organisation.clone(), index))
            .collect();
        let mut routes: HashMap<ServiceId, Vec<Route>> = HashMap::new();
        for route in &configuration.routes {
            routes.entry(route.service.clone()).or_default().push(route.clone());
        }
        let members = configuration.members.iter().map(|m| (m.vm.clone(), m.clone())).collect();
        let mut view = Self {
            keys: KeyTable::new(&configuration.organisations),
            blocks: block_table(&configuration),
            services,
            organisations,
            routes,
            members,
            drained_regions: HashSet::new(),
            drained_vms: HashSet::new(),
            drained_targets: HashSet::new(),
            configuration,
        };
        view.index_drains();
        view
    }

    fn index_drains(&mut self) {
        for drain in &self.configuration.drains {
            match drain {
                DrainSubject::Region(region) => {
                    self.drained_regions.insert(region.clone());
                }
                DrainSubject::Vm(vm) => {
                    self.drained_vms.insert(vm.clone());
                }
                DrainSubject::Target(name) => {
                    self.drained_targets.insert((name.service.clone(), name.target.clone()));
                }
            }
        }
    }

    /// Returns a service by its id.
    pub fn service(&self, service: &ServiceId) -> Option<&Service> {
        self.services.get(service)
    }

    /// Returns an organisation by its id.
    pub fn organisation(&self, organisation: &OrganisationId) -> Option<&Organisation> {
        self.organisations.get(organisation).map(|&index| &self.configuration.organisations[index])
    }

    /// Returns whether a key still exists and has not expired.
    pub fn is_key_valid(&self, caller: &Caller, unix_ms: u64) -> bool {
        let organisation = self.organisation(&caller.organisation);
        let mut keys = organisation.into_iter().flat_map(|organisation| &organisation.keys);
        let record = keys.find(|record| record.key == caller.key);
        record.is_some_and(|record| record.expires_at_unix_ms.is_none_or(|at| unix_ms < at))
    }

    /// Returns the region that a route assigns to a client block, or `None` when no route exists
    /// and the block stays in its home region.
    pub fn region_of_block(
        &self,
        service: &ServiceId,
        home: &RegionId,
        block_hash: u64,
    ) -> Option<RegionId> {
        let route = self.routes.get(service)?.iter().find(|route| route.home_region == *home)?;
        let position = SharePpm((block_hash % u64::from(SharePpm::WHOLE.get())) as u32);
        shares::region_at(route, position).cloned()
    }

    /// Returns a VM of the deployment by its id.
    pub fn member(&self, vm: &VmId) -> Option<&Member> {
        self.members.get(vm)
    }

    /// Returns whether a VM takes no new callers because it or its region is drained.
    pub fn is_vm_drained(&self, vm: &VmId) -> bool {
        let region = self.members.get(vm).map(|member| &member.region);
        self.drained_vms.contains(vm)
            || region.is_some_and(|region| self.drained_regions.contains(region))
    }

    /// Returns whether a target takes no new work because it is drained.
    pub fn is_target_drained(&self, service: &ServiceId, target: &TargetId) -> bool {
        // Skips cloning the ids for the tuple key; the set is nearly always empty.
        !self.drained_targets.is_empty()
            && self.drained_targets.contains(&(service.clone(), target.clone()))
    }

    /// Returns whether a region is drained.
    pub fn is_region_drained(&self, region: &RegionId) -> bool {
        self.drained_regions.contains(region)
    }
}

/// Builds the table of client blocks. The validation of the deployment file refuses invalid
/// networks; if one is received nevertheless, the table is empty and callers are steered by the
/// hash of their address.
fn block_table(configuration: &Configuration) -> BlockTable {
    BlockTable::new(&configuration.client_blocks).unwrap_or_else(|error| {
        log::error!(error:% = error; "client blocks not usable");
        BlockTable::default()
    })
}
