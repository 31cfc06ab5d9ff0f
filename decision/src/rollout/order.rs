//! What voters tell entry hosts of rollouts.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::digest::Digest;
use crate::fleet::Fleet;
use crate::fleet::Instance;
use crate::name::Name;
use crate::rollout::Phase;
use crate::rollout::Record;
use crate::rollout::Settings;
use crate::rollout::Stage;
use crate::tier::State;

/// Longest time for which an order to send to a new version holds without confirmation.
const VALID_MAX: Span = Span::from_ms(1_500);

/// Part of the time for a rollback after which an order without confirmation ends.
const VALID_DIVISOR: u64 = 3;

/// Group of a replica in a rollout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Group {
    /// It has the new version.
    New,
    /// It has an old version.
    Old,
    /// It may get no requests.
    Barred,
}

/// The rollout of a service as entry hosts follow it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The service.
    pub service: Name,
    /// Identifies the rollout.
    pub id: u64,
    /// Share of the requests that go to the new version, in thousandths.
    pub share: u32,
    /// Whether the rollout is in progress. If so, hosts count answers, and the new version gets
    /// nothing from a host for which the order is no longer valid.
    pub in_progress: bool,
    /// Whether the old version may get requests if the new one can't take them.
    pub falls_back: bool,
    /// Time for which the order is valid after each confirmation.
    pub valid: Span,
    /// Replicas of the new version.
    pub new: BTreeSet<Instance>,
    /// Replicas that may get no requests.
    pub barred: BTreeSet<Instance>,
}

/// Orders of all rollouts, as part of a feed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Orders {
    /// Digest of the orders; zero if there are none.
    pub digest: u64,
    /// The orders; absent if the host has them.
    pub orders: Option<Vec<Order>>,
}

impl Order {
    /// Derives the order of a rollout from the list of replicas.
    fn new(service: &Name, record: &Record, fleet: &Fleet, settings: &Settings) -> Order {
        let replicas = fleet.replicas.iter();
        let replicas = replicas.filter(|(_, replica)| replica.service == *service);
        let mut new = BTreeSet::new();
        let mut barred = BTreeSet::new();
        for (instance, _) in replicas {
            match record.group(fleet.versions.get(instance)) {
                Group::New => drop(new.insert(instance.clone())),
                Group::Barred => drop(barred.insert(instance.clone())),
                Group::Old => {}
            }
        }
        let in_progress = record.phase == Phase::InProgress;
        Order {
            service: service.clone(),
            id: record.id,
            share: match record.phase {
                Phase::InProgress => record.share,
                Phase::Completed => 1_000,
                Phase::RolledBack => 0,
            },
            in_progress,
            falls_back: in_progress && record.stage != Stage::Closing,
            valid: settings.rollback.divided_by(VALID_DIVISOR).min(VALID_MAX),
            new,
            barred,
        }
    }

    /// Group of a replica.
    pub fn group(&self, instance: &Instance) -> Group {
        match instance {
            _ if self.barred.contains(instance) => Group::Barred,
            _ if self.new.contains(instance) => Group::New,
            _ => Group::Old,
        }
    }
}

impl Orders {
    /// Orders of all rollouts of a state, for a host that has those of the digest `known`.
    pub fn new(state: &State, fleet: Option<&Fleet>, settings: &Settings, known: u64) -> Orders {
        let Some(fleet) = fleet.filter(|_| !state.rollouts.is_empty()) else {
            return Orders::default();
        };
        let orders = state.rollouts.iter();
        let orders = orders.map(|(service, record)| Order::new(service, record, fleet, settings));
        let orders = orders.collect::<Vec<_>>();
        let serials = state.rollouts.values().map(|record| record.serial);
        let text = format!("{orders:?} {:?}", serials.collect::<Vec<_>>());
        let digest = Digest::of(text.as_bytes()).rank().max(1);
        Orders {
            digest,
            orders: (digest != known).then_some(orders),
        }
    }
}
