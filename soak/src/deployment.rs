//! The processes of a run, their addresses and settings.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use wagtailbeam_decision::name::Name;
use wagtailbeam_platform::encode::Configuration;

/// Voters.
pub const VOTERS: usize = 5;

/// Entry hosts.
pub const ENTRIES: usize = 4;

/// Replicas of a service.
pub const REPLICAS: usize = 3;

/// Shards of a run whose gathers are not split, and of one whose are.
const SHARDS: [usize; 2] = [6, 42];

/// Length of a record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// Most records in a merged answer.
pub const TOP: usize = 10;

/// Most replicas on which a request runs, for each shard.
pub const ATTEMPTS_MAX: u32 = 2;

/// Limit on extra requests to a service: a share of callers' requests.
pub const EXTRA_RATIO: f64 = 0.2;

/// The same, beside that.
pub const EXTRA_SLACK: f64 = 40.0;

/// Window of the limit.
pub const EXTRA_WINDOW: std::time::Duration = std::time::Duration::from_secs(10);

/// Name that callers use.
pub const HOST: &str = "soak.example";

const VOTER_PORT: u16 = 7_380;

const ENTRY_PORT: u16 = 7_381;

const CALLER_PORT: u16 = 8_104;

const OPERATOR_PORT: u16 = 8_106;

const READY_PORT: u16 = 8_108;

static RUNS: AtomicU8 = AtomicU8::new(0);

/// The addresses and services of a run. All addresses are on loopback, in a network
/// of their own for each run.
#[derive(Clone, Debug)]
pub struct Deployment {
    network: [u8; 2],
    /// Services that hold the shards.
    pub shards: Vec<Name>,
    /// The service whose requests run at most once.
    pub once: Name,
    /// Where the list of replicas is served.
    pub list: SocketAddr,
}

/// The failure domain of the host at a place.
pub fn domain(at: usize) -> Name {
    Name::from(["east", "west"][at % 2])
}

impl Deployment {
    /// A deployment drawn for a run.
    pub fn draw(random: &mut ChaCha8Rng) -> Deployment {
        let pid = std::process::id();
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let network = [16 + (pid % 200) as u8, (pid / 200 % 64) as u8 * 4 + run % 4];
        let count = SHARDS[random.random_range(0..SHARDS.len())];
        let shards = (0..count).map(|at| Name::from(format!("shard-{at}")));
        Deployment {
            network,
            shards: shards.collect(),
            once: Name::from("once"),
            list: on(network, 30, 8_500),
        }
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Name> {
        self.shards.iter().chain([&self.once])
    }

    /// The address at which stand-ins listen, on any free port.
    pub fn stand(&self) -> SocketAddr {
        on(self.network, 31, 0)
    }

    /// Where a voter takes operators.
    pub fn operators(&self, voter: usize) -> SocketAddr {
        on(self.network, 1 + voter as u8, OPERATOR_PORT)
    }

    /// Where an entry host takes callers.
    pub fn callers(&self, entry: usize) -> SocketAddr {
        on(self.network, 11 + entry as u8, CALLER_PORT)
    }

    /// The configuration of this version.
    pub fn configuration(&self, version: u64) -> Configuration {
        Configuration {
            version,
            hostname: HOST.to_owned(),
            shards: self.shards.clone(),
            once: self.once.clone(),
            coverage_min: 0.8,
            top: TOP,
            attempts_max: ATTEMPTS_MAX,
            connections_max: 40,
        }
    }

    fn seeds(&self) -> String {
        let seeds = (0..3).map(|at| on(self.network, 1 + at, VOTER_PORT).ip().to_string());
        seeds.collect::<Vec<_>>().join(", ")
    }

    /// Settings of a voter. `found` tells whether the group starts for the first time.
    pub fn voter(&self, at: usize, data: &Path, found: bool) -> String {
        let ip = on(self.network, 1 + at as u8, 0).ip();
        let (data, domain, seeds, list) = (data.display(), domain(at), self.seeds(), self.list);
        format!(
            "[host]\nname = voter-{at}\ndomain = {domain}\nrole = voter\ndata = {data}\n\
             [listen]\noperators = {ip}:{OPERATOR_PORT}\npeer = {ip}:{VOTER_PORT}\n\
             [voters]\nseeds = {seeds}\nport = {VOTER_PORT}\nlosses = 2\nfound = {found}\n\
             [list]\naddress = {list}\nlag = 500ms\n"
        )
    }

    /// Settings of an entry host.
    pub fn entry(&self, at: usize) -> String {
        let ip = on(self.network, 11 + at as u8, 0).ip();
        let (domain, seeds, list) = (domain(at), self.seeds(), self.list);
        format!(
            "[host]\nname = entry-{at}\ndomain = {domain}\nrole = entry\n\
             [listen]\ncallers = {ip}:{CALLER_PORT}\nready = {ip}:{READY_PORT}\n\
             peer = {ip}:{ENTRY_PORT}\n\
             [voters]\nseeds = {seeds}\nport = {VOTER_PORT}\nlosses = 2\n\
             [list]\naddress = {list}\nlag = 500ms\n\
             [extra]\nratio = {EXTRA_RATIO}\nslack = {EXTRA_SLACK}\nwindow = 10s\n\
             [stop]\nlongest = 4s\n"
        )
    }
}

fn on(network: [u8; 2], host: u8, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, network[0], network[1], host), port))
}
