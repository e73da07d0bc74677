//! Summary of outcomes and latencies.

use std::time::Duration;

use anyhow::{Context as _, Result};
use hdrhistogram::Histogram;

use crate::caller::Outcome;

/// Largest latency of the histogram, above the longest deadline of 600 s.
const MAX_LATENCY_US: u64 = 700_000_000;

/// Outcomes and latencies of the requests of one organisation, or of all.
pub struct Report {
    pub name: String,
    succeeded: u64,
    refused: u64,
    failed: u64,
    truncated: u64,
    mismatched: u64,
    /// Requests that ran more than once.
    duplicated: u64,
    /// Latency of successful requests in microseconds, including all attempts.
    latency_us: Histogram<u64>,
}

impl Report {
    /// Creates an empty report.
    pub fn new(name: &str) -> Result<Self> {
        // Three significant digits keep the error of a percentile below 0.1%.
        let latency_us =
            Histogram::new_with_max(MAX_LATENCY_US, 3).context("failed to create a histogram")?;
        let name = name.to_owned();
        Ok(Self {
            name,
            succeeded: 0,
            refused: 0,
            failed: 0,
            truncated: 0,
            mismatched: 0,
            duplicated: 0,
            latency_us,
        })
    }

    /// Records the outcome and the latency of a request.
    pub fn add(&mut self, outcome: &Outcome, latency: Duration) {
        match outcome {
            Outcome::Succeeded => {
                self.succeeded += 1;
                self.latency_us.saturating_record(latency.as_micros() as u64);
            }
            Outcome::Refused(_) => self.refused += 1,
            Outcome::Failed(_) => self.failed += 1,
            Outcome::Truncated(_) => self.truncated += 1,
            Outcome::Mismatched(_) => self.mismatched += 1,
            Outcome::Duplicated(_) => self.duplicated += 1,
        }
    }

    /// Returns the sum of several reports.
    pub fn total(reports: &[Self]) -> Result<Self> {
        let mut total = Self::new("total")?;
        for report in reports {
            total.succeeded += report.succeeded;
            total.refused += report.refused;
            total.failed += report.failed;
            total.truncated += report.truncated;
            total.mismatched += report.mismatched;
            total.duplicated += report.duplicated;
            total.latency_us.add(&report.latency_us).context("failed to add histograms")?;
        }
        Ok(total)
    }

    /// Returns whether all requests succeeded, apart from up to `max_refused` refused ones.
    pub fn is_success(&self, max_refused: u64) -> bool {
        self.failed + self.truncated + self.mismatched + self.duplicated == 0
            && self.refused <= max_refused
    }

    /// Returns the report as one line of text.
    pub fn summary_line(&self) -> String {
        let Self {
            name,
            succeeded,
            refused,
            failed,
            truncated,
            mismatched,
            duplicated,
            latency_us,
        } = self;
        let ms = |quantile| latency_us.value_at_quantile(quantile) as f64 / 1_000.0;
        format!(
            "{name}: good={succeeded} refused={refused} failed={failed} cut={truncated} \
             wrong={mismatched} twice={duplicated} p50={:.1}ms p99={:.1}ms max={:.1}ms",
            ms(0.5),
            ms(0.99),
            ms(1.0)
        )
    }
}
