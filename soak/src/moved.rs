//! Configurations that move a route between services, and the check that no host goes by an older one
//! than it must.
//!
//! Each version sends the route `/moved/` to another service, so that a request's service tells which
//! versions it may have run under.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::seq::index;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use wagtailbeam_decision::name::Name;
use wagtailbeam_platform::encode::Single;

use crate::caller::Caller;
use crate::checker::Shared;
use crate::deployment::Deployment;

/// Path of the requests that show which version is in force.
pub const PATH: &str = "/moved/x";

/// Path prefix of the route that moves.
const PREFIX: &str = "/moved/";

/// Number of services between which it moves, in turn. More versions may not be in force at a time.
const SERVICES: u64 = 24;

/// Further routes of each configuration, which make it as long as those of a large deployment.
const IDLE_ROUTES: u64 = 1_000;

/// Time after its confirmation from which a version, or a newer one, must be in force everywhere.
pub const APPLY_MAX: Duration = Duration::from_secs(3);

/// Pause between two requests, each to the next entry host.
const PAUSE: Duration = Duration::from_millis(6);

/// Range of the pauses between two herds, in milliseconds.
const HERD_PAUSE_MS: std::ops::Range<u64> = 2_500..6_000;

/// The services between which the route moves.
pub fn services() -> Vec<Name> {
    (0..SERVICES).map(service).collect()
}

/// The service of the route in this version.
fn service(version: u64) -> Name {
    Name::from(format!("moved-{}", version % SERVICES))
}

/// The routes of this version: the one that moves, and the idle ones.
pub fn routes(version: u64) -> Vec<Single> {
    let idle = (0..IDLE_ROUTES).map(|index| Single {
        name: format!("idle-{index}"),
        prefix: format!("/idle/{index}/"),
        service: service(index),
    });
    let moved = Single {
        name: "moved".to_owned(),
        prefix: PREFIX.to_owned(),
        service: service(version),
    };
    idle.chain([moved]).collect()
}

/// Sends requests on the route to all entry hosts in turn until `stopped` becomes true.
pub async fn send(deployment: Deployment, checker: Shared, stopped: watch::Receiver<bool>) {
    let mut count = 0;
    while !*stopped.borrow() {
        tokio::time::sleep(PAUSE).await;
        count += 1;
        let host = count % deployment.entry_hosts;
        let caller = Caller::at(host, &deployment, checker.clone());
        tokio::spawn(caller.send_moved(format!("moved-{count}")));
    }
}

/// Times at which many entry hosts are killed at once.
pub struct Herds {
    next_at: Instant,
}

impl Herds {
    /// A series that begins with a pause.
    pub fn new(rng: &mut ChaCha8Rng) -> Herds {
        Herds {
            next_at: Instant::now() + Duration::from_millis(rng.random_range(HERD_PAUSE_MS)),
        }
    }

    /// The hosts that are killed now, out of `hosts`, and for how long.
    pub fn next(&mut self, rng: &mut ChaCha8Rng, hosts: usize) -> Option<(Vec<usize>, Duration)> {
        if Instant::now() < self.next_at {
            return None;
        }
        let down = Duration::from_millis(rng.random_range(300..2_000));
        self.next_at = Instant::now() + Duration::from_millis(rng.random_range(HERD_PAUSE_MS));
        let share = rng.random_range(0.15..0.65);
        let count = (hosts as f64 * share) as usize;
        Some((index::sample(rng, hosts, count).into_vec(), down))
    }
}

/// When a version was sent and confirmed.
#[derive(Clone, Copy, Debug)]
struct Change {
    version: u64,
    sent: Instant,
    confirmed: Option<Instant>,
}

/// The versions of a run, in the order of sending.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    changes: Vec<Change>,
}

impl Versions {
    /// Records that a version is sent.
    pub fn record_sent(&mut self, version: u64) {
        self.changes.push(Change {
            version,
            sent: Instant::now(),
            confirmed: None,
        });
    }

    /// Records that the version sent last is confirmed.
    pub fn record_confirmed(&mut self) {
        if let Some(last) = self.changes.last_mut() {
            last.confirmed = Some(Instant::now());
        }
    }

    /// Why a request that was sent and arrived at these times must not run at this service: the newest
    /// version that had to be in force, and the newest one that was older. Absent if it may run there.
    pub fn older_than_due(&self, sent: Instant, arrived: Instant, at: &str) -> Option<(u64, u64)> {
        let due = self.changes.iter().rev().find(|change| {
            let confirmed = change.confirmed;
            confirmed.is_some_and(|confirmed| confirmed + APPLY_MAX <= sent)
        })?;
        let runs_at = |change: &&Change| *service(change.version) == *at;
        let sent_before = |change: &&Change| change.sent <= arrived;
        let mut matching = self.changes.iter().filter(runs_at).filter(sent_before);
        let allowed = matching.clone().any(|change| change.version >= due.version);
        let older = matching.rfind(|change| change.version < due.version);
        match (allowed, older) {
            (false, Some(older)) => Some((due.version, older.version)),
            _ => None,
        }
    }
}
