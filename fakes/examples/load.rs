//! Load on real daemon processes over fake backend servers, case by case, each
//! beside its baseline. Run it after `cargo build --release --workspace`.

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

/// Seed of all random choices.
const SEED: u64 = 20_261_204;

/// Daemons of one user.
const DAEMONS: usize = 8;

/// Voters among them.
const VOTERS: usize = 3;

/// Replicas of each shard.
const REPLICAS: usize = 2;

/// Services: name, shards, priority.
const SERVICES: [Service; 2] = [("desk-gate", 20, 9), ("partner-ledger", 30, 3)];

/// Failure domain that is moved.
const MOVED: &str = "zone-b";

/// Time from the start of a run to its first event.
const CALM: Duration = Duration::from_secs(5);

/// Time for which a failure domain is out.
const OUT_FOR: Duration = Duration::from_secs(20);

/// Time that settling may take by the targets.
const SETTLE: Duration = Duration::from_secs(2);

/// A service: name, shards, priority.
type Service = (&'static str, usize, u8);

/// What happens in a case.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Nothing,
    Freeze,
    Move,
    Kill,
    Flood,
}

/// A case: load as a share of capacity, faults, and what happens.
#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    share: f64,
    slow_share: f64,
    event: Event,
    seconds: u64,
    variants: &'static [Variant],
}

/// A way of working to be compared.
#[derive(Clone, Copy, Debug)]
struct Variant {
    name: &'static str,
    hedge: bool,
    dispatch: &'static str,
}

const HEDGED: Variant = Variant {
    name: "owner",
    hedge: true,
    dispatch: "owner",
};
const UNHEDGED: Variant = Variant {
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
        share: 0.5,
        slow_share: 0.01,
        event: Event::Nothing,
        seconds: 15,
        variants: &[HEDGED, UNHEDGED, APART, DIRECT],
    },
    Case {
        name: "calm",
        share: 0.5,
        slow_share: 0.0,
        event: Event::Nothing,
        seconds: 12,
        variants: &[HEDGED, UNHEDGED, APART, DIRECT],
    },
    Case {
        name: "frozen",
        share: 0.3,
        slow_share: 0.0,
        event: Event::Freeze,
        seconds: 15,
        variants: &[HEDGED, UNHEDGED],
    },
    Case {
        name: "domain-40",
        share: 0.4,
        slow_share: 0.0,
        event: Event::Move,
        seconds: 40,
        variants: &[HEDGED],
    },
    Case {
        name: "domain-80",
        share: 0.8,
        slow_share: 0.0,
        event: Event::Move,
        seconds: 40,
        variants: &[HEDGED],
    },
    Case {
        name: "overload",
        share: 3.0,
        slow_share: 0.0,
        event: Event::Flood,
        seconds: 15,
        variants: &[HEDGED],
    },
    Case {
        name: "owner-killed",
        share: 0.4,
        slow_share: 0.0,
        event: Event::Kill,
        seconds: 15,
        variants: &[HEDGED],
    },
];

/// One line of the report.
#[derive(Serialize)]
struct Row {
    case: &'static str,
    variant: &'static str,
    part: String,
    capacity: f64,
    goodput: f64,
    summary: Summary,
}

/// What the servers saw in a run.
#[derive(Serialize)]
struct Servers {
    case: &'static str,
    variant: &'static str,
    extra_share: f64,
    connections_max: u32,
    running_max: u32,
    running_cold_max: u32,
    work_in_moved_domain_after_2s: u64,
    replica_states: BTreeMap<String, u64>,
}

fn main() -> ExitCode {
    let matches = Command::new("load")
        .about("Load on real daemons, case by case")
        .arg(Arg::new("case").long("case").help("Only this case"))
        .arg(
            Arg::new("service")
                .long("service")
                .default_value(SERVICES[0].0)
                .value_parser(SERVICES.map(|(name, _, _)| name))
                .help("The service under load"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("Write JSON to this file"),
        )
        .get_matches();
    let only = matches.get_one::<String>("case");
    let name = matches.get_one::<String>("service");
    let service = SERVICES
        .iter()
        .find(|(known, _, _)| name.is_some_and(|name| name == known));
    let Some(service) = service else {
        return ExitCode::FAILURE;
    };
    let cases = CASES
        .iter()
        .filter(|case| only.is_none_or(|only| only == case.name));
    let mut lines = Vec::new();
    for case in cases {
        for variant in case.variants {
            match measure(case, variant, *service) {
                Ok((rows, servers)) => {
                    rows.iter().for_each(print_row);
                    print_servers(&servers);
                    lines.push(serde_json::json!({ "rows": rows, "servers": servers }));
                }
                Err(error) => {
                    eprintln!("{} {}: {error}", case.name, variant.name);
                    return ExitCode::FAILURE;
                }
            }
        }
    }
    if let Some(path) = matches.get_one::<String>("json") {
        let text = serde_json::to_string_pretty(&lines).unwrap_or_default();
        if std::fs::write(path, text).is_err() {
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

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

/// Queries a second that a service can bear.
fn capacity(behavior: &Behavior) -> f64 {
    let late = behavior.slow_share;
    let work = behavior.service_time.as_secs_f64() * (1.0 - late)
        + behavior.slow_time.as_secs_f64() * late;
    let slots = REPLICAS as f64 * f64::from(behavior.slots);
    slots / (work + behavior.network_rtt.as_secs_f64())
}

fn program() -> Result<PathBuf, Error> {
    let own = std::env::current_exe()?;
    let folder = own.ancestors().nth(2).ok_or("no build folder")?;
    Ok(folder.join("wagtailbeamd"))
}

fn services(clusters: &[Cluster], variant: &Variant, service: Service) -> Vec<fleet::Service> {
    let budget = if variant.hedge { "0.05" } else { "0" };
    let (name, _, priority) = service;
    let lines = format!(
        "slots = 2\nconnections = 25\nwarmup = 3s\ncold_limit = 1\ndeadline = 500ms\n\
         priority = {priority}\nhedge_budget = {budget}\n"
    );
    let service = |cluster: &Cluster| fleet::Service::of(name, &lines, cluster, REPLICAS);
    clusters.iter().map(service).collect()
}

fn apply(hosts: &[fleet::Host], file: &str, version: u64) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let started = Instant::now();
    runtime.block_on(async {
        loop {
            for host in hosts {
                if fleet::client(host).apply(file).await.is_ok() {
                    let client = fleet::client(host);
                    let (have, all) = client.wait_in_force(version, Duration::from_secs(6)).await;
                    if have == all && all > 1 {
                        return Ok(());
                    }
                }
            }
            if started.elapsed() > Duration::from_secs(20) {
                return Err("the file does not come into force".into());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    })
}

fn measure(case: &Case, variant: &Variant, service: Service) -> Result<(Vec<Row>, Servers), Error> {
    let behavior = behavior(case);
    let clusters = [service].into_iter().map(|(name, shards, _)| {
        let names = (0..shards * REPLICAS).map(|at| format!("{name}-{at:02}"));
        Cluster::start(&names.collect::<Vec<_>>(), &behavior, SEED)
    });
    let clusters = Arc::new(clusters.collect::<Vec<_>>());
    let extra = format!("dispatch = {}\n", variant.dispatch);
    let processes = Processes::start(program()?, DAEMONS, VOTERS, &extra)?;
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
    let out_work = Arc::new(Mutex::new(0));
    let files = [
        fleet::manifest(2, &services, &callers, &[MOVED]),
        fleet::manifest(3, &services, &callers, &[]),
    ];
    let deeds = deeds(case, &clusters, &hosts, files, &processes, &out_work);
    let addresses = hosts.iter().map(|host| host.callers).collect::<Vec<_>>();
    let samples = load::run(&addresses, &streams, deeds, SEED);
    let seen = servers().map(|server| server.stats()).collect::<Vec<_>>();
    let rows = rows(case, variant, &samples, &streams, capacity(&behavior));
    let work = *out_work
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut servers = servers_seen(case, variant, &seen, &samples, &streams, work);
    let processes = processes
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    servers.replica_states = replica_states(processes.folder.path())?;
    Ok((rows, servers))
}

/// Changes of replicas' states by state, from the daemons' logs.
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
            let word = line
                .trim_end_matches('"')
                .rsplit(' ')
                .next()
                .unwrap_or_default();
            *states.entry(word.to_owned()).or_default() += 1;
        }
    }
    Ok(states)
}

/// Warms servers and daemons with a light load that isn't counted.
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

fn streams(case: &Case, behavior: &Behavior, service: Service) -> Vec<Stream> {
    let to = Duration::from_secs(case.seconds);
    let full = capacity(behavior);
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
            streams.push(stream("quiet", full * 0.2, Duration::ZERO));
            streams.push(stream("flood", full * (case.share - 0.2), CALM));
        } else {
            streams.push(stream("quiet", full * case.share, Duration::ZERO));
        }
    }
    streams
}

fn deeds(
    case: &Case,
    clusters: &Arc<Vec<Cluster>>,
    hosts: &[fleet::Host],
    files: [String; 2],
    processes: &Arc<Mutex<Processes>>,
    out_work: &Arc<Mutex<u64>>,
) -> Vec<Action> {
    let (clusters, processes) = (clusters.clone(), processes.clone());
    match case.event {
        Event::Nothing | Event::Flood => Vec::new(),
        Event::Freeze => vec![(
            CALM,
            Box::new(move || {
                for cluster in clusters.iter() {
                    let first = cluster.servers.iter().step_by(REPLICAS);
                    first.for_each(|server| server.configure(|behavior| behavior.frozen = true));
                }
            }),
        )],
        Event::Kill => vec![(
            CALM,
            Box::new(move || {
                let mut processes = processes.lock().unwrap_or_else(|e| e.into_inner());
                if let Err(error) = processes.kill(DAEMONS - 1) {
                    eprintln!("kill: {error}");
                }
            }),
        )],
        Event::Move => moves(clusters, hosts, files, out_work.clone()),
    }
}

fn moves(
    clusters: Arc<Vec<Cluster>>,
    hosts: &[fleet::Host],
    files: [String; 2],
    out_work: Arc<Mutex<u64>>,
) -> Vec<Action> {
    let [out, back] = files;
    let (first, second) = (hosts.to_vec(), hosts.to_vec());
    let (counted, failed) = (clusters.clone(), clusters);
    let at_start = Arc::new(Mutex::new(0));
    let at_end = at_start.clone();
    let count = |clusters: &[Cluster]| moved(clusters).map(|server| server.stats().requests).sum();
    let again = counted.clone();
    vec![
        (CALM, Box::new(move || report(apply(&first, &out, 2)))),
        (
            CALM + SETTLE,
            Box::new(move || *at_start.lock().unwrap_or_else(|e| e.into_inner()) = count(&counted)),
        ),
        (
            CALM + OUT_FOR - Duration::from_secs(1),
            Box::new(move || {
                let before = *at_end.lock().unwrap_or_else(|e| e.into_inner());
                let now: u64 = moved(&again).map(|server| server.stats().requests).sum();
                *out_work.lock().unwrap_or_else(|e| e.into_inner()) = now - before;
                moved(&failed).for_each(|server| server.crash());
            }),
        ),
        (
            CALM + OUT_FOR,
            Box::new(move || report(apply(&second, &back, 3))),
        ),
    ]
}

fn report(result: Result<(), Error>) {
    if let Err(error) = result {
        eprintln!("apply: {error}");
    }
}

/// Servers in the failure domain that is moved.
fn moved(clusters: &[Cluster]) -> impl Iterator<Item = &Arc<wagtailbeam_fakes::backend::Server>> {
    let servers = clusters
        .iter()
        .flat_map(|cluster| cluster.servers.iter().enumerate());
    let inside = |at: &usize| fleet::domain_of(at / REPLICAS, at % REPLICAS) == MOVED;
    servers
        .filter(move |(at, _)| inside(at))
        .map(|(_, server)| server)
}

/// Times of a run that are reported by themselves.
fn parts(case: &Case) -> Vec<(String, Duration, Duration)> {
    let end = Duration::from_secs(case.seconds);
    let part = |name: &str, from, to| (name.to_owned(), from, to);
    match case.event {
        Event::Nothing => vec![part("whole", Duration::ZERO, end)],
        Event::Freeze | Event::Flood => vec![
            part("before", Duration::ZERO, CALM),
            part("first 2 s", CALM, CALM + SETTLE),
            part("from 2 s", CALM + SETTLE, end),
        ],
        Event::Kill => vec![
            part("before", Duration::ZERO, CALM),
            part("first 3 s", CALM, CALM + Duration::from_secs(3)),
            part("from 3 s", CALM + Duration::from_secs(3), end),
        ],
        Event::Move => vec![
            part("before", Duration::ZERO, CALM),
            part("leaving", CALM, CALM + SETTLE),
            part("out, from 2 s", CALM + SETTLE, CALM + OUT_FOR),
            part("returning", CALM + OUT_FOR, CALM + OUT_FOR + SETTLE),
            part("back, from 2 s", CALM + OUT_FOR + SETTLE, end),
        ],
    }
}

fn rows(
    case: &Case,
    variant: &Variant,
    samples: &[Sample],
    streams: &[Stream],
    capacity: f64,
) -> Vec<Row> {
    let mut rows = Vec::new();
    for (at, stream) in streams.iter().enumerate() {
        for (name, from, to) in parts(case) {
            let inside =
                |sample: &Sample| sample.stream == at && sample.due >= from && sample.due < to;
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

fn servers_seen(
    case: &Case,
    variant: &Variant,
    seen: &[Stats],
    samples: &[Sample],
    streams: &[Stream],
    work_in_moved_domain_after_2s: u64,
) -> Servers {
    let shards = |sample: &Sample| {
        let service = &streams[sample.stream].service;
        SERVICES
            .iter()
            .find(|(name, _, _)| name == service)
            .map_or(0, |(_, shards, _)| *shards)
    };
    let answered = samples.iter().filter(|sample| sample.status == 200);
    let needed = answered.map(shards).sum::<usize>().max(1);
    let requests = seen.iter().map(|seen| seen.requests).sum::<u64>();
    Servers {
        case: case.name,
        variant: variant.name,
        extra_share: requests as f64 / needed as f64 - 1.0,
        connections_max: seen
            .iter()
            .map(|seen| seen.connections_max)
            .max()
            .unwrap_or_default(),
        running_max: seen
            .iter()
            .map(|seen| seen.running_max)
            .max()
            .unwrap_or_default(),
        running_cold_max: seen
            .iter()
            .map(|seen| seen.running_cold_max)
            .max()
            .unwrap_or_default(),
        work_in_moved_domain_after_2s,
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
         cold at most {} work in the domain out after 2 s {} states {:?}",
        servers.case,
        servers.variant,
        servers.extra_share * 100.0,
        servers.connections_max,
        servers.running_max,
        servers.running_cold_max,
        servers.work_in_moved_domain_after_2s,
        servers.replica_states,
    );
}
