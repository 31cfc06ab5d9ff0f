//! Metrics of a daemon in a group with a settings file, recorded through opentelemetry and
//! exposed in the Prometheus text format.
//!
//! The loop in [`crate::node`] records answers and updates the gauges before each scrape.

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use snafu::Snafu;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::entry::Counts;
use wagtailbeam_decision::query::Reply;

/// Upper edges of the latency histogram's buckets, in seconds.
const LATENCY_EDGES_S: [f64; 11] = [
    0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.073, 0.1, 0.2, 0.5, 2.0,
];

/// Why metrics can't be set up.
#[derive(Debug, Snafu)]
#[snafu(display("metrics: {cause}"))]
pub struct Error {
    cause: String,
}

impl Error {
    /// Creates an error from the message of the metrics exporter.
    pub fn new(cause: &str) -> Error {
        Error {
            cause: cause.to_owned(),
        }
    }
}

/// Result of setting up metrics.
pub type Result<T> = std::result::Result<T, Error>;

/// The metrics of one daemon.
pub struct Metric {
    registry: Registry,
    _provider: SdkMeterProvider,
    answers: Counter<u64>,
    latency: Histogram<f64>,
    subrequests: Counter<u64>,
    connections: Gauge<u64>,
    version: Gauge<u64>,
    leased: Gauge<u64>,
    /// Totals already added to `subrequests`.
    reported_counts: Counts,
    /// Total of hedges already added to `subrequests`.
    reported_hedges: u64,
}

impl Metric {
    /// Creates all metrics in a new registry.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter can't be set up.
    pub fn new() -> Result<Metric> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build();
        let exporter = exporter.map_err(|error| Error {
            cause: error.to_string(),
        })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("wagtailbeam");
        let latency = meter.f64_histogram("wagtailbeam_latency").with_unit("s");
        Ok(Metric {
            answers: meter.u64_counter("wagtailbeam_answers").build(),
            latency: latency.with_boundaries(LATENCY_EDGES_S.to_vec()).build(),
            subrequests: meter.u64_counter("wagtailbeam_subrequests").build(),
            connections: meter.u64_gauge("wagtailbeam_backend_connections").build(),
            version: meter.u64_gauge("wagtailbeam_file_version").build(),
            leased: meter.u64_gauge("wagtailbeam_leased").build(),
            registry,
            _provider: provider,
            reported_counts: Counts::default(),
            reported_hedges: 0,
        })
    }

    /// Counts an answer to a caller and records its latency.
    pub fn record_answer(&self, service: &str, latency: Span, reply: &Reply) {
        let kind = match reply {
            Reply::Answers(answers) if answers.missing.is_empty() => "complete",
            Reply::Answers(_) => "partial",
            Reply::Job { replayed: true, .. } => "replayed",
            Reply::Job { .. } => "job",
            Reply::Refusal { .. } => "refused",
        };
        let service = KeyValue::new("service", service.to_owned());
        self.answers
            .add(1, &[service.clone(), KeyValue::new("kind", kind)]);
        self.latency
            .record(latency.as_us() as f64 / 1e6, &[service]);
    }

    /// Sets the gauges and advances the counters to the given totals: sub-requests and hedges
    /// since the start, open backend connections, version of the file in force, and whether
    /// the daemon holds its lease.
    pub fn update(
        &mut self,
        counts: Counts,
        hedges: u64,
        connections: u32,
        version: u64,
        leased: bool,
    ) {
        let add = |kind: &'static str, total: u64, reported: u64| {
            self.subrequests
                .add(total - reported, &[KeyValue::new("kind", kind)]);
        };
        add("first", counts.first, self.reported_counts.first);
        add("again", counts.again, self.reported_counts.again);
        add("hedge", hedges, self.reported_hedges);
        self.reported_counts = counts;
        self.reported_hedges = hedges;
        self.connections.record(u64::from(connections), &[]);
        self.version.record(version, &[]);
        self.leased.record(u64::from(leased), &[]);
    }

    /// All metrics in the Prometheus text format; empty if they can't be encoded.
    pub fn text(&self) -> String {
        let mut bytes = Vec::new();
        if TextEncoder::new()
            .encode(&self.registry.gather(), &mut bytes)
            .is_err()
        {
            return String::new();
        }
        String::from_utf8(bytes).unwrap_or_default()
    }
}
