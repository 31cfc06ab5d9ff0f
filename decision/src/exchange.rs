//! A call to a backend server and what its end shows.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Span;
use crate::limiter::Observation;
use crate::limiter::Ticket;
use crate::name::Name;
use crate::request::Answer;
use crate::request::Cause;
use crate::request::Index;
use crate::request::Outcome;
use crate::request::Request;

/// HTTP status with which a server says that it can't serve the index version.
const STATUS_VERSION: u16 = 412;

/// HTTP statuses with which a server sheds load.
const STATUS_SHED: [u16; 2] = [429, 503];

/// What an exchange over HTTP came to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Exchange {
    /// A complete answer to this very request.
    Answered {
        /// The answer.
        answer: Answer,
        /// The server's boot identifier.
        boot: Option<Name>,
        /// The server drains.
        draining: bool,
        /// The server shed the request without running it.
        shed: bool,
    },
    /// No byte was sent.
    NotSent,
    /// No byte was sent, as the server had closed the idle connection.
    StaleConnection,
    /// The connection broke after the request was sent.
    Broken,
    /// The answer was cut short or belonged to another request.
    BadAnswer,
}

/// A call to a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Identifier of the sub-request at this owner.
    pub ticket: Ticket,
    /// Address of the server.
    pub replica: SocketAddr,
    /// The request.
    pub request: Arc<Request>,
    /// Index version wanted.
    pub pin: Option<Index>,
    /// Time left.
    pub time_left: Span,
}

impl Exchange {
    /// What it shows of the server.
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
            Exchange::NotSent | Exchange::Broken => Observation::Reset,
            Exchange::BadAnswer | Exchange::StaleConnection => Observation::Cancelled,
        }
    }

    /// What became of the sub-request.
    pub fn outcome(self) -> Outcome {
        match self {
            Exchange::Answered { shed: true, .. } => Outcome::not_run(Cause::Shed),
            Exchange::Answered { answer, .. } if answer.status == STATUS_VERSION => {
                Outcome::IndexMismatch {
                    index: answer.index,
                }
            }
            Exchange::Answered { answer, .. } => Outcome::Answered(answer),
            Exchange::NotSent | Exchange::StaleConnection => Outcome::not_run(Cause::Unreachable),
            Exchange::Broken => Outcome::maybe_ran(Cause::ServerFailed),
            Exchange::BadAnswer => Outcome::maybe_ran(Cause::BadAnswer),
        }
    }
}
