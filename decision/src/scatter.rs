//! State of a request that several entry hosts gather for: the branches with their
//! replies, and whether these suffice for an answer. Used by `fanout`. The `Flight` here
//! is the whole request; each branch is a `flight::Flight` on the host that gathers it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;

use crate::answer::Answer;
use crate::branch::OrderId;
use crate::branch::Reply;
use crate::catalog::Route;
use crate::clock::Span;
use crate::clock::Time;
use crate::flight::Cause;
use crate::merge;
use crate::name::Name;
use crate::plan;

/// A branch of a request and the host that gathers it.
#[derive(Clone, Debug)]
pub(crate) struct Branch {
    /// Shards of the branch.
    pub(crate) shards: Vec<Name>,
    /// Hosts that may gather the branch, by the plan.
    pub(crate) members: Vec<plan::Host>,
    /// The most recent order for the branch.
    pub(crate) order: OrderId,
    /// Host that received the order; absent if this host gathers the branch itself.
    pub(crate) host: Option<SocketAddr>,
    /// Hosts that received an order for the branch so far.
    pub(crate) asked: BTreeSet<SocketAddr>,
    /// Whether another host may have received an earlier order for the branch, and so may
    /// send the same parts. Sent as `moved` with a new order.
    pub(crate) maybe_duplicated: bool,
    /// Time by which the host must confirm the order; absent if the order can no longer move
    /// to another host.
    pub(crate) confirm_by: Option<Time>,
    /// The latest reply of the host.
    pub(crate) reply: Option<Reply>,
    /// Whether the host was lost when the order could no longer move to another host.
    pub(crate) host_lost: bool,
}

/// A request that several hosts gather for.
#[derive(Clone, Debug)]
pub(crate) struct Flight {
    /// Route that matches the request.
    pub(crate) route: Arc<Route>,
    /// When the request arrived.
    pub(crate) started: Time,
    /// From this time on, an answer with the needed parts is sent even if parts are
    /// missing.
    pub(crate) settle_at: Time,
    /// Latest time for an answer.
    pub(crate) deadline: Time,
    /// Branches in the order of the plan.
    pub(crate) branches: Vec<Branch>,
    /// Whether this host must not gather a branch itself while others can.
    pub(crate) others_only: bool,
    /// When the request is rechecked next.
    pub(crate) recheck_at: Time,
}

impl Branch {
    /// Whether no more parts will come.
    pub(crate) fn is_final(&self) -> bool {
        self.host_lost || self.reply.as_ref().is_some_and(|reply| reply.last)
    }

    /// Number of answered parts.
    pub(crate) fn done(&self) -> usize {
        self.reply.as_ref().map_or(0, |reply| reply.stamps.len())
    }

    /// Whether parts of the branch may have run. They did not if only one host can have
    /// received an order and its final reply says that nothing ran.
    pub(crate) fn may_have_run(&self) -> bool {
        let not_run = |reply: &Reply| reply.last && reply.stamps.is_empty() && !reply.ran;
        self.maybe_duplicated || !self.reply.as_ref().is_some_and(not_run)
    }
}

impl Flight {
    /// Number of parts in all branches.
    pub(crate) fn parts(&self) -> usize {
        self.branches.iter().map(|branch| branch.shards.len()).sum()
    }

    /// Number of answered parts in all branches.
    pub(crate) fn done(&self) -> usize {
        self.branches.iter().map(Branch::done).sum()
    }

    /// Number of answered parts needed for a success.
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

    /// Why parts are missing; `None` if all are answered. If branches differ, the last of
    /// their causes in the order of [`Cause`].
    pub(crate) fn cause(&self) -> Option<Cause> {
        let missing = self.branches.iter().filter(|b| b.done() < b.shards.len());
        let causes = missing.map(|branch| match &branch.reply {
            _ if branch.host_lost => Cause::HostLost,
            Some(reply) => reply.cause.unwrap_or(Cause::LeftOut),
            None => Cause::LeftOut,
        });
        causes.max()
    }

    /// Service of a missing part; `None` if all are answered.
    pub(crate) fn first_missing(&self) -> Option<Name> {
        let mut branches = self.branches.iter();
        let branch = branches.find(|branch| branch.done() < branch.shards.len())?;
        let named = branch
            .reply
            .as_ref()
            .and_then(|reply| reply.missing.clone());
        named.or_else(|| branch.shards.first().cloned())
    }

    /// When to recheck the request: at the earliest confirmation timeout, the time to
    /// settle or the deadline, but not sooner than 0.5 ms from now.
    pub(crate) fn next_recheck(&self, now: Time) -> Time {
        let confirms = self.branches.iter().filter_map(|b| b.confirm_by);
        let settle = (now < self.settle_at).then_some(self.settle_at);
        let next = confirms.chain(settle).chain([self.deadline]).min();
        next.unwrap_or(self.deadline)
            .max(now.after(Span::from_us(500)))
    }

    /// The merged answer of all replies.
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
