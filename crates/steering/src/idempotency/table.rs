//! Table in which a replica records idempotency keys.

use std::collections::{HashMap, VecDeque};
use std::mem::size_of;
use std::time::Instant;

use celerygate_types::wire::OnceVerdict;
use celerygate_types::{OrganisationId, RequestId, VmId};

use super::{IdempotencyRecord, Members, RETENTION, RecordKind, RecordPage};
use crate::lookup::rendezvous::id_hash;

/// Maximum numbers of keys that a replica records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencyLimits {
    /// Keys of all organisations; 150,000 take about 20 MB.
    pub total: usize,
    /// Keys of one organisation, so that it cannot use up the capacity of the others.
    pub per_organisation: usize,
}

impl Default for IdempotencyLimits {
    fn default() -> Self {
        Self { total: 150_000, per_organisation: 50_000 }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct TableKey {
    organisation: u64,
    fingerprint: u64,
}

#[derive(Clone, Copy, Debug)]
struct StartedRequest {
    request: u64,
    at: Instant,
}

/// The keys that this VM records as one of their replicas.
#[derive(Clone, Debug)]
pub struct IdempotencyTable {
    vm: VmId,
    limits: IdempotencyLimits,
    started: HashMap<TableKey, StartedRequest>,
    /// Keys in the order in which they were recorded. The entry of a released key remains.
    order: VecDeque<(Instant, TableKey)>,
    /// Position of the first entry of `order`. Positions never decrease while the process runs.
    first_position: u64,
    per_organisation: HashMap<u64, usize>,
    /// Member lists of the last hour, each with the time at which it came into force. Without any
    /// list, this VM cannot tell which keys other VMs have recorded.
    members: Vec<(Instant, Members)>,
    complete_from: Instant,
}

impl IdempotencyTable {
    /// Returns the table of a replica that has just started.
    ///
    /// For the first hour, it replies "unknown" for keys that it does not hold, because it may have
    /// recorded them before a restart.
    pub fn new(vm: VmId, limits: IdempotencyLimits, now: Instant) -> Self {
        Self {
            vm,
            limits,
            started: HashMap::new(),
            order: VecDeque::new(),
            first_position: 0,
            per_organisation: HashMap::new(),
            members: Vec::new(),
            complete_from: now + RETENTION,
        }
    }

    /// Marks the table as complete: either its records were restored from disk, or no request was
    /// admitted anywhere before this VM started.
    pub fn set_complete(&mut self, now: Instant) {
        self.complete_from = self.complete_from.min(now);
    }

    /// Sets the time until which records may be missing.
    pub fn set_complete_from(&mut self, at: Instant) {
        self.complete_from = at;
    }

    /// Restores a record from disk. Records must be restored in order, oldest first.
    pub fn restore(&mut self, record: &IdempotencyRecord, at: Instant) {
        let IdempotencyRecord { organisation, fingerprint, request, kind } = *record;
        let key = TableKey { organisation, fingerprint };
        match kind {
            RecordKind::Started => {
                self.record(key, request, at);
            }
            RecordKind::Released => self.remove(key),
        }
    }

    /// Returns the unreleased records with their times, oldest first.
    pub fn records(&self) -> impl Iterator<Item = (Instant, IdempotencyRecord)> {
        self.order.iter().filter_map(|(at, key)| {
            let started = self.started.get(key).filter(|started| started.at == *at)?;
            let TableKey { organisation, fingerprint } = *key;
            let (request, kind) = (started.request, RecordKind::Started);
            Some((*at, IdempotencyRecord { organisation, fingerprint, request, kind }))
        })
    }

    /// Returns the records after a position whose keys the requesting VM is also a replica of.
    pub fn page(&self, requester: &VmId, after: u64, limit: usize) -> RecordPage {
        let skipped = after.saturating_sub(self.first_position) as usize;
        let members = self.members.last().map(|(_, members)| members);
        let mut page = RecordPage { next: after.max(self.first_position), ..RecordPage::default() };
        for (at, key) in self.order.iter().skip(skipped) {
            if page.records.len() == limit {
                return page;
            }
            page.next += 1;
            let TableKey { organisation, fingerprint } = *key;
            let is_shared = members.is_none_or(|members| {
                members.replicas_by_hash(organisation, fingerprint).contains(requester)
            });
            let Some(started) = self.started.get(key).filter(|started| started.at == *at) else {
                continue;
            };
            if is_shared {
                let (request, kind) = (started.request, RecordKind::Started);
                page.records
                    .push((*at, IdempotencyRecord { organisation, fingerprint, request, kind }));
            }
        }
        page.is_last = true;
        page
    }

    /// Returns whether the table holds all records that this VM should have.
    pub fn is_complete(&self, now: Instant) -> bool {
        now >= self.complete_from && !self.members.is_empty()
    }

    /// Adds a record copied from another replica unless the key is already recorded.
    pub fn insert_copied(&mut self, record: &IdempotencyRecord, at: Instant) {
        let IdempotencyRecord { organisation, fingerprint, request, .. } = *record;
        let key = TableKey { organisation, fingerprint };
        if !self.started.contains_key(&key) {
            self.record(key, request, at);
        }
    }

    /// Sorts the entries by time after copied records were added.
    pub fn sort(&mut self) {
        self.order.make_contiguous().sort_by_key(|(at, _)| *at);
    }

    /// Sets the configured VMs.
    ///
    /// After a change, this VM can be a replica of keys that were recorded only on other VMs. It
    /// replies "unknown" for those for an hour.
    pub fn set_members(&mut self, vms: &[VmId], now: Instant) {
        let members = Members::new(vms);
        if self.members.last().is_none_or(|(_, known)| *known != members) {
            self.members.push((now, members));
        }
        // A list is kept until an hour after the next list came into force.
        let still_counts = |since: &Instant| now.saturating_duration_since(*since) < RETENTION;
        let outdated = self.members.windows(2).take_while(|pair| !still_counts(&pair[1].0)).count();
        self.members.drain(..outdated);
    }

    /// Records the start of a request and returns whether its key is new.
    ///
    /// The entry VM may repeat the call for the same request, because the first reply can get lost.
    pub fn start(
        &mut self,
        organisation: &OrganisationId,
        fingerprint: u64,
        request: &RequestId,
        now: Instant,
    ) -> OnceVerdict {
        self.expire(now);
        let key = TableKey { organisation: id_hash(organisation.as_str()), fingerprint };
        let request = id_hash(request.as_str());
        let is_new = match self.started.get(&key) {
            Some(started) if started.request != request => return OnceVerdict::Duplicate,
            known => known.is_none(),
        };
        if is_new && !self.record(key, request, now) {
            return OnceVerdict::Unknown;
        }
        if self.has_full_history(organisation, fingerprint, now) {
            OnceVerdict::First
        } else {
            OnceVerdict::Unknown
        }
    }

    /// Removes a key because the entry VM refused the request and will never send it.
    pub fn release(
        &mut self,
        organisation: &OrganisationId,
        fingerprint: u64,
        request: &RequestId,
    ) {
        let key = TableKey { organisation: id_hash(organisation.as_str()), fingerprint };
        let request = id_hash(request.as_str());
        if self.started.get(&key).is_some_and(|started| started.request == request) {
            self.remove(key);
        }
    }

    /// Removes the keys whose retention time is over.
    pub fn expire(&mut self, now: Instant) {
        let is_over = |at: Instant| now.saturating_duration_since(at) >= RETENTION;
        while let Some((at, key)) = self.order.pop_front_if(|(at, _)| is_over(*at)) {
            self.first_position += 1;
            if self.started.get(&key).is_some_and(|started| started.at == at) {
                self.remove(key);
            }
        }
    }

    /// Returns the number of recorded keys.
    pub fn len(&self) -> usize {
        self.started.len()
    }

    /// Returns whether no key is recorded.
    pub fn is_empty(&self) -> bool {
        self.started.is_empty()
    }

    /// Returns the approximate heap usage of the table in bytes.
    pub fn heap_bytes(&self) -> usize {
        self.started.capacity() * (size_of::<(TableKey, StartedRequest)>() + 1)
            + self.order.capacity() * size_of::<(Instant, TableKey)>()
    }

    /// Records a new key and returns `true`, or returns `false` if the table is full. No key is
    /// evicted early, because its request could then run twice.
    fn record(&mut self, key: TableKey, request: u64, now: Instant) -> bool {
        let organisation_keys = self.per_organisation.entry(key.organisation).or_default();
        let is_full = self.order.len() >= self.limits.total
            || *organisation_keys >= self.limits.per_organisation;
        if is_full {
            return false;
        }
        *organisation_keys += 1;
        self.started.insert(key, StartedRequest { request, at: now });
        self.order.push_back((now, key));
        true
    }

    fn remove(&mut self, key: TableKey) {
        self.started.remove(&key);
        if let Some(count) = self.per_organisation.get_mut(&key.organisation) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.per_organisation.remove(&key.organisation);
            }
        }
    }

    /// Returns whether this VM has been up and a replica of the key for the whole retention time.
    fn has_full_history(
        &self,
        organisation: &OrganisationId,
        fingerprint: u64,
        now: Instant,
    ) -> bool {
        now >= self.complete_from
            && !self.members.is_empty()
            && self
                .members
                .iter()
                .all(|(_, vms)| vms.replicas(organisation, fingerprint).contains(&self.vm))
    }
}
