//! The part of a host that gathers a branch for another one, or for itself.
//!
//! Load pattern: a host that is so slow that its order went to another host before it
//! confirmed. Both may send; so that they stay within the replicas allowed, all but
//! the first replica of a part are those that rendezvous hashing picks, until the
//! host is told that the order stays with it.

use std::collections::BTreeSet;

use crate::answering::gathered;
use crate::branch::OrderId;
use crate::branch::Reply;
use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::endpoint::Endpoint;
use crate::fleet::State;
use crate::flight::EndpointId;
use crate::flight::Flight;
use crate::flight::Kind;
use crate::flight::Part;
use crate::gateway::Action;
use crate::gateway::Branch;
use crate::gateway::Gateway;
use crate::gateway::RequestId;
use crate::name::Name;

impl Gateway {
    /// Gathers for another host's request, or for a branch of one of this host.
    pub(crate) fn start_branch(
        &mut self,
        now: Time,
        id: RequestId,
        branch: &Branch,
        actions: &mut Vec<Action>,
    ) {
        let route = branch.route.clone();
        let services = self.choose_services(&route);
        let flight = Flight {
            settle_at: now.after(branch.settle),
            kind: Kind::Branch {
                order: branch.order,
                key: branch.key,
                moved: branch.moved,
                committed: branch.committed,
                reported: 0,
            },
            ..Flight::new(now, route, services, branch.left, Span::ZERO)
        };
        self.start_parts(now, id, flight, actions);
    }

    /// Notes that no other host will gather for a branch.
    pub(crate) fn commit(&mut self, id: RequestId) {
        let flight = self.flights.get_mut(&id);
        if let Some(Kind::Branch { committed, .. }) = flight.map(|flight| &mut flight.kind) {
            *committed = true;
        }
    }

    /// Tells what a branch has once nothing more will come, and from the time to
    /// settle on whatever is new.
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

    /// The replicas to which a part is bound, if it is. Where another host may send
    /// the same part, all replicas but the first one are those that rendezvous
    /// hashing of the request picks, so that both together stay within the limit.
    pub(crate) fn allowed_replicas(
        &self,
        flight: &Flight,
        part: &Part,
    ) -> Option<BTreeSet<EndpointId>> {
        let attempts_max = flight.route.attempts_max;
        let fixed = part.allowed_replicas(attempts_max);
        let Kind::Branch {
            key,
            moved,
            committed,
            ..
        } = flight.kind
        else {
            return fixed;
        };
        let exclusive = committed && !moved;
        if exclusive || fixed.is_some() || !moved && part.maybe_ran.is_empty() {
            return fixed;
        }
        let mut allowed = self.designated(&part.service, key, attempts_max - 1);
        if !moved {
            allowed.extend(&part.maybe_ran);
        }
        Some(allowed)
    }

    /// The first replicas of a service by rendezvous hashing.
    fn designated(&self, service: &Name, key: u64, count: u32) -> BTreeSet<EndpointId> {
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

/// What a branch has gathered.
fn reply(flight: &Flight, order: OrderId, last: bool) -> Reply {
    let (stamps, body) = gathered(flight);
    Reply {
        order,
        last,
        stamps,
        body,
        ran: flight.may_have_run(),
        extra: flight.extra,
        cause: flight.current_cause(),
        missing: flight.first_missing().cloned(),
    }
}
