//! Messages between entry hosts about the branches of a request.
//!
//! A branch is some of the shards of a request. A host that splits a request into
//! branches gathers a branch itself or sends an [`Order`] for it: an order asks another
//! entry host to gather the branch. The receiving host confirms the order, gathers from
//! the shards and sends replies. An order that is not confirmed in time moves: it is
//! cancelled, and a new order for the same branch goes to the next host, or to the sender
//! itself. The new order is marked as `moved` if the earlier one may have arrived, since
//! both hosts may then send the same parts. A confirmed order that is not marked as
//! `moved` is committed: no other host will send its parts.
//!
//! Three types describe a branch: `plan::Branch` names the hosts that may gather it,
//! `scatter::Branch` is the state on the host that orders it, and `gateway::Branch` is the
//! order as the gathering host's gateway takes it.
//!
//! The types are serialized by position.

use std::sync::Arc;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::account::token;
use crate::appended::Appended;
use crate::catalog::Repeat;
use crate::catalog::Route;
use crate::catalog::Target;
use crate::clock::Span;
use crate::flight::Cause;
use crate::name::Name;
use crate::relay::RelayId;

/// Bits of an identifier that count within a run of a process; those above tell the runs apart.
const COUNTER_BITS: u32 = 24;

/// Number before the first identifier of a run of a process. Runs with different seeds have different
/// identifiers, so that a late message to an earlier run belongs to nothing in this one.
pub(crate) fn first_number(seed: u64) -> u64 {
    (seed & 0xffff) << COUNTER_BITS
}

/// Identifies an order at the host that sent it.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct OrderId(pub u64);

/// A caller's HTTP request in the form in which it is sent to replicas.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Envelope {
    /// Identifier that the caller gave the request.
    pub id: Vec<u8>,
    /// HTTP method.
    pub method: Vec<u8>,
    /// Value of the `Host` header.
    pub host: Arc<str>,
    /// Path and query.
    pub target: Arc<str>,
    /// Names and values of the forwarded headers.
    pub headers: Vec<(Vec<u8>, Vec<u8>)>,
    /// Body of the request.
    pub body: Vec<u8>,
}

/// Asks a host to gather from some shards of a route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Order {
    /// Identifies the order; replies repeat it.
    pub id: OrderId,
    /// Request to send to the replicas.
    pub envelope: Arc<Envelope>,
    /// Name of the route.
    pub route: Name,
    /// Services that hold the shards.
    pub shards: Vec<Name>,
    /// Most records in a reply.
    pub top: u32,
    /// Smallest share of the shards that must answer for a success, from 0 to 1.
    pub coverage_min: f64,
    /// Most replicas of each shard on which the request may run.
    pub attempts_max: u32,
    /// Whether another host may have received an earlier order for the branch, and so may
    /// send the same parts.
    pub moved: bool,
    /// Latency objective of the route.
    pub objective: Span,
    /// Time until partial results should be reported.
    pub settle: Span,
    /// Time until the request's deadline.
    pub left: Span,
    /// Priority of the route under load; zero is the most important.
    pub priority: Appended<u32>,
}

/// Everything that a host has gathered for an order so far. A later reply replaces
/// earlier ones for the same order.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reply {
    /// The order that the reply belongs to.
    pub order: OrderId,
    /// Whether this is the final reply.
    pub last: bool,
    /// Stamps of the answered parts.
    pub stamps: Vec<Arc<str>>,
    /// Greatest records of the answered parts.
    pub body: Vec<u8>,
    /// Whether any part may have run.
    pub ran: bool,
    /// Number of hedges and retries sent.
    pub extra: u32,
    /// Most frequent cause of missing parts; absent if none is missing.
    pub cause: Option<Cause>,
    /// Service of a missing part; absent if none is missing.
    pub missing: Option<Name>,
}

/// A message about a branch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Opens a connection before the first order is sent. The receiver answers with a
    /// greeting of its own, which opens the connection in the other direction.
    Greeting {
        /// Whether this greeting answers another one.
        answer: bool,
    },
    /// Asks the receiver to gather a branch.
    Order(Order),
    /// Confirms that an order arrived; sent before any part of the order is sent to
    /// replicas.
    #[serde(rename = "Taken")]
    Confirmed(OrderId),
    /// Tells the receiver that its order goes to no other host.
    #[serde(rename = "Kept")]
    Committed(OrderId),
    /// Reports what was gathered.
    #[serde(rename = "Piece")]
    Reply(Reply),
    /// Cancels an order.
    Cancel(OrderId),
    /// Asks the receiver to serve a whole request for one replica. Only sent while all entry hosts
    /// report the state of their links, which older builds don't. Ends with the version of the
    /// sender's configuration, zero from older builds, and with whether another host may have
    /// received the request before.
    Relay(RelayId, Arc<Envelope>, Span, Appended<u64>, Appended<bool>),
    /// Confirms that a relayed request arrived; sent before it goes to a replica.
    RelayConfirmed(RelayId),
    /// Declines a relayed request; it did not run.
    RelayDeclined(RelayId),
    /// Answers a relayed request.
    Relayed(RelayId, Relayed),
    /// Cancels a relayed request.
    RelayCancel(RelayId),
    /// Asks the receiver for tokens of an account's quota.
    Token(token::Request),
    /// Answers a request for tokens.
    TokenReply(token::Reply),
}

/// The answer to a relayed request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Relayed {
    /// A replica's response.
    Response {
        /// HTTP status.
        status: u16,
        /// Names and values of the headers.
        headers: Vec<(Vec<u8>, Vec<u8>)>,
        /// Body of the response.
        body: Vec<u8>,
    },
    /// The request did not run; the time after which the caller may come back.
    NotRun(Option<Span>),
    /// The request did not run, because servers ended under earlier ones of the same content.
    Quarantined(Option<Span>),
    /// No route matches.
    NoRoute,
    /// The request may have run.
    Failed,
    /// The deadline passed.
    Timeout,
}

impl Order {
    /// Route with which the receiver gathers the branch.
    pub fn route(&self) -> Route {
        Route {
            name: self.route.clone(),
            host: self.envelope.host.clone(),
            prefix: Arc::default(),
            repeat: Repeat::Idempotent,
            timeout: self.left,
            objective: self.objective,
            priority: *self.priority,
            open: true,
            attempts_max: self.attempts_max,
            target: Target::Gather {
                shards: self.shards.clone(),
                top: self.top as usize,
                coverage_min: self.coverage_min,
            },
        }
    }
}
