//! Makes replicas say that they are leaving, or that they want no requests for a time, beside the
//! other faults.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::time::timeout;
use wagtailbeam_decision::name::Name;

/// Range of the times that overloaded replicas name, in milliseconds.
const WAIT_MS: std::ops::Range<u64> = 700..3_000;

/// Range of the times for which replicas are overloaded, in milliseconds.
const OVERLOADED_MS: std::ops::Range<u64> = 300..1_500;

/// Range of the pauses between two notices, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..900;

/// What a replica says of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Notice {
    /// Nothing.
    #[default]
    None,
    /// It is leaving; it goes on to run requests.
    Leaving,
    /// It runs nothing and wants no requests for this time.
    Overloaded(Duration),
    /// A share of its answers is odd, drawn from this seed.
    Odd(u64),
}

/// A replica that can say something of itself.
pub struct Replica {
    /// Instance id, as it appears in the list.
    pub id: Name,
    /// Sets what it says.
    pub notice: watch::Sender<Notice>,
}

/// Makes random replicas give notices until `stopped` becomes true. Only the first replica of a
/// service ever leaves, and it does so for good, so that the service goes on.
pub async fn announce(
    replicas: Vec<Replica>,
    mut rng: ChaCha8Rng,
    mut stopped: watch::Receiver<bool>,
) {
    while !*stopped.borrow() {
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        drop(timeout(pause, stopped.wait_for(|stopped| *stopped)).await);
        let replica = &replicas[rng.random_range(0..replicas.len())];
        if *replica.notice.borrow() != Notice::None {
            continue;
        }
        if replica.id.ends_with("-0") {
            replica.notice.send_replace(Notice::Leaving);
            continue;
        }
        let wait = Duration::from_millis(rng.random_range(WAIT_MS));
        replica.notice.send_replace(Notice::Overloaded(wait));
        let time = Duration::from_millis(rng.random_range(OVERLOADED_MS));
        drop(timeout(time, stopped.wait_for(|stopped| *stopped)).await);
        replica.notice.send_replace(Notice::None);
    }
}
