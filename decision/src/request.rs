//! Callers' requests, the sub-requests sent to owners, and their outcomes.
//!
//! These types are shared by the entry and owner roles and are encoded by position in
//! messages between daemons.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::digest::Digest;
use crate::name::Name;

/// Version of a service's index, as stated by its backend servers.
pub type Index = u64;

/// A caller's request after validation of its head and body.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// Identifier returned to the caller and passed to backend servers.
    pub id: Name,
    /// Name of the caller.
    pub caller: Name,
    /// Requested service.
    pub service: Name,
    /// HTTP method.
    pub method: String,
    /// Path and query string, without the service.
    pub path: String,
    /// Media type of the body, if the caller states one.
    pub content_type: Option<String>,
    /// Body of the message; may be empty.
    pub body: Bytes,
    /// Idempotency key of a request that may not be repeated.
    pub key: Option<String>,
    /// Names of the requested shards; empty for all.
    pub shards: Vec<Name>,
    /// Time from arrival within which the caller wants an answer, if stated.
    pub deadline: Option<Span>,
}

impl Request {
    /// Whether the request may be sent more than once; any other one is a job.
    pub fn is_repeatable(&self) -> bool {
        matches!(self.method.as_str(), "GET" | "HEAD")
    }

    /// Digest of caller, service, method, path and body, by which a request that makes
    /// servers fail is recognized.
    pub fn fingerprint(&self) -> Digest {
        let (caller, service) = (self.caller.as_bytes(), self.service.as_bytes());
        let (method, path) = (self.method.as_bytes(), self.path.as_bytes());
        Digest::of_parts(&[caller, service, method, path, &self.body])
    }

    /// Key of a job in the register: digest of caller, service and idempotency key.
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
    /// The request did not run and will not run.
    #[default]
    #[display("no")]
    No,
    /// The request may have run.
    #[display("maybe")]
    Maybe,
    /// The request ran.
    #[display("yes")]
    Yes,
}

/// Why a request or sub-request got no answer.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
pub enum Cause {
    /// A queue, concurrency limit or admission window is full.
    #[display("overloaded")]
    #[serde(rename = "Full")]
    Overloaded,
    /// The server shed the request because of load.
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
    /// The server does not answer.
    #[display("stalled")]
    Stalled,
    /// The daemon that got the sub-request does not own the replica now.
    #[display("not-owner")]
    NotOwner,
    /// No live owner or replica is known.
    #[display("no-owner")]
    NoOwner,
    /// The deadline passed.
    #[display("deadline")]
    Deadline,
    /// The connection to the daemon that had the sub-request was lost.
    #[display("owner-lost")]
    #[serde(rename = "Lost")]
    OwnerLost,
    /// The answer was incomplete, malformed, too long, or belonged to another request.
    #[display("bad-answer")]
    #[serde(rename = "Garbled")]
    BadAnswer,
    /// The connection to the server broke while the request ran.
    #[display("server-failed")]
    #[serde(rename = "Died")]
    ServerFailed,
    /// The request is quarantined, since it made a server fail.
    #[display("stops-servers")]
    Quarantined,
    /// The shard's answer has another index version than the snapshot.
    #[display("other-snapshot")]
    #[serde(rename = "Version")]
    OtherSnapshot,
    /// The server answered with an HTTP error status.
    #[display("status-{_0}")]
    Status(u16),
    /// The daemon's lease has lapsed: a majority of voters does not confirm its
    /// configuration.
    #[display("stale-configuration")]
    #[serde(rename = "Stale")]
    StaleConfiguration,
    /// The daemon is stopping.
    #[display("stopping")]
    Stopping,
    /// No majority of voters could be reached.
    #[display("no-quorum")]
    #[serde(rename = "Quorum")]
    NoQuorum,
    /// The idempotency key was used with another request.
    #[display("key-reused")]
    #[serde(rename = "Conflict")]
    KeyReused,
    /// The job was claimed and its outcome is not known.
    #[display("outcome-unknown")]
    #[serde(rename = "Unknown")]
    OutcomeUnknown,
    /// The job ran, and its answer was too long to be kept.
    #[display("answer-not-kept")]
    #[serde(rename = "Unkept")]
    AnswerNotKept,
    /// The caller disconnected.
    #[display("cancelled")]
    Cancelled,
}

/// One sub-request to one replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Subrequest {
    /// Identifier, unique at the entry daemon.
    #[serde(rename = "ask")]
    pub id: u64,
    /// Address of the preferred replica.
    pub replica: SocketAddr,
    /// Addresses of other replicas of the shard that the owner may choose instead.
    #[serde(rename = "others")]
    pub alternatives: Vec<SocketAddr>,
    /// Index version that the answer must have; absent for any.
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
    /// Whether no other sub-request may run at the server meanwhile, as for a canary.
    #[serde(rename = "alone")]
    pub exclusive: bool,
    /// The sub-requests.
    #[serde(rename = "pieces")]
    pub subrequests: Vec<Subrequest>,
}

/// Complete answer of a backend server.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Index version, if the server states one.
    pub index: Option<Index>,
    /// Media type of the body, if the server states one.
    pub content_type: Option<String>,
    /// Body of the message; may be empty.
    pub body: Bytes,
}

/// Outcome of a sub-request at its owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The server answered.
    Answered(Answer),
    /// The server does not have the requested index version; the sub-request did not run.
    #[serde(rename = "Moved")]
    IndexMismatch {
        /// Index version that the server has, if stated.
        index: Option<Index>,
    },
    /// The sub-request got no answer.
    Failed {
        /// Whether the sub-request ran.
        ran: Ran,
        /// Cause of the failure.
        cause: Cause,
    },
}

impl Outcome {
    /// Failure of a sub-request that certainly did not run.
    pub const fn not_run(cause: Cause) -> Outcome {
        Outcome::Failed {
            ran: Ran::No,
            cause,
        }
    }

    /// Failure of a sub-request that may have run.
    pub const fn maybe_ran(cause: Cause) -> Outcome {
        Outcome::Failed {
            ran: Ran::Maybe,
            cause,
        }
    }
}
