//! OpenTelemetry counters and histograms, in the text format that a Prometheus
//! server scrapes over HTTP.

use std::fmt;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

/// All metrics of one process.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    events: Counter<u64>,
    jobs: Counter<u64>,
    job_seconds: Histogram<f64>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates the metrics, all at zero.
    #[must_use]
    pub fn new() -> Self {
        let (registry, provider) = exported_provider();
        let meter = provider.meter("gannetvane");
        Self {
            events: meter.u64_counter("gannetvane_events").build(),
            jobs: meter.u64_counter("gannetvane_jobs").build(),
            job_seconds: meter.f64_histogram("gannetvane_job_seconds").build(),
            registry,
            _provider: provider,
        }
    }

    /// Counts the event with this name.
    pub fn event(&self, event: &'static str) {
        self.events.add(1, &[KeyValue::new("event", event)]);
    }

    /// Counts a job that was answered with this outcome after `took_ms` milliseconds.
    /// `reason` is the reason of a refusal.
    pub fn job(&self, outcome: &'static str, reason: &'static str, took_ms: u64) {
        let outcome = KeyValue::new("outcome", outcome);
        self.job_seconds
            .record(took_ms as f64 / 1_000.0, std::slice::from_ref(&outcome));
        self.jobs
            .add(1, &[outcome, KeyValue::new("reason", reason)]);
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        exported_text(&self.registry)
    }
}

/// Creates a registry, and a provider whose metrics it exports.
///
/// # Panics
///
/// Never: an empty registry accepts the exporter.
#[must_use]
pub fn exported_provider() -> (Registry, SdkMeterProvider) {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .without_target_info()
        .build()
        .expect("an empty registry accepts the exporter");
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    (registry, provider)
}

/// Returns all metrics of a registry in the Prometheus text format.
#[must_use]
pub fn exported_text(registry: &Registry) -> String {
    let mut bytes = Vec::new();
    match TextEncoder::new().encode(&registry.gather(), &mut bytes) {
        Ok(()) => String::from_utf8_lossy(&bytes).into_owned(),
        Err(error) => format!("# {error}\n"),
    }
}
