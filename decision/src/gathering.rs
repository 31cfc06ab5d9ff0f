//! Gathers a branch of a request for another entry host, or for this one.
//!
//! The adapter passes a received order to the gateway as a [`Branch`]; the results go
//! back as replies. `fanout` is the sending side.
//!
//! Load pattern: a host is so slow that its order was moved to another host before the
//! confirmation arrived. Both hosts may then send the same parts. The host of the earlier
//! order chooses the first replica of a part freely. Until the order is committed to it,
//! the other replicas are among the `attempts_max` - 1 that rendezvous hashing picks. The
//! host of the moved order uses only these. Both hosts together thus stay within
//! `attempts_max` replicas.

use std::collections::BTreeSet;

use crate::answering::gathered;
use crate::branch::OrderId;
use crate::branch::Reply;
use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::endpoint::Endpoint;
use crate::fleet::State;
use crate::flight::Cause;
use crate::flight::EndpointId;
use crate::flight::Flight;
use crate::flight::Kind;
use crate::flight::Part;
use crate::flight::Shared;
use crate::gateway::Action;
use crate::gateway::Branch;
use crate::gateway::Gateway;
use crate::gateway::RequestId;
use crate::name::Name;

impl Gateway {
    /// Starts to gather a branch.
    pub(crate) fn start_branch(
        &mut self,
        now: Time,
        id: RequestId,
        branch: &Branch,
        actions: &mut Vec<Action>,
    ) {
        if self.needs_detour(now) && !branch.committed {
            let declined = Reply {
                order: branch.order,
                last: true,
                cause: Some(Cause::HeldBack),
                ..Reply::default()
            };
            return actions.push(Action::Reply(id, declined));
        }
        let route = branch.route.clone();
        let services = self.splits.services(&route);
        let flight = Flight {
            settle_at: now.after(branch.settle),
            account: branch.account.clone(),
            fingerprint: branch.fingerprint,
            kind: Kind::Branch {
                order: branch.order,
                reported: 0,
            },
            shared: Some(Shared {
                key: branch.key,
                moved: branch.moved,
                committed: branch.committed,
            }),
            ..Flight::new(now, route, services, branch.left, Span::ZERO)
        };
        self.start_parts(now, id, flight, actions);
    }

    /// Marks a branch as committed to this host.
    pub(crate) fn commit(&mut self, id: RequestId) {
        let flight = self.flights.get_mut(&id);
        if let Some(shared) = flight.and_then(|flight| flight.shared.as_mut()) {
            shared.committed = true;
        }
    }

    /// Sends the final reply once no more parts will come. From the time to settle on,
    /// sends a reply whenever there are new parts.
    pub(crate) fn try_reply(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let last = flight.is_settled() || now >= flight.deadline;
        let Kind::Branch {
            order, reported, ..
        } = &mut flight.kind
        else {
            return;
        };
        let order = *order;
        let updated = now >= flight.settle_at && flight.done > *reported;
        if last || updated {
            *reported = flight.done;
            let reply = reply(flight, order, last);
            actions.push(Action::Reply(id, reply));
        }
        if last {
            return self.close_flight(now, id, actions);
        }
        self.schedule_recheck(now, id);
    }

    /// Replicas that a part may be sent to; `None` if any replica may be used.
    ///
    /// If another host may send the same part, the replicas are limited to those that
    /// rendezvous hashing picks for the request, so that all hosts together stay within
    /// `attempts_max`. Only the first replica is free, unless the work was moved here.
    pub(crate) fn allowed_replicas(
        &self,
        flight: &Flight,
        part: &Part,
    ) -> Option<BTreeSet<EndpointId>> {
        let attempts_max = flight.route.attempts_max;
        let fixed = part.allowed_replicas(attempts_max);
        let Some(Shared {
            key,
            moved,
            committed,
        }) = flight.shared
        else {
            return fixed;
        };
        let exclusive = committed && !moved;
        if exclusive || fixed.is_some() || !moved && part.maybe_ran.is_empty() {
            return fixed;
        }
        let mut allowed = self.rendezvous_replicas(&part.service, key, attempts_max - 1);
        if !moved {
            allowed.extend(part.maybe_ran.keys());
        }
        Some(allowed)
    }

    /// The first `count` ready replicas of a service by rendezvous hashing of `key`.
    fn rendezvous_replicas(&self, service: &Name, key: u64, count: u32) -> BTreeSet<EndpointId> {
        let pool = self.pools.get(service).into_iter();
        let known = pool.flat_map(|pool| &pool.endpoints);
        let known = known.filter_map(|id| Some((id, self.endpoints.get(id)?)));
        let ready = |endpoint: &Endpoint| endpoint.listed && endpoint.replica.state == State::Ready;
        let listed = known.filter(|(_, endpoint)| ready(endpoint));
        let ranked = listed.map(|(id, endpoint)| {
            let instance = &endpoint.replica.instance.id;
            let rank = Digest::of_parts(&[&key.to_le_bytes(), instance.as_bytes()]).rank();
            (rank, *id)
        });
        let mut ranked = ranked.collect::<Vec<_>>();
        ranked.sort_unstable();
        let first = ranked.into_iter().take(count as usize);
        first.map(|(_, id)| id).collect()
    }
}

/// A cause that older hosts can decode in place of one that they can't.
fn known_to_older_hosts(cause: Cause) -> Cause {
    match cause {
        Cause::Quarantined => Cause::NoReplica,
        Cause::Limited | Cause::Expired => Cause::Shed,
        cause => cause,
    }
}

/// The reply with everything that a branch has gathered so far.
fn reply(flight: &Flight, order: OrderId, last: bool) -> Reply {
    let (stamps, body) = gathered(flight);
    Reply {
        order,
        last,
        stamps,
        body,
        ran: flight.may_have_run(),
        extra: flight.extra,
        cause: flight.current_cause().map(known_to_older_hosts),
        missing: flight.first_missing().cloned(),
    }
}
