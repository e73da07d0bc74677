//! A stand-in for a follower: sends what a daemon sends to the control daemons and counts.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::Result;
use celerygate_control::distribution::poll_delay;
use celerygate_control::state;
use celerygate_daemon::peers::{MessageHandler, Peers};
use celerygate_types::wire::{
    Envelope, FreshnessRequest, GrantAsk, GrantRequest, Heartbeat, Message, VmState,
};
use celerygate_types::{Incarnation, OrganisationId, RequestCount, Revision, Term, VmId};
use parking_lot::Mutex;
use tokio::time::sleep;

use crate::settings::{CONTROL_VMS, ORGANISATIONS, control_name, peer_address, stand_in_name};

/// Authentication code of a message, and the length before a frame.
const MAC_BYTES: u64 = 32;
/// Headers of IPv4 and UDP.
const DATAGRAM_HEADER_BYTES: u64 = 28;
/// A parent that has not answered for this long is no longer asked alone.
const PARENT_TIMEOUT: Duration = Duration::from_millis(1_500);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const GRANT_INTERVAL: Duration = Duration::from_millis(100);
/// Tokens per organisation that an active stand-in wants with each request.
const WANTED: u64 = 5;

/// Messages and bytes by what they are; the index is the control daemon.
#[derive(Default)]
pub struct Counters {
    /// Received by the stand-ins, with the headers of datagrams.
    pub received: [AtomicU64; CONTROL_VMS],
    pub received_bytes: [AtomicU64; CONTROL_VMS],
    pub sent: [AtomicU64; CONTROL_VMS],
    pub sent_bytes: [AtomicU64; CONTROL_VMS],
    pub grant_replies: AtomicU64,
    pub grant_requests: AtomicU64,
    pub fresh_replies: AtomicU64,
    pub fresh_requests: AtomicU64,
    pub refused: AtomicU64,
}

/// What all stand-ins share.
#[derive(Default)]
pub struct Shared {
    pub counters: Counters,
    pub active: AtomicBool,
    pub leader: Mutex<Option<VmId>>,
}

#[derive(Default)]
struct State {
    revision: Revision,
    digest: u64,
    term: Term,
    parent: Option<(VmId, Instant)>,
    /// When the revision arrived, and when a poll that stated it was answered.
    received_at: Option<Instant>,
    acknowledged: Option<(Revision, Instant)>,
    polled: (u64, Revision),
    used: [u64; ORGANISATIONS],
    sequence: u64,
}

pub struct Follower {
    name: VmId,
    incarnation: Incarnation,
    peers: Arc<Peers>,
    state: Mutex<State>,
    shared: Arc<Shared>,
}

fn organisation(index: usize) -> OrganisationId {
    // Letters, a hyphen and a digit are a valid id.
    #[allow(clippy::unwrap_used, reason = "fixed names")]
    format!("org-{index}").parse().unwrap()
}

fn control_index(vm: &VmId) -> usize {
    vm.as_str().rsplit('-').next().and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn wire_bytes(envelope: &Envelope) -> u64 {
    let datagram = matches!(
        envelope.message,
        Message::Heartbeat(_) | Message::FreshnessRequest(_) | Message::FreshnessReply(_)
    );
    let header = if datagram { DATAGRAM_HEADER_BYTES } else { 4 };
    let encoded = postcard::experimental::serialized_size(envelope).unwrap_or(0);
    encoded as u64 + MAC_BYTES + header
}

impl Follower {
    pub async fn start(
        index: usize,
        port: u16,
        secret: &[u8],
        shared: &Arc<Shared>,
    ) -> Result<Arc<Self>> {
        let name = stand_in_name(index)?;
        let incarnation = Incarnation(celerygate_types::Clock::system().unix_ms());
        let mut others = Vec::new();
        for control in 0..CONTROL_VMS {
            others.push((control_name(control).parse()?, peer_address(control, port)?));
        }
        let counted = Arc::clone(shared);
        let dropped = Box::new(move |_| {
            counted.counters.refused.fetch_add(1, Ordering::Relaxed);
        });
        let address = peer_address(CONTROL_VMS + index, port)?;
        let (peers, listener) =
            Peers::bind(name.clone(), incarnation, address, secret, others, dropped).await?;
        let state = Mutex::default();
        let follower =
            Arc::new(Self { name, incarnation, peers, state, shared: Arc::clone(shared) });
        let receiving = Arc::clone(&follower);
        let on_message: MessageHandler = Arc::new(move |envelope| receiving.receive(envelope));
        follower.peers.receive(listener, on_message);
        tokio::spawn(Arc::clone(&follower).send_heartbeats());
        tokio::spawn(Arc::clone(&follower).poll());
        tokio::spawn(Arc::clone(&follower).ask_for_tokens());
        Ok(follower)
    }

    /// Returns the applied revision.
    pub fn revision(&self) -> Revision {
        self.state.lock().revision
    }

    /// Returns when a revision arrived and when the leader answered a poll that stated it.
    pub fn times(&self, revision: Revision) -> Option<(Instant, Instant)> {
        let state = self.state.lock();
        let (acknowledged, at) = state.acknowledged?;
        (acknowledged >= revision).then_some((state.received_at?, at))
    }

    fn send(&self, to: &VmId, message: Message) {
        let counters = &self.shared.counters;
        // As `Peers::send` builds it; the sequence number is of typical length.
        let envelope = Envelope {
            version: 1,
            sender: self.name.clone(),
            sender_incarnation: self.incarnation,
            receiver_incarnation: self.incarnation,
            sequence: 1_000,
            message,
        };
        let index = control_index(to);
        counters.sent[index].fetch_add(1, Ordering::Relaxed);
        counters.sent_bytes[index].fetch_add(wire_bytes(&envelope), Ordering::Relaxed);
        self.peers.send(to, envelope.message);
    }

    async fn send_heartbeats(self: Arc<Self>) {
        let mut first = HEARTBEAT_INTERVAL.mul_f64(rand::random());
        loop {
            sleep(std::mem::replace(&mut first, HEARTBEAT_INTERVAL)).await;
            let heartbeat = Heartbeat {
                state: VmState::Serving,
                revision: self.state.lock().revision,
                loads: vec![],
                links: vec![],
                targets: vec![],
            };
            for to in self.peers.vms() {
                self.send(to, Message::Heartbeat(heartbeat.clone()));
            }
        }
    }

    async fn poll(self: Arc<Self>) {
        loop {
            sleep(poll_delay(rand::random())).await;
            let (request, parent) = {
                let mut state = self.state.lock();
                state.polled = (rand::random(), state.revision);
                let request = FreshnessRequest {
                    nonce: state.polled.0,
                    revision: state.revision,
                    digest: state.digest,
                    state: VmState::Serving,
                };
                let live = state.parent.as_ref().filter(|(_, at)| at.elapsed() < PARENT_TIMEOUT);
                (request, live.map(|(vm, _)| vm.clone()))
            };
            self.shared.counters.fresh_requests.fetch_add(1, Ordering::Relaxed);
            for to in self.peers.vms().filter(|vm| parent.as_ref().is_none_or(|p| p == *vm)) {
                self.send(to, Message::FreshnessRequest(request.clone()));
            }
        }
    }

    async fn ask_for_tokens(self: Arc<Self>) {
        sleep(GRANT_INTERVAL.mul_f64(rand::random())).await;
        loop {
            sleep(GRANT_INTERVAL).await;
            if !self.shared.active.load(Ordering::Relaxed) {
                continue;
            }
            let (request, parent) = {
                let mut state = self.state.lock();
                let Some((parent, _)) = state.parent.clone() else { continue };
                state.sequence += 1;
                let ask = |(index, used): (usize, &u64)| GrantAsk {
                    held_requests: RequestCount(0),
                    organisation: organisation(index),
                    used_requests: RequestCount(*used),
                    wanted_requests: RequestCount(WANTED),
                    waiting_requests: RequestCount::ZERO,
                };
                let asks = state.used.iter().enumerate().map(ask).collect();
                (GrantRequest { asks, sequence: state.sequence, term: state.term }, parent)
            };
            self.shared.counters.grant_requests.fetch_add(1, Ordering::Relaxed);
            self.send(&parent, Message::GrantRequest(request));
        }
    }

    fn receive(&self, envelope: Envelope) {
        let counters = &self.shared.counters;
        let (now, from) = (Instant::now(), control_index(&envelope.sender));
        counters.received[from].fetch_add(1, Ordering::Relaxed);
        counters.received_bytes[from].fetch_add(wire_bytes(&envelope), Ordering::Relaxed);
        let mut state = self.state.lock();
        match envelope.message {
            Message::FreshnessReply(reply) if reply.nonce == state.polled.0 => {
                counters.fresh_replies.fetch_add(1, Ordering::Relaxed);
                state.term = reply.term;
                *self.shared.leader.lock() = Some(envelope.sender.clone());
                state.parent = Some((envelope.sender, now));
                let polled = state.polled.1;
                if state.acknowledged.is_none_or(|(revision, _)| revision < polled) {
                    state.acknowledged = Some((polled, now));
                }
            }
            Message::ConfigurationDelta(delta) if delta.from_revision == state.revision => {
                (state.revision, state.digest) = (delta.to_revision, delta.digest);
                state.received_at = Some(now);
            }
            Message::ConfigurationSnapshot(snapshot) => {
                state.revision = snapshot.configuration.revision;
                state.digest = state::digest(&snapshot.configuration);
                state.received_at = Some(now);
            }
            Message::GrantReply(reply) => {
                counters.grant_replies.fetch_add(1, Ordering::Relaxed);
                for award in &reply.awards {
                    let index = award.organisation.as_str().rsplit('-').next();
                    let index: usize = index.and_then(|text| text.parse().ok()).unwrap_or(0);
                    state.used[index] += award.granted_requests.0;
                }
            }
            _ => {}
        }
    }
}
