//! Jobs of the worker pool: messages from peers and timer ticks.

use std::sync::Arc;
use std::time::Duration;

use celerygate_control::distribution::{first_poll_delay, poll_delay};
use celerygate_types::VmId;
use celerygate_types::wire::{Envelope, Heartbeat, Message};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::daemon::Daemon;
use crate::workers::{JobFuture, JobQueue, OfferOutcome};
use crate::{control, idempotency, links, lookup, notices, permits};

/// A job for a worker.
pub enum Job {
    /// An authentic message from a peer.
    Message(Box<Envelope>),
    /// A timer has expired.
    Tick(Tick),
}

/// The periodic timers, by what they trigger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum Tick {
    /// Timers of the replicated log and the leader's duties.
    Control,
    /// Request whether the configuration is current.
    Freshness,
    /// Requests for rate tokens.
    Grants,
    /// Copying of idempotency keys that this VM lacks as a replica.
    Once,
    /// Heartbeats with state and load to the other daemons.
    Heartbeat,
    /// Rebuild of the lookups' entry table and capacities.
    Lookup,
    /// Byte budgets of links between regions.
    Links,
    /// Requests for slot permits, and waiting requests.
    Permits,
    /// Expiry of announcements and limits on ejections.
    Targets,
}

impl Tick {
    fn interval(self) -> Duration {
        match self {
            Self::Control => Duration::from_millis(50),
            Self::Freshness => poll_delay(rand::random()),
            Self::Grants => Duration::from_millis(25),
            Self::Once => Duration::from_millis(250),
            Self::Heartbeat => Duration::from_secs(1),
            Self::Lookup => lookup::REBUILD_INTERVAL,
            Self::Links => Duration::from_millis(100),
            Self::Permits => Duration::from_millis(20),
            Self::Targets => Duration::from_millis(500),
        }
    }

    fn first_delay(self) -> Duration {
        match self {
            Self::Freshness => first_poll_delay(rand::random()),
            _ => Duration::ZERO,
        }
    }
}

/// Returns whether a message belongs to the replication protocol of the control group. The leader's
/// lease depends on its timing.
pub fn is_urgent(message: &Message) -> bool {
    matches!(
        message,
        Message::VoteRequest(_)
            | Message::VoteReply(_)
            | Message::AppendRequest(_)
            | Message::AppendReply(_)
    )
}

/// Starts a task that queues the tick each time it is due, until the task is aborted.
pub fn start_timer(tick: Tick, queue: JobQueue<Job>) -> JoinHandle<()> {
    tokio::spawn(async move {
        sleep(tick.first_delay()).await;
        loop {
            if queue.offer_urgent(Job::Tick(tick)) == OfferOutcome::Dropped {
                log::warn!(tick:? = tick; "worker queue is full, tick dropped");
            }
            sleep(tick.interval()).await;
        }
    })
}

/// Runs one job.
pub fn run(daemon: Arc<Daemon>, job: Job) -> JobFuture {
    Box::pin(async move {
        match job {
            Job::Message(envelope) => receive(&daemon, *envelope),
            Job::Tick(tick) => run_tick(&daemon, tick),
        }
    })
}

fn receive(daemon: &Arc<Daemon>, envelope: Envelope) {
    match envelope.message {
        Message::Heartbeat(heartbeat) => {
            record_heartbeat(daemon, envelope.sender, heartbeat);
        }
        Message::LinkRequest(request) => {
            links::handle_request(daemon, &envelope.sender, envelope.sender_incarnation, &request);
        }
        Message::LinkReply(reply) => links::handle_reply(daemon, &reply),
        Message::SlotRequest(request) => {
            permits::handle_request(
                daemon,
                &envelope.sender,
                envelope.sender_incarnation,
                &request,
            );
        }
        message @ (Message::OnceRequest(_)
        | Message::OnceReply(_)
        | Message::OnceRelease(_)
        | Message::OnceReleased(_)
        | Message::OnceCopyRequest(_)
        | Message::OnceCopyReply(_)) => {
            idempotency::handle_message(
                daemon,
                &envelope.sender,
                envelope.sender_incarnation,
                message,
            );
        }
        Message::SlotReply(reply) => permits::handle_reply(daemon, &reply),
        Message::GrantReply(reply) => control::accept_tokens(daemon, &reply),
        _ => control::receive(daemon, envelope),
    }
}

fn record_heartbeat(daemon: &Arc<Daemon>, sender: VmId, heartbeat: Heartbeat) {
    let now = daemon.clock.now();
    let mut changed = false;
    {
        let mut targets = daemon.tables.targets.lock();
        for record in &heartbeat.targets {
            use celerygate_steering::targets::RecordUpdate;
            changed |= matches!(targets.merge(record, now), RecordUpdate::New);
        }
    }
    daemon.tables.peer_heartbeats.lock().record(sender, heartbeat, now);
    if changed {
        permits::dispatch(daemon);
    }
}

fn run_tick(daemon: &Arc<Daemon>, tick: Tick) {
    match tick {
        Tick::Control => control::tick(daemon),
        Tick::Freshness => control::poll_parent(daemon),
        Tick::Grants => control::request_tokens(daemon),
        Tick::Once => idempotency::request_missing_pages(daemon),
        Tick::Heartbeat => daemon.send_heartbeats(),
        Tick::Lookup => lookup::rebuild(daemon),
        Tick::Links => links::tick(daemon),
        Tick::Permits => permits::tick(daemon),
        Tick::Targets => maintain_targets(daemon),
    }
}

fn maintain_targets(daemon: &Daemon) {
    let now = daemon.clock.now();
    let loads = daemon.region_loads(now);
    let mut targets = daemon.tables.targets.lock();
    let expired = targets.expire(now);
    let pauses_ended = targets.end_pauses(now);
    let readmitted =
        targets.enforce_ejection_caps(|service, region| loads.running(service, region), now);
    drop(targets);
    for (service, target) in expired {
        log::info!(service:% = service, target:% = target; "announcement expired");
    }
    notices::update_metrics(daemon);
    for (service, target) in pauses_ended {
        notices::log_pause_end(&service, &target);
    }
    for (service, target) in readmitted {
        log::info!(service:% = service, target:% = target; "target readmitted");
    }
}
