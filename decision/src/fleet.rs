//! Replicas of all services as the platform's list shows them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::digest::Digest;
use crate::name::Name;

/// Whether a replica takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// One run of a replica.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Instance {
    /// Identifier, which a request may name to be run by no other.
    pub id: Name,
    /// Time of its start in Unix milliseconds, which tells runs of one
    /// identifier apart; zero where the list doesn't tell.
    pub born: u64,
}

/// A listed replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Replica {
    /// Which run it is.
    pub instance: Instance,
    /// The service that it belongs to.
    pub service: Name,
    /// Its address.
    pub address: SocketAddr,
    /// Failure domain of its host.
    pub domain: Name,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Time for which it was still cold when it was listed.
    pub cold_left: Span,
}

/// All listed replicas.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fleet {
    /// The replicas by run.
    pub replicas: BTreeMap<Instance, Arc<Replica>>,
}

impl Fleet {
    /// A fleet of these replicas; the last one counts where a run is listed twice.
    pub fn new(replicas: impl IntoIterator<Item = Replica>) -> Fleet {
        let keyed = |replica: Replica| (replica.instance.clone(), Arc::new(replica));
        Fleet {
            replicas: replicas.into_iter().map(keyed).collect(),
        }
    }

    /// Tells fleets apart that need different treatment: how long a replica will
    /// still be cold doesn't count, only whether it is.
    pub fn digest(&self) -> Digest {
        let mut text = String::new();
        for replica in self.replicas.values() {
            let cold = replica.cold_left > Span::ZERO;
            let Instance { id, born } = &replica.instance;
            let (service, domain) = (&replica.service, &replica.domain);
            let (address, slots, state) = (replica.address, replica.slots, replica.state);
            text += &format!("{id} {born} {service} {domain} {address} {slots} {state:?} {cold}\n");
        }
        Digest::of(text.as_bytes())
    }
}
