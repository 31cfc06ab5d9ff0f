//! Answers of entry hosts to callers, and what log and metrics tell of them.

use std::sync::Arc;

use crate::clock::Span;
use crate::endpoint::Ending;
use crate::endpoint::Ticket;
use crate::flight::Cause;
use crate::name::Name;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// No route matches the host and path.
    NoRoute,
    /// The route needs a key, and no account holds the one of the request.
    UnknownKey,
    /// The quota of the request's account is used up; the request did not run.
    OverQuota,
    /// The request did not run and may be sent again.
    NotRun,
    /// A replica failed, or the request may have run without an answer.
    Failed,
    /// The deadline passed.
    Timeout,
    /// The request did not run, because servers ended under earlier ones of the same content.
    Quarantined,
}

/// Answer to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// Pass on the replica's answer to this call unchanged.
    Relay(Ticket),
    /// Merged answers of several shards.
    Merged {
        /// Stamps of the answered parts.
        stamps: Vec<Arc<str>>,
        /// Number of shards that did not answer.
        missing: usize,
        /// Greatest records of all answered parts.
        body: Vec<u8>,
    },
    /// No answer is available: the reason and, if a retry makes sense, the wait before
    /// it.
    Refused(Refusal, Option<Span>),
}

/// How a request was decided, for log and metrics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Name of the route; absent if no route matched.
    pub route: Option<Name>,
    /// Version of the catalog in force.
    pub version: u64,
    /// Time since the replica list was last read.
    pub fleet_age: Span,
    /// Time from the request's arrival to its answer.
    pub took: Span,
    /// Number of parts.
    pub parts: usize,
    /// Number of answered parts.
    pub done: usize,
    /// Number of hedges and retries.
    pub extra: u32,
    /// Why parts are missing or the request was refused.
    pub cause: Option<Cause>,
    /// Service of the first missing part.
    pub missing: Option<Name>,
}

impl Report {
    /// Whether listed replicas could not be reached in time.
    pub fn is_cut_off(&self) -> bool {
        match self.cause {
            Some(Cause::HeldBack) => true,
            Some(Cause::LeftOut | Cause::Deadline) => self.parts > 1,
            _ => false,
        }
    }
}

/// Why another call is sent for a part.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum Extra {
    /// The first call is late.
    #[display("hedge")]
    Hedge,
    /// The previous call ended without an answer.
    #[display("retry after {_0}")]
    Retry(Ending),
}
