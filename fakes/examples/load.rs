//! Measures daemon processes over fake backend servers under load, case by case, each
//! with its baseline variants. Run it after `cargo build --release --workspace`: the daemon is
//! taken from the build folder of this example.

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use clap::Arg;
use clap::Command;
use serde::Serialize;
use wagtailbeam_fakes::backend::Behavior;
use wagtailbeam_fakes::backend::Cluster;
use wagtailbeam_fakes::backend::Stats;
use wagtailbeam_fakes::caller::Error;
use wagtailbeam_fakes::fleet;
use wagtailbeam_fakes::load;
use wagtailbeam_fakes::load::Action;
use wagtailbeam_fakes::load::Sample;
use wagtailbeam_fakes::load::Stream;
use wagtailbeam_fakes::load::Summary;
use wagtailbeam_fakes::process::Processes;

/// Seed of the fake servers and of the query times; the warmup uses the next one.
const SEED: u64 = 20_261_204;

/// Daemons in the fleet.
const DAEMONS: usize = 8;

/// Voters among the daemons.
const VOTERS: usize = 3;

/// Replicas of each shard.
const REPLICAS: usize = 2;

/// Services to choose from with `--service`; the first one is the default.
const SERVICES: [Service; 2] = [("desk-gate", 20, 9), ("partner-ledger", 30, 3)];

/// Failure domain that `Event::DomainOut` takes out and brings back.
const OUT_DOMAIN: &str = "zone-b";

/// Time of the event, from the start of the run.
const EVENT_AT: Duration = Duration::from_secs(5);

/// Time from taking the failure domain out to bringing it back.
const OUT_DURATION: Duration = Duration::from_secs(20);

/// Longest settling time after an event that the targets allow.
const SETTLE_MAX: Duration = Duration::from_secs(2);

/// A service: name, number of shards, priority.
type Service = (&'static str, usize, u8);

/// The disturbance in a case. All but `Nothing` begin at `EVENT_AT`.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Nothing,
    /// The first replica of each shard stops answering.
    Freeze,
    /// A manifest takes a failure domain out, its servers crash, and the next manifest
    /// brings it back.
    DomainOut,
    /// The last daemon is killed.
    Kill,
    /// A second caller adds load beyond the capacity.
    Flood,
}

/// A load, faults of the servers and an event, measured once for each variant.
#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    /// Total load as a share of the capacity of the service.
    load_share: f64,
    /// Share of slow requests at the servers.
    slow_share: f64,
    event: Event,
    /// Length of the run in seconds.
    seconds: u64,
    variants: &'static [Variant],
}

/// A configuration of the daemons to compare within a case.
#[derive(Clone, Copy, Debug)]
struct Variant {
    name: &'static str,
    /// Whether hedging is on, with a budget of 5 %.
    hedge: bool,
    /// Value of the setting `dispatch`.
    dispatch: &'static str,
}

const OWNER: Variant = Variant {
    name: "owner",
    hedge: true,
    dispatch: "owner",
};
const OWNER_UNHEDGED: Variant = Variant {
    name: "owner, no hedge",
    hedge: false,
    dispatch: "owner",
};
const APART: Variant = Variant {
    name: "apart",
    hedge: true,
    dispatch: "apart",
};
const DIRECT: Variant = Variant {
    name: "direct",
    hedge: true,
    dispatch: "direct",
};

const CASES: [Case; 7] = [
    Case {
        name: "late",
        load_share: 0.5,
        slow_share: 0.01,
        event: Event::Nothing,
        seconds: 15,
        variants: &[OWNER, OWNER_UNHEDGED, APART, DIRECT],
    },
    Case {
        name: "calm",
        load_share: 0.5,
        slow_share: 0.0,
        event: Event::Nothing,
        seconds: 12,
        variants: &[OWNER, OWNER_UNHEDGED, APART, DIRECT],
    },
    Case {
        name: "frozen",
        load_share: 0.3,
        slow_share: 0.0,
        event: Event::Freeze,
        seconds: 15,
        variants: &[OWNER, OWNER_UNHEDGED],
    },
    Case {
        name: "domain-40",
        load_share: 0.4,
        slow_share: 0.0,
        event: Event::DomainOut,
        seconds: 40,
        variants: &[OWNER],
    },
    Case {
        name: "domain-80",
        load_share: 0.8,
        slow_share: 0.0,
        event: Event::DomainOut,
        seconds: 40,
        variants: &[OWNER],
    },
    Case {
        name: "overload",
        load_share: 3.0,
        slow_share: 0.0,
        event: Event::Flood,
        seconds: 15,
        variants: &[OWNER],
    },
    Case {
        name: "owner-killed",
        load_share: 0.4,
        slow_share: 0.0,
        event: Event::Kill,
        seconds: 15,
        variants: &[OWNER],
    },
];

/// The results of one stream in one phase of a run.
#[derive(Serialize)]
struct Row {
    case: &'static str,
    variant: &'static str,
    /// Service, caller and phase, separated by spaces.
    part: String,
    /// Capacity of the service in queries per second.
    capacity: f64,
    /// Complete answers per second.
    goodput: f64,
    summary: Summary,
}

/// Counters of all servers in one run. Only `replica_states` includes the warmup.
#[derive(Serialize)]
struct Servers {
    case: &'static str,
    variant: &'static str,
    /// Requests at the servers beyond one for each shard of each answered query, as a share
    /// of the latter.
    extra_share: f64,
    /// Most connections at any one server.
    connections_max: u32,
    /// Most requests in progress at any one server.
    running_max: u32,
    /// Most requests in progress at any one server while it was cold.
    running_cold_max: u32,
    /// Requests at the servers of the failure domain that is out, from `SETTLE_MAX` after
    /// the event to one second before the domain is brought back.
    #[serde(rename = "work_in_moved_domain_after_2s")]
    out_domain_requests: u64,
    /// State changes of replicas by new state.
    replica_states: BTreeMap<String, u64>,
}

fn main() -> ExitCode {
    let matches = Command::new("load")
        .about("Measure daemon processes under load, case by case")
        .arg(Arg::new("case").long("case").help("Run only this case"))
        .arg(
            Arg::new("service")
                .long("service")
                .default_value(SERVICES[0].0)
                .value_parser(SERVICES.map(|(name, _, _)| name))
                .help("Service under load"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("Write the results to this file as JSON"),
        )
        .get_matches();
    let case_name = matches.get_one::<String>("case");
    let service_name = matches.get_one::<String>("service");
    let service = SERVICES
        .iter()
        .find(|(known, _, _)| service_name.is_some_and(|name| name == known));
    let Some(service) = service else {
        return ExitCode::FAILURE;
    };
    let cases = CASES
        .iter()
        .filter(|case| case_name.is_none_or(|name| name == case.name));
    let mut results = Vec::new();
    for case in cases {
        for variant in case.variants {
            match run_case(case, variant, *service) {
                Ok((rows, servers)) => {
                    rows.iter().for_each(print_row);
                    print_servers(&servers);
                    results.push(serde_json::json!({ "rows": rows, "servers": servers }));
                }
                Err(error) => {
                    eprintln!("{} {}: {error}", case.name, variant.name);
                    return ExitCode::FAILURE;
                }
            }
        }
    }
    if let Some(path) = matches.get_one::<String>("json") {
        let text = serde_json::to_string_pretty(&results).unwrap_or_default();
        if std::fs::write(path, text).is_err() {
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

/// Behavior of each server in a case.
fn behavior(case: &Case) -> Behavior {
    Behavior {
        service_time: Duration::from_millis(10),
        slow_share: case.slow_share,
        slow_time: Duration::from_millis(200),
        warmup: Duration::from_secs(3),
        network_rtt: Duration::from_millis(2),
        ..Behavior::default()
    }
}

/// Queries per second that occupy all slots of a shard, counting the network round trip.
/// Each query sends one request to each shard.
fn capacity(behavior: &Behavior) -> f64 {
    let slow = behavior.slow_share;
    let service_time = behavior.service_time.as_secs_f64() * (1.0 - slow)
        + behavior.slow_time.as_secs_f64() * slow;
    let slots = REPLICAS as f64 * f64::from(behavior.slots);
    slots / (service_time + behavior.network_rtt.as_secs_f64())
}

/// Path of the daemon's executable in the build folder of this example.
fn daemon_path() -> Result<PathBuf, Error> {
    let own = std::env::current_exe()?;
    let folder = own
        .ancestors()
        .nth(2)
        .ok_or("the example is not in a build folder")?;
    Ok(folder.join("wagtailbeamd"))
}

/// Services of the manifest, one for each cluster.
fn services(clusters: &[Cluster], variant: &Variant, service: Service) -> Vec<fleet::Service> {
    let budget = if variant.hedge { "0.05" } else { "0" };
    let (name, _, priority) = service;
    let options = format!(
        "slots = 2\nconnections = 25\nwarmup = 3s\ncold_limit = 1\ndeadline = 500ms\n\
         priority = {priority}\nhedge_budget = {budget}\n"
    );
    let service = |cluster: &Cluster| fleet::Service::of(name, &options, cluster, REPLICAS);
    clusters.iter().map(service).collect()
}

/// Applies a manifest and waits until it is in force on every daemon. Tries all hosts in
/// turn; no new round starts after 20 seconds.
fn apply(hosts: &[fleet::Host], manifest: &str, version: u64) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let started = Instant::now();
    runtime.block_on(async {
        loop {
            for host in hosts {
                if fleet::client(host).apply(manifest).await.is_ok() {
                    let client = fleet::client(host);
                    let (in_force, daemons) =
                        client.wait_in_force(version, Duration::from_secs(6)).await;
                    if in_force == daemons && daemons > 1 {
                        return Ok(());
                    }
                }
            }
            if started.elapsed() > Duration::from_secs(20) {
                return Err(
                    format!("version {version} did not come into force on every daemon").into(),
                );
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    })
}

/// Starts servers and daemons, warms them up, and runs one case with one variant.
fn run_case(
    case: &Case,
    variant: &Variant,
    service: Service,
) -> Result<(Vec<Row>, Servers), Error> {
    let behavior = behavior(case);
    let clusters = [service].into_iter().map(|(name, shards, _)| {
        let names = (0..shards * REPLICAS).map(|index| format!("{name}-{index:02}"));
        Cluster::start(&names.collect::<Vec<_>>(), &behavior, SEED)
    });
    let clusters = Arc::new(clusters.collect::<Vec<_>>());
    let limits = format!("dispatch = {}\n", variant.dispatch);
    let processes = Processes::start(daemon_path()?, DAEMONS, VOTERS, &limits)?;
    let hosts = processes.hosts.clone();
    let services = services(&clusters, variant, service);
    let callers = ["quiet", "flood"];
    apply(&hosts, &fleet::manifest(1, &services, &callers, &[]), 1)?;
    std::thread::sleep(Duration::from_millis(1_500));
    warm_up(&hosts, &behavior, service);
    let servers = || clusters.iter().flat_map(|cluster| &cluster.servers);
    servers().for_each(|server| server.reset_stats());
    let processes = Arc::new(Mutex::new(processes));
    let streams = streams(case, &behavior, service);
    let out_domain_requests = Arc::new(Mutex::new(0));
    let manifests = [
        fleet::manifest(2, &services, &callers, &[OUT_DOMAIN]),
        fleet::manifest(3, &services, &callers, &[]),
    ];
    let actions = actions(
        case,
        &clusters,
        &hosts,
        manifests,
        &processes,
        &out_domain_requests,
    );
    let addresses = hosts.iter().map(|host| host.callers).collect::<Vec<_>>();
    let samples = load::run(&addresses, &streams, actions, SEED);
    let stats = servers().map(|server| server.stats()).collect::<Vec<_>>();
    let rows = rows(case, variant, &samples, &streams, capacity(&behavior));
    let out_domain_requests = *out_domain_requests
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut servers = summarize_servers(
        case,
        variant,
        &stats,
        &samples,
        &streams,
        out_domain_requests,
    );
    let processes = processes
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    servers.replica_states = replica_states(processes.folder.path())?;
    Ok((rows, servers))
}

/// Counts the state changes of replicas by new state in the logs of all daemons.
fn replica_states(folder: &Path) -> Result<BTreeMap<String, u64>, Error> {
    let mut states = BTreeMap::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let text = std::fs::read_to_string(path)?;
        for line in text
            .lines()
            .filter(|line| line.contains("replica state changed"))
        {
            let state = line
                .trim_end_matches('"')
                .rsplit(' ')
                .next()
                .unwrap_or_default();
            *states.entry(state.to_owned()).or_default() += 1;
        }
    }
    Ok(states)
}

/// Warms up servers and daemons with a load of a quarter of the capacity. The samples are
/// dropped.
fn warm_up(hosts: &[fleet::Host], behavior: &Behavior, service: Service) {
    let to = behavior.warmup + Duration::from_secs(4);
    let streams = [service].map(|(name, _, _)| Stream {
        caller: "quiet".to_owned(),
        service: name.to_owned(),
        rate: capacity(behavior) * 0.25,
        from: Duration::ZERO,
        to,
    });
    let addresses = hosts.iter().map(|host| host.callers).collect::<Vec<_>>();
    load::run(&addresses, &streams, Vec::new(), SEED + 1);
}

/// Query streams of a case.
fn streams(case: &Case, behavior: &Behavior, service: Service) -> Vec<Stream> {
    let to = Duration::from_secs(case.seconds);
    let capacity = capacity(behavior);
    let mut streams = Vec::new();
    {
        let (name, _, _) = service;
        let stream = |caller: &str, rate: f64, from| Stream {
            caller: caller.to_owned(),
            service: name.to_owned(),
            rate,
            from,
            to,
        };
        if case.event == Event::Flood {
            streams.push(stream("quiet", capacity * 0.2, Duration::ZERO));
            streams.push(stream(
                "flood",
                capacity * (case.load_share - 0.2),
                EVENT_AT,
            ));
        } else {
            streams.push(stream("quiet", capacity * case.load_share, Duration::ZERO));
        }
    }
    streams
}

/// Actions that cause the event of a case.
fn actions(
    case: &Case,
    clusters: &Arc<Vec<Cluster>>,
    hosts: &[fleet::Host],
    manifests: [String; 2],
    processes: &Arc<Mutex<Processes>>,
    out_domain_requests: &Arc<Mutex<u64>>,
) -> Vec<Action> {
    let (clusters, processes) = (clusters.clone(), processes.clone());
    match case.event {
        Event::Nothing | Event::Flood => Vec::new(),
        Event::Freeze => vec![(
            EVENT_AT,
            Box::new(move || {
                for cluster in clusters.iter() {
                    let first = cluster.servers.iter().step_by(REPLICAS);
                    first.for_each(|server| server.configure(|behavior| behavior.frozen = true));
                }
            }),
        )],
        Event::Kill => vec![(
            EVENT_AT,
            Box::new(move || {
                let mut processes = processes.lock().unwrap_or_else(|e| e.into_inner());
                if let Err(error) = processes.kill(DAEMONS - 1) {
                    eprintln!("kill: {error}");
                }
            }),
        )],
        Event::DomainOut => {
            domain_out_actions(clusters, hosts, manifests, out_domain_requests.clone())
        }
    }
}

/// Actions that take the failure domain out, count the requests that its servers still get
/// after `SETTLE_MAX`, crash the servers, and bring the domain back. The count is stored in
/// `out_domain_requests`.
fn domain_out_actions(
    clusters: Arc<Vec<Cluster>>,
    hosts: &[fleet::Host],
    manifests: [String; 2],
    out_domain_requests: Arc<Mutex<u64>>,
) -> Vec<Action> {
    let [out_manifest, back_manifest] = manifests;
    let (out_hosts, back_hosts) = (hosts.to_vec(), hosts.to_vec());
    let (settled_clusters, crashed_clusters) = (clusters.clone(), clusters);
    let settled_requests = Arc::new(Mutex::new(0));
    let baseline = settled_requests.clone();
    let count_requests = |clusters: &[Cluster]| -> u64 {
        servers_in_out_domain(clusters)
            .map(|server| server.stats().requests)
            .sum()
    };
    vec![
        (
            EVENT_AT,
            Box::new(move || print_error(apply(&out_hosts, &out_manifest, 2))),
        ),
        (
            EVENT_AT + SETTLE_MAX,
            Box::new(move || {
                *settled_requests.lock().unwrap_or_else(|e| e.into_inner()) =
                    count_requests(&settled_clusters)
            }),
        ),
        (
            EVENT_AT + OUT_DURATION - Duration::from_secs(1),
            Box::new(move || {
                let baseline = *baseline.lock().unwrap_or_else(|e| e.into_inner());
                let requests = count_requests(&crashed_clusters);
                *out_domain_requests
                    .lock()
                    .unwrap_or_else(|e| e.into_inner()) = requests - baseline;
                servers_in_out_domain(&crashed_clusters).for_each(|server| server.crash());
            }),
        ),
        (
            EVENT_AT + OUT_DURATION,
            Box::new(move || print_error(apply(&back_hosts, &back_manifest, 3))),
        ),
    ]
}

fn print_error(result: Result<(), Error>) {
    if let Err(error) = result {
        eprintln!("apply: {error}");
    }
}

/// Servers in the failure domain `OUT_DOMAIN`.
fn servers_in_out_domain(
    clusters: &[Cluster],
) -> impl Iterator<Item = &Arc<wagtailbeam_fakes::backend::Server>> {
    let servers = clusters
        .iter()
        .flat_map(|cluster| cluster.servers.iter().enumerate());
    let inside = |index: &usize| fleet::domain_of(index / REPLICAS, index % REPLICAS) == OUT_DOMAIN;
    servers
        .filter(move |(index, _)| inside(index))
        .map(|(_, server)| server)
}

/// Phases of a run that are reported separately: name, start and end.
fn phases(case: &Case) -> Vec<(String, Duration, Duration)> {
    let end = Duration::from_secs(case.seconds);
    let phase = |name: &str, from, to| (name.to_owned(), from, to);
    match case.event {
        Event::Nothing => vec![phase("whole", Duration::ZERO, end)],
        Event::Freeze | Event::Flood => vec![
            phase("before", Duration::ZERO, EVENT_AT),
            phase("first 2 s", EVENT_AT, EVENT_AT + SETTLE_MAX),
            phase("from 2 s", EVENT_AT + SETTLE_MAX, end),
        ],
        Event::Kill => vec![
            phase("before", Duration::ZERO, EVENT_AT),
            phase("first 3 s", EVENT_AT, EVENT_AT + Duration::from_secs(3)),
            phase("from 3 s", EVENT_AT + Duration::from_secs(3), end),
        ],
        Event::DomainOut => vec![
            phase("before", Duration::ZERO, EVENT_AT),
            phase("leaving", EVENT_AT, EVENT_AT + SETTLE_MAX),
            phase(
                "out, from 2 s",
                EVENT_AT + SETTLE_MAX,
                EVENT_AT + OUT_DURATION,
            ),
            phase(
                "returning",
                EVENT_AT + OUT_DURATION,
                EVENT_AT + OUT_DURATION + SETTLE_MAX,
            ),
            phase("back, from 2 s", EVENT_AT + OUT_DURATION + SETTLE_MAX, end),
        ],
    }
}

/// One row for each stream and phase that has samples.
fn rows(
    case: &Case,
    variant: &Variant,
    samples: &[Sample],
    streams: &[Stream],
    capacity: f64,
) -> Vec<Row> {
    let mut rows = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        for (name, from, to) in phases(case) {
            let inside =
                |sample: &Sample| sample.stream == index && sample.due >= from && sample.due < to;
            let summary = Summary::of(samples, inside);
            if summary.asked == 0 {
                continue;
            }
            let goodput = summary.complete as f64 / (to - from).as_secs_f64();
            let part = format!("{} {} {name}", stream.service, stream.caller);
            let (case, variant) = (case.name, variant.name);
            rows.push(Row {
                case,
                variant,
                part,
                capacity,
                goodput,
                summary,
            });
        }
    }
    rows
}

/// Combines the counters of all servers; `replica_states` stays empty.
fn summarize_servers(
    case: &Case,
    variant: &Variant,
    stats: &[Stats],
    samples: &[Sample],
    streams: &[Stream],
    out_domain_requests: u64,
) -> Servers {
    let shards = |sample: &Sample| {
        let service = &streams[sample.stream].service;
        SERVICES
            .iter()
            .find(|(name, _, _)| name == service)
            .map_or(0, |(_, shards, _)| *shards)
    };
    let answered = samples.iter().filter(|sample| sample.status == 200);
    let subrequests_needed = answered.map(shards).sum::<usize>().max(1);
    let requests = stats.iter().map(|stats| stats.requests).sum::<u64>();
    Servers {
        case: case.name,
        variant: variant.name,
        extra_share: requests as f64 / subrequests_needed as f64 - 1.0,
        connections_max: stats
            .iter()
            .map(|stats| stats.connections_max)
            .max()
            .unwrap_or_default(),
        running_max: stats
            .iter()
            .map(|stats| stats.running_max)
            .max()
            .unwrap_or_default(),
        running_cold_max: stats
            .iter()
            .map(|stats| stats.running_cold_max)
            .max()
            .unwrap_or_default(),
        out_domain_requests,
        replica_states: BTreeMap::new(),
    }
}

fn print_row(row: &Row) {
    let s = &row.summary;
    println!(
        "{:<12} {:<16} {:<32} asked {:>5} complete {:>5} partial {:>4} refused {:>5} cut {:>3} \
         coverage {:>7.3}% p50 {:>6.1} p99 {:>6.1} p99.9 {:>6.1} ms refusal p99 {:>5.1} ms \
         goodput {:>5.1}/s of {:>5.1}/s {:?} missing {:?}",
        row.case,
        row.variant,
        row.part,
        s.asked,
        s.complete,
        s.partial,
        s.refused,
        s.cut_off,
        s.coverage * 100.0,
        s.p50_ms,
        s.p99_ms,
        s.p999_ms,
        s.refusal_p99_ms,
        row.goodput,
        row.capacity,
        s.statuses,
        s.missing,
    );
}

fn print_servers(servers: &Servers) {
    println!(
        "{:<12} {:<16} servers: extra {:.1}% connections at most {} running at most {} \
         cold at most {} requests in the out domain after 2 s {} states {:?}",
        servers.case,
        servers.variant,
        servers.extra_share * 100.0,
        servers.connections_max,
        servers.running_max,
        servers.running_cold_max,
        servers.out_domain_requests,
        servers.replica_states,
    );
}
