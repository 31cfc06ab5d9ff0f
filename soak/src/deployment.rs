//! The layout of a run: how many processes and services there are, their addresses, and the
//! settings and configuration that they get.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use wagtailbeam_decision::name::Name;
use wagtailbeam_platform::encode::Configuration;

use crate::account::quota;
use crate::moved;

/// Number of voters.
pub const VOTERS: usize = 5;

/// Number of entry hosts of a run, unless its options say otherwise.
pub const ENTRY_HOSTS: usize = 4;

/// Most entry hosts of a run; each has an address of its own in the run's network.
pub const ENTRY_HOSTS_MAX: usize = 200;

/// Last byte of the first entry host's address.
const FIRST_ENTRY: u8 = 41;

/// Number of replicas of each service.
pub const REPLICAS_PER_SERVICE: usize = 3;

/// Numbers of shards to choose from: gathers from 6 shards are not split into branches,
/// gathers from 42 are.
const SHARD_COUNTS: [usize; 2] = [6, 42];

/// Length of a record in an answer, in bytes.
pub const RECORD_BYTES: usize = 16;

/// Maximum number of records in a merged answer.
pub const TOP_RECORDS: usize = 10;

/// Maximum number of replicas on which a request runs, for each shard.
pub const ATTEMPTS_MAX: u32 = 2;

/// Limit on extra requests to a service, as a share of the requests of callers. All entry
/// hosts together keep to it.
pub const EXTRA_RATIO: f64 = 0.2;

/// Extra requests to a service that are allowed beyond the ratio, in each window.
pub const EXTRA_SLACK: f64 = 40.0;

/// Length of the window to which the limit on extra requests applies.
pub const EXTRA_WINDOW: std::time::Duration = std::time::Duration::from_secs(10);

/// Value of the `Host` header in requests.
pub const HOSTNAME: &str = "soak.example";

/// Port of voters for the other daemons.
const VOTER_PORT: u16 = 7_380;

/// Port of entry hosts for the other daemons.
const ENTRY_PORT: u16 = 7_381;

/// Port of entry hosts for callers.
const CALLER_PORT: u16 = 8_104;

/// Port of voters for operators.
const OPERATOR_PORT: u16 = 8_106;

/// Port of entry hosts for readiness probes and operators' reports.
const READY_PORT: u16 = 8_108;

/// Port of entry hosts for metrics.
const METRICS_PORT: u16 = 7_390;

/// Runs of one process that may be under way at the same time, each in a network of its own.
const RUNS_AT_ONCE_MAX: u8 = 16;

/// Number of runs of this process so far; selects one of its networks.
static RUN_COUNTER: AtomicU8 = AtomicU8::new(0);

/// The addresses and services of a run. All addresses are in one /24 network of the
/// loopback range, which depends on the process id and the number of the run.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Second and third byte of all addresses; the first is 127.
    network: [u8; 2],
    /// Number of entry hosts.
    pub entry_hosts: usize,
    /// Services that gathers ask, one for each shard.
    pub shards: Vec<Name>,
    /// The service whose requests must run at most once.
    pub at_most_once: Name,
    /// Address of the endpoint that lists the replicas.
    pub list_address: SocketAddr,
    /// Whether configurations declare accounts, whose quotas entry hosts enforce with a tolerance.
    pub accounts: bool,
    /// Whether each version moves a route to another service.
    pub moves: bool,
}

/// The failure domain of the voter, entry host or replica with this index; the two domains
/// alternate.
pub fn domain(index: usize) -> Name {
    Name::from(["east", "west"][index % 2])
}

impl Deployment {
    /// Creates the deployment of a run with a random number of shards.
    pub fn random(rng: &mut ChaCha8Rng, entry_hosts: usize) -> Deployment {
        let count = SHARD_COUNTS[rng.random_range(0..SHARD_COUNTS.len())];
        Deployment::new(count, entry_hosts)
    }

    /// Creates the deployment of a run with this many shards.
    pub fn new(shards: usize, entry_hosts: usize) -> Deployment {
        let pid = std::process::id();
        let run = RUN_COUNTER.fetch_add(1, Ordering::Relaxed);
        let of_process = (pid / 200 % 16) as u8;
        let network = [
            16 + (pid % 200) as u8,
            of_process * RUNS_AT_ONCE_MAX + run % RUNS_AT_ONCE_MAX,
        ];
        let shards = (0..shards).map(|index| Name::from(format!("shard-{index}")));
        Deployment {
            network,
            entry_hosts: entry_hosts.min(ENTRY_HOSTS_MAX),
            shards: shards.collect(),
            at_most_once: Name::from("once"),
            list_address: address(network, 30, 8_500),
            accounts: false,
            moves: false,
        }
    }

    /// All services but those between which a route moves: the shards, then the at-most-once one.
    pub fn services(&self) -> impl Iterator<Item = &Name> {
        self.shards.iter().chain([&self.at_most_once])
    }

    /// The services between which a route moves.
    pub fn moved_services(&self) -> Vec<Name> {
        match self.moves {
            true => moved::services(),
            false => Vec::new(),
        }
    }

    /// The address for replicas and their proxies; port 0 lets the system pick a free port.
    pub fn backend_address(&self) -> SocketAddr {
        address(self.network, 31, 0)
    }

    /// The address of a voter for operators.
    pub fn operator_address(&self, voter: usize) -> SocketAddr {
        address(self.network, 1 + voter as u8, OPERATOR_PORT)
    }

    /// The address of an entry host for callers.
    pub fn caller_address(&self, entry: usize) -> SocketAddr {
        address(self.network, FIRST_ENTRY + entry as u8, CALLER_PORT)
    }

    /// The address of an entry host for readiness probes and operators' reports.
    pub fn ready_address(&self, entry: usize) -> SocketAddr {
        address(self.network, FIRST_ENTRY + entry as u8, READY_PORT)
    }

    /// The address of an entry host for metrics.
    pub fn metrics_address(&self, entry: usize) -> SocketAddr {
        address(self.network, FIRST_ENTRY + entry as u8, METRICS_PORT)
    }

    /// The address of an entry host for the other daemons.
    pub fn peer_address(&self, entry: usize) -> SocketAddr {
        address(self.network, FIRST_ENTRY + entry as u8, ENTRY_PORT)
    }

    /// The configuration with this version and without accounts; versions differ in nothing else but
    /// the route that moves.
    pub fn configuration(&self, version: u64) -> Configuration {
        Configuration {
            version,
            hostname: HOSTNAME.to_owned(),
            shards: self.shards.clone(),
            once: self.at_most_once.clone(),
            coverage_min: 0.8,
            top: TOP_RECORDS,
            attempts_max: ATTEMPTS_MAX,
            connections_max: 40,
            accounts: None,
            singles: match self.moves {
                true => moved::routes(version),
                false => Vec::new(),
            },
            services: self.moved_services(),
        }
    }

    /// The addresses of the first three voters, as the setting `seeds` lists them.
    fn voter_seeds(&self) -> String {
        let addresses = (0..3).map(|index| {
            address(self.network, 1 + index, VOTER_PORT)
                .ip()
                .to_string()
        });
        addresses.collect::<Vec<_>>().join(", ")
    }

    /// The settings file of a voter. `bootstrap` is true if the voters form a new group.
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

    /// The settings file of an entry host.
    pub fn entry_settings(&self, index: usize) -> String {
        let ip = address(self.network, FIRST_ENTRY + index as u8, 0).ip();
        let (domain, seeds, list) = (domain(index), self.voter_seeds(), self.list_address);
        let quota = match self.accounts {
            true => quota::settings(),
            false => String::new(),
        };
        format!(
            "[host]\nname = entry-{index}\ndomain = {domain}\nrole = entry\n\
             [listen]\ncallers = {ip}:{CALLER_PORT}\nready = {ip}:{READY_PORT}\n\
             peer = {ip}:{ENTRY_PORT}\nmetrics = {ip}:{METRICS_PORT}\n\
             [voters]\nseeds = {seeds}\nport = {VOTER_PORT}\nlosses = 2\n\
             [list]\naddress = {list}\nlag = 500ms\n\
             [extra]\nratio = {EXTRA_RATIO}\nslack = {EXTRA_SLACK}\nwindow = 10s\n\
             [stop]\nlongest = 4s\n{quota}"
        )
    }
}

fn address(network: [u8; 2], last_octet: u8, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, network[0], network[1], last_octet), port))
}
