//! Odd answers of replicas: statuses, identifiers and statements that don't go together, drawn at
//! random from what servers in trouble may send.

use std::time::Duration;

use hyper::StatusCode;
use hyper::header::RETRY_AFTER;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wagtailbeam_adapter::dialect::Headers;
use wagtailbeam_adapter::http;

/// Share of requests that get an odd answer.
const SHARE: f64 = 0.25;

/// Statuses to draw from, of all classes that end an exchange.
const STATUSES: [u16; 15] = [
    200, 301, 400, 404, 408, 409, 412, 421, 425, 429, 500, 502, 503, 504, 599,
];

/// Longest time in milliseconds that an answer asks to wait.
const WAIT_MAX_MS: u64 = 100;

/// Whose answer it claims to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Identity {
    Own,
    Another,
    None,
}

/// An odd answer.
#[derive(Clone, Copy, Debug)]
pub struct Odd {
    status: u16,
    identity: Identity,
    has_stamp: bool,
    says_not_run: bool,
    wait: Option<Duration>,
    says_leaving: bool,
    /// Whether the replica runs the request.
    pub runs: bool,
}

impl Odd {
    /// Draws the answer of a replica to a request, if it is an odd one: the same for each run with this
    /// seed. A statement that the request did not run is true if the answer names the request.
    pub fn draw(seed: u64, replica: &str, request: &str) -> Option<Odd> {
        let text = format!("{seed} {replica} {request}");
        let mut rng = ChaCha8Rng::from_seed(*blake3::hash(text.as_bytes()).as_bytes());
        if !rng.random_bool(SHARE) {
            return None;
        }
        let identities = [Identity::Own, Identity::Another, Identity::None];
        let identity = identities[rng.random_range(0..identities.len())];
        let is_own = identity == Identity::Own;
        let status = STATUSES[rng.random_range(0..STATUSES.len())];
        let says_not_run = rng.random_bool(0.5);
        let wait_ms = rng.random_range(1..WAIT_MAX_MS);
        Some(Odd {
            status,
            identity,
            has_stamp: rng.random_bool(0.5),
            says_not_run,
            wait: (status == 503 && !is_own).then(|| Duration::from_millis(wait_ms)),
            says_leaving: !is_own && rng.random_bool(0.5),
            runs: rng.random_bool(0.5) && !(is_own && says_not_run),
        })
    }

    /// The answer. `body` is that of a sound answer to the request, and `stamp` its stamp.
    pub fn reply(&self, headers: &Headers, id: &str, stamp: &str, body: Vec<u8>) -> http::Reply {
        let status = StatusCode::from_u16(self.status).unwrap_or_default();
        let body = match self.status {
            200 => body,
            _ => b"odd".to_vec(),
        };
        let mut reply = http::reply(status, "application/octet-stream", body);
        let identifier = match self.identity {
            Identity::Own => Some(id),
            Identity::Another => Some("another"),
            Identity::None => None,
        };
        let wait = self.wait.map(|wait| wait.as_secs_f64().to_string());
        let fields = [
            (&headers.request, identifier),
            (&headers.stamp, Some(stamp).filter(|_| self.has_stamp)),
            (&headers.not_run, Some("1").filter(|_| self.says_not_run)),
            (&headers.leaving, Some("1").filter(|_| self.says_leaving)),
            (&RETRY_AFTER, wait.as_deref()),
        ];
        for (name, value) in fields {
            if let Some(value) = value.and_then(|value| value.parse().ok()) {
                reply.headers_mut().insert(name.clone(), value);
            }
        }
        reply
    }
}
