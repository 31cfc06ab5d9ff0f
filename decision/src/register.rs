//! Keys, values and changes of the replicated register.
//!
//! A proposer applies a [`Change`] to the newest value of its key with [`Change::decide`]
//! and answers with the [`Decision`].

use std::sync::Arc;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::digest::Digest;
use crate::job::Job;
use crate::job::Token;
use crate::job::Verdict;
use crate::request::Answer;
use crate::tier;

/// Maximum number of accepted versions kept to recognize files that are sent again.
const HISTORY_MAX: usize = 4_096;

/// A key of the register.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Key {
    /// The operators' file.
    File,
    /// A job, by the digest of caller, service and idempotency key.
    Job(Digest),
    /// The state of a tier with discovered hosts.
    Tier,
}

/// The newest accepted operators' file and the versions accepted before.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct File {
    /// Newest accepted version.
    pub version: u64,
    /// Digest of the text.
    pub digest: Digest,
    /// The file's text.
    pub text: Arc<str>,
    /// Accepted versions with their digests, oldest first, including the newest; at most
    /// `HISTORY_MAX`.
    pub history: Vec<(u64, Digest)>,
}

/// A value of the register.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Value {
    /// The operators' file.
    File(Arc<File>),
    /// State of a job.
    Job(Job),
    /// The state of a tier with discovered hosts.
    Tier(Arc<tier::State>),
}

impl Value {
    /// Bytes of the parts that may be long.
    pub fn size(&self) -> usize {
        match self {
            Value::File(file) => file.text.len(),
            Value::Job(_) => 0,
            Value::Tier(state) => state.document.len(),
        }
    }
}

/// A change of one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Change {
    /// Reads the newest value.
    Read,
    /// Accepts a version of the operators' file.
    Apply {
        /// Version of the file.
        version: u64,
        /// Text of the file.
        text: Arc<str>,
    },
    /// Claims a job for an attempt.
    Claim {
        /// Token of the attempt.
        token: Token,
        /// Digest of method, path and body.
        body: Digest,
    },
    /// Records the answer to a job.
    Record {
        /// Token of the attempt that holds the claim.
        token: Token,
        /// The answer; absent if it is too long to keep.
        answer: Option<Answer>,
    },
    /// Releases a claim whose job certainly did not run.
    Release {
        /// Token of the attempt that holds the claim.
        token: Token,
    },
    /// Changes the state of a tier with discovered hosts.
    Tier(tier::Proposal),
}

/// Answer to an operator who applied a file.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Acceptance {
    /// The file was accepted by this call.
    #[display("accepted")]
    Accepted,
    /// The same file was accepted by an earlier call.
    #[display("already accepted")]
    Already,
    /// Another file was accepted with this version.
    #[display("refused: version {version} was accepted with digest {digest}")]
    Taken {
        /// Version of both files.
        version: u64,
        /// Digest of the accepted file.
        digest: Digest,
    },
    /// A higher version is in force, and this one was never accepted.
    #[display("refused: version {newest} is in force and this one was never accepted")]
    Behind {
        /// Newest accepted version.
        newest: u64,
    },
    /// The version is older than the kept history, so that it is not known whether it was
    /// accepted.
    #[display("refused: older than the history kept, which begins at version {oldest}")]
    Forgotten {
        /// Oldest version in the history.
        oldest: u64,
    },
}

/// Result of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Decision {
    /// The value read; absent if the key has none.
    Value(Option<Value>),
    /// Answer to [`Change::Apply`].
    File(Acceptance),
    /// Answer to a change of a job.
    Job(Verdict),
    /// State of the tier after the change, and the verdict on the change.
    Tier(Arc<tier::State>, tier::Verdict),
    /// No majority decided in time; the change may or may not take effect.
    Unknown,
}

impl Decision {
    /// Bytes of the parts that may be long.
    pub fn size(&self) -> usize {
        match self {
            Decision::Value(Some(value)) => value.size(),
            Decision::Tier(state, _) => state.document.len(),
            Decision::Value(None) | Decision::File(_) | Decision::Job(_) | Decision::Unknown => 0,
        }
    }
}

impl Change {
    /// Applies the change to a value: returns the new value, or none if it stays, and the
    /// decision.
    pub fn decide(&self, value: Option<&Value>) -> (Option<Value>, Decision) {
        match (self, value) {
            (Change::Read, value) => (None, Decision::Value(value.cloned())),
            (Change::Apply { version, text }, Some(Value::File(file))) => {
                decide_file(Some(file), *version, text)
            }
            (Change::Apply { version, text }, _) => decide_file(None, *version, text),
            (Change::Tier(proposal), value) => decide_tier(proposal, value),
            (change, Some(Value::Job(job))) => decide_job(change, Some(job)),
            (change, _) => decide_job(change, None),
        }
    }
}

fn decide_tier(proposal: &tier::Proposal, value: Option<&Value>) -> (Option<Value>, Decision) {
    let state = match value {
        Some(Value::Tier(state)) => state.clone(),
        _ => Arc::default(),
    };
    let (next, verdict) = state.decide_proposal(proposal);
    let Some(next) = next.map(Arc::new) else {
        return (None, Decision::Tier(state, verdict));
    };
    (
        Some(Value::Tier(next.clone())),
        Decision::Tier(next, verdict),
    )
}

fn decide_file(
    file: Option<&Arc<File>>,
    version: u64,
    text: &Arc<str>,
) -> (Option<Value>, Decision) {
    let digest = Digest::of(text.as_bytes());
    let acceptance = match file {
        None => Acceptance::Accepted,
        Some(file) => file.assess(version, &digest),
    };
    if acceptance != Acceptance::Accepted {
        return (None, Decision::File(acceptance));
    }
    let mut history = file.map(|file| file.history.clone()).unwrap_or_default();
    history.push((version, digest));
    let surplus = history.len().saturating_sub(HISTORY_MAX);
    history.drain(..surplus);
    let file = File {
        version,
        digest,
        text: text.clone(),
        history,
    };
    (
        Some(Value::File(Arc::new(file))),
        Decision::File(Acceptance::Accepted),
    )
}

impl File {
    /// Decides whether a version with this digest is accepted.
    fn assess(&self, version: u64, digest: &Digest) -> Acceptance {
        if version > self.version {
            return Acceptance::Accepted;
        }
        let oldest = self
            .history
            .first()
            .map_or(self.version, |(version, _)| *version);
        let known = self.history.iter().find(|(known, _)| *known == version);
        match known {
            Some((_, known)) if known == digest => Acceptance::Already,
            Some((_, known)) => Acceptance::Taken {
                version,
                digest: *known,
            },
            None if version < oldest => Acceptance::Forgotten { oldest },
            None => Acceptance::Behind {
                newest: self.version,
            },
        }
    }
}

fn decide_job(change: &Change, job: Option<&Job>) -> (Option<Value>, Decision) {
    let (value, verdict) = match change {
        Change::Claim { token, body } => claim(*token, *body, job),
        Change::Record { token, answer } => record(*token, answer, job),
        Change::Release { token } => release(*token, job),
        Change::Read | Change::Apply { .. } | Change::Tier(_) => (None, Verdict::Noted),
    };
    (value.map(Value::Job), Decision::Job(verdict))
}

fn claim(token: Token, body: Digest, job: Option<&Job>) -> (Option<Job>, Verdict) {
    let claimed = Job::Claimed { token, body };
    match job {
        None => (Some(claimed), Verdict::Won),
        Some(job) if *job.body() != body => (None, Verdict::Conflict),
        Some(Job::Released { .. }) => (Some(claimed), Verdict::Won),
        Some(Job::Claimed { token: holder, .. }) if *holder == token => (None, Verdict::Won),
        Some(Job::Claimed { .. }) => (None, Verdict::Held),
        Some(Job::Done { answer, .. }) => (None, Verdict::Done(answer.clone())),
    }
}

fn record(token: Token, answer: &Option<Answer>, job: Option<&Job>) -> (Option<Job>, Verdict) {
    match job {
        Some(Job::Claimed {
            token: holder,
            body,
        }) if *holder == token => {
            let done = Job::Done {
                token,
                body: *body,
                answer: answer.clone(),
            };
            (Some(done), Verdict::Noted)
        }
        Some(Job::Done { token: holder, .. }) if *holder == token => (None, Verdict::Noted),
        _ => (None, Verdict::Held),
    }
}

fn release(token: Token, job: Option<&Job>) -> (Option<Job>, Verdict) {
    match job {
        Some(Job::Claimed {
            token: holder,
            body,
        }) if *holder == token => (Some(Job::Released { body: *body }), Verdict::Noted),
        _ => (None, Verdict::Noted),
    }
}
