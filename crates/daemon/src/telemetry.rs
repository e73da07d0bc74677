//! Logging and metrics.

use anyhow::{Context, Result};
use celerygate_steering::availability::{AvailabilityChange, UnavailableCounts};
use celerygate_types::wire::{LogFormat, LogSettings};
use flexi_logger::{Logger, LoggerHandle, WriteMode};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Starts logging to standard error. A separate thread writes the lines, so that a slow reader of
/// the log does not delay requests.
///
/// # Errors
///
/// When the level specification is invalid.
pub fn start_logging(settings: &LogSettings) -> Result<LoggerHandle> {
    let format = match settings.format {
        LogFormat::Plain => flexi_logger::detailed_format,
        LogFormat::Json => flexi_logger::json_format,
    };
    Logger::try_with_str(&settings.level)
        .with_context(|| format!("invalid log level {:?}", settings.level))?
        .log_to_stderr()
        .format(format)
        .write_mode(WriteMode::Async)
        .start()
        .context("failed to start logging")
}

/// Histogram buckets in seconds, from a small forwarded request to the longest deadline.
const REQUEST_DURATION_BUCKETS_S: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 5.0, 30.0, 120.0, 600.0];

/// Metrics of the daemon.
pub struct Metrics {
    registry: Registry,
    /// Held because dropping it would disconnect the instruments from the registry.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    lookups: Counter<u64>,
    dropped_messages: Counter<u64>,
    request_duration: Histogram<f64>,
    target_notices: Counter<u64>,
    unavailable_targets: Gauge<u64>,
    panics: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// When the exporter cannot be built.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .context("failed to build the metrics exporter")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("celerygated");
        Ok(Self {
            registry,
            requests: meter
                .u64_counter("celerygate_requests")
                .with_description("Requests by service and result code; 0 is a relayed response.")
                .build(),
            lookups: meter
                .u64_counter("celerygate_lookups")
                .with_description("Lookups by result code; 0 is an answer.")
                .build(),
            dropped_messages: meter
                .u64_counter("celerygate_dropped_messages")
                .with_description("Messages from peers that were not accepted, by reason.")
                .build(),
            request_duration: meter
                .f64_histogram("celerygate_request_duration")
                .with_unit("s")
                .with_boundaries(REQUEST_DURATION_BUCKETS_S.to_vec())
                .with_description("Time from a request's head to the end of its response.")
                .build(),
            target_notices: meter
                .u64_counter("celerygate_target_notices")
                .with_description("Targets that stated in a response that they leave or pause.")
                .build(),
            unavailable_targets: meter
                .u64_gauge("celerygate_unavailable_targets")
                .with_description("Targets that get no new requests because of their notices.")
                .build(),
            panics: meter
                .u64_counter("celerygate_panics")
                .with_description("Requests and background tasks that ended with a panic, by part.")
                .build(),
            _provider: provider,
        })
    }

    /// Counts a request and records its duration. `service` must be a known service, so that
    /// callers cannot create an unlimited number of time series.
    pub fn count_request(&self, service: &str, code: u16, seconds: f64) {
        let service = KeyValue::new("service", service.to_owned());
        self.requests.add(1, &[service.clone(), KeyValue::new("code", i64::from(code))]);
        self.request_duration.record(seconds, &[service]);
    }

    /// Counts a lookup by its result code.
    pub fn count_lookup(&self, code: u16) {
        self.lookups.add(1, &[KeyValue::new("code", i64::from(code))]);
    }

    /// Counts a dropped message from a peer by the reason.
    pub fn count_dropped_message(&self, reason: &'static str) {
        self.dropped_messages.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts the begin of a target's leaving or pause.
    pub fn count_notice(&self, change: AvailabilityChange) {
        let notice = match change {
            AvailabilityChange::LeavingBegan => "leaving",
            AvailabilityChange::PauseBegan { .. } => "pause",
            AvailabilityChange::LeavingEnded | AvailabilityChange::PauseEnded => return,
        };
        self.target_notices.add(1, &[KeyValue::new("notice", notice)]);
    }

    /// Counts a request or a background task that ended with a panic.
    pub fn count_panic(&self, part: &'static str) {
        self.panics.add(1, &[KeyValue::new("part", part)]);
    }

    /// Sets the number of targets that get no new requests because of their notices.
    pub fn set_unavailable_targets(&self, counts: UnavailableCounts) {
        let UnavailableCounts { leaving, paused } = counts;
        self.unavailable_targets.record(leaving, &[KeyValue::new("state", "leaving")]);
        self.unavailable_targets.record(paused, &[KeyValue::new("state", "paused")]);
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// When a metric cannot be encoded.
    pub fn scrape(&self) -> Result<String> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .context("failed to encode metrics")?;
        String::from_utf8(text).context("metrics are not valid UTF-8")
    }
}
