//! The entry role: takes requests of callers and answers each one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::admit::Signal;
use crate::admit::Window;
use crate::canary::quarantined;
use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::hedge::Budget;
use crate::manifest::Manifest;
use crate::manifest::Service;
use crate::name::Name;
use crate::placement::Candidate;
use crate::placement::Spread;
use crate::query::Next;
use crate::query::Phase;
use crate::query::Query;
use crate::query::Reply;
use crate::register::Change;
use crate::register::Key;
use crate::request::Batch;
use crate::request::Cause;
use crate::request::Index;
use crate::request::Outcome;
use crate::request::Piece;
use crate::request::Ran;
use crate::request::Request;
use crate::route::Choice;
use crate::route::Router;
use crate::suspect::Standing;
use crate::suspect::Table;
use crate::trace::Kind;
use crate::trace::Recent;
use crate::trace::Step;

/// When a refused caller is told to come back.
pub(crate) const RETRY_AFTER: Span = Span::from_secs(1);

/// Retries after failures, as a share of first sub-requests.
const RETRY_SHARE: f64 = 0.05;

/// Queries that each slot of a shard's replicas lets run at once at the start.
const WINDOW_PER_SLOT: f64 = 2.0;

/// Effects of the entry role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send sub-requests to the owner on a host.
    Send(Name, Batch),
    /// Withdraw a sub-request.
    Cancel(Name, u64),
    /// Answer a caller.
    Answer(u64, Reply),
    /// Have the voters decide a change for a request.
    Propose(u64, Key, Change),
    /// Ask for leave to run a request as a canary.
    Arbiter(u64, Digest),
    /// Tell what a canary showed.
    Tried(Digest, Standing),
}

#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) query: u64,
    pub(crate) part: usize,
    pub(crate) host: Name,
    pub(crate) preferred: SocketAddr,
    pub(crate) replica: SocketAddr,
    pub(crate) sent: Time,
    pub(crate) kind: Kind,
}

#[derive(Clone, Debug)]
pub(crate) struct State {
    pub(crate) retries: Budget,
    pub(crate) window: Window,
    pub(crate) indexes: BTreeMap<Name, BTreeMap<SocketAddr, Index>>,
}

/// Counts of sub-requests since the start, for metrics.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// First sub-requests.
    pub first: u64,
    /// Sub-requests sent again after a refusal or failure.
    pub again: u64,
}

/// State of the entry role.
#[derive(Debug, Default)]
pub struct Entry {
    pub(crate) manifest: Arc<Manifest>,
    /// Routing to owners.
    pub router: Router,
    /// Counts for metrics.
    pub counts: Counts,
    /// Records of slow and incomplete requests.
    pub recent: Recent,
    pub(crate) states: BTreeMap<Name, State>,
    pub(crate) services: BTreeMap<Name, Arc<Service>>,
    pub(crate) queries: BTreeMap<u64, Query>,
    pub(crate) asks: BTreeMap<u64, Ask>,
    pub(crate) timers: BTreeSet<(Time, u64)>,
    pub(crate) last: u64,
    pub(crate) seed: u64,
}

impl Entry {
    /// An entry whose tokens begin with the random `seed`.
    pub fn new(seed: u64) -> Entry {
        Entry {
            seed,
            ..Entry::default()
        }
    }

    /// Takes a configuration and the daemons that may own replicas.
    pub fn update(&mut self, manifest: &Arc<Manifest>, candidates: &[Candidate], spread: Spread) {
        self.router.update(manifest, candidates, spread);
        if self.manifest == *manifest {
            return;
        }
        self.manifest = manifest.clone();
        self.states
            .retain(|name, _| manifest.services.contains_key(name));
        let services = manifest.services.iter();
        self.services = services
            .map(|(n, s)| (n.clone(), Arc::new(s.clone())))
            .collect();
    }

    fn state(&mut self, service: &Service) -> &mut State {
        let replicas = service
            .shards
            .iter()
            .map(|shard| shard.replicas.len())
            .max();
        let slots = replicas.unwrap_or(1) as f64 * f64::from(service.limits.slots);
        self.states
            .entry(service.name.clone())
            .or_insert_with(|| State {
                retries: Budget::new(RETRY_SHARE),
                window: Window::new(slots * WINDOW_PER_SLOT),
                indexes: BTreeMap::new(),
            })
    }

    /// Requests not yet answered.
    pub fn load(&self) -> usize {
        self.queries.len()
    }

    /// Earliest time at which [`Entry::tick`] has something to do.
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.first().map(|(time, _)| *time)
    }

    /// Takes a request under the number `id`.
    pub fn ask(
        &mut self,
        now: Time,
        id: u64,
        request: Arc<Request>,
        suspects: &Table,
    ) -> Vec<Action> {
        let Some(service) = self.services.get(&request.service).cloned() else {
            return vec![Action::Answer(id, refusal(Cause::NoOwner, Ran::No))];
        };
        let shards = match choose_shards(&request, &service) {
            Some(shards) => shards,
            None => return vec![Action::Answer(id, refusal(Cause::NoOwner, Ran::No))],
        };
        let weight = self
            .manifest
            .callers
            .get(&request.caller)
            .map_or(1, |caller| caller.weight);
        let caller = request.caller.clone();
        if !self.state(&service).window.admit(now, &caller, weight) {
            return vec![Action::Answer(id, refusal(Cause::Full, Ran::No))];
        }
        let mut query = Query::new(now, request, service, shards);
        query.pin = self.common_index(&query);
        self.timers.insert((query.deadline, id));
        let standing = suspects.standing(now, &query.fingerprint);
        let job = !query.request.is_repeatable();
        self.queries.insert(id, query);
        match standing {
            Some(Standing::Quarantined) => self.finish(now, id, quarantined(Ran::No)),
            _ if job => self.claim(id),
            Some(Standing::Suspect) => self.suspect(now, id),
            Some(Standing::Cleared) | None => self.start(now, id),
        }
    }

    /// The newest version that every shard is known to have on some replica.
    fn common_index(&mut self, query: &Query) -> Option<Index> {
        if !query.request.is_repeatable() {
            return None;
        }
        let state = self.states.get(&query.service.name)?;
        let newest = query.parts.iter().map(|part| {
            let shard = &query.service.shards[part.shard];
            state.indexes.get(&shard.name)?.values().max().copied()
        });
        newest.collect::<Option<Vec<_>>>()?.into_iter().min()
    }

    pub(crate) fn start(&mut self, now: Time, id: u64) -> Vec<Action> {
        let Some(query) = self.queries.get_mut(&id) else {
            return Vec::new();
        };
        query.phase = Phase::Running;
        let parts = query.unanswered();
        let service = query.service.clone();
        self.state(&service).retries.earn(parts.len());
        let mut actions = self.send_all(now, id, &parts, Kind::First);
        actions.extend(self.proceed(now, id));
        actions
    }

    /// Sends sub-requests for `parts`, batched by owner.
    pub(crate) fn send_all(
        &mut self,
        now: Time,
        id: u64,
        parts: &[usize],
        kind: Kind,
    ) -> Vec<Action> {
        let mut batches: BTreeMap<Name, Vec<Piece>> = BTreeMap::new();
        for part in parts {
            if let Some((host, piece)) = self.place(now, id, *part, kind) {
                batches.entry(host).or_default().push(piece);
            }
        }
        let Some(query) = self.queries.get_mut(&id) else {
            return Vec::new();
        };
        let left = query.deadline.since(now);
        let (request, priority) = (query.request.clone(), query.service.priority);
        let send = |(host, pieces)| {
            let alone = kind == Kind::Canary;
            let batch = Batch {
                request: request.clone(),
                left,
                priority,
                alone,
                pieces,
            };
            Action::Send(host, batch)
        };
        batches.into_iter().map(send).collect()
    }

    /// Chooses a replica for a part and counts the sub-request.
    fn place(&mut self, now: Time, id: u64, part: usize, kind: Kind) -> Option<(Name, Piece)> {
        let query = self.queries.get_mut(&id)?;
        let shard = query.shard(part).clone();
        let seed = id.wrapping_mul(31).wrapping_add(part as u64);
        query.parts[part].retry_at = None;
        let at = match self.router.choose(&shard, &query.parts[part].tried, seed) {
            Ok(at) => at,
            Err(cause @ (Cause::NoOwner | Cause::Out)) if kind == Kind::First => {
                query.retry_later(now, part, cause);
                self.timers.insert((query.parts[part].retry_at?, id));
                return None;
            }
            Err(_) => return None,
        };
        let replica = &shard.replicas[at];
        let host = self.router.owner(&replica.address)?.clone();
        self.last += 1;
        let ask = self.last;
        let others = self
            .router
            .alternatives(&shard, at, &query.parts[part].tried);
        query.parts[part].tried.insert(at);
        query.parts[part].asks.insert(ask, at);
        query.sent += 1;
        let pin = query.pin;
        if kind == Kind::Canary {
            query.phase = Phase::Canary(ask);
        }
        self.router.record_sent(replica.address);
        self.count(kind);
        let (replica, sent) = (replica.address, now);
        self.asks.insert(
            ask,
            Ask {
                query: id,
                part,
                host: host.clone(),
                preferred: replica,
                replica,
                sent,
                kind,
            },
        );
        Some((
            host,
            Piece {
                ask,
                replica,
                others,
                pin,
            },
        ))
    }

    fn count(&mut self, kind: Kind) {
        match kind {
            Kind::First | Kind::Canary => self.counts.first += 1,
            Kind::Again => self.counts.again += 1,
        }
    }

    /// Takes the outcome of a sub-request.
    pub fn outcome(
        &mut self,
        now: Time,
        ask: u64,
        replica: Option<SocketAddr>,
        outcome: Outcome,
    ) -> Vec<Action> {
        let Some(sent) = self.end(now, ask, replica, &outcome) else {
            return Vec::new();
        };
        let Some(query) = self.queries.get_mut(&sent.query) else {
            return Vec::new();
        };
        let died = matches!(
            outcome,
            Outcome::Failed {
                cause: Cause::Died,
                ..
            }
        );
        let refused = matches!(outcome, Outcome::Failed { ran: Ran::No, .. });
        let answered = matches!(outcome, Outcome::Answered(_));
        let phase = query.phase;
        let full = matches!(
            outcome,
            Outcome::Failed {
                cause: Cause::Full,
                ..
            }
        );
        let (host, preferred) = (sent.host.clone(), sent.preferred);
        let choice = Choice {
            host,
            preferred,
            chosen: sent.replica,
        };
        self.router.record_choice(query, sent.part, &choice, full);
        query.record(now, sent.part, ask, outcome);
        if let Some(at) = query.parts[sent.part].retry_at {
            query.parts[sent.part].tried.clear();
            self.timers.insert((at, sent.query));
        }
        match phase {
            Phase::Canary(canary) if canary == ask => {
                self.after_canary(now, &sent, died, answered, refused)
            }
            _ if !self.is_repeatable(sent.query) => self.after_job(now, &sent, refused),
            _ if died => self.suspect(now, sent.query),
            _ => self.after_piece(now, &sent, answered, refused),
        }
    }

    pub(crate) fn is_repeatable(&self, id: u64) -> bool {
        self.queries
            .get(&id)
            .is_none_or(|query| query.request.is_repeatable())
    }

    /// Ends the bookkeeping of a sub-request.
    fn end(
        &mut self,
        now: Time,
        ask: u64,
        replica: Option<SocketAddr>,
        outcome: &Outcome,
    ) -> Option<Ask> {
        let mut sent = self.asks.remove(&ask)?;
        self.router.record_ended(&sent.replica);
        sent.replica = replica.unwrap_or(sent.replica);
        let query = self.queries.get_mut(&sent.query)?;
        let shard = query.shard(sent.part).name.clone();
        query.steps.push(step(now, &sent, query, describe(outcome)));
        let state = self.states.get_mut(&query.service.name)?;
        if let Outcome::Answered(answer) = outcome {
            let known = state.indexes.entry(shard).or_default();
            known.retain(|replica, _| self.router.owner(replica).is_some());
            if let Some(index) = answer
                .index
                .filter(|index| query.pin.is_none_or(|pin| *index > pin))
            {
                known.insert(sent.replica, index);
            }
        } else if let Outcome::Moved { index: Some(index) } = outcome {
            state
                .indexes
                .entry(shard)
                .or_default()
                .insert(sent.replica, *index);
        }
        Some(sent)
    }

    fn after_piece(&mut self, now: Time, sent: &Ask, answered: bool, refused: bool) -> Vec<Action> {
        let id = sent.query;
        let mut actions = Vec::new();
        let Some(query) = self.queries.get(&id) else {
            return actions;
        };
        let service = query.service.clone();
        let idle = query.parts[sent.part].is_idle();
        if answered {
            actions.extend(self.withdraw(now, id, Some(sent.part)));
        } else if idle && (refused || self.state(&service).retries.spend()) {
            actions.extend(self.send_all(now, id, &[sent.part], Kind::Again));
        }
        actions.extend(self.proceed(now, id));
        actions
    }

    /// Withdraws the outstanding sub-requests of one part, or of all.
    pub(crate) fn withdraw(&mut self, now: Time, id: u64, part: Option<usize>) -> Vec<Action> {
        let Some(query) = self.queries.get_mut(&id) else {
            return Vec::new();
        };
        let chosen = query.parts.iter_mut().enumerate();
        let chosen = chosen.filter(|(at, _)| part.is_none_or(|part| part == *at));
        let asks = chosen.flat_map(|(_, part)| std::mem::take(&mut part.asks).into_keys());
        let asks = asks.collect::<Vec<_>>();
        asks.into_iter()
            .filter_map(|ask| self.withdraw_one(now, ask))
            .collect()
    }

    fn withdraw_one(&mut self, now: Time, ask: u64) -> Option<Action> {
        let sent = self.asks.remove(&ask)?;
        self.router.record_ended(&sent.replica);
        let query = self.queries.get_mut(&sent.query)?;
        query
            .steps
            .push(step(now, &sent, query, "withdrawn".to_owned()));
        Some(Action::Cancel(sent.host, ask))
    }

    /// Goes on after a change: waits, asks for a common version, or answers.
    fn proceed(&mut self, now: Time, id: u64) -> Vec<Action> {
        let Some(query) = self.queries.get_mut(&id) else {
            return Vec::new();
        };
        if query.phase != Phase::Running || !query.request.is_repeatable() {
            return Vec::new();
        }
        match query.next(now) {
            Next::Wait => Vec::new(),
            Next::Finish => {
                let reply = query.reply(RETRY_AFTER);
                self.finish(now, id, reply)
            }
            Next::Align(parts) => {
                let mut actions = self.send_all(now, id, &parts, Kind::Again);
                actions.extend(self.proceed(now, id));
                actions
            }
        }
    }

    pub(crate) fn finish(&mut self, now: Time, id: u64, reply: Reply) -> Vec<Action> {
        let mut actions = self.withdraw(now, id, None);
        let Some(mut query) = self.queries.remove(&id) else {
            return actions;
        };
        if let Some(trace) = query.trace(now, &reply) {
            self.recent.push(trace);
        }
        self.timers.remove(&(query.deadline, id));
        if let Phase::Canary(_) = query.phase {
            actions.push(Action::Tried(query.fingerprint, Standing::Suspect));
        }
        if let Some(state) = self.states.get_mut(&query.service.name) {
            let late = now.since(query.started) > query.service.objective.latency;
            let signal = match late {
                _ if query.overloaded => Signal::Refused,
                true => Signal::Late,
                false => Signal::Fine,
            };
            state.window.finish(now, &query.request.caller, signal);
        }
        actions.push(Action::Answer(id, reply));
        actions
    }

    /// Handles timers that are due.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((time, id)) = self
            .timers
            .first()
            .copied()
            .filter(|(time, _)| *time <= now)
        {
            self.timers.remove(&(time, id));
            actions.extend(self.wake(now, id));
        }
        actions
    }

    fn wake(&mut self, now: Time, id: u64) -> Vec<Action> {
        let Some(query) = self.queries.get_mut(&id) else {
            return Vec::new();
        };
        if now >= query.deadline {
            return self.expire(now, id);
        }
        if query.phase == Phase::Suspected {
            return self.ask_again(now, id);
        }
        if query.phase != Phase::Running {
            return Vec::new();
        }
        let due = |part: &crate::query::Part| part.retry_at.is_some_and(|at| at <= now);
        let parts = query.parts.iter().enumerate().filter(|(_, part)| due(part));
        let parts = parts.map(|(at, _)| at).collect::<Vec<_>>();
        let mut actions = self.send_all(now, id, &parts, Kind::First);
        actions.extend(self.proceed(now, id));
        actions
    }

    fn expire(&mut self, now: Time, id: u64) -> Vec<Action> {
        let Some(query) = self.queries.get(&id) else {
            return Vec::new();
        };
        let reply = match query.phase {
            Phase::Claiming => refusal(Cause::Quorum, Ran::No),
            Phase::Suspected if !query.request.is_repeatable() => {
                refusal(Cause::Quarantined, Ran::No)
            }
            _ => query.reply(RETRY_AFTER),
        };
        let job = query.request.job();
        let give_back = matches!(&reply, Reply::Refusal { ran: Ran::No, .. });
        let mut actions = Vec::new();
        if give_back && !query.request.is_repeatable() {
            let token = self.token(id);
            actions.push(Action::Propose(
                id,
                Key::Job(job),
                Change::Release { token },
            ));
        }
        actions.extend(self.finish(now, id, reply));
        actions
    }

    /// Drops a repeatable request whose caller went away; a job goes on.
    pub fn abandon(&mut self, now: Time, id: u64) -> Vec<Action> {
        if !self.queries.contains_key(&id) || !self.is_repeatable(id) {
            return Vec::new();
        }
        self.finish(now, id, refusal(Cause::Cancelled, Ran::Maybe))
    }

    /// Treats the sub-requests at a lost daemon as failed.
    pub fn lose(&mut self, now: Time, host: &Name) -> Vec<Action> {
        let lost = self.asks.iter().filter(|(_, ask)| ask.host == *host);
        let lost = lost.map(|(ask, _)| *ask).collect::<Vec<_>>();
        let outcome = Outcome::unsure(Cause::Lost);
        lost.into_iter()
            .flat_map(|ask| self.outcome(now, ask, None, outcome.clone()))
            .collect()
    }

    /// Treats one sub-request as not sent, as its owner can't be reached.
    pub fn unsent(&mut self, now: Time, ask: u64) -> Vec<Action> {
        self.outcome(now, ask, None, Outcome::refused(Cause::NoOwner))
    }
}

fn describe(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Answered(answer) => format!("answered {}", answer.status),
        Outcome::Moved { index: Some(index) } => format!("has index {index}"),
        Outcome::Moved { index: None } => "has another index".to_owned(),
        Outcome::Failed { ran, cause } => format!("{cause}, ran {ran}"),
    }
}

fn step(now: Time, sent: &Ask, query: &Query, outcome: String) -> Step {
    Step {
        shard: query.shard(sent.part).name.clone(),
        replica: sent.replica,
        owner: sent.host.clone(),
        kind: sent.kind,
        sent_us: sent.sent.since(query.started).as_us(),
        took_us: now.since(sent.sent).as_us(),
        outcome,
    }
}

pub(crate) fn refusal(cause: Cause, ran: Ran) -> Reply {
    Reply::Refusal {
        cause,
        ran,
        retry_after: Some(RETRY_AFTER),
    }
}

/// Positions of the shards that a request goes to.
fn choose_shards(request: &Request, service: &Service) -> Option<Vec<usize>> {
    let position = |name: &Name| service.shards.iter().position(|shard| shard.name == *name);
    let named = request
        .shards
        .iter()
        .map(position)
        .collect::<Option<BTreeSet<_>>>()?;
    let named = named.into_iter().collect::<Vec<_>>();
    if !request.is_repeatable() && named.len() > 1 {
        return None;
    }
    if !named.is_empty() {
        return Some(named);
    }
    if request.is_repeatable() {
        return Some((0..service.shards.len()).collect());
    }
    let at = request.job().rank() % service.shards.len().max(1) as u64;
    Some(vec![at as usize])
}
