//! What entry hosts tell each other about the branches of a request.

use std::sync::Arc;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::catalog::Repeat;
use crate::catalog::Route;
use crate::catalog::Target;
use crate::clock::Span;
use crate::flight::Cause;
use crate::name::Name;

/// Number of an order, unique at the host that gave it.
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

/// A caller's request as it goes to replicas.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Envelope {
    /// The caller's identifier of the request.
    pub id: Vec<u8>,
    /// Method.
    pub method: Vec<u8>,
    /// Value of the `Host` header.
    pub host: Arc<str>,
    /// Path and query.
    pub target: Arc<str>,
    /// Names and values of the headers that are passed on.
    pub headers: Vec<(Vec<u8>, Vec<u8>)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Asks a host to gather from some shards.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Order {
    /// Its number.
    pub id: OrderId,
    /// What goes to the replicas.
    pub envelope: Arc<Envelope>,
    /// Name of the route.
    pub route: Name,
    /// The shards.
    pub shards: Vec<Name>,
    /// Most records in the merged answer.
    pub top: u32,
    /// Smallest share of all shards with which an answer is a success.
    pub coverage_min: f64,
    /// Most replicas of each shard.
    pub attempts_max: u32,
    /// Whether another host may send the same parts.
    pub moved: bool,
    /// Latency within which an answer of the route has its full worth.
    pub objective: Span,
    /// Time until what is there should be told.
    pub settle: Span,
    /// Time until the request's deadline.
    pub left: Span,
}

/// What a host has gathered for an order so far. A later piece replaces the
/// earlier ones of the same order.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reply {
    /// The order.
    pub order: OrderId,
    /// Whether nothing more will come.
    pub last: bool,
    /// Stamps of the parts that are in.
    pub stamps: Vec<Arc<str>>,
    /// The greatest records of these parts.
    pub body: Vec<u8>,
    /// Whether any part may have run.
    pub ran: bool,
    /// Hedges and retries sent.
    pub extra: u32,
    /// Why parts are missing, mostly.
    pub cause: Option<Cause>,
    /// A service whose part is missing.
    pub missing: Option<Name>,
}

/// A message about a branch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Opens a connection ahead of the first order; an answer opens the one back.
    Greeting {
        /// Whether it answers another one.
        answer: bool,
    },
    /// Asks for a branch.
    Order(Order),
    /// The order arrived; nothing was sent for it before this.
    #[serde(rename = "Taken")]
    Confirmed(OrderId),
    /// The order goes to no other host.
    #[serde(rename = "Kept")]
    Committed(OrderId),
    /// What was gathered.
    #[serde(rename = "Piece")]
    Reply(Reply),
    /// The order is no longer needed.
    Cancel(OrderId),
}

impl Order {
    /// The route by which a branch is gathered.
    pub fn route(&self) -> Route {
        Route {
            name: self.route.clone(),
            host: self.envelope.host.clone(),
            prefix: Arc::default(),
            repeat: Repeat::Idempotent,
            timeout: self.left,
            objective: self.objective,
            priority: 0,
            attempts_max: self.attempts_max,
            target: Target::Gather {
                shards: self.shards.clone(),
                top: self.top as usize,
                coverage_min: self.coverage_min,
            },
        }
    }
}
