//! A request while several hosts gather for it: what is in, what may still come, and
//! whether that is enough.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;

use crate::branch::OrderId;
use crate::branch::Reply;
use crate::catalog::Route;
use crate::clock::Span;
use crate::clock::Time;
use crate::flight::Cause;
use crate::gateway::Answer;
use crate::merge;
use crate::name::Name;
use crate::plan;

/// A branch of a request and who gathers for it.
#[derive(Clone, Debug)]
pub(crate) struct Branch {
    /// Its shards.
    pub(crate) shards: Vec<Name>,
    /// The hosts that may gather for it.
    pub(crate) members: Vec<plan::Host>,
    /// The order that is out, or was last.
    pub(crate) order: OrderId,
    /// The host that has the order; none is this one.
    pub(crate) host: Option<SocketAddr>,
    /// Hosts that were asked.
    pub(crate) asked: BTreeSet<SocketAddr>,
    /// Whether a host that did not confirm may yet send parts.
    pub(crate) maybe_duplicated: bool,
    /// Time by which the host must confirm, until it has.
    pub(crate) confirm_by: Option<Time>,
    /// What the host told last.
    pub(crate) reply: Option<Reply>,
    /// Whether the host was lost after it confirmed.
    pub(crate) host_lost: bool,
}

/// A request while several hosts gather for it.
#[derive(Clone, Debug)]
pub(crate) struct Flight {
    /// Its route.
    pub(crate) route: Arc<Route>,
    /// When it came.
    pub(crate) started: Time,
    /// When an incomplete answer is worth more than a later complete one.
    pub(crate) settle_at: Time,
    /// When an answer is due at the latest.
    pub(crate) deadline: Time,
    /// Its branches.
    pub(crate) branches: Vec<Branch>,
    /// When it is looked at next.
    pub(crate) recheck_at: Time,
}

impl Branch {
    /// Whether nothing more will come.
    pub(crate) fn is_final(&self) -> bool {
        self.host_lost || self.reply.as_ref().is_some_and(|reply| reply.last)
    }

    /// Parts that are in.
    pub(crate) fn done(&self) -> usize {
        self.reply.as_ref().map_or(0, |reply| reply.stamps.len())
    }

    /// Whether parts of it may have run: not all hosts that were asked told that none
    /// did.
    pub(crate) fn may_have_run(&self) -> bool {
        let not_run = |reply: &Reply| reply.last && reply.stamps.is_empty() && !reply.ran;
        self.maybe_duplicated || !self.reply.as_ref().is_some_and(not_run)
    }
}

impl Flight {
    /// All parts.
    pub(crate) fn parts(&self) -> usize {
        self.branches.iter().map(|branch| branch.shards.len()).sum()
    }

    /// Parts that are in.
    pub(crate) fn done(&self) -> usize {
        self.branches.iter().map(Branch::done).sum()
    }

    /// Parts that must be in for a success.
    pub(crate) fn needed(&self) -> usize {
        self.route.target.needed(self.parts())
    }

    /// Whether a success is no longer possible.
    pub(crate) fn cannot_succeed(&self) -> bool {
        let possible = self.branches.iter().map(|branch| match branch.is_final() {
            true => branch.done(),
            false => branch.shards.len(),
        });
        possible.sum::<usize>() < self.needed()
    }

    /// Why parts are missing.
    pub(crate) fn cause(&self) -> Option<Cause> {
        let missing = self.branches.iter().filter(|b| b.done() < b.shards.len());
        let causes = missing.map(|branch| match &branch.reply {
            _ if branch.host_lost => Cause::HostLost,
            Some(reply) => reply.cause.unwrap_or(Cause::LeftOut),
            None => Cause::LeftOut,
        });
        causes.max()
    }

    /// A service whose part is missing.
    pub(crate) fn first_missing(&self) -> Option<Name> {
        let mut branches = self.branches.iter();
        let branch = branches.find(|branch| branch.done() < branch.shards.len())?;
        let named = branch
            .reply
            .as_ref()
            .and_then(|reply| reply.missing.clone());
        named.or_else(|| branch.shards.first().cloned())
    }

    /// When the request must be looked at again.
    pub(crate) fn next_recheck(&self, now: Time) -> Time {
        let confirms = self.branches.iter().filter_map(|b| b.confirm_by);
        let settle = (now < self.settle_at).then_some(self.settle_at);
        let next = confirms.chain(settle).chain([self.deadline]).min();
        next.unwrap_or(self.deadline)
            .max(now.after(Span::from_us(500)))
    }

    /// The answer from what is in.
    pub(crate) fn merged(&self) -> Answer {
        let replies = self.branches.iter().filter_map(|b| b.reply.as_ref());
        let mut stamps = Vec::with_capacity(self.parts());
        let mut bodies = Vec::with_capacity(self.branches.len());
        for reply in replies {
            stamps.extend(reply.stamps.iter().cloned());
            bodies.push(Bytes::copy_from_slice(&reply.body));
        }
        Answer::Merged {
            missing: self.parts() - stamps.len(),
            body: merge::greatest(&bodies, self.route.target.top()),
            stamps,
        }
    }
}
