//! How many hosts of its failure domain a home can speak for.
//!
//! Load pattern: a cut divides the hosts of a domain, and an account sends through both sides. The
//! home is on one side; the voters name a successor on the other one. Neither can ask the other, so
//! each grants the part of the quota that its side has of the domain's hosts: a home that the
//! voters don't confirm counts the hosts that answer it and are not confirmed either, and a
//! successor leaves out those that vanished. A cut around the whole domain leaves its home
//! everything, as no host of the domain is on the other side.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::account::quota::Action;
use crate::account::quota::Gate;
use crate::account::token::Outcome;
use crate::account::token::Request;
use crate::account::token::TokenId;
use crate::clock::Span;
use crate::clock::Time;
use crate::name::Name;
use crate::plan::Host;

/// Time without a confirmation by the voters after which a host counts as unconfirmed.
const UNCONFIRMED_AFTER: Span = Span::from_ms(1_500);

/// Time without a confirmation after which a home grants its side's part only. The voters name a
/// successor 2.5 s after they heard from it last.
const LEASE: Span = Span::from_secs(2);

/// Time between two polls of the domain's hosts by an unconfirmed home.
const POLL_EVERY: Span = Span::from_ms(400);

/// Time for which an answer to a poll counts.
const ANSWER_TTL: Span = Span::from_ms(1_200);

/// Time for which a vanished host's part is left out; it may be cut off with the home before.
const VANISHED_TTL: Span = Span::from_secs(120);

/// Time without a confirmation after which a home that can't speak for its whole domain grants
/// nothing, since its successor leaves nothing out any more.
const PARTIAL_MAX: Span = Span::from_secs(110);

/// Parts of a quota's share that a home may grant, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Part {
    /// Of accounts of which no vanished host was the home.
    pub(crate) original: f64,
    /// Of accounts whose former home vanished.
    pub(crate) inherited: f64,
}

/// The other hosts of a host's failure domain.
#[derive(Debug)]
pub(crate) struct Presence {
    own: Host,
    /// Those in the newest list.
    live: BTreeSet<SocketAddr>,
    /// Those that vanished from the list, and when.
    vanished: BTreeMap<SocketAddr, Time>,
    /// When hosts last said that the voters don't confirm them.
    unconfirmed: BTreeMap<SocketAddr, Time>,
    /// Polls without an answer.
    polls: BTreeMap<TokenId, SocketAddr>,
    polled_at: Time,
    /// When the voters last confirmed this host's view.
    confirmed_at: Option<Time>,
}

impl Presence {
    /// No other hosts.
    pub(crate) fn new(own: Host) -> Presence {
        Presence {
            own,
            live: BTreeSet::new(),
            vanished: BTreeMap::new(),
            unconfirmed: BTreeMap::new(),
            polls: BTreeMap::new(),
            polled_at: Time::default(),
            confirmed_at: None,
        }
    }

    /// Forgets hosts that vanished long ago.
    pub(crate) fn expire(&mut self, now: Time) {
        self.vanished.retain(|_, at| now.since(*at) < VANISHED_TTL);
    }

    /// Adopts a list of live hosts.
    pub(crate) fn configure(&mut self, now: Time, live: &[Host]) {
        self.expire(now);
        let others = live
            .iter()
            .filter(|host| host.domain == self.own.domain && host.address != self.own.address);
        let live = others.map(|host| host.address).collect::<BTreeSet<_>>();
        let gone = self.live.difference(&live).map(|address| (*address, now));
        self.vanished.extend(gone);
        self.vanished.retain(|address, _| !live.contains(address));
        self.live = live;
    }

    /// Hosts that vanished lately.
    pub(crate) fn vanished(&self) -> impl Iterator<Item = Host> + '_ {
        self.vanished.keys().map(|address| Host {
            address: *address,
            domain: self.own.domain.clone(),
        })
    }

    /// The voters confirmed that this host's view is the newest.
    pub(crate) fn confirm(&mut self, now: Time) {
        self.confirmed_at = Some(now);
        self.polls.clear();
        self.unconfirmed.clear();
    }

    /// Whether the voters have not confirmed this host's view for some time.
    pub(crate) fn is_unconfirmed(&self, now: Time) -> bool {
        self.confirmed_at
            .is_none_or(|at| now.since(at) >= UNCONFIRMED_AFTER)
    }

    /// The hosts to be polled now; none while this host is confirmed.
    pub(crate) fn poll(&mut self, now: Time) -> Vec<SocketAddr> {
        if !self.is_unconfirmed(now) || now.since(self.polled_at) < POLL_EVERY {
            return Vec::new();
        }
        self.polled_at = now;
        self.polls.clear();
        self.live.iter().copied().collect()
    }

    /// Records that a host is polled.
    pub(crate) fn polled(&mut self, id: TokenId, host: SocketAddr) {
        self.polls.insert(id, host);
    }

    /// Records the answer to a poll: whether the voters don't confirm that host either. Returns
    /// false if there is no such poll.
    pub(crate) fn answered(
        &mut self,
        now: Time,
        from: SocketAddr,
        id: TokenId,
        unconfirmed: bool,
    ) -> bool {
        if self.polls.get(&id) != Some(&from) {
            return false;
        }
        self.polls.remove(&id);
        match unconfirmed {
            true => drop(self.unconfirmed.insert(from, now)),
            false => drop(self.unconfirmed.remove(&from)),
        }
        true
    }

    /// The parts that this host may grant now.
    pub(crate) fn part(&self, now: Time) -> Part {
        let count = 1 + self.live.len() + self.vanished.len();
        let share = |hosts: usize| hosts as f64 / count as f64;
        let silence = self.confirmed_at.map_or(Span::ZERO, |at| now.since(at));
        if silence < LEASE {
            return Part {
                original: 1.0,
                inherited: share(1 + self.live.len()),
            };
        }
        let here = self.unconfirmed.iter();
        let here =
            here.filter(|(host, at)| self.live.contains(*host) && now.since(**at) < ANSWER_TTL);
        let part = match share(1 + here.count()) {
            part if part < 1.0 && silence >= PARTIAL_MAX => 0.0,
            part => part,
        };
        Part {
            original: part,
            inherited: part,
        }
    }
}

impl Gate {
    /// Asks the other hosts of the domain whether the voters confirm them, if that is due and this
    /// host is a home.
    pub(super) fn poll(&mut self, now: Time) -> Vec<Action> {
        self.presence.expire(now);
        let mut actions = Vec::new();
        if self.buckets.is_empty() {
            return actions;
        }
        for host in self.presence.poll(now) {
            self.last_id.0 += 1;
            let request = Request {
                id: self.last_id,
                account: Name::default(),
                wanted: 0,
            };
            self.presence.polled(self.last_id, host);
            actions.push(Action::Ask(host, request));
        }
        self.buckets.set_part(now, self.presence.part(now));
        actions
    }

    /// Whether the voters confirm this host, for another one that asks.
    pub(super) fn confirmation(&self, now: Time) -> Outcome {
        match self.presence.is_unconfirmed(now) {
            true => Outcome::Unconfirmed,
            false => Outcome::Unknown,
        }
    }
}
