//! What a daemon reports of itself and of the fleet as it sees it.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use wagtailbeam_decision::entry::Counts;
use wagtailbeam_decision::name::Name;

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
    pub fn in_force(&self, version: u64) -> usize {
        self.members
            .iter()
            .filter(|member| member.version >= version)
            .count()
    }
}
