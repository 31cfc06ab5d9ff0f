//! Records of what each sub-request of a slow or incomplete request did.

use std::collections::VecDeque;
use std::net::SocketAddr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

/// Records kept by one daemon.
const TRACES_MAX: usize = 512;

/// Why a sub-request was sent.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// As the first of its shard.
    #[display("first")]
    First,
    /// After a refusal or failure.
    #[display("again")]
    Again,
    /// To find out whether the request stops servers.
    #[display("canary")]
    Canary,
}

/// One sub-request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// The shard.
    pub shard: Name,
    /// The replica's address.
    pub replica: SocketAddr,
    /// Host of the owner.
    pub owner: Name,
    /// Why it was sent.
    pub kind: Kind,
    /// When it was sent, from the request's start, in microseconds.
    pub sent_us: u64,
    /// How long it took, in microseconds.
    pub took_us: u64,
    /// What became of it.
    pub outcome: String,
}

/// One request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Trace {
    /// The request's identifier.
    pub request: Name,
    /// The service.
    pub service: Name,
    /// The caller.
    pub caller: Name,
    /// Time to the answer, in microseconds.
    pub took_us: u64,
    /// The answer in a word.
    pub answer: String,
    /// Its sub-requests in the order of their ends.
    pub steps: Vec<Step>,
}

/// The records of the last slow or incomplete requests.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    traces: VecDeque<Trace>,
}

impl Recent {
    /// Keeps a record; the oldest makes room.
    pub fn push(&mut self, trace: Trace) {
        if self.traces.len() == TRACES_MAX {
            self.traces.pop_front();
        }
        self.traces.push_back(trace);
    }

    /// The record of a request.
    pub fn find(&self, request: &str) -> Option<&Trace> {
        self.traces
            .iter()
            .rev()
            .find(|trace| *trace.request == *request)
    }
}
