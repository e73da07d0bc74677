//! A simulated follower: sends the messages that a daemon sends to the control daemons, and counts
//! messages and bytes.

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

use crate::settings::{CONTROL_VMS, ORGANISATIONS, control_name, follower_name, peer_address};

/// Length of the message authentication code.
const MAC_BYTES: u64 = 32;
/// Length of the IPv4 and UDP headers.
const DATAGRAM_HEADER_BYTES: u64 = 28;
/// Polls go to all control daemons again when the parent has not answered for this long.
const PARENT_TIMEOUT: Duration = Duration::from_millis(1_500);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const GRANT_INTERVAL: Duration = Duration::from_millis(100);
/// Rate tokens per organisation in each grant request of an active follower.
const TOKENS_PER_REQUEST: u64 = 5;

/// Counters of messages and bytes. Arrays are indexed by control daemon.
#[derive(Default)]
pub struct Counters {
    /// Messages received by the simulated followers. Byte counts include the datagram headers.
    pub received: [AtomicU64; CONTROL_VMS],
    pub received_bytes: [AtomicU64; CONTROL_VMS],
    pub sent: [AtomicU64; CONTROL_VMS],
    pub sent_bytes: [AtomicU64; CONTROL_VMS],
    pub grant_replies: AtomicU64,
    pub grant_requests: AtomicU64,
    pub freshness_replies: AtomicU64,
    pub freshness_requests: AtomicU64,
    /// Messages that were dropped as invalid.
    pub rejected: AtomicU64,
}

/// State shared by all simulated followers.
#[derive(Default)]
pub struct SharedState {
    pub counters: Counters,
    /// Whether the followers request rate tokens.
    pub active: AtomicBool,
    pub leader: Mutex<Option<VmId>>,
}

#[derive(Default)]
struct State {
    revision: Revision,
    digest: u64,
    term: Term,
    /// The control daemon that answered the last poll, and the time of the answer.
    parent: Option<(VmId, Instant)>,
    /// When the current revision was received.
    received_at: Option<Instant>,
    /// The highest revision whose poll was answered, and the time of the answer.
    acknowledged: Option<(Revision, Instant)>,
    /// Nonce and revision of the last poll.
    last_poll: (u64, Revision),
    used_tokens: [u64; ORGANISATIONS],
    sequence: u64,
}

pub struct Follower {
    name: VmId,
    incarnation: Incarnation,
    peers: Arc<Peers>,
    state: Mutex<State>,
    shared: Arc<SharedState>,
}

fn organisation(index: usize) -> OrganisationId {
    // Lower-case letters, a hyphen and a digit form a valid id.
    #[allow(clippy::unwrap_used, reason = "the names are constants")]
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
    // Frames on a stream have a length prefix of 4 bytes.
    let header = if datagram { DATAGRAM_HEADER_BYTES } else { 4 };
    let encoded = postcard::experimental::serialized_size(envelope).unwrap_or(0);
    encoded as u64 + MAC_BYTES + header
}

impl Follower {
    pub async fn start(
        index: usize,
        port: u16,
        secret: &[u8],
        shared: &Arc<SharedState>,
    ) -> Result<Arc<Self>> {
        let name = follower_name(index)?;
        let incarnation = Incarnation(celerygate_types::Clock::system().unix_ms());
        let mut controls = Vec::new();
        for control in 0..CONTROL_VMS {
            controls.push((control_name(control).parse()?, peer_address(control, port)?));
        }
        let callback_shared = Arc::clone(shared);
        let on_dropped = Box::new(move |_| {
            callback_shared.counters.rejected.fetch_add(1, Ordering::Relaxed);
        });
        let address = peer_address(CONTROL_VMS + index, port)?;
        let (peers, listener) =
            Peers::bind(name.clone(), incarnation, address, secret, controls, on_dropped).await?;
        let state = Mutex::default();
        let follower =
            Arc::new(Self { name, incarnation, peers, state, shared: Arc::clone(shared) });
        let receiver = Arc::clone(&follower);
        let on_message: MessageHandler = Arc::new(move |envelope| receiver.receive(envelope));
        follower.peers.receive(listener, on_message);
        tokio::spawn(Arc::clone(&follower).send_heartbeats());
        tokio::spawn(Arc::clone(&follower).poll());
        tokio::spawn(Arc::clone(&follower).request_tokens());
        Ok(follower)
    }

    /// Returns the applied revision.
    pub fn revision(&self) -> Revision {
        self.state.lock().revision
    }

    /// Returns when a revision was received and when the leader answered a poll that reported it,
    /// or `None` before that answer.
    pub fn delivery_times(&self, revision: Revision) -> Option<(Instant, Instant)> {
        let state = self.state.lock();
        let (acknowledged, at) = state.acknowledged?;
        (acknowledged >= revision).then_some((state.received_at?, at))
    }

    fn send(&self, to: &VmId, message: Message) {
        let counters = &self.shared.counters;
        // Same envelope as in `Peers::send`, with a sequence number of typical encoded length, to
        // count its bytes.
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
                state.last_poll = (rand::random(), state.revision);
                let request = FreshnessRequest {
                    nonce: state.last_poll.0,
                    revision: state.revision,
                    digest: state.digest,
                    state: VmState::Serving,
                };
                let live_parent =
                    state.parent.as_ref().filter(|(_, at)| at.elapsed() < PARENT_TIMEOUT);
                (request, live_parent.map(|(vm, _)| vm.clone()))
            };
            self.shared.counters.freshness_requests.fetch_add(1, Ordering::Relaxed);
            for to in self.peers.vms().filter(|vm| parent.as_ref().is_none_or(|p| p == *vm)) {
                self.send(to, Message::FreshnessRequest(request.clone()));
            }
        }
    }

    async fn request_tokens(self: Arc<Self>) {
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
                let ask = |(index, used_tokens): (usize, &u64)| GrantAsk {
                    held_requests: RequestCount(0),
                    organisation: organisation(index),
                    used_requests: RequestCount(*used_tokens),
                    wanted_requests: RequestCount(TOKENS_PER_REQUEST),
                    waiting_requests: RequestCount::ZERO,
                };
                let asks = state.used_tokens.iter().enumerate().map(ask).collect();
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
            Message::FreshnessReply(reply) if reply.nonce == state.last_poll.0 => {
                counters.freshness_replies.fetch_add(1, Ordering::Relaxed);
                state.term = reply.term;
                *self.shared.leader.lock() = Some(envelope.sender.clone());
                state.parent = Some((envelope.sender, now));
                let last_poll = state.last_poll.1;
                if state.acknowledged.is_none_or(|(revision, _)| revision < last_poll) {
                    state.acknowledged = Some((last_poll, now));
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
                    state.used_tokens[index] += award.granted_requests.0;
                }
            }
            _ => {}
        }
    }
}
