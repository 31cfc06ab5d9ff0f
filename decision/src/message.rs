//! Inputs, effects and messages of a daemon.

use crate::digest::Digest;
use crate::exchange::Call;
use crate::exchange::Exchange;
use crate::gate::Health;
use crate::gate::Ticket;
use crate::lease::Confirm;
use crate::lease::Poll;
use crate::name::Name;
use crate::query::Reply;
use crate::register::Change;
use crate::register::Decision;
use crate::register::Key;
use crate::request::Batch;
use crate::request::Outcome;
use crate::request::Request;
use crate::suspect::Ruling;
use crate::suspect::Standing;
use crate::voter;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Who sends work to backend servers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum Dispatch {
    /// The one daemon that owns all replicas of the shard, under their full limits.
    #[default]
    #[display("owner")]
    Owner,
    /// The one daemon that owns the replica; a shard's replicas have different
    /// owners. Kept as a baseline.
    #[display("apart")]
    Apart,
    /// Every daemon, each under its part of the limits; kept as a baseline.
    #[display("direct")]
    Direct,
}

/// Who a daemon is.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Identity {
    /// Its host.
    pub host: Name,
    /// Its host's failure domain.
    pub domain: Name,
    /// Random number of this run.
    pub boot: u64,
    /// Where peers and operators reach it; none where it isn't polled for.
    pub addresses: Option<Addresses>,
    /// The voters by host, with their addresses.
    pub voters: BTreeMap<Name, SocketAddr>,
    /// Who sends work to backend servers.
    pub dispatch: Dispatch,
}

/// Addresses of a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// For peers, TCP and UDP.
    pub peer: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

/// A message between daemons over a connection.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Sub-requests for replicas of the receiver.
    Ask(Batch),
    /// Withdraws a sub-request.
    Cancel(u64),
    /// What became of a sub-request.
    Reply(u64, SocketAddr, Outcome),
    /// The state of a replica of the sender.
    Hint(SocketAddr, Health, Option<Name>),
    /// What is known of a request that may stop servers.
    Standing(Digest, Standing),
    /// Asks for leave to run a query of the sender as a canary.
    Arbiter(u64, Digest),
    /// The ruling on it.
    Ruling(u64, Ruling),
    /// A canary ended without showing anything.
    Untried(Digest),
    /// Asks nothing; a refused connection tells that a daemon has ended.
    Probe,
    /// Nothing of the sender's run, by its boot number, is left at a replica.
    Yield(SocketAddr, u64),
    /// Between voters.
    Voter(voter::Message),
    /// Has the receiving voter decide a change.
    Propose(u64, Key, Change),
    /// The decision.
    Decided(u64, Decision),
}

/// A datagram between daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Datagram {
    /// To a voter.
    Poll(Poll),
    /// From a voter.
    Confirm(Confirm),
}

/// An input of the daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A caller's request.
    Request(u64, Arc<Request>),
    /// A message of another daemon.
    Message(Name, Message),
    /// The connection to or from another daemon broke.
    Lost(Name),
    /// A connection from another daemon opened.
    Joined(Name),
    /// Another daemon's host refused a connection: its process has ended.
    Refused(Name),
    /// A message could not be sent, and no byte of it was.
    Unsent(Name, Message),
    /// A datagram.
    Datagram(SocketAddr, Datagram),
    /// The end of a call to a backend server.
    Exchange(Ticket, Exchange),
    /// Records up to this number are synced.
    Synced(u64),
    /// The disk failed.
    DiskFailed,
    /// An operator's file.
    Apply(u64, Arc<str>),
    /// A caller went away.
    Abandoned(u64),
    /// A planned stop.
    Stop,
    /// Time passes.
    Tick,
}

/// Something to be logged.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum Note {
    /// The lease was gained.
    #[display("lease gained")]
    LeaseGained,
    /// The lease lapsed.
    #[display("lease lapsed")]
    LeaseLapsed,
    /// A file is in force.
    #[display("file {_0} in force")]
    InForce(u64),
    /// An accepted file can't be read by this daemon.
    #[display("file {_0} not understood")]
    NotUnderstood(u64),
    /// A replica's state changed.
    #[display("replica {_0} {_1}")]
    Replica(SocketAddr, Health),
    /// A request's standing changed.
    #[display("request {_0} {_1}")]
    Standing(Digest, Standing),
    /// The voter's mode changed.
    #[display("voter {_0}")]
    Voter(String),
    /// The daemons alive changed.
    #[display("members {_0}")]
    Members(String),
}

/// An effect of the daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Answer a caller.
    Reply(u64, Reply),
    /// Send a message to a daemon at an address.
    Message(Name, SocketAddr, Message),
    /// Send a datagram.
    Datagram(SocketAddr, Datagram),
    /// Call a backend server.
    Call(Call),
    /// Give up a call.
    Abort(Ticket),
    /// Close the connections to a backend server.
    Release(SocketAddr),
    /// Append and sync a record.
    Persist(u64, voter::Record),
    /// Answer an operator.
    Applied(u64, Decision),
    /// Log.
    Note(Note),
}
