//! The applied configuration, prepared for the decisions on the request path.

use std::collections::{HashMap, HashSet};

use celerygate_steering::keys::KeyTable;
use celerygate_steering::lookup::BlockTable;
use celerygate_steering::shares;
use celerygate_types::wire::{Configuration, DrainSubject, Member, Organisation, Route, Service};
use celerygate_types::{KeyId, OrganisationId, RegionId, ServiceId, SharePpm, TargetId, VmId};

/// For whom a request runs, and by which key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Owner of the key.
    pub organisation: OrganisationId,
    /// The key that came with the request.
    pub key: KeyId,
}

/// A configuration revision with its indexes. A change makes a new view; requests in progress keep
/// theirs.
pub struct View {
    /// The configuration.
    pub configuration: Configuration,
    /// Keys by hash.
    pub keys: KeyTable,
    /// Client blocks by network.
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

    /// Returns a service.
    pub fn service(&self, service: &ServiceId) -> Option<&Service> {
        self.services.get(service)
    }

    /// Returns an organisation.
    pub fn organisation(&self, organisation: &OrganisationId) -> Option<&Organisation> {
        self.organisations.get(organisation).map(|&at| &self.configuration.organisations[at])
    }

    /// Returns whether a key is not withdrawn and not expired.
    pub fn is_key_valid(&self, caller: &Caller, unix_ms: u64) -> bool {
        let organisation = self.organisation(&caller.organisation);
        let mut keys = organisation.into_iter().flat_map(|organisation| &organisation.keys);
        let record = keys.find(|record| record.key == caller.key);
        record.is_some_and(|record| record.expires_at_unix_ms.is_none_or(|at| unix_ms < at))
    }

    /// Returns the region that serves a client block; without a route a block stays in its home
    /// region.
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

    /// Returns a VM of the deployment.
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
        // The tuple key needs owned ids; the set is empty nearly always.
        !self.drained_targets.is_empty()
            && self.drained_targets.contains(&(service.clone(), target.clone()))
    }

    /// Returns whether a region is drained.
    pub fn is_region_drained(&self, region: &RegionId) -> bool {
        self.drained_regions.contains(region)
    }
}

/// A network that does not parse cannot pass the check of the deployment file; should one arrive
/// all the same, callers are steered by the hash of their address.
fn block_table(configuration: &Configuration) -> BlockTable {
    BlockTable::new(&configuration.client_blocks).unwrap_or_else(|error| {
        log::error!(error:% = error; "client blocks not usable");
        BlockTable::default()
    })
}
