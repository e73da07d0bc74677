//! One measurement in three phases: idle followers, active followers, and commits.

use std::fs;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use anyhow::{Context as _, Result, ensure};
use celerygate_types::wire::{ConfirmRequest, IntentAnswer, IntentKind, IntentRequest, RateIntent};
use celerygate_types::{RequestCount, RequestRate, Revision};
use http_body_util::{BodyExt as _, Full};
use hyper::Request;
use hyper::body::Bytes;
use serde::Serialize;
use tokio::time::sleep;

use crate::follower::{Follower, SharedState};
use crate::http;
use crate::options::Load;
use crate::process::{Usage, usage};
use crate::settings::{CONTROL_VMS, operators_address};

const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Longer than the time for which a new owner of token buckets withholds tokens.
const WARM_UP: Duration = Duration::from_secs(3);
const COMMIT_TIMEOUT: Duration = Duration::from_secs(8);

struct Sample {
    at: Instant,
    usage: Vec<Usage>,
    counts: Vec<[u64; 4]>,
}

fn sample(load: &Load, shared: &SharedState) -> Result<Sample> {
    let counters = &shared.counters;
    let counts = (0..CONTROL_VMS).map(|control| {
        [&counters.sent, &counters.sent_bytes, &counters.received, &counters.received_bytes]
            .map(|counter| counter[control].load(Ordering::Relaxed))
    });
    Ok(Sample {
        at: Instant::now(),
        usage: load.pids.iter().map(|pid| usage(*pid)).collect::<Result<_>>()?,
        counts: counts.collect(),
    })
}

fn leader_index(shared: &SharedState) -> Option<usize> {
    let leader = shared.leader.lock().clone()?;
    leader.as_str().rsplit('-').next()?.parse().ok()
}

/// Prints the rows of each control daemon for a phase. Messages and bytes are those between the
/// daemon and the simulated followers, where "in" means received by the daemon.
fn print_rows(load: &Load, phase: &str, shared: &SharedState, from: &Sample, to: &Sample) {
    let seconds = (to.at - from.at).as_secs_f64();
    let leader = leader_index(shared);
    for control in 0..CONTROL_VMS {
        let role = if leader == Some(control) { "leader" } else { "follower" };
        let rate = |at: usize| (to.counts[control][at] - from.counts[control][at]) as f64 / seconds;
        let values = [
            (
                "cpu_percent",
                (to.usage[control].cpu_s - from.usage[control].cpu_s) * 100.0 / seconds,
            ),
            ("resident_mib", to.usage[control].resident_kib / 1_024.0),
            ("in_messages_per_s", rate(0)),
            ("in_kb_per_s", rate(1) / 1_000.0),
            ("out_messages_per_s", rate(2)),
            ("out_kb_per_s", rate(3) / 1_000.0),
        ];
        for (name, value) in values {
            println!("{role}/{phase}\t{name}\t{}\t{value:.4}", load.followers);
        }
    }
}

async fn post(
    load: &Load,
    control: usize,
    path: &str,
    body: &impl Serialize,
) -> Result<IntentAnswer> {
    let address = operators_address(control, load.port);
    let token = fs::read_to_string(load.folder.join("operators.token"))?;
    let mut sender = http::connect(&address).await.map_err(anyhow::Error::msg)?;
    let request = Request::post(path)
        .header("host", &address)
        .header("content-type", "application/json")
        .header("authorization", format!("Bearer {}", token.trim()))
        .body(Full::new(Bytes::from(serde_json::to_vec(body)?)))?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    ensure!(status.is_success(), "{path}: {status}: {}", String::from_utf8_lossy(&body));
    serde_json::from_slice(&body).context("failed to decode the answer of the operators' API")
}

/// Confirms a rate change, waits until all followers have acknowledged it, and prints the
/// latencies.
async fn commit(
    load: &Load,
    shared: &SharedState,
    followers: &[Arc<Follower>],
    number: usize,
) -> Result<()> {
    let control = leader_index(shared).context("no leader known")?;
    let rate = RateIntent {
        organisation: "org-0".parse()?,
        rate_requests_per_s: RequestRate(100_000 + number as u64),
        burst_requests: RequestCount(200_000),
    };
    let id = format!("load-{number}");
    let request =
        IntentRequest { intent: id.parse()?, based_on: None, kind: IntentKind::Rate(rate) };
    let planned = post(load, control, "/v1/intents", &request).await?;
    let confirm = ConfirmRequest { based_on: planned.revision };
    let started = Instant::now();
    post(load, control, &format!("/v1/intents/{id}/confirm"), &confirm).await?;
    let committed = started.elapsed();
    let revision = Revision(planned.revision.0 + 1);
    let times = loop {
        let times: Option<Vec<_>> =
            followers.iter().map(|follower| follower.delivery_times(revision)).collect();
        if let Some(times) = times {
            break times;
        }
        ensure!(
            started.elapsed() < COMMIT_TIMEOUT,
            "intent {id} was not acknowledged by all followers within {COMMIT_TIMEOUT:?}"
        );
        sleep(Duration::from_millis(5)).await;
    };
    let ms_since_start = |at: Option<Instant>| {
        at.map_or(0.0, |at| at.saturating_duration_since(started).as_secs_f64() * 1_000.0)
    };
    let received = ms_since_start(times.iter().map(|(received, _)| *received).max());
    let acknowledged = ms_since_start(times.iter().map(|(_, acknowledged)| *acknowledged).max());
    let committed = committed.as_secs_f64() * 1_000.0;
    for (name, value) in [
        ("confirm_answered_ms", committed),
        ("last_received_ms", received),
        ("last_acknowledged_ms", acknowledged),
    ] {
        println!("commit\t{name}\t{}\t{value:.2}", load.followers);
    }
    Ok(())
}

pub async fn run(load: Load) -> Result<()> {
    let secret = fs::read_to_string(load.folder.join("daemons.token"))?;
    let shared = Arc::new(SharedState::default());
    let mut followers = Vec::with_capacity(load.followers);
    for index in 0..load.followers {
        followers.push(Follower::start(index, load.port, secret.trim().as_bytes(), &shared).await?);
    }
    let started = Instant::now();
    let followers_ready = || {
        let all = || followers.iter().all(|follower| follower.revision() > Revision::ZERO);
        leader_index(&shared).is_some() && (!load.await_configuration || all())
    };
    while !followers_ready() {
        ensure!(
            started.elapsed() < START_TIMEOUT,
            "not all followers received the configuration within {START_TIMEOUT:?}"
        );
        sleep(Duration::from_millis(50)).await;
    }
    println!("start\tall_configured_s\t{}\t{:.2}", load.followers, started.elapsed().as_secs_f64());
    sleep(WARM_UP).await;
    let idle = sample(&load, &shared)?;
    sleep(load.phase).await;
    let idle_end = sample(&load, &shared)?;
    print_rows(&load, "idle", &shared, &idle, &idle_end);
    shared.active.store(true, Ordering::Relaxed);
    sleep(WARM_UP / 2).await;
    let active = sample(&load, &shared)?;
    sleep(load.phase).await;
    print_rows(&load, "active", &shared, &active, &sample(&load, &shared)?);
    shared.active.store(false, Ordering::Relaxed);
    for number in 0..load.commits {
        commit(&load, &shared, &followers, number).await?;
    }
    let counters = &shared.counters;
    let load_counter =
        |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed) as f64;
    for (name, value) in [
        (
            "grant_answered_percent",
            100.0 * load_counter(&counters.grant_replies) / load_counter(&counters.grant_requests),
        ),
        (
            "freshness_answered_percent",
            100.0 * load_counter(&counters.freshness_replies)
                / load_counter(&counters.freshness_requests),
        ),
        ("messages_refused", load_counter(&counters.rejected)),
    ] {
        println!("check\t{name}\t{}\t{value:.2}", load.followers);
    }
    Ok(())
}
