//! Counters, histograms and gauges of one daemon. Label values never come from callers.

use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use model::Class;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use tokio::time::Instant;

use crate::relay::Relay;

/// Bucket boundaries of the latency histogram, in seconds.
const LATENCY_BUCKETS_S: [f64; 13] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0,
];

/// Outcome of a request that originated on this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// A target answered.
    Answered,
    /// Shed before its first send, because a service that it depends on can't bear it.
    Shed,
    /// It did not run: this daemon or the targets refused it.
    Refused,
    /// Not sent, or not sent again, because it crashed the targets that ran it.
    HeldBack,
    /// It may have run, but its response was lost.
    Unknown,
    /// Its deadline passed.
    TimedOut,
    /// It is malformed, incomplete or too large, or no route matches it.
    Invalid,
}

impl RequestOutcome {
    fn name(self) -> &'static str {
        match self {
            RequestOutcome::Answered => "answered",
            RequestOutcome::Shed => "shed",
            RequestOutcome::Refused => "refused",
            RequestOutcome::HeldBack => "held_back",
            RequestOutcome::Unknown => "unknown",
            RequestOutcome::TimedOut => "timed_out",
            RequestOutcome::Invalid => "invalid",
        }
    }
}

/// Counters, histograms and gauges of one daemon.
pub(crate) struct Metrics {
    registry: Registry,
    // Held because instruments stop recording when their provider is dropped.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    duration: Histogram<f64>,
    sends: Counter<u64>,
    gauge: Gauge<f64>,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry accepts the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("berylhead");
        Metrics {
            requests: meter
                .u64_counter("berylhead_origin_requests")
                .with_description("requests that began here, by class and outcome")
                .build(),
            duration: meter
                .f64_histogram("berylhead_origin_duration")
                .with_unit("s")
                .with_description("time to the answer of requests that began here")
                .with_boundaries(LATENCY_BUCKETS_S.to_vec())
                .build(),
            sends: meter
                .u64_counter("berylhead_sends")
                .with_description("sends to targets' daemons, by how they ended")
                .build(),
            gauge: meter
                .f64_gauge("berylhead_state")
                .with_description("what the daemon holds just now, by name")
                .build(),
            registry,
            _provider: provider,
        }
    }

    /// Records the outcome and the duration of a request that originated on this machine.
    pub(crate) fn record_request(
        &self,
        class: Option<Class>,
        outcome: RequestOutcome,
        duration: Duration,
    ) {
        let class = class.map_or("none", Class::name);
        let labels = [
            KeyValue::new("class", class),
            KeyValue::new("outcome", outcome.name()),
        ];
        self.requests.add(1, &labels);
        self.duration.record(duration.as_secs_f64(), &labels);
    }

    /// Counts a send to a target by its result.
    pub(crate) fn record_send(&self, result: &'static str) {
        self.sends.add(1, &[KeyValue::new("end", result)]);
    }

    fn set_gauge(&self, name: &'static str, value: f64) {
        self.gauge.record(value, &[KeyValue::new("name", name)]);
    }
}

/// Updates the gauges and encodes all metrics in the Prometheus text format.
pub(crate) fn encode_text(relay: &Rc<Relay>) -> Result<Vec<u8>, StatusCode> {
    let now = Instant::now();
    let report = relay.admission.report(now);
    let metrics = &relay.metrics;
    let view = relay.view.borrow();
    metrics.set_gauge("in_flight", f64::from(report.load.in_flight));
    metrics.set_gauge("limit", f64::from(report.load.limit));
    metrics.set_gauge("queued", f64::from(report.load.queued));
    metrics.set_gauge("pressure", report.pressure.ratio());
    metrics.set_gauge("admission_share", report.share.ratio());
    metrics.set_gauge("run_time_seconds", report.run_time.as_secs_f64());
    let targets_age = view.targets_age(now).unwrap_or_default();
    metrics.set_gauge("targets_age_seconds", targets_age.as_secs_f64());
    let version = u32::try_from(view.stamp(now).table).unwrap_or(u32::MAX);
    let targets = u32::try_from(view.targets.len()).unwrap_or(u32::MAX);
    metrics.set_gauge("targets", f64::from(targets));
    let is_reader = relay.readers.borrow().is_reader();
    metrics.set_gauge("is_reader", f64::from(u8::from(is_reader)));
    metrics.set_gauge("configuration_version", f64::from(version));
    if let Some(age) = view.table_age(now) {
        metrics.set_gauge("configuration_age_seconds", age.as_secs_f64());
    }
    let notice = relay.target_notice.get();
    let limit = notice.limit_per_second.unwrap_or(f64::INFINITY);
    metrics.set_gauge("target_limit_per_second", limit);
    metrics.set_gauge("target_leaving", f64::from(u8::from(notice.is_leaving)));
    let count = |number: usize| f64::from(u32::try_from(number).unwrap_or(u32::MAX));
    metrics.set_gauge(
        "unsized_answer_bytes",
        count(relay.answer_memory.reserved()),
    );
    let crashes = relay.crashes.borrow();
    metrics.set_gauge("requests_held_back", count(crashes.held_count()));
    metrics.set_gauge("target_ends_known", count(crashes.end_count()));
    let mut text = Vec::new();
    TextEncoder::new()
        .encode(&metrics.registry.gather(), &mut text)
        .map_err(|error| {
            log::error!(error:%; "failed to encode metrics");
            StatusCode::INTERNAL_SERVER_ERROR
        })?;
    Ok(text)
}
