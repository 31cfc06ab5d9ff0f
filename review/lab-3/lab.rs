//! Stand-ins and checks of the cases of this review that are scripts.
//!
//! `lab CASE FOLDER` starts a small deployment of the tier as separate processes on loopback
//! addresses, with a platform, replicas and clients of its own, writes `record.txt` in FOLDER and
//! exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case couldn't run.
//! With `TROUBLE=0` in the environment the replicas do nothing out of the ordinary.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

const VOTERS: u8 = 5;
const ENTRIES: u8 = 3;
const ZONES: [&str; 3] = ["be-zav", "be-gos", "be-ant"];
const HOSTNAME: &str = "lounge.example";

/// What a replica answers to a request without an identifier.
const REJECTION_WITHOUT_ID: &[u8] =
    b"HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// What was sent, answered and run, with the time since the start.
struct Record {
    started: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    fn add(&self, line: String) {
        let ms = self.started.elapsed().as_secs_f64() * 1e3;
        self.lines
            .lock()
            .unwrap()
            .push(format!("{ms:10.1} ms  {line}"));
    }

    fn write(&self, folder: &Path, verdict: &[String]) -> Result<()> {
        let mut file = File::create(folder.join("record.txt"))?;
        for line in verdict.iter().chain(self.lines.lock().unwrap().iter()) {
            writeln!(file, "{line}")?;
        }
        Ok(())
    }
}

/// How a faulty replica departs from a sound one.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Sends bytes that belong to no request after a share of its answers, at the point where the next
    /// answer on the connection is due: the rejection of a request without an identifier. The request
    /// that is there by then is run and answered.
    LateBytes,
    /// Runs a share of its requests and fails them with this status, without `X-Not-Executed`.
    Fails(u16),
}

/// Shared state of all replicas.
struct World {
    record: Record,
    faulty: AtomicBool,
    /// Answers of faulty replicas while the trouble lasts.
    answers: AtomicU64,
    spoiled: AtomicU64,
    /// Replicas that began to run each request.
    runs: Mutex<BTreeMap<String, Vec<String>>>,
    /// Status that each client attempt got; 0 without an answer.
    answered: Mutex<BTreeMap<String, u16>>,
    last_id: AtomicU64,
    stamp: AtomicU64,
}

struct Message {
    start: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads one message with a length from a connection; `rest` keeps what was read beyond it.
fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Result<Option<Message>> {
    let mut block = [0; 16_384];
    let end = loop {
        if let Some(at) = rest.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut block)? {
            0 => return Ok(None),
            count => rest.extend_from_slice(&block[..count]),
        }
    };
    let head = String::from_utf8_lossy(&rest[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers
        .map(|(key, value)| (key.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect::<Vec<_>>();
    let mut message = Message {
        start,
        headers,
        body: Vec::new(),
    };
    let length = message.header("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    rest.drain(..end + 4);
    while rest.len() < length {
        match stream.read(&mut block)? {
            0 => return Ok(None),
            count => rest.extend_from_slice(&block[..count]),
        }
    }
    message.body = rest.drain(..length).collect();
    Ok(Some(message))
}

/// Serves one connection of a replica.
fn serve_replica(mut stream: TcpStream, id: &str, fault: Fault, world: &World) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut rest = Vec::new();
    let mut late = false;
    while let Some(request) = read_message(&mut stream, &mut rest)? {
        if request.start.starts_with("GET /healthz") {
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            )?;
            continue;
        }
        let Some(name) = request.header("x-request-id").map(str::to_owned) else {
            stream.write_all(REJECTION_WITHOUT_ID)?;
            continue;
        };
        if request
            .header("x-expected-instance")
            .is_some_and(|expected| expected != id)
        {
            world
                .record
                .add(format!("replica {id} rejects {name}: 421"));
            write!(
                stream,
                "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: {name}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )?;
            continue;
        }
        if std::mem::take(&mut late) {
            world.record.add(format!(
                "replica {id} sends late bytes that belong to no request"
            ));
            stream.write_all(REJECTION_WITHOUT_ID)?;
        }
        world.record.add(format!("replica {id} runs {name}"));
        world
            .runs
            .lock()
            .unwrap()
            .entry(name.clone())
            .or_default()
            .push(id.to_owned());
        thread::sleep(Duration::from_millis(20));
        let stamp = world.stamp.fetch_add(1, Ordering::Relaxed);
        let spoil = fault != Fault::None && world.faulty.load(Ordering::Relaxed) && {
            let number = world.answers.fetch_add(1, Ordering::Relaxed) + 1;
            let every = match fault {
                Fault::LateBytes => 34,
                _ => 3,
            };
            number % every == 0
        };
        let mut status = "200 OK".to_owned();
        if spoil {
            world.spoiled.fetch_add(1, Ordering::Relaxed);
            match fault {
                Fault::LateBytes => late = true,
                Fault::Fails(code) => status = format!("{code} Failed"),
                Fault::None => {}
            }
        }
        let body = format!("answer to {name}");
        world
            .record
            .add(format!("replica {id} answers {name}: {status}"));
        write!(
            stream,
            "HTTP/1.1 {status}\r\nX-Request-Id: {name}\r\nX-Server-Stamp: {id}.{stamp}\r\nKeep-Alive: timeout=15\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
    }
    Ok(())
}

/// The deployment under test.
struct Deployment {
    folder: PathBuf,
    net: u8,
    port: u16,
    processes: Vec<Child>,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    /// Picks a network in the loopback range and ports that are free on all its addresses.
    fn new() -> Option<Deployment> {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let first = std::process::id();
        for attempt in 0..40_u32 {
            let net = 20 + ((first + attempt) % 200) as u8;
            let port = 11_000 + ((first * 37 + attempt * 101) % 9_000) as u16;
            let deployment = Deployment {
                folder: folder.clone(),
                net,
                port,
                processes: Vec::new(),
            };
            let free = |ip: IpAddr| (0..6).all(|at| TcpListener::bind((ip, port + at)).is_ok());
            let all = (1..=VOTERS).map(|index| deployment.ip(1, index));
            let mut all = all.chain((1..=ENTRIES).map(|index| deployment.ip(2, index)));
            if all.all(free) {
                return Some(deployment);
            }
            std::mem::forget(deployment);
        }
        None
    }

    fn ip(&self, group: u8, index: u8) -> IpAddr {
        Ipv4Addr::new(127, self.net, group, index).into()
    }

    fn address(&self, group: u8, index: u8, offset: u16) -> SocketAddr {
        SocketAddr::new(self.ip(group, index), self.port + offset)
    }

    /// The settings as the platform renders them from the templates in `platform/`.
    fn settings(&self, group: u8, index: u8, first_start: bool) -> String {
        let zone = ZONES[usize::from(index) % ZONES.len()];
        let seeds = (1..=3).map(|seed| self.address(1, seed, 0).to_string());
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let list = self.address(4, 1, 0);
        let (voter_port, own) = (self.port + 1, self.ip(group, index));
        let role = if group == 1 { "voter" } else { "entry" };
        let mut text = format!(
            "[host]\nname = {role}-{index}\ndomain = {zone}\ndomains = {}\nrole = {role}\n",
            ZONES.join(",")
        );
        if group == 1 {
            let data = self.folder.join(format!("data-{index}"));
            text += &format!(
                "data = {}\n\n[listen]\noperators = {}\n",
                data.display(),
                self.address(1, index, 0)
            );
            text += &format!("peer = {own}:{voter_port}\n");
        } else {
            text += &format!(
                "\n[listen]\ncallers = {}\nready = {}\npeer = {own}:{}\n",
                self.address(2, index, 2),
                self.address(2, index, 3),
                self.port + 4
            );
        }
        text += &format!("metrics = {own}:{}\n\n", self.port + 5);
        text += &format!("[voters]\nseeds = {seeds}\nport = {voter_port}\nlosses = 2\n");
        if group == 1 {
            return text
                + &format!(
                    "found = {first_start}\n\n[list]\naddress = {list}\nlag = 800ms\n\n[rollout]\n"
                );
        }
        text + &format!(
            "\n[list]\naddress = {list}\nlag = 800ms\n\n[extra]\nratio = 0.2\nslack = 54\nwindow = 10s\n\n[cold]\noverage = 1.5\nslack = 5\n\n[stop]\nlongest = 6s\n"
        )
    }

    /// Starts a process with the command of the deploy file.
    fn start(&mut self, group: u8, index: u8) -> Result<()> {
        self.start_as(group, index, true)
    }

    fn start_as(&mut self, group: u8, index: u8, first_start: bool) -> Result<()> {
        let path = self.folder.join(format!("settings-{group}-{index}.ini"));
        std::fs::write(&path, self.settings(group, index, first_start))?;
        let log = File::create(self.folder.join(format!("log-{group}-{index}")))?;
        let process = Command::new("target/release/wagtailbeamd")
            .args(["--discover", "--settings-from", "WAGTAILBEAM_BOOT"])
            .env("WAGTAILBEAM_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.processes.push(process);
        Ok(())
    }
}

/// Accepts connections for ever, each on a thread of its own.
fn listen(address: SocketAddr, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> Result<()> {
    let listener = TcpListener::bind(address)?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    Ok(())
}

/// Makes one call over a new connection and returns the status; 0 without an answer.
fn call(address: SocketAddr, head: &str, body: &str) -> Result<u16> {
    let answer = exchange(address, head, body)?;
    Ok(answer.map_or(0, |answer| status_of(&answer)))
}

fn exchange(address: SocketAddr, head: &str, body: &str) -> Result<Option<Message>> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    write!(
        stream,
        "{head} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    read_message(&mut stream, &mut Vec::new())
}

fn status_of(answer: &Message) -> u16 {
    let status = answer.start.split(' ').nth(1);
    status.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// A client that keeps its connection and sends a request that isn't idempotent again and again.
fn run_client(address: SocketAddr, world: &World, stop: &AtomicBool, pause: Duration) {
    let mut connection = None;
    while !stop.load(Ordering::Relaxed) {
        let number = world.last_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("{number:016x}");
        let status = send(address, &mut connection, &id).unwrap_or(0);
        if status == 0 {
            connection = None;
        }
        world
            .record
            .add(format!("client attempt {id} at {address}: {status}"));
        world.answered.lock().unwrap().insert(id, status);
        thread::sleep(pause);
    }
}

fn send(address: SocketAddr, kept: &mut Option<TcpStream>, id: &str) -> Result<u16> {
    if kept.is_none() {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(4)))?;
        *kept = Some(stream);
    }
    let Some(stream) = kept else {
        return Ok(0);
    };
    let body = format!("order {id}");
    write!(
        stream,
        "POST /orders/{id} HTTP/1.1\r\nHost: {HOSTNAME}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 3000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let answer = read_message(stream, &mut Vec::new())?;
    let Some(answer) = answer else {
        return Ok(0);
    };
    let status = status_of(&answer);
    if answer.header("connection") == Some("close") {
        *kept = None;
    }
    Ok(status)
}

/// Time after the seeds at which the other voters start: all machines start within 0.3 s.
const START_SPREAD_MS: u64 = 290;

/// Replicas of the service, as `pass-wallet` has them.
const REPLICAS: u8 = 5;

/// The first manifest: one route that isn't idempotent.
fn manifest() -> String {
    format!(
        "{{\"Version\":1,\"Routes\":[{{\"Name\":\"orders\",\"Hostname\":\"{HOSTNAME}\",\"PathPrefix\":\"/orders/\",\"Type\":\"non_idempotent\",\"TimeoutMs\":3000,\"TargetLatencyMs\":500,\"Priority\":1,\"Service\":\"wallet\",\"MaxAttempts\":2}}],\"Services\":[{{\"Name\":\"wallet\",\"HealthPath\":\"/healthz\",\"MaxConnections\":100,\"Protocol\":\"h1\",\"Tls\":false,\"WarmupS\":3.0,\"WarmupPerS\":0.0}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}"
    )
}

/// Starts everything, sends requests for a while and returns what was seen; `None` if the tier
/// doesn't serve.
fn play(fault: Fault, faulty_replicas: u8, trouble_s: f64) -> Option<Arc<World>> {
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let mut deployment = Deployment::new()?;
    let world = Arc::new(World {
        record: Record {
            started: Instant::now(),
            lines: Mutex::default(),
        },
        faulty: AtomicBool::new(false),
        answers: AtomicU64::new(0),
        spoiled: AtomicU64::new(0),
        runs: Mutex::default(),
        answered: Mutex::default(),
        last_id: AtomicU64::new(1),
        stamp: AtomicU64::new(1),
    });
    let mut entries = Vec::new();
    for index in 1..=REPLICAS {
        let (id, address) = (format!("i-{index:04x}"), deployment.address(3, index, 0));
        entries.push(format!(
            "{{\"Id\":\"{id}\",\"Service\":\"wallet\",\"Address\":\"{address}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\",\"WarmupLeftMs\":0}}",
            ZONES[usize::from(index) % ZONES.len()]
        ));
        let fault = if index <= faulty_replicas {
            fault
        } else {
            Fault::None
        };
        let world = world.clone();
        listen(address, move |stream| {
            drop(serve_replica(stream, &id, fault, &world))
        })
        .ok()?;
    }
    let list = format!(
        "{{\"Instances\":[{}],\"NextPageToken\":null}}",
        entries.join(",")
    );
    listen(deployment.address(4, 1, 0), move |mut stream| {
        let mut rest = Vec::new();
        while let Ok(Some(_)) = read_message(&mut stream, &mut rest) {
            let sent = write!(stream, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            if sent.is_err() {
                return;
            }
        }
    })
    .ok()?;
    for index in 1..=VOTERS {
        deployment.start(1, index).ok()?;
    }
    for index in 1..=ENTRIES {
        deployment.start(2, index).ok()?;
    }
    let manifest = manifest();
    let wait = Instant::now();
    let mut turn = 0;
    while !matches!(
        call(
            deployment.address(1, turn % VOTERS + 1, 0),
            "PUT /wagtailbeam/config",
            &manifest
        ),
        Ok(200)
    ) {
        turn = turn.wrapping_add(1);
        if wait.elapsed() > Duration::from_secs(20) {
            return None;
        }
        thread::sleep(Duration::from_millis(100));
    }
    for index in 1..=ENTRIES {
        while !matches!(
            call(
                deployment.address(2, index, 3),
                "GET /wagtailbeam/readyz",
                ""
            ),
            Ok(200)
        ) {
            if wait.elapsed() > Duration::from_secs(30) {
                return None;
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
    thread::sleep(Duration::from_secs(1));
    let stop = Arc::new(AtomicBool::new(false));
    let clients = (0..12).map(|client: u8| {
        let address = deployment.address(2, client % ENTRIES + 1, 2);
        let (world, stop) = (world.clone(), stop.clone());
        thread::spawn(move || run_client(address, &world, &stop, Duration::from_millis(100)))
    });
    let clients = clients.collect::<Vec<_>>();
    thread::sleep(Duration::from_secs(4));
    if trouble {
        world.record.add("the trouble begins".to_owned());
        world.faulty.store(true, Ordering::Relaxed);
    }
    thread::sleep(Duration::from_secs_f64(trouble_s));
    if trouble {
        world.record.add("the trouble ends".to_owned());
    }
    world.faulty.store(false, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok()?;
    }
    thread::sleep(Duration::from_millis(500));
    Some(world)
}

/// A voter loses its disk right after it has acknowledged the first manifest, and comes back after
/// 3 s with an empty one. Returns what the operator read at the end of 60 s; `None` if the case
/// couldn't run.
fn lose_first_disk(folder: &Path) -> Option<bool> {
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let mut deployment = Deployment::new()?;
    let record = Record {
        started: Instant::now(),
        lines: Mutex::default(),
    };
    listen(deployment.address(4, 1, 0), |mut stream| {
        let mut rest = Vec::new();
        let list = "{\"Instances\":[],\"NextPageToken\":null}";
        while let Ok(Some(_)) = read_message(&mut stream, &mut rest) {
            let sent = write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{list}",
                list.len()
            );
            if sent.is_err() {
                return;
            }
        }
    })
    .ok()?;
    for index in 1..=3 {
        deployment.start(1, index).ok()?;
    }
    record.add("voters 1 to 3, the seeds, started".to_owned());
    let mut late = Some(Instant::now() + Duration::from_millis(START_SPREAD_MS));
    let (manifest, mut turn) = (manifest(), 0);
    let acknowledged_by = loop {
        if late.is_some_and(|at| at <= Instant::now()) {
            late = None;
            for index in 4..=VOTERS {
                deployment.start(1, index).ok()?;
            }
            record.add("voters 4 and 5 started".to_owned());
        }
        let index = turn % 3 + 1;
        turn += 1;
        let status = call(
            deployment.address(1, index, 0),
            "PUT /wagtailbeam/config",
            &manifest,
        );
        if let Ok(status) = status {
            record.add(format!(
                "operator: PUT of version 1 at voter {index}: {status}"
            ));
        }
        if matches!(status, Ok(200)) {
            break index;
        }
        if record.started.elapsed() > Duration::from_secs(20) {
            return None;
        }
        thread::sleep(Duration::from_millis(20));
    };
    if trouble {
        let process = &mut deployment.processes[usize::from(acknowledged_by) - 1];
        process.kill().ok()?;
        process.wait().ok()?;
        let data = deployment.folder.join(format!("data-{acknowledged_by}"));
        std::fs::remove_dir_all(data).ok()?;
        record.add(format!("voter {acknowledged_by} killed, its disk is lost"));
    }
    let rest = late.map_or(Duration::ZERO, |at| {
        at.saturating_duration_since(Instant::now())
    });
    thread::sleep(rest);
    if late.is_some() {
        for index in 4..=VOTERS {
            deployment.start(1, index).ok()?;
        }
        record.add("voters 4 and 5 started".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    if trouble {
        deployment.start_as(1, acknowledged_by, false).ok()?;
        record.add(format!(
            "voter {acknowledged_by} started with an empty disk"
        ));
    }
    let mut read_at_end = false;
    while record.started.elapsed() < Duration::from_secs(60) {
        thread::sleep(Duration::from_secs(1));
        for index in 1..=VOTERS {
            let answer = exchange(
                deployment.address(1, index, 0),
                "GET /wagtailbeam/config",
                "",
            );
            let answer = answer.ok().flatten();
            let status = answer.as_ref().map_or(0, status_of);
            record.add(format!("operator: GET at voter {index}: {status}"));
            let held = answer.is_some_and(|answer| answer.body == manifest.as_bytes());
            let at_end = record.started.elapsed() > Duration::from_secs(50);
            read_at_end |= at_end && status == 200 && held;
        }
    }
    let verdict = match read_at_end {
        true => "the acknowledged manifest was read back".to_owned(),
        false => "CONFIG: the acknowledged manifest can't be read back at any voter".to_owned(),
    };
    println!("{verdict}");
    record.write(folder, &[verdict]).ok()?;
    Some(read_at_end)
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("lab CASE FOLDER");
        std::process::exit(2);
    };
    if case == "first-disk" {
        let held = lose_first_disk(Path::new(&folder));
        std::process::exit(held.map_or(2, |held| i32::from(!held)));
    }
    let world = match case.as_str() {
        "late-bytes" => play(Fault::LateBytes, 3, 5.0),
        "fails-503" => play(Fault::Fails(503), 1, 6.5),
        _ => None,
    };
    let Some(world) = world else {
        eprintln!("the case couldn't run");
        std::process::exit(2);
    };
    let (runs, answered) = (world.runs.lock().unwrap(), world.answered.lock().unwrap());
    let served = answered.values().filter(|status| **status == 200).count();
    let twice = runs.iter().filter(|(_, replicas)| replicas.len() > 1);
    let twice =
        twice.map(|(id, replicas)| format!("TWICE: {id} ran on {}", replicas.join(" and ")));
    let twice = twice.collect::<Vec<_>>();
    let promised = answered
        .iter()
        .filter(|(id, status)| matches!(status, 408 | 421 | 429 | 503) && runs.contains_key(*id));
    let promised = promised.map(|(id, status)| {
        format!(
            "REFUSED: {id} was answered {status} and ran on {}",
            runs[id].join(" and ")
        )
    });
    let promised = promised.collect::<Vec<_>>();
    let broken = match case.as_str() {
        "late-bytes" => &twice,
        _ => &promised,
    };
    let mut verdict = vec![format!(
        "{} client attempts, {served} served; {} answers spoiled; {} ran more than once, {} answered as not run that ran",
        answered.len(),
        world.spoiled.load(Ordering::Relaxed),
        twice.len(),
        promised.len()
    )];
    verdict.extend(twice.iter().chain(&promised).cloned());
    println!("{}", verdict.join("\n"));
    let written = world.record.write(Path::new(&folder), &verdict);
    if written.is_err() || served == 0 {
        std::process::exit(2);
    }
    std::process::exit(i32::from(!broken.is_empty()));
}
