//! The status report of one daemon: its own state and its view of the other daemons.
//!
//! The loop in [`crate::node`] builds a [`Status`] from a [`Source`] when an operator asks for
//! it; the operators' client decodes and prints it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::daemon::Daemon;
use wagtailbeam_decision::entry::Counts;
use wagtailbeam_decision::limiter::Health;
use wagtailbeam_decision::name::Name;

use crate::settings::Config;

/// A daemon of the group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Host on which the daemon runs.
    pub host: Name,
    /// Failure domain of the host.
    pub domain: Name,
    /// Address of the daemon's operators' port.
    pub admin: SocketAddr,
    /// Version of the file that the daemon has in force; zero for none.
    pub version: u64,
    /// Whether the daemon takes no replicas: it is stopping, or can't reach the servers.
    pub leaving: bool,
}

/// A voter's state as observed by the reporting daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Voter {
    /// Host on which the voter runs.
    pub host: Name,
    /// `voting`, `not voting`, or `silent` if no recent answer arrived.
    pub state: String,
}

/// A replica that is not ready or has no owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Replica {
    /// Service of the replica.
    pub service: Name,
    /// Shard of the replica.
    pub shard: Name,
    /// Address of the backend server.
    pub address: String,
    /// Host of the owner; empty if no owner is known.
    pub owner: Name,
    /// `ready`, `cold`, `draining`, `stalled` or `no owner`.
    pub state: String,
}

/// A replica owned by the reporting daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Owned {
    /// Address of the backend server.
    pub address: String,
    /// `ready`, `cold`, `draining` or `stalled`.
    pub state: String,
    /// Sub-requests running at the server.
    pub running: usize,
    /// Sub-requests queued at the owner.
    pub waiting: usize,
    /// Most sub-requests allowed to run at the server at once.
    pub limit: u32,
}

/// A request that was suspected of making backend servers fail, with its standing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// Digest that identifies equal requests.
    pub fingerprint: String,
    /// `suspect`, `cleared` or `quarantined`.
    pub standing: String,
}

/// The status report of one daemon.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Host of the reporting daemon.
    pub host: Name,
    /// Version of the file that the daemon has in force; zero for none.
    pub version: u64,
    /// Whether the daemon holds a lease: a majority of voters confirms that the version is the
    /// newest.
    pub leased: bool,
    /// Whether the load balancer should send callers to this daemon.
    pub ready: bool,
    /// Reasons why the daemon isn't ready; empty if it is.
    pub causes: Vec<String>,
    /// Daemons that are alive.
    pub members: Vec<Member>,
    /// Configured voters.
    pub voters: Vec<Voter>,
    /// Mode of the voter on this daemon's host; absent on other hosts.
    pub voter_mode: Option<String>,
    /// Number of keys stored by the voter on this host; zero on other hosts.
    pub voter_keys: usize,
    /// Failure domains that the file in force takes out of service.
    pub domains_out: Vec<Name>,
    /// Replicas that are not ready or have no owner.
    pub replicas: Vec<Replica>,
    /// Replicas owned by this daemon.
    pub owned: Vec<Owned>,
    /// Requests that are or were suspected of making backend servers fail.
    pub suspects: Vec<Suspect>,
    /// Numbers of sub-requests since the start of the process.
    pub counts: Counts,
    /// Open connections to backend servers.
    pub connections: u32,
}

impl Status {
    /// Number of daemons that have at least `version` in force.
    pub fn count_in_force(&self, version: u64) -> usize {
        self.members
            .iter()
            .filter(|member| member.version >= version)
            .count()
    }
}

/// Input of a status report.
pub struct Source<'a> {
    /// Time since the start of the process.
    pub now: Time,
    /// Settings of the daemon.
    pub config: &'a Config,
    /// State of the daemon.
    pub daemon: &'a Daemon,
    /// Open connections to backend servers.
    pub connections: u32,
    /// Whether a planned stop has begun.
    pub stopping: bool,
}

impl Source<'_> {
    /// Builds the status report.
    pub fn status(&self) -> Status {
        let now = self.now;
        let manifest = self.daemon.manifest();
        let members = self.daemon.members().iter().map(|member| Member {
            host: member.host.clone(),
            domain: member.domain.clone(),
            admin: member.admin,
            version: member.version,
            leaving: member.leaving,
        });
        let domains_out = manifest
            .domains
            .iter()
            .filter(|(name, _)| !manifest.is_domain_in_service(name));
        let owned = self
            .daemon
            .owner
            .replicas()
            .map(|(address, limiter)| Owned {
                address: address.to_string(),
                state: limiter.health().to_string(),
                running: limiter.running(),
                waiting: limiter.waiting(),
                limit: limiter.limit(),
            });
        let suspects = self
            .daemon
            .standings(now)
            .into_iter()
            .map(|(fingerprint, standing)| {
                let (fingerprint, standing) = (fingerprint.to_string(), standing.to_string());
                Suspect {
                    fingerprint,
                    standing,
                }
            });
        Status {
            host: self.config.host.clone(),
            version: manifest.version,
            leased: self.daemon.is_leased(),
            ready: self.daemon.is_ready(),
            causes: self.causes(),
            members: members.collect(),
            voters: self.voters(now),
            voter_mode: self.daemon.voter().map(|voter| voter.mode().to_string()),
            voter_keys: self.daemon.voter().map_or(0, |voter| voter.len()),
            domains_out: domains_out.map(|(name, _)| name.clone()).collect(),
            replicas: self.replicas(),
            owned: owned.collect(),
            suspects: suspects.collect(),
            counts: self.daemon.entry.counts,
            connections: self.connections,
        }
    }

    /// Reasons why the daemon isn't ready.
    fn causes(&self) -> Vec<String> {
        let manifest = self.daemon.manifest();
        let may_own = manifest.may_own(&self.config.host, &self.config.domain);
        let causes = [
            (manifest.version == 0, "no file in force"),
            (
                !self.daemon.is_leased(),
                "no majority of voters confirms the newest file",
            ),
            (!may_own, "host or failure domain is out"),
            (self.stopping, "stopping"),
        ];
        let causes = causes.into_iter().filter(|(applies, _)| *applies);
        causes.map(|(_, cause)| cause.to_owned()).collect()
    }

    /// State of each configured voter.
    fn voters(&self, now: Time) -> Vec<Voter> {
        let voting = self
            .daemon
            .voters(now)
            .into_iter()
            .collect::<BTreeMap<_, _>>();
        let voters = self.config.voters.keys().map(|host| {
            let state = match voting.get(host) {
                Some(true) => "voting",
                Some(false) => "not voting",
                None => "silent",
            };
            Voter {
                host: host.clone(),
                state: state.to_owned(),
            }
        });
        voters.collect()
    }

    /// Replicas of the file in force that are not ready or have no owner.
    fn replicas(&self) -> Vec<Replica> {
        let router = &self.daemon.entry.router;
        let mut replicas = Vec::new();
        for service in self.daemon.manifest().services.values() {
            for shard in &service.shards {
                for replica in &shard.replicas {
                    let owner = router.owner(&replica.address).cloned();
                    let health = router.health(&replica.address);
                    if health == Health::Ready && owner.is_some() {
                        continue;
                    }
                    replicas.push(Replica {
                        service: service.name.clone(),
                        shard: shard.name.clone(),
                        address: replica.address.to_string(),
                        state: if owner.is_some() {
                            health.to_string()
                        } else {
                            "no owner".into()
                        },
                        owner: owner.unwrap_or_default(),
                    });
                }
            }
        }
        replicas
    }
}
