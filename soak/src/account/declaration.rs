//! The accounts that the next configuration declares, and how they change from one to the next.

use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wagtailbeam_platform::encode::Account;

use super::CHANGING;
use super::PERMANENT;
use super::ROTATING;
use super::STEADY;
use super::key;

/// Keys that the account with revoked keys has at a time.
const KEYS: usize = 2;

/// Requests per second and burst of the account whose quota stays the same.
const STEADY_QUOTA: (f64, f64) = (8.0, 4.0);

/// The raised quota of the other account.
const RAISED_QUOTA: (f64, f64) = (12.0, 6.0);

/// The lowered quota of the other account.
const LOWERED_QUOTA: (f64, f64) = (3.0, 2.0);

/// Range of the times between two revocations, in milliseconds.
const KEY_MS: Range<u64> = 700..2_000;

/// Range of the times for which a quota is raised, in milliseconds.
const RAISED_MS: Range<u64> = 2_000..3_500;

/// Range of the times for which a quota is lowered, in milliseconds. Hosts apply it after 4 s, and
/// requests are counted over 5 s.
const LOWERED_MS: Range<u64> = 9_500..12_000;

/// The accounts of the newest configuration.
#[derive(Clone, Debug)]
pub struct Declaration {
    rng: ChaCha8Rng,
    first_key: usize,
    lowered: bool,
    /// Times of the next changes; absent until the first configuration is confirmed.
    next: Option<Next>,
}

#[derive(Clone, Copy, Debug)]
struct Next {
    key_at: Instant,
    quota_at: Instant,
}

impl Declaration {
    /// The accounts of the first configuration.
    pub fn new(seed: u64) -> Declaration {
        Declaration {
            rng: ChaCha8Rng::seed_from_u64(seed.rotate_left(8) ^ !seed),
            first_key: 0,
            lowered: false,
            next: None,
        }
    }

    /// Begins with the changes, when the first configuration is confirmed.
    pub fn begin(&mut self) {
        if self.next.is_none() {
            let now = Instant::now();
            self.next = Some(Next {
                key_at: now + self.random(KEY_MS),
                quota_at: now + self.random(RAISED_MS),
            });
        }
    }

    /// Revokes the oldest key and adds one, and changes the quota, if it is time for that.
    pub fn advance(&mut self) {
        let now = Instant::now();
        let Some(mut next) = self.next else {
            return;
        };
        if now >= next.key_at {
            self.first_key += 1;
            next.key_at = now + self.random(KEY_MS);
        }
        if now >= next.quota_at {
            self.lowered = !self.lowered;
            let range = if self.lowered { LOWERED_MS } else { RAISED_MS };
            next.quota_at = now + self.random(range);
        }
        self.next = Some(next);
    }

    /// The declared accounts.
    pub fn accounts(&self) -> Vec<Account> {
        let last_key = self.first_key + KEYS;
        let rotating = (self.first_key..last_key).map(|number| key(ROTATING, number));
        let quota = match self.lowered {
            true => LOWERED_QUOTA,
            false => RAISED_QUOTA,
        };
        vec![
            account(PERMANENT, vec![key(PERMANENT, 0)], (0.0, 0.0)),
            account(ROTATING, rotating.collect(), (0.0, 0.0)),
            account(STEADY, vec![key(STEADY, 0)], STEADY_QUOTA),
            account(CHANGING, vec![key(CHANGING, 0)], quota),
        ]
    }

    fn random(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }
}

fn account(name: &str, keys: Vec<String>, (rate, burst): (f64, f64)) -> Account {
    Account {
        name: name.into(),
        keys,
        priority: None,
        rate,
        burst,
    }
}
