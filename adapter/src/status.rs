//! What a daemon reports of itself and of the fleet as it sees it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::daemon::Daemon;
use wagtailbeam_decision::entry::Counts;
use wagtailbeam_decision::gate::Health;
use wagtailbeam_decision::name::Name;

use crate::settings::Config;

/// A daemon of the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Its host.
    pub host: Name,
    /// Its host's failure domain.
    pub domain: Name,
    /// Its address for operators.
    pub admin: SocketAddr,
    /// Version that it has in force.
    pub version: u64,
    /// Whether it is stopping.
    pub leaving: bool,
}

/// A voter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Voter {
    /// Its host.
    pub host: Name,
    /// `voting`, `not voting` or `silent`.
    pub state: String,
}

/// A replica that doesn't take its full load.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Replica {
    /// The service.
    pub service: Name,
    /// The shard.
    pub shard: Name,
    /// Address of the server.
    pub address: String,
    /// Host of the owner; empty if none is known.
    pub owner: Name,
    /// Its state, in a word.
    pub state: String,
}

/// A replica owned by the reporting daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Owned {
    /// Address of the server.
    pub address: String,
    /// Its state, in a word.
    pub state: String,
    /// Sub-requests at the server.
    pub running: usize,
    /// Sub-requests waiting.
    pub waiting: usize,
    /// Sub-requests allowed at the server at once.
    pub limit: u32,
}

/// A request known to stop servers, or suspected of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// Digest of the request.
    pub fingerprint: String,
    /// What is known, in a word.
    pub standing: String,
}

/// The report of one daemon.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Its host.
    pub host: Name,
    /// Version that it has in force; zero for none.
    pub version: u64,
    /// Whether it can confirm that the version is the newest.
    pub leased: bool,
    /// Whether the balancer should send callers to it.
    pub ready: bool,
    /// Why it isn't ready; empty if it is.
    pub causes: Vec<String>,
    /// The daemons alive.
    pub members: Vec<Member>,
    /// The voters.
    pub voters: Vec<Voter>,
    /// Mode of this daemon's voter, if it has one.
    pub voter_mode: Option<String>,
    /// Keys held by this daemon's voter.
    pub voter_keys: usize,
    /// Failure domains out.
    pub domains_out: Vec<Name>,
    /// Replicas that don't take their full load.
    pub replicas: Vec<Replica>,
    /// Replicas owned by this daemon.
    pub owned: Vec<Owned>,
    /// Requests that stop servers.
    pub suspects: Vec<Suspect>,
    /// Sub-requests since the start.
    pub counts: Counts,
    /// Connections to backend servers.
    pub connections: u32,
}

impl Status {
    /// Daemons that have at least `version` in force.
    pub fn count_in_force(&self, version: u64) -> usize {
        self.members
            .iter()
            .filter(|member| member.version >= version)
            .count()
    }
}

/// What a report is drawn from.
pub struct Source<'a> {
    /// The daemon's time.
    pub now: Time,
    /// Its settings.
    pub config: &'a Config,
    /// Its state.
    pub daemon: &'a Daemon,
    /// Connections to backend servers.
    pub connections: u32,
    /// Whether a planned stop has begun.
    pub stopping: bool,
}

impl Source<'_> {
    /// The report.
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
            .filter(|(name, _)| !manifest.is_in(name));
        let owned = self.daemon.owner.report().map(|(address, gate)| Owned {
            address: address.to_string(),
            state: gate.health().to_string(),
            running: gate.running(),
            waiting: gate.waiting(),
            limit: gate.limit(),
        });
        let suspects = self
            .daemon
            .suspects(now)
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
