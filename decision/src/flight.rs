//! One caller's request while it is served: its parts, one for each shard.

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::branch::OrderId;
use crate::catalog::Route;
use crate::clock::Span;
use crate::clock::Time;
use crate::endpoint::Ticket;
use crate::name::Name;

/// Number of a replica in this process.
pub type EndpointId = u32;

/// A request that is out at a replica.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Its number.
    pub ticket: Ticket,
    /// The replica.
    pub endpoint: EndpointId,
    /// When it was sent.
    pub sent: Time,
}

/// Where a part stands.
#[derive(Clone, Debug)]
pub enum Stage {
    /// It is out at one replica or two.
    Out,
    /// It waits for a replica that may take it.
    Waiting,
    /// It is answered: the replica's stamp and body.
    Done(Arc<str>, Bytes),
    /// It is left out; the request may come back to it at this time if it needs to.
    Missing(Cause, Option<Time>),
}

/// Why a part is missing or a request is refused.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Cause {
    /// No replica of the service is listed and in service.
    #[display("no replica")]
    NoReplica,
    /// All replicas are held back after failures.
    #[display("replicas held back")]
    HeldBack,
    /// All replicas rejected it.
    #[display("all replicas rejected it")]
    Shed,
    /// A replica failed, and no other one may be asked.
    #[display("replica failed")]
    Failed,
    /// The connection broke, and no other replica may be asked.
    #[display("connection broke")]
    Broken,
    /// The entry host that gathered it was lost.
    #[display("entry host lost")]
    HostLost,
    /// Time ran out.
    #[display("deadline")]
    Deadline,
    /// Waiting longer was worth less than answering.
    #[display("left out")]
    LeftOut,
}

/// One part of a request.
#[derive(Clone, Debug)]
pub struct Part {
    /// The service asked.
    pub service: Name,
    /// Where it stands.
    pub stage: Stage,
    /// Requests that are out.
    pub attempts: Vec<Attempt>,
    /// Replicas asked so far.
    pub tried: BTreeSet<EndpointId>,
    /// Replicas on which it may have run, or may still run.
    pub ran: BTreeSet<EndpointId>,
    /// Requests that may have arrived at a replica.
    pub arrivals: u32,
    /// Requests that certainly did not arrive.
    pub unsent: u32,
    /// When another replica is asked as well.
    pub hedge_at: Time,
}

/// For whom parts are gathered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// For a caller.
    Whole,
    /// For an entry host that merges branches.
    Branch {
        /// The order.
        order: OrderId,
        /// Rank by which all hosts pick the same replicas for the request.
        key: u64,
        /// Whether another host may have sent the same parts.
        moved: bool,
        /// Whether no other host will send them.
        kept: bool,
        /// Parts told so far.
        told: usize,
    },
}

/// A request while it is served.
#[derive(Clone, Debug)]
pub struct Flight {
    /// For whom its parts are gathered.
    pub kind: Kind,
    /// Its route.
    pub route: Arc<Route>,
    /// When it came.
    pub started: Time,
    /// When an answer is due at the latest.
    pub deadline: Time,
    /// When an incomplete answer is worth more than a later complete one.
    pub settle_at: Time,
    /// Its parts.
    pub parts: Vec<Part>,
    /// Parts answered.
    pub done: usize,
    /// Parts given up.
    pub missing: usize,
    /// Hedges and retries sent.
    pub extra: u32,
    /// When it is looked at next.
    pub look_at: Time,
    /// Whether other entry hosts probably serve it if this one can't.
    pub elsewhere: bool,
}

impl Part {
    /// A part that was not sent yet.
    pub fn new(service: Name) -> Part {
        Part {
            service,
            stage: Stage::Waiting,
            attempts: Vec::new(),
            tried: BTreeSet::new(),
            ran: BTreeSet::new(),
            arrivals: 0,
            unsent: 0,
            hedge_at: Time::default(),
        }
    }

    /// The replicas to which it is bound, if it may have run on as many as allowed.
    pub fn allowed(&self, attempts_max: u32) -> Option<BTreeSet<EndpointId>> {
        let bound = self.ran.len() >= attempts_max as usize;
        bound.then(|| self.ran.clone())
    }

    /// Notes that it did not run on a replica, unless it is out there once more.
    pub fn unrun(&mut self, endpoint: EndpointId) {
        let out = |attempt: &Attempt| attempt.endpoint == endpoint;
        if !self.attempts.iter().any(out) {
            self.ran.remove(&endpoint);
        }
    }

    /// Tries it again later than planned, if it was left out.
    pub fn postpone(&mut self, until: Time) {
        if let Stage::Missing(_, Some(again)) = &mut self.stage {
            *again = until;
        }
    }

    /// Whether it is neither answered nor given up.
    pub fn is_open(&self) -> bool {
        matches!(self.stage, Stage::Out | Stage::Waiting)
    }
}

impl Flight {
    /// A request whose parts go to `services`.
    pub fn new(
        now: Time,
        route: Arc<Route>,
        services: Vec<Name>,
        left: Span,
        margin: Span,
    ) -> Flight {
        let objective = route.objective.saturating_sub(margin);
        Flight {
            kind: Kind::Whole,
            started: now,
            deadline: now.after(left),
            settle_at: now.after(objective.min(left)),
            parts: services.into_iter().map(Part::new).collect(),
            done: 0,
            missing: 0,
            extra: 0,
            look_at: Time::default(),
            elsewhere: false,
            route,
        }
    }

    /// Parts that must be answered for a success. A branch may lack one, for which
    /// the other branches make up.
    pub fn needed(&self) -> usize {
        let parts = self.parts.len();
        let needed = self.route.target.needed(parts);
        match self.kind {
            Kind::Whole => needed,
            Kind::Branch { .. } => needed.min(parts.saturating_sub(1)),
        }
    }

    /// Whether a success is no longer possible.
    pub fn is_lost(&self) -> bool {
        let lost = |part: &&Part| matches!(part.stage, Stage::Missing(_, None));
        let lost = self.parts.iter().filter(lost).count();
        self.parts.len() - lost < self.needed()
    }

    /// Whether no part is open or will be taken up again.
    pub fn is_settled(&self) -> bool {
        let needs = self.needs_missing();
        self.parts.iter().all(|part| match part.stage {
            Stage::Out | Stage::Waiting => false,
            Stage::Missing(_, Some(_)) => !needs,
            Stage::Done(..) | Stage::Missing(_, None) => true,
        })
    }

    /// Whether parts that were left out are needed for a success.
    pub fn needs_missing(&self) -> bool {
        self.parts.len() - self.missing < self.needed()
    }

    /// Whether it may have run anywhere.
    pub fn may_have_run(&self) -> bool {
        self.parts.iter().any(|part| !part.ran.is_empty())
    }

    /// The most frequent cause of missing parts.
    pub fn cause(&self) -> Option<Cause> {
        let causes = self.parts.iter().filter_map(|part| match part.stage {
            Stage::Missing(cause, _) => Some(cause),
            _ => None,
        });
        let causes = causes.collect::<Vec<_>>();
        let count = |cause: &&Cause| causes.iter().filter(|other| other == cause).count();
        causes.iter().max_by_key(count).copied()
    }
    /// Why parts are missing now, mostly.
    pub fn cause_now(&self) -> Option<Cause> {
        let open = self.parts.iter().any(Part::is_open);
        self.cause().or(open.then_some(Cause::LeftOut))
    }

    /// The service of the first part that is missing now.
    pub fn first_missing(&self) -> Option<&Name> {
        let mut parts = self.parts.iter();
        let missing = parts.find(|part| !matches!(part.stage, Stage::Done(..)));
        missing.map(|part| &part.service)
    }
}
