//! Inputs and actions of a daemon, and the messages between daemons.
//!
//! The adapter feeds [`Event`]s to [`Daemon::step`](crate::daemon::Daemon::step) and
//! carries out the returned [`Action`]s. Messages and datagrams are encoded by position.

use crate::appended::Appended;
use crate::clock::Time;
use crate::digest::Digest;
use crate::exchange::Call;
use crate::exchange::Exchange;
use crate::lease::Confirm;
use crate::lease::Poll;
use crate::limiter::Health;
use crate::limiter::Ticket;
use crate::name::Name;
use crate::query::Reply;
use crate::quota::Rate;
use crate::register::Change;
use crate::register::Decision;
use crate::register::Key;
use crate::request::Batch;
use crate::request::Outcome;
use crate::request::Request;
use crate::suspect::Ruling;
use crate::suspect::Standing;
use crate::uplink;
use crate::voter;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Which daemons send sub-requests to backend servers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum Dispatch {
    /// The one daemon that owns all replicas of the shard, under their full limits.
    #[default]
    #[display("owner")]
    Owner,
    /// The one daemon that owns the replica; the replicas of a shard have different
    /// owners. Kept as a baseline.
    #[display("apart")]
    Apart,
    /// Every daemon, each under its part of the limits. Kept as a baseline.
    #[display("direct")]
    Direct,
}

/// Identity of a daemon and its place in the group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Identity {
    /// Host of the daemon.
    pub host: Name,
    /// Failure domain of the host.
    pub domain: Name,
    /// Boot number: a random number for this run.
    pub boot: u64,
    /// Addresses for peers and operators; absent if the daemon does not poll voters.
    pub addresses: Option<Addresses>,
    /// Peer addresses of the voters, by host.
    pub voters: BTreeMap<Name, SocketAddr>,
    /// Which daemons send sub-requests to backend servers.
    pub dispatch: Dispatch,
}

/// Addresses of a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// Address for peers, over TCP and UDP.
    pub peer: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
}

/// A message between daemons over a connection.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Sub-requests for replicas that the receiver owns.
    #[serde(rename = "Ask")]
    Batch(Batch),
    /// Cancels the sender's sub-request with this identifier.
    Cancel(u64),
    /// Outcome of the receiver's sub-request with this identifier, and the replica it was
    /// assigned to.
    #[serde(rename = "Reply")]
    Outcome(u64, SocketAddr, Outcome),
    /// Health, boot identifier and named limit of a replica that the sender owns.
    #[serde(rename = "Hint")]
    Health(SocketAddr, Health, Option<Name>, Appended<Option<Rate>>),
    /// Standing of a request suspected of making servers fail.
    Standing(Digest, Standing),
    /// Asks the arbiter for permission to run a query of the sender as a canary.
    #[serde(rename = "Arbiter")]
    CanaryRequest(u64, Digest),
    /// Ruling on a query of the receiver.
    Ruling(u64, Ruling),
    /// A canary ended without a result.
    #[serde(rename = "Untried")]
    CanaryInconclusive(Digest),
    /// Empty message: if the connection for it is refused, the receiver's process has
    /// ended.
    Probe,
    /// No sub-request of the sender's run, given by its boot number, is left at a
    /// replica.
    #[serde(rename = "Yield")]
    ReplicaReleased(SocketAddr, u64),
    /// A message between voters.
    Voter(voter::Message),
    /// Asks the receiving voter to decide a change; the number identifies the proposal.
    Propose(u64, Key, Change),
    /// The decision on the receiver's proposal with this number.
    Decided(u64, Decision),
}

/// A datagram between daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Datagram {
    /// A daemon's poll of a voter.
    Poll(Poll),
    /// A voter's answer to a poll.
    Confirm(Confirm),
}

/// What a trial connection to a backend server is to show.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Whether this daemon's links to the servers work.
    Links,
    /// Whether a server that gets no requests has ended and started anew.
    Restart,
}

/// An input of a daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A caller sent a request; the number identifies it in the reply.
    Request(u64, Arc<Request>),
    /// A message from another daemon.
    Message(Name, Message),
    /// The connection to or from another daemon broke.
    PeerLost(Name),
    /// A connection from another daemon was opened.
    PeerJoined(Name),
    /// Another daemon's host refused a connection that was opened at this time: the process of the
    /// daemon that polled before has ended.
    PeerEnded(Name, Time),
    /// A message to another daemon could not be sent; no byte of it was sent.
    Unsent(Name, Message),
    /// A datagram from an address.
    Datagram(SocketAddr, Datagram),
    /// The connection of a call broke before its answer was whole. Its end follows when it is known
    /// whether the server ended.
    CallBroke(Ticket),
    /// A call to a backend server ended.
    Exchange(Ticket, Exchange),
    /// The voter's records up to this number are on disk.
    Synced(u64),
    /// The voter's disk refuses a write.
    DiskFailed,
    /// The voter's disk took the write that it had refused.
    DiskRegained,
    /// An operator submitted a file; the number identifies it in the answer.
    Apply(u64, Arc<str>),
    /// The caller of the request with this number disconnected.
    Abandoned(u64),
    /// A planned stop begins; the requests of callers are answered by this time.
    Stop(Time),
    /// A trial connection to a backend server ended; true if the server can be reached.
    Probed(Purpose, SocketAddr, bool),
    /// Periodic tick; handles due timers.
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
    /// The file of this version came into force.
    #[display("file {_0} in force")]
    InForce(u64),
    /// The file of this version was accepted, but this daemon can't read it.
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
    /// The live daemons that may own replicas changed.
    #[display("members {_0}")]
    Members(String),
    /// The state of this daemon's links to the backend servers changed.
    #[display("links to the servers {_0}")]
    Links(uplink::State),
}

/// An action that the adapter must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Answer the caller of the request with this number.
    Reply(u64, Reply),
    /// Send a message to the daemon on a host at its address.
    Message(Name, SocketAddr, Message),
    /// Send a datagram to an address.
    Datagram(SocketAddr, Datagram),
    /// Call a backend server.
    Call(Call),
    /// Abort the call with this ticket.
    Abort(Ticket),
    /// Try to open a connection to a backend server, and report with [`Event::Probed`] whether the
    /// server can be reached.
    Probe(Purpose, uplink::Probe),
    /// Close the connections to a backend server.
    CloseConnections(SocketAddr),
    /// Append the voter's record with this number and sync it.
    Persist(u64, voter::Record),
    /// Answer the operator whose file has this number.
    Applied(u64, Decision),
    /// Log a note.
    Note(Note),
}
