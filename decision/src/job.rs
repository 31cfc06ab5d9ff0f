//! Claims of requests that run at most once, as values of the register.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::digest::Digest;
use crate::request::Answer;

/// Largest answer kept with a claim, in bytes.
pub const ANSWER_MAX_BYTES: usize = 16 * 1024;

/// Identifies the daemon's attempt that holds a claim.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:032x}")]
pub struct Token(pub u128);

/// State of a job in the register.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Job {
    /// Claimed by an attempt; it may have run.
    Claimed {
        /// The attempt.
        token: Token,
        /// Digest of method, path and body.
        body: Digest,
    },
    /// Run, with its answer.
    Done {
        /// The attempt that ran it.
        token: Token,
        /// Digest of method, path and body.
        body: Digest,
        /// Its answer, unless it was too long to keep.
        answer: Option<Answer>,
    },
    /// Given back by the attempt that held it, which proved that it did not run.
    Released {
        /// Digest of method, path and body.
        body: Digest,
    },
}

impl Job {
    /// Digest of method, path and body.
    pub fn body(&self) -> &Digest {
        match self {
            Job::Claimed { body, .. } | Job::Done { body, .. } | Job::Released { body } => body,
        }
    }
}

/// What a change of a job came to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// The attempt holds the claim and may send.
    Won,
    /// Another attempt holds it; it may have run.
    Held,
    /// It ran; this is its answer, unless that was too long to keep.
    Done(Option<Answer>),
    /// The key was used with another request.
    Conflict,
    /// Outcome or release was taken.
    Noted,
}
