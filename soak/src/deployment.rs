//! The processes of a run, their addresses and settings.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use wagtailbeam_decision::name::Name;
use wagtailbeam_platform::stand::Configuration;

/// Voters.
pub const VOTERS: usize = 5;

/// Entry hosts.
pub const ENTRY_HOSTS: usize = 4;

/// Replicas of a service.
pub const REPLICAS_PER_SERVICE: usize = 3;

/// Shards of a run whose gathers are not split, and of one whose are.
const SHARD_COUNTS: [usize; 2] = [6, 42];

/// Length of a record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// Most records in a merged answer.
pub const TOP_RECORDS: usize = 10;

/// Most replicas on which a request runs, for each shard.
pub const ATTEMPTS_MAX: u32 = 2;

/// Limit on extra requests to a service: a share of callers' requests.
pub const EXTRA_RATIO: f64 = 0.2;

/// The same, beside that.
pub const EXTRA_SLACK: f64 = 40.0;

/// Window of the limit.
pub const EXTRA_WINDOW: std::time::Duration = std::time::Duration::from_secs(10);

/// Name that callers use.
pub const HOSTNAME: &str = "soak.example";

const VOTER_PORT: u16 = 7_380;

const ENTRY_PORT: u16 = 7_381;

const CALLER_PORT: u16 = 8_104;

const OPERATOR_PORT: u16 = 8_106;

const READY_PORT: u16 = 8_108;

static RUN_COUNTER: AtomicU8 = AtomicU8::new(0);

/// The addresses and services of a run. All addresses are on loopback, in a network
/// of their own for each run.
#[derive(Clone, Debug)]
pub struct Deployment {
    network: [u8; 2],
    /// Services that hold the shards.
    pub shards: Vec<Name>,
    /// The service whose requests run at most once.
    pub at_most_once: Name,
    /// Where the list of replicas is served.
    pub list_address: SocketAddr,
}

/// The failure domain of the host at a place.
pub fn domain(index: usize) -> Name {
    Name::from(["east", "west"][index % 2])
}

impl Deployment {
    /// A deployment drawn for a run.
    pub fn random(rng: &mut ChaCha8Rng) -> Deployment {
        let pid = std::process::id();
        let run = RUN_COUNTER.fetch_add(1, Ordering::Relaxed);
        let network = [16 + (pid % 200) as u8, (pid / 200 % 64) as u8 * 4 + run % 4];
        let count = SHARD_COUNTS[rng.random_range(0..SHARD_COUNTS.len())];
        let shards = (0..count).map(|index| Name::from(format!("shard-{index}")));
        Deployment {
            network,
            shards: shards.collect(),
            at_most_once: Name::from("once"),
            list_address: address(network, 30, 8_500),
        }
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Name> {
        self.shards.iter().chain([&self.at_most_once])
    }

    /// The address at which stand-ins listen, on any free port.
    pub fn backend_address(&self) -> SocketAddr {
        address(self.network, 31, 0)
    }

    /// Where a voter takes operators.
    pub fn operator_address(&self, voter: usize) -> SocketAddr {
        address(self.network, 1 + voter as u8, OPERATOR_PORT)
    }

    /// Where an entry host takes callers.
    pub fn caller_address(&self, entry: usize) -> SocketAddr {
        address(self.network, 11 + entry as u8, CALLER_PORT)
    }

    /// The configuration of this version.
    pub fn configuration(&self, version: u64) -> Configuration {
        Configuration {
            version,
            host: HOSTNAME.to_owned(),
            shards: self.shards.clone(),
            once: self.at_most_once.clone(),
            coverage_min: 0.8,
            top: TOP_RECORDS,
            attempts_max: ATTEMPTS_MAX,
            connections_max: 40,
        }
    }

    fn voter_seeds(&self) -> String {
        let addresses = (0..3).map(|index| {
            address(self.network, 1 + index, VOTER_PORT)
                .ip()
                .to_string()
        });
        addresses.collect::<Vec<_>>().join(", ")
    }

    /// Settings of a voter. `bootstrap` tells whether the group starts for the first time.
    pub fn voter_settings(&self, index: usize, data: &Path, bootstrap: bool) -> String {
        let ip = address(self.network, 1 + index as u8, 0).ip();
        let (data, domain, seeds, list) = (
            data.display(),
            domain(index),
            self.voter_seeds(),
            self.list_address,
        );
        format!(
            "[host]\nname = voter-{index}\ndomain = {domain}\nrole = voter\ndata = {data}\n\
             [listen]\noperators = {ip}:{OPERATOR_PORT}\npeer = {ip}:{VOTER_PORT}\n\
             [voters]\nseeds = {seeds}\nport = {VOTER_PORT}\nlosses = 2\nfound = {bootstrap}\n\
             [list]\naddress = {list}\nlag = 500ms\n"
        )
    }

    /// Settings of an entry host.
    pub fn entry_settings(&self, index: usize) -> String {
        let ip = address(self.network, 11 + index as u8, 0).ip();
        let (domain, seeds, list) = (domain(index), self.voter_seeds(), self.list_address);
        format!(
            "[host]\nname = entry-{index}\ndomain = {domain}\nrole = entry\n\
             [listen]\ncallers = {ip}:{CALLER_PORT}\nready = {ip}:{READY_PORT}\n\
             peer = {ip}:{ENTRY_PORT}\n\
             [voters]\nseeds = {seeds}\nport = {VOTER_PORT}\nlosses = 2\n\
             [list]\naddress = {list}\nlag = 500ms\n\
             [extra]\nratio = {EXTRA_RATIO}\nslack = {EXTRA_SLACK}\nwindow = 10s\n\
             [stop]\nlongest = 4s\n"
        )
    }
}

fn address(network: [u8; 2], last_octet: u8, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, network[0], network[1], last_octet), port))
}
