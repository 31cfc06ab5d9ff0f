//! A development fleet: addresses, settings and manifests of its daemons, and daemons
//! that run on threads of the current process.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::thread::JoinHandle;

use tokio::sync::oneshot;
use wagtailbeam_adapter::client::Client;
use wagtailbeam_adapter::node;
use wagtailbeam_adapter::settings::Config;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::digest::Digest;

use crate::backend::Cluster;
use crate::port;

/// Bearer key of the operators of a development fleet.
pub const OPERATOR_KEY: &str = "operator-key-for-development";

/// Key that the daemons of a development fleet share for their peer connections.
pub const PEER_KEY: &str = "peer-key-for-development";

/// Failure domains of a development fleet, assigned round-robin to hosts and replicas.
pub const DOMAINS: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Name, failure domain, listening addresses and data folder of one daemon.
#[derive(Clone, Debug)]
pub struct Host {
    /// Host name, `entry-1` for the first host.
    pub name: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Address that listens for callers.
    pub callers: SocketAddr,
    /// Address that listens for operators.
    pub admin: SocketAddr,
    /// Address that listens for peers.
    pub peer: SocketAddr,
    /// Data folder; `None` for a host that is not a voter.
    pub data: Option<PathBuf>,
}

/// Allocates free ports for `count` hosts. The first `voters` of them are voters with
/// data folders below `folder`. Nothing is started or created.
///
/// # Panics
///
/// If no port is free.
pub fn allocate(count: usize, voters: usize, folder: &Path) -> Vec<Host> {
    let reserved = (0..count * 3).map(|_| port::reserve()).collect::<Vec<_>>();
    let hosts = reserved.chunks(3).enumerate().map(|(index, ports)| Host {
        name: format!("entry-{}", index + 1),
        domain: DOMAINS[index % DOMAINS.len()].to_owned(),
        callers: ports[0].0,
        admin: ports[1].0,
        peer: ports[2].0,
        data: (index < voters).then(|| folder.join(format!("entry-{}", index + 1))),
    });
    hosts.collect()
}

/// The text of the settings file of `hosts[index]`. It expects the peer key in `peer.key`
/// in the same folder.
pub fn settings(hosts: &[Host], index: usize) -> String {
    let host = &hosts[index];
    let mut text = format!("[daemon]\nhost = {}\ndomain = {}\n", host.name, host.domain);
    if let Some(data) = &host.data {
        let _ = writeln!(text, "data = {}", data.display());
    }
    let _ = write!(
        text,
        "\n[listen]\ncallers = {}\nadmin = {}\npeer = {}\n\n[voters]\n",
        host.callers, host.admin, host.peer
    );
    for voter in hosts.iter().filter(|host| host.data.is_some()) {
        let _ = writeln!(text, "{} = {}", voter.name, voter.peer);
    }
    let digest = Digest::of(OPERATOR_KEY.as_bytes());
    let _ = write!(
        text,
        "\n[peers]\nkey_file = peer.key\n\n[operators]\nkey_digest = {digest}\n\n\
         [limits]\ndrain = 3s\nstop_max = 20s\n"
    );
    text
}

/// The parsed settings of `hosts[index]`, with the drain time shortened to 300 ms.
///
/// # Panics
///
/// If the settings are invalid.
pub fn config(hosts: &[Host], index: usize) -> Config {
    let read_key = |_: &str| Ok(PEER_KEY.as_bytes().to_vec());
    let mut config =
        Config::parse(&settings(hosts, index), read_key).expect("generated settings are valid");
    config.drain = Span::from_ms(300);
    config
}

/// A daemon that runs on its own thread; dropping it stops the daemon.
pub struct Daemon {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon. The data folder of a voter must be formatted before. If the
    /// daemon cannot bind its addresses or fails later, its thread panics.
    pub fn start(config: Config) -> Daemon {
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let run = async move {
                let sockets = node::Sockets::bind(&config)
                    .await
                    .expect("the addresses of the daemon are free");
                node::run(config, sockets, stopped)
                    .await
                    .expect("the daemon runs without error");
            };
            runtime.expect("the runtime starts").block_on(run);
        });
        Daemon {
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    /// Stops the daemon gracefully and waits until its thread has ended.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            stop.send(()).unwrap_or_default();
        }
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.stop();
    }
}

/// An operators' client for the daemon on `host`.
pub fn client(host: &Host) -> Client {
    Client {
        address: host.admin,
        key: OPERATOR_KEY.to_owned(),
    }
}

/// A service of a development manifest.
#[derive(Clone, Debug)]
pub struct Service {
    /// Service name.
    pub name: String,
    /// Limits and policy: lines `key = value`, each ended by a newline.
    pub options: String,
    /// Addresses of the replicas of each shard.
    pub shards: Vec<Vec<SocketAddr>>,
}

impl Service {
    /// A service over all servers of `cluster`, with `replicas` consecutive servers for
    /// each shard.
    ///
    /// # Panics
    ///
    /// If `replicas` is zero.
    pub fn of(name: &str, options: &str, cluster: &Cluster, replicas: usize) -> Service {
        let addresses = cluster
            .servers
            .iter()
            .map(|server| server.address)
            .collect::<Vec<_>>();
        Service {
            name: name.to_owned(),
            options: options.to_owned(),
            shards: addresses.chunks(replicas).map(<[_]>::to_vec).collect(),
        }
    }
}

/// The operators' file of a development fleet. Each of `callers` may use all services;
/// the failure domains in `domains_out` have the state `out`.
pub fn manifest(
    version: u64,
    services: &[Service],
    callers: &[&str],
    domains_out: &[&str],
) -> String {
    let mut text = format!("[manifest]\nversion = {version}\n");
    for domain in DOMAINS {
        let state = if domains_out.contains(&domain) {
            "out"
        } else {
            "in"
        };
        let _ = write!(text, "\n[domain {domain}]\nstate = {state}\n");
    }
    let names = services
        .iter()
        .map(|service| service.name.as_str())
        .collect::<Vec<_>>();
    for caller in callers {
        let digest = Digest::of(caller_key(caller).as_bytes());
        let names = names.join(", ");
        let _ = write!(
            text,
            "\n[caller {caller}]\nkey_digest = {digest}\nservices = {names}\n"
        );
    }
    for service in services {
        let _ = write!(text, "\n[service {}]\n{}", service.name, service.options);
        for (shard, replicas) in service.shards.iter().enumerate() {
            let replicas = replicas.iter().enumerate();
            let replicas = replicas
                .map(|(replica, address)| format!("{address}@{}", domain_of(shard, replica)));
            let _ = writeln!(
                text,
                "shard.{shard:02} = {}",
                replicas.collect::<Vec<_>>().join(", ")
            );
        }
    }
    text
}

/// The bearer key of a caller in manifests made by [`manifest`].
pub fn caller_key(caller: &str) -> String {
    format!("key-of-{caller}")
}

/// The failure domain of a replica, from the positions of its shard and of the replica in
/// the shard. Replicas of one shard are in different domains, up to one for each domain.
pub fn domain_of(shard: usize, replica: usize) -> &'static str {
    DOMAINS[(shard + replica) % DOMAINS.len()]
}
