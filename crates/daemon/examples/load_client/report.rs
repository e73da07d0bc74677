//! Counts and latencies.

use std::time::Duration;

use anyhow::{Context as _, Result};
use hdrhistogram::Histogram;

use crate::caller::Outcome;

/// Longest latency that can be told from longer ones. Deadlines are at most 600 s.
const MAX_LATENCY_US: u64 = 700_000_000;

/// What became of the requests of one organisation, or of all.
pub struct Report {
    pub name: String,
    good: u64,
    refused: u64,
    failed: u64,
    cut: u64,
    wrong: u64,
    /// Requests that ran more than once.
    twice: u64,
    /// Latency of good requests, with every try, in microseconds.
    latency_us: Histogram<u64>,
}

impl Report {
    /// Begins an empty report.
    pub fn new(name: &str) -> Result<Self> {
        // Three digits keep the error of a percentile below 0.1%.
        let latency_us =
            Histogram::new_with_max(MAX_LATENCY_US, 3).context("create a histogram")?;
        let name = name.to_owned();
        Ok(Self { name, good: 0, refused: 0, failed: 0, cut: 0, wrong: 0, twice: 0, latency_us })
    }

    /// Adds a request.
    pub fn add(&mut self, outcome: &Outcome, latency: Duration) {
        match outcome {
            Outcome::Good => {
                self.good += 1;
                self.latency_us.saturating_record(latency.as_micros() as u64);
            }
            Outcome::Refused(_) => self.refused += 1,
            Outcome::Failed(_) => self.failed += 1,
            Outcome::Cut(_) => self.cut += 1,
            Outcome::Wrong(_) => self.wrong += 1,
            Outcome::Twice(_) => self.twice += 1,
        }
    }

    /// Adds up reports.
    pub fn total(reports: &[Self]) -> Result<Self> {
        let mut total = Self::new("total")?;
        for report in reports {
            total.good += report.good;
            total.refused += report.refused;
            total.failed += report.failed;
            total.cut += report.cut;
            total.wrong += report.wrong;
            total.twice += report.twice;
            total.latency_us.add(&report.latency_us).context("add histograms")?;
        }
        Ok(total)
    }

    /// Returns whether nothing went wrong, apart from the allowed refusals.
    pub fn is_good(&self, max_refused: u64) -> bool {
        self.failed + self.cut + self.wrong + self.twice == 0 && self.refused <= max_refused
    }

    /// Describes the report in one line.
    pub fn line(&self) -> String {
        let Self { name, good, refused, failed, cut, wrong, twice, latency_us } = self;
        let ms = |quantile| latency_us.value_at_quantile(quantile) as f64 / 1_000.0;
        format!(
            "{name}: good={good} refused={refused} failed={failed} cut={cut} wrong={wrong} \
             twice={twice} p50={:.1}ms p99={:.1}ms max={:.1}ms",
            ms(0.5),
            ms(0.99),
            ms(1.0)
        )
    }
}
