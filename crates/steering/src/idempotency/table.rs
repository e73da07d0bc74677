//! What a home records.

use std::collections::{HashMap, VecDeque};
use std::mem::size_of;
use std::time::Instant;

use celerygate_types::wire::OnceVerdict;
use celerygate_types::{OrganisationId, RequestId, VmId};

use super::{IdempotencyRecord, Members, RETENTION, RecordKind, RecordPage};
use crate::lookup::rendezvous::id_hash;

/// Most keys that a home records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencyLimits {
    /// Keys of all organisations; 150,000 take about 20 MB.
    pub total: usize,
    /// Keys of one organisation, so that one cannot use up the room of the others.
    pub per_organisation: usize,
}

impl Default for IdempotencyLimits {
    fn default() -> Self {
        Self { total: 150_000, per_organisation: 50_000 }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct KeyOf {
    organisation: u64,
    fingerprint: u64,
}

#[derive(Clone, Copy, Debug)]
struct Started {
    request: u64,
    at: Instant,
}

/// The keys that this VM records as one of their homes.
#[derive(Clone, Debug)]
pub struct IdempotencyTable {
    vm: VmId,
    limits: IdempotencyLimits,
    started: HashMap<KeyOf, Started>,
    /// Keys in the order in which they were recorded; a released key leaves its entry behind.
    order: VecDeque<(Instant, KeyOf)>,
    /// Position of the first entry of `order`; positions only grow during a process's life.
    first_position: u64,
    per_organisation: HashMap<u64, usize>,
    /// Members of the last hour, each list with the time at which it came into force. Until the
    /// first list applies, nothing is known of the keys that others recorded.
    members: Vec<(Instant, Members)>,
    clear_from: Instant,
}

impl IdempotencyTable {
    /// Returns the table of a home that has just started.
    ///
    /// For the first hour it answers "unknown" for keys that it does not hold, because it may have
    /// recorded them before it was restarted.
    pub fn new(vm: VmId, limits: IdempotencyLimits, now: Instant) -> Self {
        Self {
            vm,
            limits,
            started: HashMap::new(),
            order: VecDeque::new(),
            first_position: 0,
            per_organisation: HashMap::new(),
            members: Vec::new(),
            clear_from: now + RETENTION,
        }
    }

    /// Notes that nothing recorded before can be missing: the records were restored from disk, or
    /// no request was admitted anywhere before this VM started.
    pub fn set_complete(&mut self, now: Instant) {
        self.clear_from = self.clear_from.min(now);
    }

    /// Notes that records may be missing until this time.
    pub fn set_complete_from(&mut self, at: Instant) {
        self.clear_from = at;
    }

    /// Adds a record from an earlier life, oldest first.
    pub fn restore(&mut self, record: &IdempotencyRecord, at: Instant) {
        let IdempotencyRecord { organisation, fingerprint, request, change } = *record;
        let key = KeyOf { organisation, fingerprint };
        match change {
            RecordKind::Started => {
                self.record(key, request, at);
            }
            RecordKind::Released => self.remove(key),
        }
    }

    /// Returns the live records with their times, oldest first.
    pub fn records(&self) -> impl Iterator<Item = (Instant, IdempotencyRecord)> {
        self.order.iter().filter_map(|(at, key)| {
            let started = self.started.get(key).filter(|started| started.at == *at)?;
            let KeyOf { organisation, fingerprint } = *key;
            let (request, change) = (started.request, RecordKind::Started);
            Some((*at, IdempotencyRecord { organisation, fingerprint, request, change }))
        })
    }

    /// Returns the records after a position that another VM is a home of too.
    pub fn page(&self, reader: &VmId, after: u64, limit: usize) -> RecordPage {
        let skipped = after.saturating_sub(self.first_position) as usize;
        let homes = self.members.last().map(|(_, members)| members);
        let mut page = RecordPage { next: after.max(self.first_position), ..RecordPage::default() };
        for (at, key) in self.order.iter().skip(skipped) {
            if page.records.len() == limit {
                return page;
            }
            page.next += 1;
            let KeyOf { organisation, fingerprint } = *key;
            let is_shared = homes.is_none_or(|members| {
                members.replicas_by_hash(organisation, fingerprint).contains(reader)
            });
            let Some(started) = self.started.get(key).filter(|started| started.at == *at) else {
                continue;
            };
            if is_shared {
                let (request, change) = (started.request, RecordKind::Started);
                page.records
                    .push((*at, IdempotencyRecord { organisation, fingerprint, request, change }));
            }
        }
        page.is_last = true;
        page
    }

    /// Returns whether nothing that this VM should have recorded is missing.
    pub fn is_complete(&self, now: Instant) -> bool {
        now >= self.clear_from && !self.members.is_empty()
    }

    /// Adds a record of another home unless the key is held already.
    pub fn insert_copied(&mut self, record: &IdempotencyRecord, at: Instant) {
        let IdempotencyRecord { organisation, fingerprint, request, .. } = *record;
        let key = KeyOf { organisation, fingerprint };
        if !self.started.contains_key(&key) {
            self.record(key, request, at);
        }
    }

    /// Orders the entries by their time again after records of other homes were added.
    pub fn sort(&mut self) {
        self.order.make_contiguous().sort_by_key(|(at, _)| *at);
    }

    /// Notes the configured VMs.
    ///
    /// A change makes this VM a home of keys that were recorded elsewhere; it answers "unknown" for
    /// those for an hour.
    pub fn set_members(&mut self, vms: &[VmId], now: Instant) {
        let members = Members::new(vms);
        if self.members.last().is_none_or(|(_, known)| *known != members) {
            self.members.push((now, members));
        }
        // A list counts until an hour after its successor came into force.
        let still_counts = |since: &Instant| now.saturating_duration_since(*since) < RETENTION;
        let outdated = self.members.windows(2).take_while(|pair| !still_counts(&pair[1].0)).count();
        self.members.drain(..outdated);
    }

    /// Records that a request starts and answers whether its key is new.
    ///
    /// The same request may ask again, as its first answer can be lost.
    pub fn start(
        &mut self,
        organisation: &OrganisationId,
        fingerprint: u64,
        request: &RequestId,
        now: Instant,
    ) -> OnceVerdict {
        self.expire(now);
        let key = KeyOf { organisation: id_hash(organisation.as_str()), fingerprint };
        let request = id_hash(request.as_str());
        let is_new = match self.started.get(&key) {
            Some(started) if started.request != request => return OnceVerdict::Duplicate,
            known => known.is_none(),
        };
        if is_new && !self.record(key, request, now) {
            return OnceVerdict::Unknown;
        }
        if self.knows_past(organisation, fingerprint, now) {
            OnceVerdict::First
        } else {
            OnceVerdict::Unknown
        }
    }

    /// Forgets a key because the entry VM refused the request and will never send it.
    pub fn release(
        &mut self,
        organisation: &OrganisationId,
        fingerprint: u64,
        request: &RequestId,
    ) {
        let key = KeyOf { organisation: id_hash(organisation.as_str()), fingerprint };
        let request = id_hash(request.as_str());
        if self.started.get(&key).is_some_and(|started| started.request == request) {
            self.remove(key);
        }
    }

    /// Forgets the keys whose retention has ended.
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

    /// Returns about how many bytes the table holds on the heap.
    pub fn heap_bytes(&self) -> usize {
        self.started.capacity() * (size_of::<(KeyOf, Started)>() + 1)
            + self.order.capacity() * size_of::<(Instant, KeyOf)>()
    }

    /// Records a new key, `false` if there is no room. Nothing is evicted to make room: a key that
    /// is forgotten early would let its request run twice.
    fn record(&mut self, key: KeyOf, request: u64, now: Instant) -> bool {
        let of_organisation = self.per_organisation.entry(key.organisation).or_default();
        let is_full = self.order.len() >= self.limits.total
            || *of_organisation >= self.limits.per_organisation;
        if is_full {
            return false;
        }
        *of_organisation += 1;
        self.started.insert(key, Started { request, at: now });
        self.order.push_back((now, key));
        true
    }

    fn remove(&mut self, key: KeyOf) {
        self.started.remove(&key);
        if let Some(count) = self.per_organisation.get_mut(&key.organisation) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.per_organisation.remove(&key.organisation);
            }
        }
    }

    /// Returns whether this VM has been up and a home of the key for as long as keys are kept.
    fn knows_past(&self, organisation: &OrganisationId, fingerprint: u64, now: Instant) -> bool {
        now >= self.clear_from
            && !self.members.is_empty()
            && self
                .members
                .iter()
                .all(|(_, vms)| vms.replicas(organisation, fingerprint).contains(&self.vm))
    }
}
