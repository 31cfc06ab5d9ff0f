//! Requests for one replica that another entry host serves, because this host's links to the
//! servers are lost.
//!
//! The whole request goes to a host whose links work, and that host never passes it on. Hosts that
//! decline, or don't confirm in time, are followed by others. A request that may run only once, or
//! on one replica only, goes to no second host once it may have reached the first one. Others are
//! marked as `moved` then, so that all hosts together stay within the route's `attempts_max` (see
//! `gathering`). Gathers go through `fanout` instead.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use derive_more::Display;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;
use serde::Deserialize;
use serde::Serialize;

use crate::branch;
use crate::catalog::Repeat;
use crate::catalog::Route;
use crate::clock::Span;
use crate::clock::Time;
use crate::gateway::RequestId;
use crate::uplink;

/// Time within which a host must confirm a request.
const CONFIRM_TIMEOUT: Span = Span::from_ms(60);

/// Time for which a host that declined or did not confirm gets no requests.
const AVOID_FOR: Span = Span::from_ms(500);

/// Most hosts to which one request is sent in turn.
const HOSTS_MAX: usize = 3;

/// Identifies a relayed request at the host that sent it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RelayId(pub u64);

/// How a relayed request ends without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// No host took it; it did not run.
    NotRun,
    /// It may have run at a host that was lost.
    Failed,
    /// Its deadline passed.
    Timeout,
}

/// Whether a host with these links and this version of the configuration may serve a relayed request
/// of a host with `theirs`. One with an older version may serve it as no version in force allows.
pub fn may_serve(links: uplink::State, version: u64, theirs: u64) -> bool {
    links != uplink::State::Lost && version >= theirs
}

/// A request for another host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Identifies the relayed request at this host.
    pub id: RelayId,
    /// The caller's request.
    pub request: RequestId,
    /// Host that receives it.
    pub host: SocketAddr,
    /// Time until its deadline.
    pub left: Span,
    /// Whether another host may have received it before.
    pub moved: bool,
}

/// Output of the state machine, to be carried out by the adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a request to a host.
    Send(Order),
    /// Tell a host that the request is no longer wanted.
    Cancel(SocketAddr, RelayId),
    /// Refuse a caller.
    Refuse(RequestId, Ending),
}

#[derive(Clone, Debug)]
struct Flight {
    id: RelayId,
    /// Whether a second host may get it after the first one may have run it.
    repeatable: bool,
    deadline: Time,
    host: SocketAddr,
    asked: BTreeSet<SocketAddr>,
    /// Absent once the host has confirmed.
    confirm_by: Option<Time>,
    /// Whether a host that got it before may have run it.
    may_have_run: bool,
}

/// Requests of this host that other hosts serve.
#[derive(Debug)]
pub struct Relay {
    /// Hosts whose links work.
    hosts: Vec<SocketAddr>,
    avoided: BTreeMap<SocketAddr, Time>,
    flights: BTreeMap<RequestId, Flight>,
    last_id: RelayId,
    random: ChaCha8Rng,
}

impl Relay {
    /// A relay without hosts.
    pub fn new(seed: u64) -> Relay {
        Relay {
            hosts: Vec::new(),
            avoided: BTreeMap::new(),
            flights: BTreeMap::new(),
            last_id: RelayId(branch::first_number(seed)),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets the hosts whose links work.
    pub fn set_hosts(&mut self, hosts: Vec<SocketAddr>) {
        self.hosts = hosts;
    }

    /// Whether any host may take a request.
    pub fn is_available(&self) -> bool {
        !self.hosts.is_empty()
    }

    /// Number of requests that other hosts serve.
    pub fn active_requests(&self) -> usize {
        self.flights.len()
    }

    /// The caller's request that a message of another host belongs to, if it is open.
    pub fn request(&self, from: SocketAddr, id: RelayId) -> Option<RequestId> {
        let mut flights = self.flights.iter();
        let flight = flights.find(|(_, flight)| flight.id == id && flight.host == from)?;
        Some(*flight.0)
    }

    /// Sends a request on a route to a host.
    pub fn start(
        &mut self,
        now: Time,
        request: RequestId,
        route: &Route,
        left: Span,
    ) -> Vec<Action> {
        let flight = Flight {
            id: RelayId::default(),
            repeatable: route.repeat == Repeat::Idempotent && route.attempts_max > 1,
            deadline: now.after(left),
            host: SocketAddr::from(([0, 0, 0, 0], 0)),
            asked: BTreeSet::new(),
            confirm_by: None,
            may_have_run: false,
        };
        self.send(now, request, flight)
    }

    fn send(&mut self, now: Time, request: RequestId, mut flight: Flight) -> Vec<Action> {
        let Some(host) = self.choose(now, &flight.asked) else {
            let ending = match flight.may_have_run {
                true => Ending::Failed,
                false => Ending::NotRun,
            };
            return vec![Action::Refuse(request, ending)];
        };
        self.last_id.0 += 1;
        flight.id = self.last_id;
        flight.host = host;
        flight.asked.insert(host);
        flight.confirm_by = Some(now.after(CONFIRM_TIMEOUT));
        let order = Order {
            id: flight.id,
            request,
            host,
            left: flight.deadline.since(now),
            moved: flight.may_have_run,
        };
        self.flights.insert(request, flight);
        vec![Action::Send(order)]
    }

    fn choose(&mut self, now: Time, asked: &BTreeSet<SocketAddr>) -> Option<SocketAddr> {
        if asked.len() >= HOSTS_MAX {
            return None;
        }
        self.avoided.retain(|_, until| *until > now);
        let open = |host: &SocketAddr| {
            let flights = self.flights.values();
            flights.filter(|flight| flight.host == *host).count()
        };
        let usable = self
            .hosts
            .iter()
            .filter(|host| !asked.contains(host) && !self.avoided.contains_key(host));
        let ranked = usable.map(|host| (open(host), *host)).collect::<Vec<_>>();
        let least = ranked.iter().map(|(open, _)| *open).min()?;
        let idle = ranked.into_iter().filter(|(open, _)| *open == least);
        let idle = idle.collect::<Vec<_>>();
        let at = self.random.next_u32() as usize % idle.len();
        Some(idle[at].1)
    }

    /// Records that a host confirmed a request.
    pub fn confirm(&mut self, from: SocketAddr, id: RelayId) {
        if let Some(request) = self.request(from, id)
            && let Some(flight) = self.flights.get_mut(&request)
        {
            flight.confirm_by = None;
        }
    }

    /// Whether a host that got a request before its current one may have run it.
    pub fn may_have_run_before(&self, request: RequestId) -> bool {
        let flight = self.flights.get(&request);
        flight.is_some_and(|flight| flight.may_have_run)
    }

    /// Ends a request that is answered or whose caller left. Returns its host and identifier.
    pub fn end(&mut self, request: RequestId) -> Option<(SocketAddr, RelayId)> {
        let flight = self.flights.remove(&request)?;
        Some((flight.host, flight.id))
    }

    /// A host declined a request, or it could not be sent: it did not run there.
    pub fn decline(&mut self, now: Time, id: RelayId) -> Vec<Action> {
        let flight = self.flights.iter().find(|(_, flight)| flight.id == id);
        let Some(request) = flight.map(|(request, _)| *request) else {
            return Vec::new();
        };
        self.move_on(now, request, false)
    }

    /// The connection to a host broke.
    pub fn lose_host(&mut self, now: Time, host: SocketAddr) -> Vec<Action> {
        let lost = self
            .flights
            .iter()
            .filter(|(_, flight)| flight.host == host);
        let lost = lost.map(|(request, flight)| (*request, flight.repeatable));
        let mut actions = Vec::new();
        for (request, repeatable) in lost.collect::<Vec<_>>() {
            match repeatable {
                true => actions.extend(self.move_on(now, request, true)),
                false => {
                    self.flights.remove(&request);
                    actions.push(Action::Refuse(request, Ending::Failed));
                }
            }
        }
        actions
    }

    /// Sends a request to the next host. `may_have_run` is whether the last one may have run it.
    fn move_on(&mut self, now: Time, request: RequestId, may_have_run: bool) -> Vec<Action> {
        let Some(mut flight) = self.flights.remove(&request) else {
            return Vec::new();
        };
        flight.may_have_run |= may_have_run;
        self.avoided.insert(flight.host, now.after(AVOID_FOR));
        self.send(now, request, flight)
    }

    /// When the next tick is due; absent without requests.
    pub fn next_timer(&self) -> Option<Time> {
        let flights = self.flights.values();
        let timers = flights.map(|flight| match (flight.repeatable, flight.confirm_by) {
            (true, Some(confirm_by)) => confirm_by.min(flight.deadline),
            _ => flight.deadline,
        });
        timers.min()
    }

    /// Moves the deadlines of all requests to `end` at the latest.
    pub fn end_by(&mut self, end: Time) {
        for flight in self.flights.values_mut() {
            flight.deadline = flight.deadline.min(end);
        }
    }

    /// Ends requests whose deadline passed, and moves those that were not confirmed in time.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let late = self
            .flights
            .iter()
            .filter(|(_, flight)| flight.deadline <= now);
        for request in late.map(|(request, _)| *request).collect::<Vec<_>>() {
            if let Some((host, id)) = self.end(request) {
                actions.push(Action::Cancel(host, id));
                actions.push(Action::Refuse(request, Ending::Timeout));
            }
        }
        let unconfirmed = self.flights.iter().filter(|(_, flight)| {
            let due = flight.confirm_by.is_some_and(|by| by <= now);
            due && flight.repeatable
        });
        let unconfirmed = unconfirmed.map(|(request, flight)| (*request, flight.host, flight.id));
        for (request, host, id) in unconfirmed.collect::<Vec<_>>() {
            actions.push(Action::Cancel(host, id));
            actions.extend(self.move_on(now, request, true));
        }
        actions
    }
}
