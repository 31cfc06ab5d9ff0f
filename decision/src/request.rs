//! Requests, the pieces sent to owners, and what became of them.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::digest::Digest;
use crate::name::Name;

/// A version of a service's index.
pub type Index = u64;

/// A caller's request after its head and body were checked.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// Identifier given back to the caller and passed to backend servers.
    pub id: Name,
    /// The caller.
    pub caller: Name,
    /// The service asked.
    pub service: Name,
    /// The HTTP method.
    pub method: String,
    /// Path and query, without the service.
    pub path: String,
    /// Media type of the body, if any.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
    /// The idempotency key of a request that may not be repeated.
    pub key: Option<String>,
    /// Shards asked for by name; empty for all.
    pub shards: Vec<Name>,
    /// Deadline asked for by the caller.
    pub deadline: Option<Span>,
}

impl Request {
    /// Whether the request may be repeated.
    pub fn is_repeatable(&self) -> bool {
        matches!(self.method.as_str(), "GET" | "HEAD")
    }

    /// The digest by which a request that stops servers is known again.
    pub fn fingerprint(&self) -> Digest {
        let (caller, service) = (self.caller.as_bytes(), self.service.as_bytes());
        let (method, path) = (self.method.as_bytes(), self.path.as_bytes());
        Digest::of_parts(&[caller, service, method, path, &self.body])
    }

    /// The register's key of a job: caller, service and idempotency key.
    pub fn job_key(&self) -> Digest {
        let key = self.key.as_deref().unwrap_or_default();
        Digest::of_parts(&[
            self.caller.as_bytes(),
            self.service.as_bytes(),
            key.as_bytes(),
        ])
    }
}

/// Whether a request ran at a backend server.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It did not and will not.
    #[default]
    #[display("no")]
    No,
    /// It may have.
    #[display("maybe")]
    Maybe,
    /// It did.
    #[display("yes")]
    Yes,
}

/// Why a sub-request or request got no answer.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
pub enum Cause {
    /// Queue or concurrency limit reached.
    #[display("overloaded")]
    #[serde(rename = "Full")]
    Overloaded,
    /// The server said that it sheds load.
    #[display("shed")]
    Shed,
    /// The server is draining.
    #[display("draining")]
    Draining,
    /// The failure domain is out.
    #[display("domain-out")]
    #[serde(rename = "Out")]
    DomainOut,
    /// The server accepts no connection.
    #[display("unreachable")]
    Unreachable,
    /// The server has stopped answering.
    #[display("stalled")]
    Stalled,
    /// The asked daemon doesn't own the replica now.
    #[display("not-owner")]
    NotOwner,
    /// No live owner or replica is known.
    #[display("no-owner")]
    NoOwner,
    /// The deadline passed.
    #[display("deadline")]
    Deadline,
    /// The daemon that had the sub-request was lost.
    #[display("owner-lost")]
    #[serde(rename = "Lost")]
    OwnerLost,
    /// The answer was cut short, or belonged to another request.
    #[display("bad-answer")]
    #[serde(rename = "Garbled")]
    BadAnswer,
    /// The connection broke while the request ran.
    #[display("server-failed")]
    #[serde(rename = "Died")]
    ServerFailed,
    /// The request is known to stop servers.
    #[display("stops-servers")]
    Quarantined,
    /// The server's index version is not the snapshot's.
    #[display("other-snapshot")]
    #[serde(rename = "Version")]
    OtherSnapshot,
    /// The server answered with an HTTP error status.
    #[display("status-{_0}")]
    Status(u16),
    /// The newest configuration can't be confirmed.
    #[display("stale-configuration")]
    #[serde(rename = "Stale")]
    StaleConfiguration,
    /// The daemon is stopping.
    #[display("stopping")]
    Stopping,
    /// Voters can't be reached.
    #[display("no-quorum")]
    #[serde(rename = "Quorum")]
    NoQuorum,
    /// The idempotency key was used with another body.
    #[display("key-reused")]
    #[serde(rename = "Conflict")]
    KeyReused,
    /// The job was claimed and its outcome isn't known.
    #[display("outcome-unknown")]
    #[serde(rename = "Unknown")]
    OutcomeUnknown,
    /// The job ran, and its answer was too long to keep.
    #[display("answer-not-kept")]
    #[serde(rename = "Unkept")]
    AnswerNotKept,
    /// The caller withdrew.
    #[display("cancelled")]
    Cancelled,
}

/// One sub-request to one replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Subrequest {
    /// Number of the sub-request, unique at the entry daemon.
    #[serde(rename = "ask")]
    pub id: u64,
    /// Address of the preferred replica's backend server.
    pub replica: SocketAddr,
    /// Other replicas of the shard that will do.
    #[serde(rename = "others")]
    pub alternatives: Vec<SocketAddr>,
    /// The index version that the answer must have.
    pub pin: Option<Index>,
}

/// Sub-requests of one request to replicas of one owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// The request.
    pub request: Arc<Request>,
    /// Time left to the deadline when the batch was sent.
    #[serde(rename = "left")]
    pub time_left: Span,
    /// Priority of the service.
    pub priority: u8,
    /// Whether each must be the only one at its server, as a canary is.
    #[serde(rename = "alone")]
    pub exclusive: bool,
    /// The sub-requests.
    #[serde(rename = "pieces")]
    pub subrequests: Vec<Subrequest>,
}

/// A complete answer of a backend server.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Index version, if the server states it.
    pub index: Option<Index>,
    /// Media type, if stated.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// What became of a sub-request at its owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The server answered.
    Answered(Answer),
    /// The server can't serve the index version wanted; nothing ran.
    #[serde(rename = "Moved")]
    IndexMismatch {
        /// The version that it has, if stated.
        index: Option<Index>,
    },
    /// There is no answer.
    Failed {
        /// Whether it ran.
        ran: Ran,
        /// Why.
        cause: Cause,
    },
}

impl Outcome {
    /// A failure that certainly did not run.
    pub const fn not_run(cause: Cause) -> Outcome {
        Outcome::Failed {
            ran: Ran::No,
            cause,
        }
    }

    /// A failure that may have run.
    pub const fn maybe_ran(cause: Cause) -> Outcome {
        Outcome::Failed {
            ran: Ran::Maybe,
            cause,
        }
    }
}
