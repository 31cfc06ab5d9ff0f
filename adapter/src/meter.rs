//! Metrics of a tier with discovered hosts, recorded through opentelemetry and served in
//! the Prometheus text format. [`crate::metric`] has those of a group with a settings file.

use std::collections::BTreeMap;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use tokio::net::TcpListener;
use wagtailbeam_decision::account;
use wagtailbeam_decision::account::usage::Verdict;
use wagtailbeam_decision::answer::Extra;
use wagtailbeam_decision::answer::Report;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::endpoint::Ending;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::rollout::Phase;
use wagtailbeam_decision::rollout::Record;
use wagtailbeam_decision::suspect::Standing;

use crate::http;
use crate::logging::Outcome;
use crate::metric::Error;
use crate::metric::Result;

/// Upper edges of the latency histogram's buckets, in seconds.
const BUCKET_EDGES_S: [f64; 14] = [
    0.005, 0.01, 0.02, 0.03, 0.045, 0.06, 0.08, 0.12, 0.2, 0.3, 0.5, 0.8, 2.0, 5.0,
];

/// Time limit for reading a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The metrics registry of one process and the meter that creates its instruments.
pub struct Exporter {
    pub(crate) registry: Registry,
    /// Kept alive as long as the registry.
    _provider: SdkMeterProvider,
    meter: Meter,
}

impl Exporter {
    /// Creates an empty registry.
    ///
    /// # Errors
    ///
    /// The exporter can't be registered.
    pub fn new() -> Result<Exporter> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build();
        let exporter = exporter.map_err(|error| Error::new(&error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Exporter {
            registry,
            meter: provider.meter("wagtailbeam"),
            _provider: provider,
        })
    }

    /// Renders all metrics as Prometheus text.
    fn render(&self) -> String {
        let mut bytes = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut bytes) {
            tracing::warn!(%error, "failed to encode metrics");
        }
        String::from_utf8(bytes).unwrap_or_default()
    }
}

/// Answers every HTTP request with the metrics, until the process ends.
pub async fn listen(listener: TcpListener, exporter: Arc<Exporter>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "failed to accept a metrics connection");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let exporter = exporter.clone();
        tokio::spawn(async move {
            let service = service_fn(move |_| {
                let text = exporter.render();
                async move { Ok::<_, Infallible>(http::text(StatusCode::OK, &text)) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                tracing::debug!(%error, "metrics connection failed");
            }
        });
    }
}

/// Instruments of an entry host.
pub struct Entry {
    requests: Counter<u64>,
    latency: Histogram<f64>,
    calls: Counter<u64>,
    extra: Counter<u64>,
    moved: Counter<u64>,
    standings: Counter<u64>,
    parts_missing: Counter<u64>,
    version: Gauge<u64>,
    list_age: Gauge<f64>,
    confirmation_age: Gauge<f64>,
    hosts: Gauge<u64>,
    connections: Gauge<u64>,
    limited: Gauge<u64>,
    differing: Gauge<u64>,
    relayed: Counter<u64>,
    quota: Counter<u64>,
    tokens: Counter<u64>,
    unknown_keys: Counter<u64>,
}

impl Entry {
    /// Instruments in this registry.
    pub fn new(exporter: &Exporter) -> Entry {
        let meter = &exporter.meter;
        let latency = meter
            .f64_histogram("wagtailbeam_request_duration")
            .with_unit("s");
        Entry {
            requests: meter.u64_counter("wagtailbeam_requests").build(),
            latency: latency.with_boundaries(BUCKET_EDGES_S.to_vec()).build(),
            calls: meter.u64_counter("wagtailbeam_calls").build(),
            extra: meter.u64_counter("wagtailbeam_calls_extra").build(),
            moved: meter.u64_counter("wagtailbeam_orders_moved").build(),
            standings: meter.u64_counter("wagtailbeam_standings").build(),
            parts_missing: meter.u64_counter("wagtailbeam_parts_missing").build(),
            version: meter.u64_gauge("wagtailbeam_configuration_version").build(),
            list_age: meter
                .f64_gauge("wagtailbeam_list_age")
                .with_unit("s")
                .build(),
            confirmation_age: confirmation_age(meter),
            hosts: meter.u64_gauge("wagtailbeam_entry_hosts").build(),
            connections: meter.u64_gauge("wagtailbeam_backend_connections").build(),
            limited: meter.u64_gauge("wagtailbeam_limited_replicas").build(),
            differing: meter.u64_gauge("wagtailbeam_differing_replicas").build(),
            relayed: meter.u64_counter("wagtailbeam_requests_relayed").build(),
            quota: meter.u64_counter("wagtailbeam_quota_requests").build(),
            tokens: meter.u64_counter("wagtailbeam_token_requests").build(),
            unknown_keys: meter.u64_counter("wagtailbeam_unknown_keys").build(),
        }
    }

    /// Records the answer to a caller: its route, outcome, duration and missing parts.
    pub fn request_answered(&self, outcome: Outcome, report: &Report) {
        let route = report.route.as_deref().unwrap_or_default().to_owned();
        let route = KeyValue::new("route", route);
        let kind = KeyValue::new("outcome", outcome.to_string());
        self.requests.add(1, &[route.clone(), kind]);
        self.latency
            .record(report.took.as_us() as f64 / 1e6, &[route]);
        let missing = report.parts.saturating_sub(report.done) as u64;
        if missing > 0 && outcome == Outcome::Partial {
            self.parts_missing.add(missing, &[]);
        }
    }

    /// Counts a call to a replica by how it ended.
    pub fn call_ended(&self, ending: Ending) {
        self.calls
            .add(1, &[KeyValue::new("ending", ending.to_string())]);
    }

    /// Counts a hedge or a retry.
    pub fn extra_sent(&self, why: Extra) {
        self.extra.add(1, &[KeyValue::new("why", why.to_string())]);
    }

    /// Counts a request's part that became suspect, cleared or quarantined.
    pub fn standing_changed(&self, standing: Standing) {
        self.standings
            .add(1, &[KeyValue::new("standing", standing.to_string())]);
    }

    /// Counts a request that another host served, or was to serve.
    pub fn request_relayed(&self, served: bool) {
        self.relayed.add(1, &[KeyValue::new("served", served)]);
    }

    /// Counts a request of an account with a quota by whether it was admitted.
    pub fn quota_decided(&self, verdict: Verdict) {
        self.quota
            .add(1, &[KeyValue::new("result", verdict.to_string())]);
    }

    /// Counts a request that was answered 401 because no account holds its key.
    pub fn key_refused(&self) {
        self.unknown_keys.add(1, &[]);
    }

    /// Counts a request for tokens to another host by how it ended.
    pub fn token_request_ended(&self, ending: account::quota::Ending) {
        self.tokens
            .add(1, &[KeyValue::new("result", ending.to_string())]);
    }

    /// Sets the number of replicas that name a limit.
    pub fn set_limited_replicas(&self, replicas: usize) {
        self.limited.record(replicas as u64, &[]);
    }

    /// Sets the number of replicas that differ from the norm by the measurements of all hosts.
    pub fn set_differing_replicas(&self, replicas: usize) {
        self.differing.record(replicas as u64, &[]);
    }

    /// Counts an order that moved to another entry host.
    pub fn order_moved(&self) {
        self.moved.add(1, &[]);
    }

    /// Sets the time for which a newer state than the host's one may have been in force.
    pub fn set_confirmation_age(&self, age: Span) {
        self.confirmation_age.record(age.as_us() as f64 / 1e6, &[]);
    }

    /// Sets the gauges: version of the configuration, age of the list of replicas in
    /// seconds, entry hosts, and open connections to replicas.
    pub fn set_gauges(&self, version: u64, list_age_s: f64, hosts: usize, connections: u32) {
        self.version.record(version, &[]);
        self.list_age.record(list_age_s, &[]);
        self.hosts.record(hosts as u64, &[]);
        self.connections.record(u64::from(connections), &[]);
    }
}

/// Time for which a newer state may have been in force.
fn confirmation_age(meter: &Meter) -> Gauge<f64> {
    meter
        .f64_gauge("wagtailbeam_confirmation_age")
        .with_unit("s")
        .build()
}

/// Instruments of a voter.
pub struct Voter {
    commands: Counter<u64>,
    reads: Counter<u64>,
    messages: Counter<u64>,
    syncs: Counter<u64>,
    revision: Gauge<u64>,
    quorum: Gauge<u64>,
    list_age: Gauge<f64>,
    confirmation_age: Gauge<f64>,
    hosts: Gauge<u64>,
    rollout_share: Gauge<f64>,
}

impl Voter {
    /// Instruments in this registry.
    pub fn new(exporter: &Exporter) -> Voter {
        let meter = &exporter.meter;
        Voter {
            commands: meter.u64_counter("wagtailbeam_orders").build(),
            reads: meter.u64_counter("wagtailbeam_list_reads").build(),
            messages: meter.u64_counter("wagtailbeam_messages_sent").build(),
            syncs: meter.u64_counter("wagtailbeam_syncs").build(),
            revision: meter.u64_gauge("wagtailbeam_state_revision").build(),
            quorum: meter.u64_gauge("wagtailbeam_majority").build(),
            list_age: meter
                .f64_gauge("wagtailbeam_list_age")
                .with_unit("s")
                .build(),
            confirmation_age: confirmation_age(meter),
            hosts: meter.u64_gauge("wagtailbeam_entry_hosts").build(),
            rollout_share: meter.f64_gauge("wagtailbeam_rollout_share").build(),
        }
    }

    /// Counts an operator's command by its outcome.
    pub fn operator_answered(&self, outcome: &'static str) {
        self.commands.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a read of the list of replicas. The voter loop counts each read when it starts.
    pub fn list_read(&self, outcome: &'static str) {
        self.reads.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a message sent to another process.
    pub fn message_sent(&self) {
        self.messages.add(1, &[]);
    }

    /// Counts a sync of records to disk.
    pub fn records_synced(&self) {
        self.syncs.add(1, &[]);
    }

    /// Sets the time for which a newer state than the voter's one may have been in force.
    pub fn set_confirmation_age(&self, age: Span) {
        self.confirmation_age.record(age.as_us() as f64 / 1e6, &[]);
    }

    /// Sets the gauges: revision of the replicated state, contact with a majority, age of
    /// the list of replicas in seconds, and entry hosts.
    pub fn set_gauges(&self, revision: u64, quorum: bool, list_age_s: f64, hosts: usize) {
        self.revision.record(revision, &[]);
        self.quorum.record(u64::from(quorum), &[]);
        self.list_age.record(list_age_s, &[]);
        self.hosts.record(hosts as u64, &[]);
    }
    /// Sets the gauge of the share of a service's requests that its last rollout gives to the new
    /// version.
    pub fn set_rollouts(&self, rollouts: &BTreeMap<Name, Record>) {
        for (service, record) in rollouts {
            let share = match record.phase {
                Phase::InProgress => f64::from(record.share) / 1_000.0,
                Phase::Completed => 1.0,
                Phase::RolledBack => 0.0,
            };
            let service = KeyValue::new("service", service.to_string());
            self.rollout_share.record(share, &[service]);
        }
    }
}
