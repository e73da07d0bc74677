//! Measures the time from the answer to a confirm until the change is in force everywhere: as the
//! leader reports it and, for withdrawn keys, as open connections to the entry VMs see it.
//!
//! The exit code is 1 when a request was sent after the reported time and answered all the same,
//! or when a time is above the limit.

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

use operators::Operators;
use options::Options;
use probe::{Probed, probe};

/// A change is in force everywhere within this time.
const LIMIT: Duration = Duration::from_secs(8);

/// Time for which probes go on after the change is reported in force.
const PROBE_AFTER: Duration = Duration::from_millis(500);

/// Longest wait until the probes of a fresh key are answered by every entry VM.
const ANSWERED_TIMEOUT: Duration = Duration::from_secs(10);

/// What was measured.
#[derive(Default)]
struct Measured {
    reported: Vec<Duration>,
    refused: Vec<Duration>,
    answered_after: Vec<String>,
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let options = options::parse()?;
    let mut operators = Operators::new(&options.operators, &options.token);
    let mut measured = Measured::default();
    for round in 0..options.rounds {
        measure_rate(&options, &mut operators, &mut measured, round).await?;
        measure_key(&options, &mut operators, &mut measured, round).await?;
    }
    let in_time = print_times("reported in force", &mut measured.reported)
        & print_times("refused by every VM", &mut measured.refused);
    match measured.answered_after.first() {
        None => println!("answered after the reported time: none"),
        Some(first) => {
            let count = measured.answered_after.len();
            println!("answered after the reported time: {count}, the first {first}");
        }
    }
    let good = in_time && measured.answered_after.is_empty();
    Ok(if good { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Changes a rate and measures until the change is reported in force.
async fn measure_rate(
    options: &Options,
    operators: &mut Operators<'_>,
    measured: &mut Measured,
    round: u32,
) -> Result<()> {
    let kind = IntentKind::Rate(RateIntent {
        organisation: options.rate_organisation.clone(),
        rate_requests_per_s: RequestRate(150 + u64::from(round % 2)),
        burst_requests: RequestCount(300),
    });
    let confirmed = operators.confirm(kind).await?;
    measured.reported.push(operators.wait_in_force(&confirmed).await? - confirmed.at);
    Ok(())
}

/// Issues a key, opens connections with it, withdraws it and probes until every VM refuses it.
async fn measure_key(
    options: &Options,
    operators: &mut Operators<'_>,
    measured: &mut Measured,
    round: u32,
) -> Result<()> {
    let text = format!("{:032x}", rand::random::<u128>());
    let key: celerygate_types::KeyId =
        format!("probe-{:016x}", rand::random::<u64>()).parse().context("make a key id")?;
    let kind = IntentKind::KeyIssue(KeyIssueIntent {
        hash: KeyHash(*blake3::hash(text.as_bytes()).as_bytes()),
        key: key.clone(),
        organisation: options.key_organisation.clone(),
    });
    let issued = operators.confirm(kind).await?;
    measured.reported.push(operators.wait_in_force(&issued).await? - issued.at);

    let (stop, stopped) = watch::channel(false);
    let mut probes = Vec::new();
    for entry in &options.entries {
        let (answered, wait_answered) = watch::channel(false);
        let running =
            probe(entry.clone(), options.service.clone(), text.clone(), answered, stopped.clone());
        probes.push((entry, wait_answered, tokio::spawn(running)));
    }
    for (entry, wait_answered, _) in &mut probes {
        let waiting = tokio::time::timeout(ANSWERED_TIMEOUT, wait_answered.wait_for(|yes| *yes));
        let waited = waiting.await.with_context(|| format!("{entry} does not accept the key"))?;
        waited.with_context(|| format!("the probe of {entry} ended"))?;
    }

    let organisation = options.key_organisation.clone();
    let kind = IntentKind::KeyWithdraw(KeyWithdrawIntent { key, organisation });
    let withdrawn = operators.confirm(kind).await?;
    let reported_at = operators.wait_in_force(&withdrawn).await?;
    measured.reported.push(reported_at - withdrawn.at);
    sleep(PROBE_AFTER).await;
    stop.send_replace(true);

    let mut last_refused = withdrawn.at;
    for (entry, _, probe) in probes {
        let Probed { first_refused, last_answered, last_sent } =
            probe.await.context("probe an entry VM")??;
        let refused = first_refused.with_context(|| format!("{entry} never refused the key"))?;
        last_refused = last_refused.max(refused);
        if let (Some(sent), Some(answered)) = (last_sent, last_answered)
            && sent > reported_at
        {
            let (sent, answered) = (sent - reported_at, answered - reported_at);
            measured.answered_after.push(format!(
                "by {entry} in round {round}: sent {sent:?} and answered {answered:?} after it"
            ));
        }
    }
    measured.refused.push(last_refused - withdrawn.at);
    Ok(())
}

/// Prints percentiles and returns whether all times are within the limit.
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
    max <= LIMIT
}

/// The moment at which a confirm was answered.
pub struct Confirmed {
    intent: celerygate_types::IntentId,
    at: Instant,
}
