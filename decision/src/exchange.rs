//! A call to a backend server, and what its end means for the sub-request and the server.
//!
//! The owner role issues a [`Call`]; the adapter sends it over HTTP and returns the
//! [`Exchange`].

use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Span;
use crate::limiter::Observation;
use crate::limiter::Ticket;
use crate::name::Name;
use crate::quota::Statement;
use crate::request::Answer;
use crate::request::Cause;
use crate::request::Index;
use crate::request::Outcome;
use crate::request::Request;

/// HTTP status with which a server rejects the requested index version.
const STATUS_INDEX_MISMATCH: u16 = 412;

/// HTTP statuses that count as shedding in the server's limiter, even without the header
/// that says so, unless the server reports that it is draining. The sub-request counts as
/// answered with that status.
const STATUS_SHED: [u16; 2] = [429, 503];

/// Result of a call over HTTP.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Exchange {
    /// A complete answer to this request.
    Answered {
        /// Answer of the server.
        answer: Answer,
        /// Boot identifier of the server, if stated.
        boot: Option<Name>,
        /// Whether the server reported that it is draining.
        draining: bool,
        /// Whether the server shed the request without running it.
        shed: bool,
        /// What the answer says about the server's limit.
        limit: Statement,
        /// Time for which the server wants no requests from this daemon.
        pause: Option<Span>,
    },
    /// No connection could be opened; no byte was sent.
    NotSent,
    /// The server had closed the idle connection; no byte was sent.
    StaleConnection,
    /// The connection broke after the request was sent; the server goes on running.
    Broken,
    /// The connection broke after the request was sent, because the server's process ended.
    Ended,
    /// The answer was incomplete, malformed, too long, or belonged to another request.
    BadAnswer,
}

/// A call to a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Identifier of the sub-request at this owner.
    pub ticket: Ticket,
    /// Address of the server.
    pub replica: SocketAddr,
    /// Request to send.
    pub request: Arc<Request>,
    /// Index version that the answer must have; absent for any.
    pub pin: Option<Index>,
    /// Time left to the deadline.
    pub time_left: Span,
}

impl Exchange {
    /// What the result shows about the server. A bad answer and a stale connection count
    /// as a cancelled call.
    pub fn observation(&self) -> Observation {
        match self {
            Exchange::Answered { shed: true, .. } => Observation::Shed,
            Exchange::Answered {
                answer,
                draining: false,
                ..
            } if STATUS_SHED.contains(&answer.status) => Observation::Shed,
            Exchange::Answered { boot, draining, .. } => Observation::Success {
                boot: boot.clone(),
                draining: *draining,
            },
            Exchange::NotSent | Exchange::Broken | Exchange::Ended => Observation::Reset,
            Exchange::BadAnswer | Exchange::StaleConnection => Observation::Cancelled,
        }
    }

    /// What the result says about the server's limit.
    pub fn limit(&self) -> Statement {
        match self {
            Exchange::Answered { limit, .. } => *limit,
            Exchange::NotSent
            | Exchange::StaleConnection
            | Exchange::Broken
            | Exchange::Ended
            | Exchange::BadAnswer => Statement::Nothing,
        }
    }

    /// Time for which the server wants no requests from this daemon.
    pub fn pause(&self) -> Option<Span> {
        match self {
            Exchange::Answered { pause, .. } => *pause,
            _ => None,
        }
    }

    /// Outcome of the sub-request.
    pub fn outcome(self) -> Outcome {
        match self {
            Exchange::Answered { shed: true, .. } => Outcome::not_run(Cause::Shed),
            Exchange::Answered { answer, .. } if answer.status == STATUS_INDEX_MISMATCH => {
                Outcome::IndexMismatch {
                    index: answer.index,
                }
            }
            Exchange::Answered { answer, .. } => Outcome::Answered(answer),
            Exchange::NotSent | Exchange::StaleConnection => Outcome::not_run(Cause::Unreachable),
            Exchange::Ended => Outcome::maybe_ran(Cause::ServerFailed),
            Exchange::Broken | Exchange::BadAnswer => Outcome::maybe_ran(Cause::BadAnswer),
        }
    }
}
