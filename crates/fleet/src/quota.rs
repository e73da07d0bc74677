//! Rate limiting of organisations on an entry VM, with tokens granted by the leader of the control
//! group.

use std::sync::Arc;
use std::time::{Duration, Instant};

use celerygate_steering::grants::{
    Admission, Limit, OwnAllowance, TokenRequest, TokenSource, token_source, wait_end,
};
use celerygate_steering::placement::TokenBucket;
use celerygate_types::OrganisationId;
use celerygate_types::wire::{FleetMessage, Message};
use tokio::time::{sleep, timeout};

use crate::daemon::{Daemon, quota_window};
use crate::sync;

/// Interval at which the VM checks whether to request tokens.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Share of the rate that all VMs together admit when they reach most control VMs but there is no
/// leader. The remainder keeps the fleet within the rate while some VMs still hold tokens of the
/// last leader.
const LEADERLESS_SHARE: f64 = 0.9;
/// Share for a VM that is partitioned from the control VMs: the leader meanwhile grants the whole
/// rate to the others, and the excess that deployments allow is about a tenth of it.
const PARTITIONED_SHARE: f64 = 0.3;
/// Maximum age of a control VM's reply that proves that it is reachable.
const CONTROL_REPLY_AGE_MAX: Duration = Duration::from_millis(1_200);
/// Interval at which a waiting request repeats its decision.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Requests tokens from the leader until the task is aborted.
pub async fn poll(daemon: Arc<Daemon>) {
    loop {
        // A request that starts to wait for a token ends the pause early; the timeout is the usual
        // case.
        let _ = timeout(POLL_INTERVAL, daemon.tables.token_requested.notified()).await;
        let earliest = daemon.tables.quota.lock().holder.next_poll();
        if let Some(pause) = earliest.and_then(|at| at.checked_duration_since(daemon.now())) {
            sleep(pause.min(POLL_INTERVAL)).await;
        }
        let leader = daemon.tables.leader.lock().clone();
        let Some(vm) = leader.vm else { continue };
        let now = daemon.now();
        let request = {
            let mut quota = daemon.tables.quota.lock();
            if leader.term > quota.term {
                quota.term = leader.term;
                quota.owner.known_since = Some(now);
            }
            quota.holder.set_term(leader.term);
            let quota = &mut *quota;
            let waiting = &quota.waiting;
            quota.holder.poll(|id| waiting.get(id).copied().unwrap_or(0), now)
        };
        if let Some(request) = request {
            daemon.mesh.send(&vm, FleetMessage::Agreement(Message::GrantRequest(request)));
        }
    }
}

/// Counts a request as waiting for a token until it is dropped.
struct TokenWaitGuard<'a> {
    daemon: &'a Daemon,
    organisation: &'a OrganisationId,
}

impl<'a> TokenWaitGuard<'a> {
    fn begin(daemon: &'a Daemon, organisation: &'a OrganisationId) -> Self {
        *daemon.tables.quota.lock().waiting.entry(organisation.clone()).or_default() += 1;
        daemon.tables.token_requested.notify_one();
        Self { daemon, organisation }
    }
}

impl Drop for TokenWaitGuard<'_> {
    fn drop(&mut self) {
        if let Some(count) = self.daemon.tables.quota.lock().waiting.get_mut(self.organisation) {
            *count = count.saturating_sub(1);
        }
    }
}

enum Decision {
    Admit(TokenSource),
    Wait,
    Refuse(RateRefusal),
}

/// Why a request got no token, and what this VM knew.
#[derive(Clone, Copy, Debug)]
pub struct RateRefusal {
    /// Time after which the caller should retry.
    pub retry_after: Duration,
    /// Source that had no token.
    pub source: TokenSource,
    /// Whether the leader has replied to a request for tokens that was sent after this one arrived.
    pub is_answered: bool,
    /// Whether the leader's last reply reports the organisation as exhausted.
    pub is_exhausted: bool,
    /// Number of requests of the organisation that wait for tokens at this VM.
    pub waiting: u64,
}

/// Takes a token of an organisation and returns its source. Waits if the leader is expected to grant
/// tokens.
///
/// # Errors
///
/// When the organisation has exceeded its rate.
pub async fn admit(
    daemon: &Daemon,
    organisation: &OrganisationId,
    limit: Limit,
    deadline: Instant,
) -> Result<TokenSource, RateRefusal> {
    let arrived = daemon.now();
    let mut waiting = None;
    loop {
        let tokens_received = daemon.tables.tokens_received.notified();
        match decide(daemon, organisation, limit, arrived, deadline, waiting.is_some()) {
            Decision::Admit(source) => return Ok(source),
            Decision::Refuse(refusal) => return Err(refusal),
            Decision::Wait => {
                waiting.get_or_insert_with(|| TokenWaitGuard::begin(daemon, organisation));
                // The decision is repeated after a notification and after the timeout.
                let _ = timeout(RECHECK_INTERVAL, tokens_received).await;
            }
        }
    }
}

/// Returns the rate and burst that this VM may admit without a leader.
fn leaderless_allowance(
    daemon: &Daemon,
    limit: Limit,
    is_low_use: bool,
    now: Instant,
) -> OwnAllowance {
    let control_vms = sync::control_vms(daemon).len();
    let is_recent = |at: &Instant| now.saturating_duration_since(*at) < CONTROL_REPLY_AGE_MAX;
    let targets = daemon.tables.targets.lock();
    let reached = targets.silent_lists.values().filter(|(_, at)| is_recent(at)).count();
    drop(targets);
    let reaches_majority = reached * 2 > control_vms;
    let share = if reaches_majority { LEADERLESS_SHARE } else { PARTITIONED_SHARE };
    limit.own_allowance(
        &quota_window(&daemon.settings),
        daemon.tables.entry_vms(),
        share,
        is_low_use,
    )
}

fn decide(
    daemon: &Daemon,
    organisation: &OrganisationId,
    limit: Limit,
    arrived: Instant,
    deadline: Instant,
    is_waiting: bool,
) -> Decision {
    let now = daemon.now();
    let mut quota = daemon.tables.quota.lock();
    let is_answered = quota.holder.has_reply_since(arrived);
    let deadline = wait_end(arrived, deadline, is_answered);
    let token_request = TokenRequest { arrived, deadline, ahead: 0 };
    let admission = if is_waiting {
        quota.holder.recheck(organisation, &token_request, now)
    } else {
        quota.holder.admit(organisation, &token_request, now)
    };
    let source = token_source(&quota.owner, now);
    let refuse = |retry_after, is_exhausted, waiting| {
        let refusal = RateRefusal { retry_after, source, is_answered, is_exhausted, waiting };
        Decision::Refuse(refusal)
    };
    let is_exhausted = quota.holder.is_exhausted(organisation, now);
    let requests_waiting = quota.waiting.get(organisation).copied().unwrap_or(0);
    let has_leader = source == TokenSource::Leader;
    match admission {
        Admission::Admit => Decision::Admit(TokenSource::Leader),
        // When tokens are scarce, the leader grants them to waiting requests, and it does not know
        // of this one yet.
        Admission::Refuse { .. } if has_leader && now < deadline && !is_answered => Decision::Wait,
        Admission::Refuse { retry_after } if has_leader => {
            refuse(retry_after, is_exhausted, requests_waiting)
        }
        Admission::WaitForTokens { recheck_at } if has_leader && now < recheck_at => Decision::Wait,
        Admission::Refuse { .. } | Admission::WaitForTokens { .. } => {
            let window = Duration::from_millis(daemon.settings.bounds.quota_window_ms);
            let is_low_use = !quota.holder.was_exhausted(organisation, window, now);
            drop(quota);
            let allowance = leaderless_allowance(daemon, limit, is_low_use, now);
            let mut quota = daemon.tables.quota.lock();
            let bucket = quota
                .own_allowances
                .entry(organisation.clone())
                .or_insert_with(|| TokenBucket::with_level(allowance.initial_level, now));
            if bucket.take(allowance.rate_per_s, allowance.capacity, now) {
                Decision::Admit(TokenSource::OwnAllowance)
            } else {
                let retry_after = Duration::from_secs_f64(1.0 / allowance.rate_per_s.max(1.0));
                refuse(retry_after, is_exhausted, requests_waiting)
            }
        }
    }
}
