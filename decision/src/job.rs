//! Jobs as values of the voters' register. A job is a request with an idempotency key,
//! which runs at most once; the register keeps its claim and its answer.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::digest::Digest;
use crate::request::Answer;

/// Largest answer body kept in the register, in bytes.
pub const ANSWER_MAX_BYTES: usize = 16 * 1024;

/// Identifies the query that holds a claim, unique over all daemons.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:032x}")]
pub struct Token(pub u128);

/// State of a job in the register.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Job {
    /// Claimed by a query; the job may have run.
    Claimed {
        /// Token of the query that claimed the job.
        token: Token,
        /// Fingerprint of the request, to detect a key used with another request.
        body: Digest,
    },
    /// The job ran.
    Done {
        /// Token of the query that ran the job.
        token: Token,
        /// Fingerprint of the request, to detect a key used with another request.
        body: Digest,
        /// Answer of the backend server; absent if it was longer than
        /// [`ANSWER_MAX_BYTES`].
        answer: Option<Answer>,
    },
    /// Released by the query that claimed the job, since the job certainly did not run.
    Released {
        /// Fingerprint of the request, to detect a key used with another request.
        body: Digest,
    },
}

impl Job {
    /// Fingerprint of the request, to detect a key used with another request.
    pub fn body(&self) -> &Digest {
        match self {
            Job::Claimed { body, .. } | Job::Done { body, .. } | Job::Released { body } => body,
        }
    }
}

/// Result of a change to a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// The query holds the claim and may send the job.
    Won,
    /// Another query holds the claim; the job may have run.
    Held,
    /// The job ran with this answer; absent if it was longer than [`ANSWER_MAX_BYTES`].
    Done(Option<Answer>),
    /// The idempotency key was used with another request.
    Conflict,
    /// The answer or release was recorded, or there was nothing to change.
    Noted,
}
