//! Daemons for development: their settings, and threads that run them.

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

/// Key of the operators of a development fleet.
pub const OPERATOR_KEY: &str = "operator-key-for-development";

/// Key of the peers of a development fleet.
pub const PEER_KEY: &str = "peer-key-for-development";

/// Failure domains of a development fleet.
pub const DOMAINS: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Addresses and folder of one daemon.
#[derive(Clone, Debug)]
pub struct Host {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For peers.
    pub peer: SocketAddr,
    /// Data folder of a voter.
    pub data: Option<PathBuf>,
}

/// Plans `count` hosts, the first `voters` of them with a folder below `folder`.
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

/// The settings file of `hosts[index]`; the key file `peer.key` stands beside it.
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

/// The settings of `hosts[index]`.
///
/// # Panics
///
/// If the settings have faults.
pub fn config(hosts: &[Host], index: usize) -> Config {
    let read_key = |_: &str| Ok(PEER_KEY.as_bytes().to_vec());
    let mut config =
        Config::parse(&settings(hosts, index), read_key).expect("settings without faults");
    config.drain = Span::from_ms(300);
    config
}

/// A daemon on a thread of its own.
pub struct Daemon {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon; a voter's folder must have been formatted.
    ///
    /// # Panics
    ///
    /// If the daemon can't run.
    pub fn start(config: Config) -> Daemon {
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let run = async move {
                let sockets = node::Sockets::bind(&config).await.expect("free addresses");
                node::run(config, sockets, stopped)
                    .await
                    .expect("a daemon that runs");
            };
            runtime.expect("a runtime").block_on(run);
        });
        Daemon {
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    /// Stops it as planned and waits for its end.
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

/// A client of a daemon's operators' port.
pub fn client(host: &Host) -> Client {
    Client {
        address: host.admin,
        key: OPERATOR_KEY.to_owned(),
    }
}

/// A service of a development file.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Lines of limits and policy.
    pub options: String,
    /// Addresses of replicas by shard.
    pub shards: Vec<Vec<SocketAddr>>,
}

impl Service {
    /// A service whose shards have `replicas` following servers of `cluster` each.
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

/// The operators' file of a development fleet; `out` names the failure domains out.
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

/// The bearer key of a caller.
pub fn caller_key(caller: &str) -> String {
    format!("key-of-{caller}")
}

/// The failure domain of a replica.
pub fn domain_of(shard: usize, replica: usize) -> &'static str {
    DOMAINS[(shard + replica) % DOMAINS.len()]
}
