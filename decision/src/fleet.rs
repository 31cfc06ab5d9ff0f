//! The replicas of all services as published by the platform's list.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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
    /// The replica takes new work.
    Ready,
    /// The replica finishes its current work and then leaves.
    Draining,
}

/// Identifies one run of a replica.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Instance {
    /// Identifier of the replica. A request that carries it is run by no other replica.
    pub id: Name,
    /// Start time in Unix milliseconds, which distinguishes runs under the same
    /// identifier; zero if the list has none.
    pub born: u64,
}

/// A listed replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Replica {
    /// The run of the replica.
    pub instance: Instance,
    /// Service that the replica belongs to.
    pub service: Name,
    /// Address at which the replica takes requests.
    pub address: SocketAddr,
    /// Failure domain of the replica's host.
    pub domain: Name,
    /// Number of requests that the replica runs concurrently.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Remaining time as a cold replica at the time of the listing; zero if warm.
    pub cold_left: Span,
}

/// The whole list of replicas.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fleet {
    /// Replicas by run.
    pub replicas: BTreeMap<Instance, Arc<Replica>>,
    /// Versions of the replicas' software, as far as the list tells them. Messages carry them in an
    /// appended field.
    #[serde(skip)]
    pub versions: Versions,
}

/// Versions of the software of replicas.
pub type Versions = BTreeMap<Instance, Name>;

impl Fleet {
    /// A fleet of these replicas. If a run is listed twice, the last entry counts; one that is listed
    /// under two services is left out, since the replica would run requests of either.
    pub fn new(replicas: impl IntoIterator<Item = Replica>) -> Fleet {
        let mut by_run = BTreeMap::<Instance, Arc<Replica>>::new();
        let mut ambiguous = BTreeSet::new();
        for replica in replicas {
            let (instance, service) = (replica.instance.clone(), replica.service.clone());
            let earlier = by_run.insert(instance.clone(), Arc::new(replica));
            if earlier.is_some_and(|earlier| earlier.service != service) {
                ambiguous.insert(instance);
            }
        }
        by_run.retain(|instance, _| !ambiguous.contains(instance));
        Fleet {
            replicas: by_run,
            versions: Versions::new(),
        }
    }

    /// The fleet with these versions.
    pub fn with_versions(self, versions: Versions) -> Fleet {
        Fleet { versions, ..self }
    }

    /// Digest that changes when the fleet must be handled differently. It covers whether
    /// a replica is cold, but not for how long. Versions are left out, as a run of a replica keeps
    /// its own: older builds, which don't know them, must come to the same digest.
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
