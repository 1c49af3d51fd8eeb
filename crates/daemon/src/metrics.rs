//! OpenTelemetry metrics of a process, exported in the Prometheus text format.

use std::fmt;

use gannetvane_core::Counter;
use gannetvane_node::exported_provider;
use gannetvane_node::exported_text;
use gannetvane_wire::Reason;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter as OtelCounter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;

/// All metrics of one process.
pub(crate) struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    submissions: OtelCounter<u64>,
    retries: OtelCounter<u64>,
    resends: OtelCounter<u64>,
    events: OtelCounter<u64>,
    messages_sent: OtelCounter<u64>,
    bytes_sent: OtelCounter<u64>,
    waiting: Gauge<u64>,
    retained: Gauge<u64>,
    members: Gauge<u64>,
    configuration_version: Gauge<u64>,
}

/// Current values of the gauges of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Sizes {
    /// Open submissions of an agent, or callers of an entry that wait for an answer.
    pub waiting: usize,
    /// Submissions whose ids are retained.
    pub retained: usize,
    /// Known members.
    pub members: usize,
    /// Version of the configuration in force.
    pub configuration_version: u64,
}

impl Metrics {
    /// Creates the metrics, all at zero.
    #[must_use]
    pub fn new() -> Self {
        let (registry, provider) = exported_provider();
        let meter = provider.meter("gannetvane");
        Self {
            submissions: meter.u64_counter("gannetvane_submissions").build(),
            retries: meter.u64_counter("gannetvane_retries").build(),
            resends: meter.u64_counter("gannetvane_resends").build(),
            events: meter.u64_counter("gannetvane_events").build(),
            messages_sent: meter.u64_counter("gannetvane_messages_sent").build(),
            bytes_sent: meter.u64_counter("gannetvane_bytes_sent").build(),
            waiting: meter.u64_gauge("gannetvane_waiting").build(),
            retained: meter.u64_gauge("gannetvane_retained_submissions").build(),
            members: meter.u64_gauge("gannetvane_members").build(),
            configuration_version: meter.u64_gauge("gannetvane_configuration_version").build(),
            registry,
            provider,
        }
    }

    /// Counts one event reported by a core.
    pub fn count(&self, counter: Counter) {
        match counter {
            Counter::Completed => self.count_submission("complete", Reason::None),
            Counter::Refused(reason) => self.count_submission("refused", reason),
            Counter::Failed(reason) => self.count_submission("failed", reason),
            Counter::Retried(reason) => self.retries.add(1, &[reason_label(reason)]),
            Counter::Resent(reason) => self.resends.add(1, &[reason_label(reason)]),
            Counter::TaskStarted => self.count_event("task-started"),
            Counter::RepeatedStart => self.count_event("repeated-start"),
            Counter::MinionEjected => self.count_event("minion-ejected"),
            Counter::CreditsReclaimed => self.count_event("credits-reclaimed"),
        }
    }

    /// Counts a sent message and its bytes.
    pub fn count_sent(&self, message: &'static str, bytes: usize) {
        let label = [KeyValue::new("message", message)];
        self.messages_sent.add(1, &label);
        self.bytes_sent.add(bytes as u64, &label);
    }

    /// Sets the gauges.
    pub fn record_sizes(&self, sizes: Sizes) {
        self.waiting.record(sizes.waiting as u64, &[]);
        self.retained.record(sizes.retained as u64, &[]);
        self.members.record(sizes.members as u64, &[]);
        self.configuration_version
            .record(sizes.configuration_version, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        exported_text(&self.registry)
    }

    fn count_submission(&self, outcome: &'static str, reason: Reason) {
        self.submissions.add(
            1,
            &[KeyValue::new("outcome", outcome), reason_label(reason)],
        );
    }

    /// Counts the event with this name.
    pub fn count_event(&self, event: &'static str) {
        self.events.add(1, &[KeyValue::new("event", event)]);
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics")
            .field("provider", &self.provider)
            .finish_non_exhaustive()
    }
}

fn reason_label(reason: Reason) -> KeyValue {
    KeyValue::new("reason", reason_name(reason))
}

/// Returns the name of a reason as it is written in JSON.
pub(crate) fn reason_name(reason: Reason) -> String {
    match serde_json::to_value(reason) {
        Ok(serde_json::Value::String(name)) => name,
        _ => format!("{reason:?}"),
    }
}
