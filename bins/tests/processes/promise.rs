//! Backend servers whose own statuses read like a promise that the request has not run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use wagtailbeam_adapter::dialect::Dialect as _;
use wagtailbeam_fakes::backend::Behavior;
use wagtailbeam_fakes::backend::Cluster;
use wagtailbeam_fakes::caller;
use wagtailbeam_fakes::fleet;
use wagtailbeam_fakes::origin;
use wagtailbeam_platform::Dialect;
use wagtailbeam_platform::encode;
use wagtailbeam_soak::deployment;
use wagtailbeam_soak::deployment::Deployment;

use crate::harness::Harness;
use crate::tier;
use crate::tier::Tier;

const CALLER: &str = "airline-one";

/// Statuses of the servers. Each is the last part of a path.
const STATUSES: [&str; 12] = [
    "200", "400", "404", "408", "409", "421", "425", "429", "500", "502", "503", "504",
];

/// Paths at which the server first sends bytes that belong to no request, and those bytes.
const STRAY: [(&str, &str); 6] = [
    ("stray-400", "400 Bad Request\r\nX-Not-Executed: 1"),
    (
        "stray-503",
        "503 Full\r\nX-Not-Executed: 1\r\nRetry-After: 30",
    ),
    ("stray-421", "421 Misdirected\r\nX-Not-Executed: 1"),
    ("stray-leaving", "503 Full\r\nServer-Leaving: 1"),
    ("stray-limit", "503 Full\r\nServer-Limit: 0.01"),
    ("stray-200", "200 OK\r\nX-Server-Stamp: another"),
];

/// Routes, one whose requests may run once and one whose requests may run more often.
const PREFIXES: [&str; 2] = ["/once/", "/many/"];

/// Servers of the tier; a host tells lost links from a lost server by several.
const SERVERS: usize = 6;

/// Time between bytes that belong to no request and the answer that is due.
const STRAY_LEAD: Duration = Duration::from_millis(20);

/// Longest time in which a request must reach a server.
const REACHED_MAX: Duration = Duration::from_secs(30);

/// What the servers have seen.
#[derive(Default)]
struct Seen {
    /// Requests that ran.
    ran: usize,
    /// Process whose connections are closed at once.
    cut_off: Option<u32>,
}

type Shared = Arc<Mutex<Seen>>;

/// Runs each request and answers it with the status that its path names.
async fn answer(mut stream: TcpStream, peer: SocketAddr, seen: Shared) {
    let names = Dialect::default().headers().clone();
    let mut head = Vec::new();
    let mut byte = [0];
    while stream.read_exact(&mut byte).await.is_ok() {
        head.push(byte[0]);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        if is_cut_off(&seen, peer) {
            return;
        }
        seen.lock().unwrap().ran += 1;
        let text = String::from_utf8(std::mem::take(&mut head)).unwrap();
        let prefix = format!("{}: ", names.request);
        let id = text.lines().find_map(|line| line.strip_prefix(&prefix));
        let id = id.unwrap_or_default().to_owned();
        let path = text.split(' ').nth(1).unwrap_or_default();
        let status = path.rsplit('/').next().unwrap_or_default();
        let stray = STRAY.iter().find(|(path, _)| *path == status);
        let stray = stray.map(|(_, head)| format!("HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n"));
        if let Some(stray) = &stray {
            drop(stream.write_all(stray.as_bytes()).await);
            tokio::time::sleep(STRAY_LEAD).await;
        }
        let status = stray.map_or(status, |_| "200");
        let reply = format!(
            "HTTP/1.1 {status} Status\r\n{}: {id}\r\n{}: stamp\r\nretry-after: 0.05\r\n\
             content-length: 3\r\n\r\nran",
            names.request, names.stamp
        );
        if stream.write_all(reply.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Whether this is the address of a connection of the process that is cut off.
fn is_cut_off(seen: &Shared, peer: SocketAddr) -> bool {
    let pid = seen.lock().unwrap().cut_off;
    pid.is_some_and(|pid| origin::holders(&[pid]).contains_key(&peer))
}

/// A server that runs all requests.
async fn start_server(deployment: &Deployment, index: usize, seen: Shared) -> encode::Replica {
    let listener = TcpListener::bind(deployment.backend_address())
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, peer)) = listener.accept().await {
            if !is_cut_off(&seen, peer) {
                tokio::spawn(answer(stream, peer, seen.clone()));
            }
        }
    });
    encode::Replica {
        id: format!("server-{index}").into(),
        service: deployment.at_most_once.clone(),
        address,
        domain: deployment::domain(index),
        draining: false,
        version: None,
    }
}

/// A tier in front of some servers.
async fn start(name: &str, entries: usize, seen: Shared) -> Tier {
    let folder = tier::folder(name);
    let deployment = Deployment::new(2, entries);
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        servers.push(start_server(&deployment, index, seen.clone()).await);
    }
    let tier = Tier::start(deployment, &folder, servers, "").await;
    let many = encode::Single {
        name: "many".to_owned(),
        prefix: "/many/".to_owned(),
        service: tier.deployment.at_most_once.clone(),
    };
    let document = encode::configuration(&encode::Configuration {
        hostname: "wagtailbeam".to_owned(),
        singles: vec![many],
        ..tier.deployment.configuration(1)
    });
    tier.put(document).await;
    for entry in 0..entries {
        run_once(&tier, entry, "/once/200", &seen).await;
    }
    tier
}

async fn send(tier: &Tier, entry: usize, path: &str) -> caller::Answer {
    let request = caller::Request {
        method: "POST".to_owned(),
        ..tier::request("", path)
    };
    let address = tier.deployment.caller_address(entry);
    caller::send(address, &request).await.unwrap()
}

/// Sends a request until it runs at a server, and returns what its caller gets then. Hosts that do not
/// serve yet, or that spare a server which failed before, refuse it.
async fn run_once(tier: &Tier, entry: usize, path: &str, seen: &Shared) -> caller::Answer {
    let started = Instant::now();
    loop {
        let before = seen.lock().unwrap().ran;
        let answer = send(tier, entry, path).await;
        let runs = seen.lock().unwrap().ran - before;
        match runs {
            0 => assert!(started.elapsed() < REACHED_MAX, "{path} did not run"),
            2.. if path.starts_with("/once/") => panic!("{path} ran {runs} times"),
            _ => return answer,
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// What the caller of each route gets for each status of the server.
async fn table(tier: &Tier, entry: usize, seen: &Shared) -> String {
    let stamp = Dialect::default().headers().stamp.to_string();
    let mut lines = Vec::new();
    for prefix in PREFIXES {
        for status in STATUSES {
            let path = format!("{prefix}{status}");
            let answer = run_once(tier, entry, &path, seen).await;
            let body = String::from_utf8_lossy(&answer.body);
            let unchanged = body == "ran" && answer.header(&stamp) == Some("stamp");
            let whose = match unchanged {
                true => "the server's",
                false => "the tier's own",
            };
            let wait = answer.header("retry-after").unwrap_or("none");
            lines.push(format!(
                "{prefix} {status}: {} {whose}, retry-after {wait}",
                answer.status
            ));
        }
    }
    lines.join("\n")
}

const EXPECTED: &str = "\
/once/ 200: 200 the server's, retry-after 0.05
/once/ 400: 400 the server's, retry-after 0.05
/once/ 404: 404 the server's, retry-after 0.05
/once/ 408: 502 the tier's own, retry-after none
/once/ 409: 409 the server's, retry-after 0.05
/once/ 421: 502 the tier's own, retry-after none
/once/ 425: 425 the server's, retry-after 0.05
/once/ 429: 502 the tier's own, retry-after none
/once/ 500: 500 the server's, retry-after 0.05
/once/ 502: 502 the server's, retry-after 0.05
/once/ 503: 502 the tier's own, retry-after none
/once/ 504: 504 the server's, retry-after 0.05
/many/ 200: 200 the server's, retry-after 0.05
/many/ 400: 400 the server's, retry-after 0.05
/many/ 404: 404 the server's, retry-after 0.05
/many/ 408: 502 the tier's own, retry-after none
/many/ 409: 409 the server's, retry-after 0.05
/many/ 421: 502 the tier's own, retry-after none
/many/ 425: 425 the server's, retry-after 0.05
/many/ 429: 502 the tier's own, retry-after none
/many/ 500: 500 the server's, retry-after 0.05
/many/ 502: 502 the server's, retry-after 0.05
/many/ 503: 502 the tier's own, retry-after none
/many/ 504: 504 the server's, retry-after 0.05";

/// Guards against a false promise: a server runs a request and answers it with a status that tells
/// the caller that it has not run.
#[test]
fn a_servers_status_after_a_run_promises_nothing() {
    tier::run(async {
        let seen = Shared::default();
        let tier = start("promise", 1, seen.clone()).await;
        assert_eq!(table(&tier, 0, &seen).await, EXPECTED);
    });
}

/// The same for requests that another host serves.
#[test]
fn a_servers_status_after_a_relayed_run_promises_nothing() {
    tier::run(async {
        let seen = Shared::default();
        let tier = start("promise-relayed", 2, seen.clone()).await;
        seen.lock().unwrap().cut_off = Some(tier.entries[0].pid().unwrap());
        assert_eq!(table(&tier, 0, &seen).await, EXPECTED);
    });
}

/// The same for jobs of a group with a settings file, at the daemon that ran the job and at one that
/// answers from the record.
#[test]
fn a_servers_status_after_a_job_promises_nothing() {
    let names = (0..SERVERS).map(|index| format!("gate-{index}"));
    let cluster = Cluster::start(&names.collect::<Vec<_>>(), &Behavior::default(), 7);
    let harness = Harness::start_serving(&cluster, 2, CALLER);
    let mut lines = Vec::new();
    for status in [400, 408, 409, 421, 429, 500, 503] {
        let servers = cluster.servers.iter();
        servers.for_each(|server| server.configure(|behavior| behavior.status = Some(status)));
        let key = format!("visit-{status}");
        let job = caller::post(&fleet::caller_key(CALLER), "/desk-gate/entries", &key, "{}");
        for daemon in [3, 4] {
            let answer = harness.send(daemon, &job);
            let json = answer.json();
            lines.push(format!(
                "{status}: {} {} ran {} replayed {}",
                answer.status,
                json["title"],
                json["ran"],
                answer.header("wagtailbeam-replayed").unwrap_or("no")
            ));
        }
        assert_eq!(cluster.runs(&key), 1, "{key}");
    }
    let expected = "\
400: 400 null ran null replayed no
400: 400 null ran null replayed yes
408: 502 \"status-408\" ran \"maybe\" replayed no
408: 502 \"status-408\" ran \"maybe\" replayed yes
409: 409 null ran null replayed no
409: 409 null ran null replayed yes
421: 502 \"status-421\" ran \"maybe\" replayed no
421: 502 \"status-421\" ran \"maybe\" replayed yes
429: 502 \"status-429\" ran \"maybe\" replayed no
429: 502 \"status-429\" ran \"maybe\" replayed yes
500: 500 null ran null replayed no
500: 500 null ran null replayed yes
503: 502 \"status-503\" ran \"maybe\" replayed no
503: 502 \"status-503\" ran \"maybe\" replayed yes";
    assert_eq!(lines.join("\n"), expected);
}

/// Guards against a second run: bytes that name no request arrive where the answer to a request is due,
/// and say that it has not run. Nor do such bytes say anything of their server.
#[test]
fn an_answer_that_names_no_request_proves_nothing() {
    tier::run(async {
        let seen = Shared::default();
        let tier = start("promise-stray", 1, seen.clone()).await;
        for (path, _) in STRAY {
            let path = format!("/once/{path}");
            for _ in 0..SERVERS {
                let answer = run_once(&tier, 0, &path, &seen).await;
                assert_eq!(answer.status, 502, "{path}");
            }
        }
        for _ in 0..SERVERS {
            let answer = run_once(&tier, 0, "/once/200", &seen).await;
            assert_eq!(answer.status, 200);
        }
        let log = std::fs::read_to_string(tier::path("promise-stray").join("entry-0.log"));
        let log = log.unwrap();
        let believed = ["\"event\":708", "\"event\":722", "\"event\":723"];
        assert!(!believed.iter().any(|event| log.contains(event)), "{log}");
    });
}
