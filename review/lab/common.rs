//! Parts that all scripts of this review share: daemons as processes, stand-ins for the
//! platform, the operator, the clients and the replicas. Standard library only.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const ZONES: [&str; 3] = ["erie-shore", "huron-bay", "michigan-dunes"];

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The numbers are those of Linux on x86-64 and arm64.
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Record of what was sent, answered and run.
#[derive(Clone)]
pub struct Log {
    start: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Log {
    pub fn new() -> Log {
        Log {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn add(&self, text: impl Into<String>) {
        let at = self.now();
        self.lines.lock().unwrap().push((at, text.into()));
    }

    pub fn say(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{:>7} ms  {text}", self.now());
        self.add(text);
    }

    pub fn save(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{at:>7} {line}\n"))
            .collect();
        std::fs::write(path, text).expect("record can't be written");
    }
}

/// A small source of random numbers.
pub struct Random(u64);

impl Random {
    pub fn new() -> Random {
        let now = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap();
        Random(now.as_nanos() as u64 ^ (u64::from(std::process::id()) << 32) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// One HTTP message: first line, headers in lower case, body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads one message with a length, or without a body. `None` at the end of the connection.
pub fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0u8; 16 * 1024];
    let end = loop {
        if let Some(at) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(n) => rest.extend_from_slice(&chunk[..n]),
        }
    };
    let head = String::from_utf8_lossy(&rest[..end]).to_string();
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or("").to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.trim().to_lowercase(), v.trim().to_owned()))
        .collect();
    let length: usize = headers
        .get("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    rest.drain(..end + 4);
    while rest.len() < length {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(n) => rest.extend_from_slice(&chunk[..n]),
        }
    }
    let body = rest.drain(..length).collect();
    Some(Message {
        first,
        headers,
        body,
    })
}

/// One call on a new connection; `None` without a complete answer within `limit`.
pub fn call(to: SocketAddr, request: &[u8], limit: Duration) -> Option<Message> {
    let started = Instant::now();
    let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    let left = limit
        .saturating_sub(started.elapsed())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    stream.set_write_timeout(Some(left)).ok()?;
    stream.write_all(request).ok()?;
    read_message(&mut stream, &mut Vec::new())
}

/// A daemon's machine: an address of its own on the loopback network.
pub struct Machine {
    pub name: String,
    pub ip: String,
    pub zone: &'static str,
    pub voter: bool,
    child: Option<Child>,
}

/// Ports, which are the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub callers: u16,
    pub ready: u16,
    pub peer_entry: u16,
    pub peer_voter: u16,
    pub operators: u16,
    pub metrics: u16,
}

/// A small deployment. The bounds are those of the site calm-lakes.
pub struct Site {
    pub folder: PathBuf,
    pub machines: Vec<Machine>,
    pub ports: Ports,
    net: String,
    list: SocketAddr,
    pub entries: Arc<Mutex<Vec<Entry>>>,
    pub log: Log,
}

/// A replica in the platform's list.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub zone: &'static str,
    pub address: SocketAddr,
    pub slots: u32,
}

impl Site {
    /// Five voters and `entries` entry hosts on free addresses and ports; none is started.
    pub fn new(entries: usize, log: Log) -> Site {
        let mut random = Random::new();
        let (net, base) = loop {
            let net = format!(
                "127.{}.{}",
                20 + random.next() % 200,
                1 + random.next() % 250
            );
            let base = 20_000 + (random.next() % 10_000) as u16;
            let last = 10 + 5 + entries;
            let free = (1..last).all(|host| {
                (0..8).all(|port| TcpListener::bind((format!("{net}.{host}"), base + port)).is_ok())
            });
            if free {
                break (net, base);
            }
        };
        let folder = std::env::temp_dir().join(format!("wtb-review-{}-{base}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let ports = Ports {
            callers: base,
            ready: base + 1,
            peer_entry: base + 2,
            peer_voter: base + 3,
            operators: base + 4,
            metrics: base + 5,
        };
        let machine = |name: String, host: usize, zone: usize, voter: bool| Machine {
            name,
            ip: format!("{net}.{host}"),
            zone: ZONES[zone % 3],
            voter,
            child: None,
        };
        let mut machines = Vec::new();
        for i in 0..5 {
            machines.push(machine(format!("core-{}", i + 1), 10 + i, i, true));
        }
        for i in 0..entries {
            machines.push(machine(format!("edge-{}", i + 1), 15 + i, i, false));
        }
        let listener = TcpListener::bind((format!("{net}.2"), base)).unwrap();
        let list = listener.local_addr().unwrap();
        let listed: Arc<Mutex<Vec<Entry>>> = Arc::default();
        let served = listed.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                std::thread::spawn(move || serve_list(stream, &served));
            }
        });
        Site {
            folder,
            machines,
            ports,
            net,
            list,
            entries: listed,
            log,
        }
    }

    /// The same with a sixth voter at the end, which is not among the first ones.
    pub fn with_spare(entries: usize, log: Log) -> Site {
        let mut site = Site::new(entries + 1, log);
        let last = site.machines.last_mut().unwrap();
        (last.name, last.voter) = ("core-6".to_owned(), true);
        site
    }

    /// A free address for a replica: `127.a.b.(100 + n)`.
    pub fn replica_listener(&self, n: usize) -> TcpListener {
        TcpListener::bind((format!("{}.{}", self.net, 100 + n), self.ports.callers)).unwrap()
    }

    pub fn at(&self, machine: usize, port: u16) -> SocketAddr {
        format!("{}:{port}", self.machines[machine].ip)
            .parse()
            .unwrap()
    }

    pub fn voter(&self, n: usize) -> SocketAddr {
        self.at(n, self.ports.operators)
    }

    pub fn entry(&self, n: usize) -> SocketAddr {
        self.at(5 + n, self.ports.callers)
    }

    /// The settings as the templates in `platform/` render them.
    fn settings(&self, machine: usize, found: bool) -> String {
        let m = &self.machines[machine];
        let Ports {
            callers,
            ready,
            peer_entry,
            peer_voter,
            operators,
            metrics,
        } = self.ports;
        let seeds: Vec<_> = self.machines[..3]
            .iter()
            .map(|v| format!("{}:{operators}", v.ip))
            .collect();
        let (name, zone, ip) = (&m.name, m.zone, &m.ip);
        let role = if m.voter { "voter" } else { "entry" };
        let mut text = format!(
            "[host]\nname = {name}\ndomain = {zone}\ndomains = {}\nrole = {role}\n",
            ZONES.join(",")
        );
        if m.voter {
            let data = self.folder.join(name).display().to_string();
            text += &format!(
                "data = {data}\n\n[listen]\noperators = {ip}:{operators}\npeer = {ip}:{peer_voter}\n"
            );
        } else {
            text += &format!(
                "\n[listen]\ncallers = {ip}:{callers}\nready = {ip}:{ready}\npeer = {ip}:{peer_entry}\n"
            );
        }
        text += &format!(
            "metrics = {ip}:{metrics}\n\n[voters]\nseeds = {}\nport = {peer_voter}\nlosses = 2\n",
            seeds.join(",")
        );
        if m.voter {
            text += &format!("found = {found}\n");
        }
        text += &format!("\n[list]\naddress = {}\nlag = 800ms\n\n", self.list);
        if m.voter {
            text += "[rollout]\n\n\n\n";
        } else {
            text += "[extra]\nratio = 0.2\nslack = 56\nwindow = 10s\n\n[cold]\noverage = 1.5\nslack = 5\n\n\n[stop]\nlongest = 6s\n";
        }
        if let Ok(filter) = std::env::var("LOG_FILTER") {
            text += &format!("\n[log]\nfilter = {filter}\n");
        }
        text
    }

    /// Starts a daemon with the command of the deploy file. `found`: the first start of the system.
    pub fn start(&mut self, machine: usize, found: bool) {
        let settings = self.settings(machine, found);
        let name = self.machines[machine].name.clone();
        let file = self.folder.join(format!("{name}.ini"));
        std::fs::write(&file, settings).unwrap();
        let out = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .unwrap();
        let child = Command::new("target/release/wagtailbeamd")
            .args(["--discover", "--settings-from", "WAGTAILBEAM_BOOT"])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("LANG", "C.UTF-8")
            .env("WAGTAILBEAM_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(out.try_clone().unwrap())
            .stderr(out)
            .spawn();
        match child {
            Ok(child) => self.machines[machine].child = Some(child),
            Err(error) => self.give_up(&format!("daemon not started: {error}")),
        }
        self.log.add(format!("start {name}"));
    }

    pub fn start_all(&mut self) {
        for machine in 0..self.machines.len() {
            self.start(machine, true);
        }
    }

    pub fn signal(&mut self, machine: usize, signal: i32) {
        let m = &mut self.machines[machine];
        let Some(child) = &mut m.child else { return };
        self.log.say(format!("signal {signal} to {}", m.name));
        unsafe { kill(child.id() as i32, signal) };
    }

    pub fn kill(&mut self, machine: usize) {
        self.signal(machine, SIGKILL);
        if let Some(mut child) = self.machines[machine].child.take() {
            drop(child.wait());
        }
    }

    /// Whether a daemon that should run has ended.
    pub fn ended(&mut self) -> Option<String> {
        for m in &mut self.machines {
            if let Some(child) = &mut m.child
                && let Ok(Some(status)) = child.try_wait()
            {
                return Some(format!("{} ended: {status}", m.name));
            }
        }
        None
    }

    pub fn is_ready(&self, n: usize) -> bool {
        let request = b"GET /wagtailbeam/readyz HTTP/1.1\r\nHost: a\r\n\r\n";
        let to = self.at(5 + n, self.ports.ready);
        call(to, request, Duration::from_millis(500)).is_some_and(|a| a.status() == 200)
    }

    /// Waits until all entry hosts are ready.
    pub fn wait_ready(&mut self) {
        let count = self.machines.len() - 5;
        let until = Instant::now() + Duration::from_secs(20);
        while !(0..count).all(|n| self.is_ready(n)) {
            if Instant::now() > until {
                self.give_up("the entry hosts don't become ready");
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        self.log.say("all entry hosts are ready");
    }

    /// Ends with exit code 2: the case couldn't run.
    pub fn give_up(&mut self, why: &str) -> ! {
        self.log.say(format!("could not run: {why}"));
        self.end(2)
    }

    /// Ends all daemons, writes the record and exits.
    pub fn end(&mut self, code: i32) -> ! {
        for m in &mut self.machines {
            if let Some(mut child) = m.child.take() {
                drop(child.kill());
                drop(child.wait());
            }
        }
        let path = std::env::args()
            .nth(2)
            .unwrap_or_else(|| "record.txt".to_owned());
        self.log.say(format!("exit {code}"));
        self.log.save(Path::new(&path));
        if std::env::var("KEEP").is_err() {
            drop(std::fs::remove_dir_all(&self.folder));
        } else {
            println!("logs: {}", self.folder.display());
        }
        std::process::exit(code)
    }
}

/// The platform's list of replicas, on one page.
fn serve_list(mut stream: TcpStream, entries: &Mutex<Vec<Entry>>) {
    let mut rest = Vec::new();
    while read_message(&mut stream, &mut rest).is_some() {
        let entries = entries.lock().unwrap().clone();
        let rows: Vec<_> = entries
            .iter()
            .map(|e| {
                format!(
                    "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":{},\"State\":\"ready\",\"WarmupLeftMs\":0,\"Id\":\"{}\",\"born\":1700000000000}}",
                    e.service, e.address, e.zone, e.slots, e.id
                )
            })
            .collect();
        let body = format!(
            "{{\"Instances\":[{}],\"NextPageToken\":null}}",
            rows.join(",")
        );
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// The operator: sends an order until a daemon acknowledges it, as PROTOCOL.md says. It tries the
/// voters in the order of `voters`, with increasing backoff, and waits a second for an answer
/// (more for a manifest). Returns the time of the acknowledgement.
pub fn order(site: &Site, method: &str, path: &str, body: &str, voters: &[usize]) -> Option<u64> {
    let wait = if body.is_empty() { 1_000 } else { 2_000 };
    let mut backoff = 100;
    for turn in 0..12 {
        let voter = voters[turn % voters.len()];
        let name = &site.machines[voter].name;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        site.log.say(format!("operator -> {name}: {method} {path}"));
        let answer = call(
            site.voter(voter),
            request.as_bytes(),
            Duration::from_millis(wait),
        );
        let status = answer.as_ref().map_or(0, Message::status);
        match status {
            0 => site.log.say(format!("operator: no answer of {name}")),
            _ => site.log.say(format!("operator <- {name}: {status}")),
        }
        if (200..300).contains(&status) {
            return Some(site.log.now());
        }
        std::thread::sleep(Duration::from_millis(backoff));
        backoff = (backoff * 2).min(1_000);
    }
    None
}

/// The manifest's text for these routes and services, with the limits of the pages' example.
pub fn manifest(version: u64, routes: &[String], services: &[String]) -> String {
    let services: Vec<_> = services
        .iter()
        .map(|name| {
            format!("{{\"Name\":\"{name}\",\"HealthPath\":\"/healthz\",\"MaxConnections\":51,\"Protocol\":\"h1\",\"Tls\":false,\"WarmupS\":3.0,\"WarmupPerS\":0.0}}")
        })
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
