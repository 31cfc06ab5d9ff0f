//! Traces of slow or incomplete requests, with the course of each sub-request.
//!
//! The entry daemon keeps the latest traces in memory for the operators' command
//! `explain`.

use std::collections::VecDeque;
use std::net::SocketAddr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

/// Traces that one daemon keeps.
const TRACES_MAX: usize = 512;

/// Why a sub-request was sent.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// The first sub-request of the shard, or a scheduled retry after no owner or no
    /// failure domain in service was found.
    #[display("first")]
    First,
    /// Sent again, after a refusal, a failure or an answer from another index version.
    #[display("again")]
    Again,
    /// Sent to a server that runs nothing else, to find out whether the request crashes
    /// servers.
    #[display("canary")]
    Canary,
}

/// The course of one sub-request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// Shard that was asked.
    pub shard: Name,
    /// Address of the replica.
    pub replica: SocketAddr,
    /// Host of the daemon that owns the replica.
    pub owner: Name,
    /// Why the sub-request was sent.
    pub kind: Kind,
    /// Time from the start of the request to the sending, in microseconds.
    pub sent_us: u64,
    /// Time from the sending to the outcome, in microseconds.
    pub took_us: u64,
    /// Outcome as text, such as `answered 200` or `withdrawn`.
    pub outcome: String,
}

/// The course of one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Trace {
    /// Identifier of the request.
    pub request: Name,
    /// Service that was asked.
    pub service: Name,
    /// Caller that asked.
    pub caller: Name,
    /// Time from the start of the request to its answer, in microseconds.
    pub took_us: u64,
    /// The answer as text, such as `complete` or `status 200`.
    pub answer: String,
    /// Sub-requests in the order in which they ended.
    pub steps: Vec<Step>,
}

/// The traces of the latest slow or incomplete requests, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    traces: VecDeque<Trace>,
}

impl Recent {
    /// Adds a trace and drops the oldest one if the limit is reached.
    pub fn push(&mut self, trace: Trace) {
        if self.traces.len() == TRACES_MAX {
            self.traces.pop_front();
        }
        self.traces.push_back(trace);
    }

    /// The latest trace of the request with this identifier, if one is kept.
    pub fn find(&self, request: &str) -> Option<&Trace> {
        self.traces
            .iter()
            .rev()
            .find(|trace| *trace.request == *request)
    }
}
