//! Metrics of one daemon. Label values come from fixed sets, never from callers' input, which
//! bounds their number.

use std::sync::Arc;
use std::time::Duration;

use model::{Class, Outcome};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::control::{Counter as ControlCounter, Counters};
use crate::listen::ListenerKind;
use crate::reply::Answer;
use crate::serve;
use crate::settings::Identity;

/// Upper bounds of the latency histogram, in seconds.
const LATENCY_BOUNDS_S: [f64; 12] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
];

/// Returns one counter of the control traffic.
type PickCounter = fn(&Counters) -> &ControlCounter;

/// Name, description and accessor of each counter of control traffic.
#[rustfmt::skip]
const CONTROL_COUNTERS: &[(&str, &str, PickCounter)] = &[
    ("berylhead_control_messages_received", "control messages received", |c| &c.messages_in),
    ("berylhead_control_messages_sent", "control messages sent", |c| &c.messages_out),
    ("berylhead_control_bytes_received", "bytes of control frames received", |c| &c.bytes_in),
    ("berylhead_control_bytes_sent", "bytes of control frames sent", |c| &c.bytes_out),
    ("berylhead_control_dropped", "control messages given up", |c| &c.dropped),
    ("berylhead_control_connects", "control connections opened", |c| &c.connects),
    ("berylhead_document_reads", "reads of the document, a watch being one", |c| &c.document_reads),
    ("berylhead_instances_reads", "reads of the instance list, a watch being one", |c| &c.instances_reads),
    ("berylhead_platform_bytes", "bytes read from the platform", |c| &c.platform_bytes),
    ("berylhead_control_alarms", "alarms raised", |c| &c.alarms),
];

/// Counters and histograms of one daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    // Instruments stop recording when their provider is dropped.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    latency: Histogram<f64>,
    retries: Counter<u64>,
}

impl Metrics {
    pub(crate) fn new(identity: &Identity, control_counters: &Arc<Counters>) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry takes the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("berylhead");
        let _ = identity;
        for (name, description, pick) in CONTROL_COUNTERS {
            let control_counters = Arc::clone(control_counters);
            let counter = meter
                .u64_observable_counter(*name)
                .with_description(*description);
            counter
                .with_callback(move |observer| observer.observe(pick(&control_counters).get(), &[]))
                .build();
        }
        Metrics {
            requests: meter
                .u64_counter("berylhead_requests")
                .with_description("requests by listener and outcome")
                .build(),
            latency: meter
                .f64_histogram("berylhead_request_duration")
                .with_unit("s")
                .with_description("time to the head of the answer")
                .with_boundaries(LATENCY_BOUNDS_S.to_vec())
                .build(),
            retries: meter
                .u64_counter("berylhead_retries")
                .with_description("further tries of calls to other daemons, by class")
                .build(),
            registry,
            _provider: provider,
        }
    }

    /// Records an answer and the time to its head.
    pub(crate) fn record_answer(&self, listener: ListenerKind, answer: &Answer, latency: Duration) {
        let outcome = serve::outcome(answer).unwrap_or(Outcome::Unknown);
        let labels = [
            KeyValue::new("listener", listener.name()),
            KeyValue::new("outcome", outcome.to_string()),
        ];
        self.requests.add(1, &labels);
        self.latency.record(latency.as_secs_f64(), &labels);
    }

    /// Counts a retry of a call to another daemon.
    pub(crate) fn record_retry(&self, class: Class) {
        self.retries
            .add(1, &[KeyValue::new("class", class.to_string())]);
    }

    /// Returns all metrics in the Prometheus text format, or nothing if encoding fails.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        if encoded.is_err() {
            text.clear();
        }
        text
    }
}
