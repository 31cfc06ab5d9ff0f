//! The entry role: accepts callers' requests, sends sub-requests to owners, and answers
//! each request once.
//!
//! [`Daemon`](crate::daemon::Daemon) calls it and carries out the returned [`Action`]s.
//! The modules `canary` and `idempotency` hold the parts for suspected requests and for
//! requests that run at most once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::admission::Signal;
use crate::admission::Window;
use crate::canary::quarantine_refusal;
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
use crate::request::Ran;
use crate::request::Request;
use crate::request::Subrequest;
use crate::route::Choice;
use crate::route::Router;
use crate::suspect::Standing;
use crate::suspect::Table;
use crate::trace::Kind;
use crate::trace::Recent;
use crate::trace::Step;

/// Retry-After of a refused request.
pub(crate) const RETRY_AFTER: Span = Span::from_secs(1);

/// Retries after failures, per first sub-request.
const RETRY_RATIO: f64 = 0.05;

/// Initial admission window, in queries per slot of a shard's replicas.
const WINDOW_PER_SLOT: f64 = 2.0;

/// Actions that the entry role requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send sub-requests to the owner on a host.
    Send(Name, Batch),
    /// Cancel the sub-request with this identifier at the owner on a host.
    Cancel(Name, u64),
    /// Answer the query with this identifier.
    Answer(u64, Reply),
    /// Have the voters decide a change for the query with this identifier.
    Propose(u64, Key, Change),
    /// Ask the arbiter for permission to run the query with this identifier as a canary.
    RequestCanary(u64, Digest),
    /// Report the standing that a canary showed; `Suspect` if it ended without a result.
    CanaryEnded(Digest, Standing),
}

/// A sub-request that was sent and has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) query: u64,
    pub(crate) part: usize,
    pub(crate) host: Name,
    /// Replica chosen here; the owner may choose another one of the same shard.
    pub(crate) preferred: SocketAddr,
    /// The preferred replica; once the outcome is known, the one that the owner chose.
    pub(crate) replica: SocketAddr,
    pub(crate) sent_at: Time,
    pub(crate) kind: Kind,
}

/// State kept for each service.
#[derive(Clone, Debug)]
pub(crate) struct State {
    /// Budget for retries of sub-requests that failed and may have run.
    pub(crate) retries: Budget,
    /// Admission window for new queries.
    pub(crate) window: Window,
    /// Last known index version of each replica, by shard.
    pub(crate) indexes: BTreeMap<Name, BTreeMap<SocketAddr, Index>>,
}

/// Counts of sub-requests since the daemon started, for metrics.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// First sub-requests of the shards, their scheduled retries, and canaries.
    pub first: u64,
    /// Immediate retries after a refusal or failure, and repeats for a common index
    /// version.
    pub again: u64,
}

/// State of the entry role.
#[derive(Debug, Default)]
pub struct Entry {
    pub(crate) manifest: Arc<Manifest>,
    /// Chooses replicas and their owners.
    pub router: Router,
    /// Sub-requests sent, for metrics.
    pub counts: Counts,
    /// Traces of slow and incomplete requests.
    pub recent: Recent,
    pub(crate) service_states: BTreeMap<Name, State>,
    pub(crate) services: BTreeMap<Name, Arc<Service>>,
    /// Queries not yet answered, by identifier.
    pub(crate) queries: BTreeMap<u64, Query>,
    /// Outstanding sub-requests, by identifier.
    pub(crate) attempts: BTreeMap<u64, Attempt>,
    /// Deadlines and retry times, with the query's identifier.
    pub(crate) timers: BTreeSet<(Time, u64)>,
    /// Time by which all queries are answered, as the daemon stops; absent while it runs.
    pub(crate) end: Option<Time>,
    pub(crate) last_attempt: u64,
    /// Upper half of all claim tokens of this daemon.
    pub(crate) seed: u64,
}

impl Entry {
    /// Creates an entry role. `seed` is a random number and the upper half of its claim
    /// tokens.
    pub fn new(seed: u64) -> Entry {
        Entry {
            seed,
            ..Entry::default()
        }
    }

    /// Replaces the configuration and the daemons that may own replicas.
    pub fn update(&mut self, manifest: &Arc<Manifest>, candidates: &[Candidate], spread: Spread) {
        self.router.update(manifest, candidates, spread);
        if self.manifest == *manifest {
            return;
        }
        self.manifest = manifest.clone();
        self.service_states
            .retain(|name, _| manifest.services.contains_key(name));
        let services = manifest.services.iter();
        self.services = services
            .map(|(n, s)| (n.clone(), Arc::new(s.clone())))
            .collect();
    }

    /// The state of a service, created if absent.
    fn service_state(&mut self, service: &Service) -> &mut State {
        let replicas = service
            .shards
            .iter()
            .map(|shard| shard.replicas.len())
            .max();
        let slots = replicas.unwrap_or(1) as f64 * f64::from(service.limits.slots);
        self.service_states
            .entry(service.name.clone())
            .or_insert_with(|| State {
                retries: Budget::new(RETRY_RATIO),
                window: Window::new(slots * WINDOW_PER_SLOT),
                indexes: BTreeMap::new(),
            })
    }

    /// Number of queries not yet answered.
    pub fn pending(&self) -> usize {
        self.queries.len()
    }

    /// Earliest time at which a timer is due in [`Entry::tick`].
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.first().map(|(time, _)| *time)
    }

    /// Accepts or refuses a caller's request; `id` identifies its query in later events.
    pub fn on_request(
        &mut self,
        now: Time,
        id: u64,
        request: Arc<Request>,
        standings: &Table,
    ) -> Vec<Action> {
        let Some(service) = self.services.get(&request.service).cloned() else {
            return vec![Action::Answer(id, refusal(Cause::NoOwner, Ran::No))];
        };
        let shards = match target_shards(&request, &service) {
            Some(shards) => shards,
            None => return vec![Action::Answer(id, refusal(Cause::NoOwner, Ran::No))],
        };
        let account = self.manifest.callers.by_name(&request.caller);
        let weight = account.map_or(1, |account| account.weight());
        let caller = request.caller.clone();
        if !self
            .service_state(&service)
            .window
            .admit(now, &caller, weight)
        {
            return vec![Action::Answer(id, refusal(Cause::Overloaded, Ran::No))];
        }
        let mut query = Query::new(now, request, service, shards);
        query.deadline = query.deadline.min(self.end.unwrap_or(query.deadline));
        query.pin = self.common_index(&query);
        self.timers.insert((query.deadline, id));
        let standing = standings.standing(now, &query.fingerprint);
        let job = !query.request.is_repeatable();
        self.queries.insert(id, query);
        match standing {
            Some(Standing::Quarantined) => self.finish(now, id, quarantine_refusal(Ran::No)),
            _ if job => self.claim(id),
            Some(Standing::Suspect) => self.request_canary(now, id),
            Some(Standing::Cleared) | None => self.start(now, id),
        }
    }

    /// The newest index version that every shard has on some replica, as far as known.
    fn common_index(&mut self, query: &Query) -> Option<Index> {
        if !query.request.is_repeatable() {
            return None;
        }
        let state = self.service_states.get(&query.service.name)?;
        let newest = query.parts.iter().map(|part| {
            let shard = &query.service.shards[part.shard];
            state.indexes.get(&shard.name)?.values().max().copied()
        });
        newest.collect::<Option<Vec<_>>>()?.into_iter().min()
    }

    /// Starts a query: sends a sub-request for each part that has no answer.
    pub(crate) fn start(&mut self, now: Time, id: u64) -> Vec<Action> {
        let Some(query) = self.queries.get_mut(&id) else {
            return Vec::new();
        };
        query.phase = Phase::Running;
        let parts = query.unanswered();
        let service = query.service.clone();
        self.service_state(&service).retries.earn(parts.len());
        let mut actions = self.send_parts(now, id, &parts, Kind::First);
        actions.extend(self.advance(now, id));
        actions
    }

    /// Sends a sub-request for each of `parts`, batched by owner.
    pub(crate) fn send_parts(
        &mut self,
        now: Time,
        id: u64,
        parts: &[usize],
        kind: Kind,
    ) -> Vec<Action> {
        let mut batches: BTreeMap<Name, Vec<Subrequest>> = BTreeMap::new();
        for part in parts {
            if let Some((host, subrequest)) = self.start_attempt(now, id, *part, kind) {
                batches.entry(host).or_default().push(subrequest);
            }
        }
        let Some(query) = self.queries.get_mut(&id) else {
            return Vec::new();
        };
        let time_left = query.deadline.since(now);
        let (request, priority) = (query.request.clone(), query.service.priority);
        let send = |(host, subrequests)| {
            let exclusive = kind == Kind::Canary;
            let batch = Batch {
                request: request.clone(),
                time_left,
                priority,
                exclusive,
                subrequests,
            };
            Action::Send(host, batch)
        };
        batches.into_iter().map(send).collect()
    }

    /// Chooses a replica for a part and records the attempt. Schedules a retry if a first
    /// attempt finds no owner or no failure domain in service.
    fn start_attempt(
        &mut self,
        now: Time,
        id: u64,
        part: usize,
        kind: Kind,
    ) -> Option<(Name, Subrequest)> {
        let query = self.queries.get_mut(&id)?;
        let shard = query.shard(part).clone();
        let seed = id.wrapping_mul(31).wrapping_add(part as u64);
        query.parts[part].retry_at = None;
        let at = match self.router.choose(&shard, &query.parts[part].tried, seed) {
            Ok(at) => at,
            Err(cause @ (Cause::NoOwner | Cause::DomainOut)) if kind == Kind::First => {
                query.retry_later(now, part, cause);
                self.timers.insert((query.parts[part].retry_at?, id));
                return None;
            }
            Err(_) => return None,
        };
        let replica = &shard.replicas[at];
        let host = self.router.owner(&replica.address)?.clone();
        self.last_attempt += 1;
        let attempt_id = self.last_attempt;
        let alternatives = self
            .router
            .alternatives(&shard, at, &query.parts[part].tried);
        query.parts[part].tried.insert(at);
        query.parts[part].attempts.insert(attempt_id, at);
        query.attempt_count += 1;
        let pin = query.pin;
        if kind == Kind::Canary {
            query.phase = Phase::Canary(attempt_id);
        }
        self.router.record_sent(replica.address);
        self.count(kind);
        let (replica, sent_at) = (replica.address, now);
        self.attempts.insert(
            attempt_id,
            Attempt {
                query: id,
                part,
                host: host.clone(),
                preferred: replica,
                replica,
                sent_at,
                kind,
            },
        );
        Some((
            host,
            Subrequest {
                id: attempt_id,
                replica,
                alternatives,
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

    /// Handles the outcome of a sub-request. `replica` is the replica that the owner
    /// chose, if known.
    pub fn on_outcome(
        &mut self,
        now: Time,
        attempt_id: u64,
        replica: Option<SocketAddr>,
        outcome: Outcome,
    ) -> Vec<Action> {
        let Some(attempt) = self.finish_attempt(now, attempt_id, replica, &outcome) else {
            return Vec::new();
        };
        let Some(query) = self.queries.get_mut(&attempt.query) else {
            return Vec::new();
        };
        let server_failed = matches!(
            outcome,
            Outcome::Failed {
                cause: Cause::ServerFailed,
                ..
            }
        );
        let not_run = matches!(outcome, Outcome::Failed { ran: Ran::No, .. });
        let answered = matches!(outcome, Outcome::Answered(_));
        let phase = query.phase;
        let overloaded = matches!(
            outcome,
            Outcome::Failed {
                cause: Cause::Overloaded,
                ..
            }
        );
        let (host, preferred) = (attempt.host.clone(), attempt.preferred);
        let choice = Choice {
            host,
            preferred,
            chosen: attempt.replica,
        };
        self.router
            .record_choice(query, attempt.part, &choice, overloaded);
        query.record(now, attempt.part, attempt_id, outcome);
        if let Some(at) = query.parts[attempt.part].retry_at {
            query.parts[attempt.part].tried.clear();
            self.timers.insert((at, attempt.query));
        }
        match phase {
            Phase::Canary(canary) if canary == attempt_id => {
                self.after_canary(now, &attempt, server_failed, answered, not_run)
            }
            _ if !self.is_repeatable(attempt.query) => {
                self.after_job_attempt(now, &attempt, not_run)
            }
            _ if server_failed => self.request_canary(now, attempt.query),
            _ => self.after_attempt(now, &attempt, answered, not_run),
        }
    }

    /// Whether a query may be sent more than once; true for an unknown one.
    pub(crate) fn is_repeatable(&self, id: u64) -> bool {
        self.queries
            .get(&id)
            .is_none_or(|query| query.request.is_repeatable())
    }

    /// Removes an attempt, adds it to the trace, and updates the known index versions.
    fn finish_attempt(
        &mut self,
        now: Time,
        attempt_id: u64,
        replica: Option<SocketAddr>,
        outcome: &Outcome,
    ) -> Option<Attempt> {
        let mut attempt = self.attempts.remove(&attempt_id)?;
        self.router.record_ended(&attempt.replica);
        attempt.replica = replica.unwrap_or(attempt.replica);
        let query = self.queries.get_mut(&attempt.query)?;
        let shard = query.shard(attempt.part).name.clone();
        query
            .steps
            .push(trace_step(now, &attempt, query, describe(outcome)));
        let state = self.service_states.get_mut(&query.service.name)?;
        if let Outcome::Answered(answer) = outcome {
            let known = state.indexes.entry(shard).or_default();
            known.retain(|replica, _| self.router.owner(replica).is_some());
            if let Some(index) = answer
                .index
                .filter(|index| query.pin.is_none_or(|pin| *index > pin))
            {
                known.insert(attempt.replica, index);
            }
        } else if let Outcome::IndexMismatch { index: Some(index) } = outcome {
            state
                .indexes
                .entry(shard)
                .or_default()
                .insert(attempt.replica, *index);
        }
        Some(attempt)
    }

    /// Continues a repeatable query after an attempt ended: cancels the other attempts of
    /// an answered part, or retries an unanswered one.
    fn after_attempt(
        &mut self,
        now: Time,
        attempt: &Attempt,
        answered: bool,
        not_run: bool,
    ) -> Vec<Action> {
        let id = attempt.query;
        let mut actions = Vec::new();
        let Some(query) = self.queries.get(&id) else {
            return actions;
        };
        let service = query.service.clone();
        let idle = query.parts[attempt.part].is_idle();
        if answered {
            actions.extend(self.cancel_attempts(now, id, Some(attempt.part)));
        } else if idle && (not_run || self.service_state(&service).retries.spend()) {
            actions.extend(self.send_parts(now, id, &[attempt.part], Kind::Again));
        }
        actions.extend(self.advance(now, id));
        actions
    }

    /// Cancels the outstanding sub-requests of one part, or of all parts if `part` is
    /// absent.
    pub(crate) fn cancel_attempts(
        &mut self,
        now: Time,
        id: u64,
        part: Option<usize>,
    ) -> Vec<Action> {
        let Some(query) = self.queries.get_mut(&id) else {
            return Vec::new();
        };
        let chosen = query.parts.iter_mut().enumerate();
        let chosen = chosen.filter(|(at, _)| part.is_none_or(|part| part == *at));
        let attempts = chosen.flat_map(|(_, part)| std::mem::take(&mut part.attempts).into_keys());
        let attempts = attempts.collect::<Vec<_>>();
        attempts
            .into_iter()
            .filter_map(|attempt_id| self.cancel_attempt(now, attempt_id))
            .collect()
    }

    fn cancel_attempt(&mut self, now: Time, attempt_id: u64) -> Option<Action> {
        let attempt = self.attempts.remove(&attempt_id)?;
        self.router.record_ended(&attempt.replica);
        let query = self.queries.get_mut(&attempt.query)?;
        query
            .steps
            .push(trace_step(now, &attempt, query, "withdrawn".to_owned()));
        Some(Action::Cancel(attempt.host, attempt_id))
    }

    /// Takes the next step of a running query: waits, asks parts for a common index
    /// version, or answers.
    fn advance(&mut self, now: Time, id: u64) -> Vec<Action> {
        let Some(query) = self.queries.get_mut(&id) else {
            return Vec::new();
        };
        if query.phase != Phase::Running || !query.request.is_repeatable() {
            return Vec::new();
        }
        match query.next_step(now) {
            Next::Wait => Vec::new(),
            Next::Finish => {
                let reply = query.reply(RETRY_AFTER);
                self.finish(now, id, reply)
            }
            Next::Align(parts) => {
                let mut actions = self.send_parts(now, id, &parts, Kind::Again);
                actions.extend(self.advance(now, id));
                actions
            }
        }
    }

    /// Answers a query and removes it. Its outstanding sub-requests are cancelled.
    pub(crate) fn finish(&mut self, now: Time, id: u64, reply: Reply) -> Vec<Action> {
        let mut actions = self.cancel_attempts(now, id, None);
        let Some(mut query) = self.queries.remove(&id) else {
            return actions;
        };
        if let Some(trace) = query.trace(now, &reply) {
            self.recent.push(trace);
        }
        self.timers.remove(&(query.deadline, id));
        if let Phase::Canary(_) = query.phase {
            actions.push(Action::CanaryEnded(query.fingerprint, Standing::Suspect));
        }
        if let Some(state) = self.service_states.get_mut(&query.service.name) {
            let late = now.since(query.started) > query.service.objective.latency;
            let signal = match late {
                _ if query.overloaded => Signal::Overload,
                true => Signal::Late,
                false => Signal::OnTime,
            };
            state.window.finish(now, &query.request.caller, signal);
        }
        actions.push(Action::Answer(id, reply));
        actions
    }

    /// Handles all timers that are due.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((time, id)) = self
            .timers
            .first()
            .copied()
            .filter(|(time, _)| *time <= now)
        {
            self.timers.remove(&(time, id));
            actions.extend(self.on_timer(now, id));
        }
        actions
    }

    /// Handles a due timer of a query: its deadline, a retry of its canary, or retries of
    /// its parts.
    fn on_timer(&mut self, now: Time, id: u64) -> Vec<Action> {
        let Some(query) = self.queries.get_mut(&id) else {
            return Vec::new();
        };
        if now >= query.deadline {
            return self.on_deadline(now, id);
        }
        if query.phase == Phase::AwaitingCanary {
            return self.retry_canary(now, id);
        }
        if query.phase != Phase::Running {
            return Vec::new();
        }
        let due = |part: &crate::query::Part| part.retry_at.is_some_and(|at| at <= now);
        let parts = query.parts.iter().enumerate().filter(|(_, part)| due(part));
        let parts = parts.map(|(at, _)| at).collect::<Vec<_>>();
        let mut actions = self.send_parts(now, id, &parts, Kind::First);
        actions.extend(self.advance(now, id));
        actions
    }

    /// Moves the deadlines of all queries, also of later ones, to `end` at the latest.
    pub fn end_by(&mut self, end: Time) {
        self.end = Some(end);
        for (id, query) in &mut self.queries {
            self.timers.remove(&(query.deadline, *id));
            query.deadline = query.deadline.min(end);
            self.timers.insert((query.deadline, *id));
        }
    }

    /// Answers a query at its deadline. The claim of a job that did not run is released.
    fn on_deadline(&mut self, now: Time, id: u64) -> Vec<Action> {
        let Some(query) = self.queries.get(&id) else {
            return Vec::new();
        };
        let reply = match query.phase {
            Phase::Claiming => refusal(Cause::NoQuorum, Ran::No),
            Phase::AwaitingCanary if !query.request.is_repeatable() => {
                refusal(Cause::Quarantined, Ran::No)
            }
            _ => query.reply(RETRY_AFTER),
        };
        let job = query.request.job_key();
        let release_claim = matches!(&reply, Reply::Refusal { ran: Ran::No, .. });
        let mut actions = Vec::new();
        if release_claim && !query.request.is_repeatable() {
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

    /// Drops the query of a caller that disconnected if it is repeatable; a job
    /// continues.
    pub fn on_abandoned(&mut self, now: Time, id: u64) -> Vec<Action> {
        if !self.queries.contains_key(&id) || !self.is_repeatable(id) {
            return Vec::new();
        }
        self.finish(now, id, refusal(Cause::Cancelled, Ran::Maybe))
    }

    /// Fails the sub-requests at a lost daemon; each of them may have run.
    pub fn on_host_lost(&mut self, now: Time, host: &Name) -> Vec<Action> {
        let lost = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.host == *host);
        let lost = lost.map(|(attempt_id, _)| *attempt_id).collect::<Vec<_>>();
        let outcome = Outcome::maybe_ran(Cause::OwnerLost);
        lost.into_iter()
            .flat_map(|attempt_id| self.on_outcome(now, attempt_id, None, outcome.clone()))
            .collect()
    }

    /// Fails a sub-request that could not be sent to its owner; it did not run.
    pub fn on_unsent(&mut self, now: Time, attempt_id: u64) -> Vec<Action> {
        self.on_outcome(now, attempt_id, None, Outcome::not_run(Cause::NoOwner))
    }
}

/// Text of an outcome in traces.
fn describe(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Answered(answer) => format!("answered {}", answer.status),
        Outcome::IndexMismatch { index: Some(index) } => format!("has index {index}"),
        Outcome::IndexMismatch { index: None } => "has another index".to_owned(),
        Outcome::Failed { ran, cause } => format!("{cause}, ran {ran}"),
    }
}

/// The trace entry of an attempt that ended.
fn trace_step(now: Time, attempt: &Attempt, query: &Query, outcome: String) -> Step {
    Step {
        shard: query.shard(attempt.part).name.clone(),
        replica: attempt.replica,
        owner: attempt.host.clone(),
        kind: attempt.kind,
        sent_us: attempt.sent_at.since(query.started).as_us(),
        took_us: now.since(attempt.sent_at).as_us(),
        outcome,
    }
}

/// A refusal that asks the caller to retry after [`RETRY_AFTER`].
pub(crate) fn refusal(cause: Cause, ran: Ran) -> Reply {
    Reply::Refusal {
        cause,
        ran,
        retry_after: Some(RETRY_AFTER),
    }
}

/// Positions in the service of the shards that a request is sent to. Absent if a named
/// shard does not exist or a job names several shards. A job that names no shard goes to
/// one chosen by the hash of its job key.
fn target_shards(request: &Request, service: &Service) -> Option<Vec<usize>> {
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
    let at = request.job_key().rank() % service.shards.len().max(1) as u64;
    Some(vec![at as usize])
}
