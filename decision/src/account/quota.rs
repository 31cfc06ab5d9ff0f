//! Admission of a host's own callers within the quotas of their accounts.
//!
//! Load pattern: an account sends more than its quota, through any hosts and in any proportion. A
//! request runs once its host has a token of a home of the account: of the one in its own failure
//! domain, else of the others in turn. See [`home`](super::home) for what the homes do.
//!
//! A home that doesn't answer is skipped and tried last for a while. If no home has a token and at
//! least one says so, the request is refused until a token is there; if none answers, the state of
//! the quota can't be known, and the request is refused as not run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::account::Account;
use crate::account::Directory;
use crate::account::home::Buckets;
use crate::account::home::Map;
use crate::account::home::Terms;
use crate::account::presence::Presence;
use crate::account::shortage::Shortage;
use crate::account::token::Outcome;
use crate::account::token::Reply;
use crate::account::token::Request;
use crate::account::token::TokenId;
use crate::account::token::Wait;
use crate::account::waiting::Ask;
use crate::account::waiting::Waiting;
use crate::clock::Span;
use crate::clock::Time;
use crate::gateway::RequestId;
use crate::plan::Host;

/// Time within which a home must answer.
const ANSWER_TIMEOUT: Span = Span::from_ms(15);

/// Age of a token request from which its answer is ignored: this host was suspended, and a token
/// counts in the window in which it was granted.
const ANSWER_AGE_MAX: Span = Span::from_ms(500);

/// Time for which a home that did not answer is tried last.
const AVOID_FOR: Span = Span::from_secs(1);

/// Most requests that wait for tokens.
const WAITING_MAX: usize = 1_024;

/// `Retry-After` if no home answers.
const RETRY_AFTER_SILENT: Span = Span::from_ms(500);

/// Longest jitter that is added to any wait.
const JITTER_MIN: Span = Span::from_ms(20);

/// Jitter that is added to a wait, as a divisor of the wait.
const JITTER_DIVISOR: u64 = 8;

/// `Retry-After` has a resolution of 1 ms, and must not be shorter than the wait.
const RETRY_AFTER_STEP: Span = Span::from_ms(1);

/// Settings of [`Gate`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// This host.
    pub own: Host,
    /// How quotas are divided among homes.
    pub terms: Terms,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Cause {
    /// The quota is used up, as a home said.
    #[display("empty")]
    Empty(SocketAddr),
    /// No home answered.
    #[display("silent")]
    Silent,
    /// Too many requests wait for tokens.
    #[display("crowded")]
    Crowded,
}

/// How a request for tokens ended, for log and metrics.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Ending {
    /// The home answered.
    #[display("{_0}")]
    Answered(Outcome),
    /// The home didn't answer in time, or can't be reached.
    #[display("silent")]
    Silent,
}

/// Output of the state machine, to be carried out by the adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Serve a request that has waited this long.
    Admit(RequestId, Span),
    /// Refuse a request; the caller may come back after the time.
    Refuse(RequestId, Cause, Span),
    /// Ask a home for tokens.
    Ask(SocketAddr, Request),
    /// Answer a host's request for tokens.
    Reply(SocketAddr, Reply),
    /// A request to a home ended.
    Ended(SocketAddr, Ending),
    /// A home that answered before is tried last from now on.
    Avoid(SocketAddr),
}

/// Quotas at one host: as a home, and for its own callers.
#[derive(Debug)]
pub struct Gate {
    own: Host,
    terms: Terms,
    map: Map,
    pub(super) presence: Presence,
    pub(super) buckets: Buckets,
    waiting: BTreeMap<RequestId, Waiting>,
    /// Homes that did not answer, and until when they are tried last.
    avoided: BTreeMap<SocketAddr, Time>,
    shortage: Shortage,
    pub(super) last_id: TokenId,
    random: ChaCha8Rng,
}

impl Gate {
    /// A gate that knows no hosts and no accounts.
    pub fn new(settings: Settings) -> Gate {
        let Settings { own, terms, seed } = settings;
        Gate {
            presence: Presence::new(own.clone()),
            own,
            buckets: Buckets::new(terms.clone()),
            terms,
            map: Map::default(),
            waiting: BTreeMap::new(),
            avoided: BTreeMap::new(),
            shortage: Shortage::default(),
            last_id: TokenId::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets the accounts and the live hosts.
    pub fn configure(&mut self, now: Time, accounts: &Directory, live: &[Host]) {
        self.map = Map::new(&self.terms, live);
        self.presence.configure(now, live);
        let known = live.iter().cloned().chain(self.presence.vanished());
        let earlier = Map::new(&self.terms, &known.collect::<Vec<_>>());
        let (map, own) = (&self.map, &self.own);
        let is_home = |map: &Map, account: &Account| {
            map.home(&account.name, &own.domain) == Some(own.address)
        };
        let limited = accounts.accounts().filter(|known| known.quota.is_some());
        let homed = limited
            .map(|account| &**account)
            .filter(|account| is_home(map, account))
            .map(|account| (account, !is_home(&earlier, account)));
        let part = self.presence.part(now);
        self.buckets.configure(now, map, part, homed);
        self.shortage.clear();
    }

    /// The voters confirmed that this host's view of the tier is the newest.
    pub fn confirm(&mut self, now: Time) {
        self.presence.confirm(now);
        self.buckets.confirm(now);
        self.buckets.set_part(now, self.presence.part(now));
    }

    /// Number of requests that wait for tokens.
    pub fn waiting_requests(&self) -> usize {
        self.waiting.len()
    }

    /// Admits a request, refuses it or asks for a token. `confirmed` is whether the voters
    /// confirmed lately that this host's view of the tier is the newest.
    pub fn start(
        &mut self,
        now: Time,
        id: RequestId,
        account: &Arc<Account>,
        confirmed: bool,
    ) -> Vec<Action> {
        if account.quota.is_none() {
            return vec![Action::Admit(id, Span::ZERO)];
        }
        if self.waiting.len() >= WAITING_MAX {
            let wait = self.with_jitter(RETRY_AFTER_SILENT);
            return vec![Action::Refuse(id, Cause::Crowded, wait)];
        }
        let waiting = Waiting {
            account: account.clone(),
            arrived: now,
            confirmed,
            tried: Vec::new(),
            ask: None,
            empty: None,
        };
        vec![self.proceed(now, id, waiting)]
    }

    /// Tries the homes that were not tried yet, until one is to be asked.
    fn proceed(&mut self, now: Time, id: RequestId, mut waiting: Waiting) -> Action {
        while let Some(home) = self.next_home(now, &waiting) {
            waiting.tried.push(home);
            if home == self.own.address {
                match self.buckets.take(now, &waiting.account.name, 1) {
                    Outcome::Granted(_) => {
                        return Action::Admit(id, now.since(waiting.arrived));
                    }
                    Outcome::Empty(wait) => waiting.note_empty(wait, home),
                    Outcome::Unknown | Outcome::Unconfirmed => {}
                }
            } else if let Some(wait) = self.remembered(now, &waiting.account, home) {
                waiting.note_empty(wait, home);
            } else {
                return self.ask(now, id, waiting, home);
            }
        }
        self.refuse(id, &waiting)
    }

    /// The home to try next: that in the own domain, then the others in random order; those that
    /// didn't answer come last.
    fn next_home(&mut self, now: Time, waiting: &Waiting) -> Option<SocketAddr> {
        let name = &waiting.account.name;
        let near = self.map.home(name, &self.own.domain);
        let near = near.filter(|home| waiting.confirmed || *home != self.own.address);
        let others = self.map.others(name, &self.own.domain);
        let untried = |home: &SocketAddr| !waiting.tried.contains(home);
        self.avoided.retain(|_, until| *until > now);
        let avoided = &self.avoided;
        let ranked = near
            .into_iter()
            .map(|home| (0, home))
            .chain(others.into_iter().map(|home| (1, home)))
            .filter(|(_, home)| untried(home))
            .map(|(far, home)| (avoided.contains_key(&home), far, home));
        let ranked = ranked.collect::<Vec<_>>();
        let best = ranked
            .iter()
            .map(|(avoided, far, _)| (*avoided, *far))
            .min()?;
        let equal = ranked
            .into_iter()
            .filter(|(avoided, far, _)| (*avoided, *far) == best);
        let equal = equal.map(|(_, _, home)| home).collect::<Vec<_>>();
        let at = match equal.len() {
            1 => 0,
            count => self.random.next_u32() as usize % count,
        };
        equal.get(at).copied()
    }

    fn ask(&mut self, now: Time, id: RequestId, mut waiting: Waiting, home: SocketAddr) -> Action {
        self.last_id.0 += 1;
        let request = Request {
            id: self.last_id,
            account: waiting.account.name.clone(),
            wanted: 1,
        };
        waiting.ask = Some(Ask {
            id: self.last_id,
            home,
            sent_at: now,
        });
        self.waiting.insert(id, waiting);
        Action::Ask(home, request)
    }

    /// Wait for a home that said that it has no token, if there can't be one yet.
    fn remembered(&self, now: Time, account: &Account, home: SocketAddr) -> Option<Wait> {
        let rate = account.quota.map_or(0.0, |quota| quota.rate) / self.map.count().max(1) as f64;
        self.shortage.wait(now, &account.name, home, rate)
    }

    fn refuse(&mut self, id: RequestId, waiting: &Waiting) -> Action {
        let Some((wait, home)) = waiting.empty else {
            let wait = self.with_jitter(RETRY_AFTER_SILENT);
            return Action::Refuse(id, Cause::Silent, wait);
        };
        let name = &waiting.account.name;
        self.shortage.promise(name, home);
        let wait = self.with_jitter(wait.turn);
        Action::Refuse(id, Cause::Empty(home), wait)
    }

    /// Lengthens a wait, so that callers who are refused together don't come back together.
    fn with_jitter(&mut self, wait: Span) -> Span {
        let most = JITTER_MIN.max(wait.divided_by(JITTER_DIVISOR)).as_us();
        let jitter = u64::from(self.random.next_u32()) % most.max(1);
        let longer = wait.as_us().saturating_add(jitter);
        Span::from_us(longer.saturating_add(RETRY_AFTER_STEP.as_us()))
    }

    /// Answers another host's request for tokens.
    pub fn answer(&mut self, now: Time, from: SocketAddr, request: &Request) -> Action {
        let outcome = match request.wanted {
            0 => self.confirmation(now),
            wanted => self.buckets.take(now, &request.account, wanted),
        };
        let reply = Reply {
            id: request.id,
            outcome,
        };
        Action::Reply(from, reply)
    }

    /// Handles a home's answer.
    pub fn handle_reply(&mut self, now: Time, from: SocketAddr, reply: Reply) -> Vec<Action> {
        let unconfirmed = reply.outcome == Outcome::Unconfirmed;
        if self.presence.answered(now, from, reply.id, unconfirmed) {
            self.buckets.set_part(now, self.presence.part(now));
            return Vec::new();
        }
        let asked = |waiting: &Waiting| {
            let ask = waiting.ask.filter(|ask| ask.id == reply.id);
            ask.is_some_and(|ask| ask.home == from && now.since(ask.sent_at) < ANSWER_AGE_MAX)
        };
        let mut all = self.waiting.iter();
        let Some(id) = all.find(|(_, waiting)| asked(waiting)).map(|(id, _)| *id) else {
            return Vec::new();
        };
        let Some(mut waiting) = self.waiting.remove(&id) else {
            return Vec::new();
        };
        waiting.ask = None;
        self.avoided.remove(&from);
        let ended = Action::Ended(from, Ending::Answered(reply.outcome));
        let next = match reply.outcome {
            Outcome::Granted(_) => Action::Admit(id, now.since(waiting.arrived)),
            Outcome::Empty(wait) => {
                let name = &waiting.account.name;
                self.shortage.record(now, name, from, wait);
                waiting.note_empty(wait, from);
                self.proceed(now, id, waiting)
            }
            Outcome::Unknown | Outcome::Unconfirmed => self.proceed(now, id, waiting),
        };
        vec![ended, next]
    }

    /// The connection to a host broke.
    pub fn lose_host(&mut self, now: Time, host: SocketAddr) -> Vec<Action> {
        self.give_up(now, |ask| ask.home == host)
    }

    /// A request for tokens could not be sent.
    pub fn undelivered(&mut self, now: Time, id: TokenId) -> Vec<Action> {
        self.give_up(now, |ask| ask.id == id)
    }

    /// Tries the next homes in place of those that will not answer.
    fn give_up(&mut self, now: Time, lost: impl Fn(&Ask) -> bool) -> Vec<Action> {
        let given_up = self.waiting.iter().filter_map(|(id, waiting)| {
            let ask = waiting.ask.filter(|ask| lost(ask))?;
            Some((*id, ask.home))
        });
        let mut actions = Vec::new();
        for (id, home) in given_up.collect::<Vec<_>>() {
            let earlier = self.avoided.insert(home, now.after(AVOID_FOR));
            actions.push(Action::Ended(home, Ending::Silent));
            if earlier.is_none_or(|until| until <= now) {
                actions.push(Action::Avoid(home));
            }
            if let Some(mut waiting) = self.waiting.remove(&id) {
                waiting.ask = None;
                actions.push(self.proceed(now, id, waiting));
            }
        }
        actions
    }

    /// The caller of a request left.
    pub fn abandon(&mut self, id: RequestId) {
        self.waiting.remove(&id);
    }

    /// When the next tick is due; absent while no request waits.
    pub fn next_timer(&self) -> Option<Time> {
        let asks = self.waiting.values().filter_map(|waiting| waiting.ask);
        asks.map(|ask| ask.sent_at.after(ANSWER_TIMEOUT)).min()
    }

    /// Moves on from homes that did not answer in time. Must be called at least once a second.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.buckets.notice_suspension(now);
        let mut actions = self.give_up(now, |ask| ask.sent_at.after(ANSWER_TIMEOUT) <= now);
        actions.extend(self.poll(now));
        actions
    }
}
