//! A load generator: looks up entry VMs, sends requests of several organisations over keep-alive
//! connections, verifies every response body and prints a summary.
//!
//! The exit code is 1 if a request failed, ran twice, or had a truncated or wrong response body, or
//! if more requests were refused than `--max-refused` allows.

#[path = "shared/body.rs"]
mod body;
#[path = "load_client/caller.rs"]
mod caller;
#[path = "load_client/entries.rs"]
mod entries;
#[path = "shared/http.rs"]
mod http;
#[path = "load_client/options.rs"]
mod options;
#[path = "load_client/report.rs"]
mod report;

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::{Context as _, Result};
use tokio::time::{Instant, sleep_until};

use caller::Caller;
use options::{Load, Organisation};
use report::Report;

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let (load, organisations) = options::parse()?;
    let load = Arc::new(load);
    let started = Instant::now();
    let mut tasks = Vec::new();
    let count = organisations.len() as u64;
    for (index, organisation) in organisations.into_iter().enumerate() {
        // The first organisations send the remainder of the division.
        let requests = load.requests / count + u64::from((index as u64) < load.requests % count);
        tasks.push(tokio::spawn(run_organisation(load.clone(), organisation, requests)));
    }
    let mut reports = Vec::new();
    for task in tasks {
        reports.push(task.await.context("failed to run an organisation")??);
    }
    let total = Report::total(&reports)?;
    for report in &reports {
        println!("{}", report.summary_line());
    }
    println!("{} in {:.1} s", total.summary_line(), started.elapsed().as_secs_f64());
    Ok(if total.is_success(load.max_refused) { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Sends the requests of one organisation over several connections.
async fn run_organisation(
    load: Arc<Load>,
    organisation: Organisation,
    requests: u64,
) -> Result<Report> {
    let organisation = Arc::new(organisation);
    let next_number = Arc::new(AtomicU64::new(0));
    let started = Instant::now();
    let mut tasks = Vec::new();
    for _ in 0..load.connections {
        let (load, organisation, next_number) =
            (load.clone(), organisation.clone(), next_number.clone());
        tasks.push(tokio::spawn(async move {
            let mut report = Report::new(&organisation.name)?;
            let mut caller = Caller::new(&load, &organisation);
            loop {
                let number = next_number.fetch_add(1, Ordering::Relaxed);
                if number >= requests {
                    return Ok::<_, anyhow::Error>(report);
                }
                if let Some(rate) = load.rate_requests_per_s {
                    sleep_until(started + Duration::from_secs_f64(number as f64 / rate)).await;
                }
                let sent = Instant::now();
                let outcome = caller.request(number).await;
                report.add(&outcome, sent.elapsed());
            }
        }));
    }
    let mut reports = Vec::new();
    for task in tasks {
        reports.push(task.await.context("failed to run a connection")??);
    }
    let mut total = Report::total(&reports)?;
    total.name.clone_from(&organisation.name);
    Ok(total)
}
