//! State of a request or branch in flight on one entry host, with one part for each
//! shard.

use std::collections::BTreeMap;
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
use crate::digest::Digest;
use crate::endpoint::Ending;
use crate::endpoint::Ticket;
use crate::name::Name;

/// Identifies a replica within this process.
pub type EndpointId = u32;

/// An open call for a part.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Identifies the call.
    pub ticket: Ticket,
    /// Replica that was called.
    pub endpoint: EndpointId,
    /// When it was sent.
    pub sent: Time,
}

/// Progress of a part.
#[derive(Clone, Debug)]
pub enum Stage {
    /// Sent to one replica, or to two after a hedge.
    Sent,
    /// Waiting until a replica has capacity.
    Waiting,
    /// Answered: the replica's stamp and the body.
    Done(Arc<str>, Bytes),
    /// Left out for this cause. With a time, the part is resumed then if the request
    /// needs it.
    Missing(Cause, Option<Time>),
}

/// Why a part is missing or a request is refused.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Cause {
    /// No replica of the service may be used, and none is held back or silent.
    #[display("no replica")]
    NoReplica,
    /// No replica could be used and at least one is held back or silent, or the last call
    /// could not be delivered.
    #[display("replicas held back")]
    HeldBack,
    /// A replica shed or denied the last call and the part may not be sent again.
    #[display("all replicas rejected it")]
    Shed,
    /// A replica failed and the part may not be sent again.
    #[display("replica failed")]
    Failed,
    /// The connection broke and the part may not be sent again.
    #[display("connection broke")]
    Broken,
    /// The entry host that gathered the part was lost.
    #[display("entry host lost")]
    HostLost,
    /// The deadline passed. No part gets this cause: one that is open at the deadline is
    /// left out.
    #[display("deadline")]
    Deadline,
    /// The request was answered or refused while the part was open.
    #[display("left out")]
    LeftOut,
    /// Servers ended under the part, which is not sent to further ones. Never sent to other
    /// hosts: an older one could not decode it.
    #[display("quarantined")]
    Quarantined,
    /// All usable replicas are at the limits that they name. Never sent to other hosts: an older
    /// one could not decode it.
    #[display("replicas at their limits")]
    Limited,
    /// The part waited for capacity until too little time was left for an answer, or the queue was
    /// full. Never sent to other hosts: an older one could not decode it.
    #[display("no capacity in time")]
    Expired,
}

/// The part of a request that goes to one service.
#[derive(Clone, Debug)]
pub struct Part {
    /// Service that the part goes to.
    pub service: Name,
    /// Progress of the part.
    pub stage: Stage,
    /// Calls that have not ended.
    pub attempts: Vec<Attempt>,
    /// Replicas that were called so far; a call that ended as stale does not count.
    pub tried: BTreeSet<EndpointId>,
    /// Replicas on which the part ran, may have run, or may still run, with the number of
    /// calls to each that did.
    pub maybe_ran: BTreeMap<EndpointId, u32>,
    /// Number of calls that may have reached a replica.
    pub maybe_delivered: u32,
    /// Number of calls that certainly reached no replica.
    pub undelivered: u32,
    /// When the part is sent to a second replica as well.
    pub hedge_at: Time,
}

/// Whether a flight serves a caller or another entry host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A whole request of a caller.
    Request,
    /// A branch, gathered for the entry host that ordered it.
    Branch {
        /// Order that asked for the branch.
        order: OrderId,
        /// Number of answered parts in the last reply.
        reported: usize,
    },
}

/// Work that another host may send to replicas as well: a branch, or a relayed request. Together
/// the hosts must stay within the route's `attempts_max`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shared {
    /// Rendezvous hashing key of the request, the same on all hosts, so that they pick the same
    /// replicas.
    pub key: u64,
    /// Whether another host may have received the work before.
    pub moved: bool,
    /// Whether no other host will receive it.
    pub committed: bool,
}

/// A request or branch in progress.
#[derive(Clone, Debug)]
pub struct Flight {
    /// Whether this is a caller's request or a branch.
    pub kind: Kind,
    /// Set if other hosts may send the same parts.
    pub shared: Option<Shared>,
    /// Route by which the request is served.
    pub route: Arc<Route>,
    /// Name of the request's account, if it has one.
    pub account: Option<Name>,
    /// Digest of the content, the same for each repeat of the request.
    pub fingerprint: Digest,
    /// When the request arrived.
    pub started: Time,
    /// Latest time for an answer.
    pub deadline: Time,
    /// From this time on, an answer with the needed parts is sent even if parts are
    /// missing.
    pub settle_at: Time,
    /// Parts, one for each service.
    pub parts: Vec<Part>,
    /// Number of answered parts.
    pub done: usize,
    /// Number of parts left out.
    pub missing: usize,
    /// Number of hedges and retries sent.
    pub extra: u32,
    /// When the request is rechecked next.
    pub recheck_at: Time,
    /// Whether this host fails most requests while the other entry hosts probably don't.
    pub others_healthier: bool,
}

impl Part {
    /// A part that has not been sent.
    pub fn new(service: Name) -> Part {
        Part {
            service,
            stage: Stage::Waiting,
            attempts: Vec::new(),
            tried: BTreeSet::new(),
            maybe_ran: BTreeMap::new(),
            maybe_delivered: 0,
            undelivered: 0,
            hedge_at: Time::default(),
        }
    }

    /// Replicas to which the part is limited, once it may have run on `attempts_max`
    /// replicas; `None` before.
    pub fn allowed_replicas(&self, attempts_max: u32) -> Option<BTreeSet<EndpointId>> {
        let bound = self.maybe_ran.len() >= attempts_max as usize;
        bound.then(|| self.maybe_ran.keys().copied().collect())
    }

    /// Removes an open call; returns when it was sent, if it was open.
    pub fn end_attempt(&mut self, ticket: Ticket) -> Option<Time> {
        let at = self.attempts.iter().position(|a| a.ticket == ticket)?;
        Some(self.attempts.remove(at).sent)
    }

    /// Records what the end of a call to a replica tells about runs there.
    pub fn record_ending(&mut self, endpoint: EndpointId, ending: Ending) {
        match ending {
            Ending::Shed | Ending::Denied => self.mark_not_run(endpoint),
            Ending::Unreachable | Ending::Stale => {
                self.mark_not_run(endpoint);
                self.maybe_delivered -= 1;
                self.undelivered += 1;
            }
            Ending::Answered
            | Ending::Failed
            | Ending::Broken
            | Ending::Ended
            | Ending::Withdrawn => {}
        }
        if ending == Ending::Stale {
            self.tried.remove(&endpoint);
        }
    }

    /// Records that the last call to a replica did not run there; earlier ones may have.
    fn mark_not_run(&mut self, endpoint: EndpointId) {
        if let Some(calls) = self.maybe_ran.get_mut(&endpoint) {
            *calls -= 1;
        }
        self.maybe_ran.retain(|_, calls| *calls > 0);
    }

    /// Changes the time at which a part that was left out is resumed.
    pub fn postpone(&mut self, until: Time) {
        if let Stage::Missing(_, Some(resume_at)) = &mut self.stage {
            *resume_at = until;
        }
    }

    /// Whether the part is neither answered nor left out.
    pub fn is_open(&self) -> bool {
        matches!(self.stage, Stage::Sent | Stage::Waiting)
    }
}

impl Flight {
    /// A flight with one part for each of `services`. `margin` is subtracted from the
    /// latency objective.
    pub fn new(
        now: Time,
        route: Arc<Route>,
        services: Vec<Name>,
        left: Span,
        margin: Span,
    ) -> Flight {
        let objective = route.objective.saturating_sub(margin);
        Flight {
            kind: Kind::Request,
            shared: None,
            account: None,
            fingerprint: Digest::default(),
            started: now,
            deadline: now.after(left),
            settle_at: now.after(objective.min(left)),
            parts: services.into_iter().map(Part::new).collect(),
            done: 0,
            missing: 0,
            extra: 0,
            recheck_at: Time::default(),
            others_healthier: false,
            route,
        }
    }

    /// Number of answered parts needed for a success. A branch may lack one, since other
    /// branches can make up for it.
    pub fn needed(&self) -> usize {
        let parts = self.parts.len();
        let needed = self.route.target.needed(parts);
        match self.kind {
            Kind::Request => needed,
            Kind::Branch { .. } => needed.min(parts.saturating_sub(1)),
        }
    }

    /// Whether a success is no longer possible.
    pub fn cannot_succeed(&self) -> bool {
        let lost = |part: &&Part| matches!(part.stage, Stage::Missing(_, None));
        let lost = self.parts.iter().filter(lost).count();
        self.parts.len() - lost < self.needed()
    }

    /// Whether no part is open and none will be resumed.
    pub fn is_settled(&self) -> bool {
        let needs = self.needs_missing();
        self.parts.iter().all(|part| match part.stage {
            Stage::Sent | Stage::Waiting => false,
            Stage::Missing(_, Some(_)) => !needs,
            Stage::Done(..) | Stage::Missing(_, None) => true,
        })
    }

    /// Whether parts that were left out are needed for a success.
    pub fn needs_missing(&self) -> bool {
        self.parts.len() - self.missing < self.needed()
    }

    /// Whether any part may have run on a replica.
    pub fn may_have_run(&self) -> bool {
        self.parts.iter().any(|part| !part.maybe_ran.is_empty())
    }

    /// Most frequent cause of parts left out.
    pub fn cause(&self) -> Option<Cause> {
        let causes = self.parts.iter().filter_map(|part| match part.stage {
            Stage::Missing(cause, _) => Some(cause),
            _ => None,
        });
        let causes = causes.collect::<Vec<_>>();
        let count = |cause: &&Cause| causes.iter().filter(|other| other == cause).count();
        causes.iter().max_by_key(count).copied()
    }

    /// Most frequent cause of parts left out, or [`Cause::LeftOut`] if parts are merely
    /// open.
    pub fn current_cause(&self) -> Option<Cause> {
        let open = self.parts.iter().any(Part::is_open);
        self.cause().or(open.then_some(Cause::LeftOut))
    }

    /// Service of the first part without an answer.
    pub fn first_missing(&self) -> Option<&Name> {
        let mut parts = self.parts.iter();
        let missing = parts.find(|part| !matches!(part.stage, Stage::Done(..)));
        missing.map(|part| &part.service)
    }
}
