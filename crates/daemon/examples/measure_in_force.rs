//! Measures the time from the answer to a confirm until the change is in force on all VMs: as the
//! leader reports it and, for withdrawn keys, as requests on open connections to the entry VMs
//! observe it.
//!
//! The exit code is 1 if a request with a withdrawn key was sent after the reported time and still
//! answered, or if a time exceeds the limit.

#[path = "shared/http.rs"]
mod http;
#[path = "measure_in_force/operators.rs"]
mod operators;
#[path = "measure_in_force/options.rs"]
mod options;
#[path = "measure_in_force/probe.rs"]
mod probe;

use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context as _, Result};
use celerygate_types::wire::{IntentKind, KeyIssueIntent, KeyWithdrawIntent, RateIntent};
use celerygate_types::{KeyHash, RequestCount, RequestRate};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use operators::OperatorsClient;
use options::Options;
use probe::{ProbeResult, probe};

/// Time within which a change must be in force on all VMs.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(8);

/// Time for which the probes continue after the change is reported in force.
const PROBE_TIME_AFTER_REPORT: Duration = Duration::from_millis(500);

/// Longest wait until every entry VM accepts an issued key.
const KEY_ACCEPTED_TIMEOUT: Duration = Duration::from_secs(10);

/// Measured times.
#[derive(Default)]
struct Measurements {
    /// Times until changes were reported in force.
    report_times: Vec<Duration>,
    /// Times until all entry VMs refused a withdrawn key.
    refusal_times: Vec<Duration>,
    /// Descriptions of requests sent after the reported time and still answered.
    late_answers: Vec<String>,
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let options = options::parse()?;
    let mut operators = OperatorsClient::new(&options.operators, &options.token);
    let mut measurements = Measurements::default();
    for round in 0..options.rounds {
        measure_rate(&options, &mut operators, &mut measurements, round).await?;
        measure_key(&options, &mut operators, &mut measurements, round).await?;
    }
    let within_limit = print_times("reported in force", &mut measurements.report_times)
        & print_times("refused by every VM", &mut measurements.refusal_times);
    match measurements.late_answers.first() {
        None => println!("answered after the reported time: none"),
        Some(first) => {
            let count = measurements.late_answers.len();
            println!("answered after the reported time: {count}, the first {first}");
        }
    }
    let passed = within_limit && measurements.late_answers.is_empty();
    Ok(if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Changes a rate and measures the time until the change is reported in force.
async fn measure_rate(
    options: &Options,
    operators: &mut OperatorsClient<'_>,
    measurements: &mut Measurements,
    round: u32,
) -> Result<()> {
    let kind = IntentKind::Rate(RateIntent {
        organisation: options.rate_organisation.clone(),
        rate_requests_per_s: RequestRate(150 + u64::from(round % 2)),
        burst_requests: RequestCount(300),
    });
    let confirmed = operators.confirm(kind).await?;
    measurements.report_times.push(operators.wait_in_force(&confirmed).await? - confirmed.at);
    Ok(())
}

/// Issues a key, sends requests with it to every entry VM, withdraws it, and measures the time
/// until every entry VM refuses it.
async fn measure_key(
    options: &Options,
    operators: &mut OperatorsClient<'_>,
    measurements: &mut Measurements,
    round: u32,
) -> Result<()> {
    let secret = format!("{:032x}", rand::random::<u128>());
    let key: celerygate_types::KeyId = format!("probe-{:016x}", rand::random::<u64>())
        .parse()
        .context("failed to create a key id")?;
    let kind = IntentKind::KeyIssue(KeyIssueIntent {
        hash: KeyHash(*blake3::hash(secret.as_bytes()).as_bytes()),
        key: key.clone(),
        organisation: options.key_organisation.clone(),
    });
    let issued = operators.confirm(kind).await?;
    measurements.report_times.push(operators.wait_in_force(&issued).await? - issued.at);

    let (stop, stop_receiver) = watch::channel(false);
    let mut probes = Vec::new();
    for entry in &options.entries {
        let (accepted_sender, key_accepted) = watch::channel(false);
        let probing = probe(
            entry.clone(),
            options.service.clone(),
            secret.clone(),
            accepted_sender,
            stop_receiver.clone(),
        );
        probes.push((entry, key_accepted, tokio::spawn(probing)));
    }
    for (entry, key_accepted, _) in &mut probes {
        let waiting =
            tokio::time::timeout(KEY_ACCEPTED_TIMEOUT, key_accepted.wait_for(|accepted| *accepted));
        let waited =
            waiting.await.with_context(|| format!("{entry} did not accept the key in time"))?;
        waited.with_context(|| format!("the probe of {entry} ended"))?;
    }

    let organisation = options.key_organisation.clone();
    let kind = IntentKind::KeyWithdraw(KeyWithdrawIntent { key, organisation });
    let withdrawn = operators.confirm(kind).await?;
    let reported_at = operators.wait_in_force(&withdrawn).await?;
    measurements.report_times.push(reported_at - withdrawn.at);
    sleep(PROBE_TIME_AFTER_REPORT).await;
    stop.send_replace(true);

    let mut last_refused_at = withdrawn.at;
    for (entry, _, probe) in probes {
        let ProbeResult { first_refused_at, last_success_answered_at, last_success_sent_at } =
            probe.await.context("failed to join the probe of an entry VM")??;
        let refused = first_refused_at.with_context(|| format!("{entry} never refused the key"))?;
        last_refused_at = last_refused_at.max(refused);
        if let (Some(sent), Some(answered)) = (last_success_sent_at, last_success_answered_at)
            && sent > reported_at
        {
            let (sent, answered) = (sent - reported_at, answered - reported_at);
            measurements.late_answers.push(format!(
                "by {entry} in round {round}: sent {sent:?} and answered {answered:?} after it"
            ));
        }
    }
    measurements.refusal_times.push(last_refused_at - withdrawn.at);
    Ok(())
}

/// Prints percentiles of the times and returns whether all of them are within the limit.
fn print_times(name: &str, times: &mut [Duration]) -> bool {
    times.sort();
    let Some(max) = times.last().copied() else { return true };
    let at = |percent: usize| times[(times.len() * percent).div_ceil(100).max(1) - 1];
    let ms = |time: Duration| time.as_secs_f64() * 1_000.0;
    println!(
        "{name}: changes={} p50={:.0}ms p99={:.0}ms max={:.0}ms",
        times.len(),
        ms(at(50)),
        ms(at(99)),
        ms(max)
    );
    max <= IN_FORCE_LIMIT
}

/// A confirmed intent and the time at which the confirm was answered.
pub struct ConfirmedIntent {
    intent: celerygate_types::IntentId,
    at: Instant,
}
