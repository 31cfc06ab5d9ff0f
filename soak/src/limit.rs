//! Makes replicas name limits on the requests that they take from all hosts together, in series
//! and beside the other faults.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::time::timeout;
use wagtailbeam_decision::name::Name;

use crate::checker::Shared;

/// Limits to choose from, in requests per second.
const LIMITS: [f64; 6] = [0.0, 0.7, 1.5, 4.0, 8.0, 12.0];

/// Range of the times for which replicas name a limit, in milliseconds. Hosts must keep to it
/// from [`crate::checker::CONTACT`] on.
const NAMED_MS: std::ops::Range<u64> = 5_500..9_000;

/// Range of the pauses between two series, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..1_500;

/// A replica that can name a limit.
pub struct Replica {
    /// Instance id, as it appears in the list.
    pub id: Name,
    /// Name of the service.
    pub service: Name,
    /// Sets its limit.
    pub limit: watch::Sender<Option<f64>>,
}

/// Makes random replicas name limits until `stopped` becomes true; none names one afterwards.
pub async fn name_limits(
    replicas: Vec<Replica>,
    mut rng: ChaCha8Rng,
    checker: Shared,
    mut stopped: watch::Receiver<bool>,
) {
    while !*stopped.borrow() {
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        drop(timeout(pause, stopped.wait_for(|stopped| *stopped)).await);
        let limit = LIMITS[rng.random_range(0..LIMITS.len())];
        let chosen = choose(&replicas, &mut rng);
        for replica in &chosen {
            checker.lock().record_limited(&replica.id, limit);
            replica.limit.send_replace(Some(limit));
        }
        let named_for = Duration::from_millis(rng.random_range(NAMED_MS));
        drop(timeout(named_for, stopped.wait_for(|stopped| *stopped)).await);
        for replica in &chosen {
            replica.limit.send_replace(None);
            checker.lock().record_unlimited(&replica.id);
        }
    }
}

/// One replica, all of one service, or the first one of each service.
fn choose<'a>(replicas: &'a [Replica], rng: &mut ChaCha8Rng) -> Vec<&'a Replica> {
    let one = &replicas[rng.random_range(0..replicas.len())];
    let of_service = replicas
        .iter()
        .filter(|replica| replica.service == one.service);
    match rng.random_range(0..3) {
        0 => vec![one],
        1 => of_service.collect(),
        _ => replicas
            .iter()
            .filter(|replica| replica.id.ends_with("-0"))
            .collect(),
    }
}
