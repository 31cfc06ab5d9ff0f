//! One request at its entry daemon: its parts, their answers, and the choice of
//! one index version.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;

use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::manifest::Service;
use crate::manifest::Shard;
use crate::name::Name;
use crate::request::Answer;
use crate::request::Cause;
use crate::request::Index;
use crate::request::Outcome;
use crate::request::Ran;
use crate::request::Request;
use crate::trace::Step;
use crate::trace::Trace;

/// Rounds in which shards are asked again for a common index version.
const ALIGN_ROUNDS_MAX: u8 = 2;

/// Wait before a shard without an owner is tried again.
const OWNER_RETRY_DELAY: Span = Span::from_ms(20);

/// Final answer to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// Answers of the shards of one snapshot.
    Envelope(Envelope),
    /// The answer of a request that runs at most once.
    Job {
        /// The answer of the backend server.
        answer: Answer,
        /// Whether it is the record of an earlier run.
        replayed: bool,
    },
    /// No answer.
    Refusal {
        /// Why.
        cause: Cause,
        /// Whether the request ran.
        ran: Ran,
        /// When to come back, if that may help.
        retry_after: Option<Span>,
    },
}

/// The answers of one query.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Envelope {
    /// Index version of every answer in it.
    pub snapshot: Option<Index>,
    /// Answers by shard.
    pub results: Vec<(Name, Bytes)>,
    /// Shards without an answer, and why.
    pub missing: Vec<(Name, Cause)>,
}

impl Envelope {
    /// Share of the shards asked that answered.
    pub fn ratio(&self) -> f64 {
        let asked = self.results.len() + self.missing.len();
        self.results.len() as f64 / asked.max(1) as f64
    }
}

/// What a request is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Waits for its claim on the voters.
    Claiming,
    /// Waits for leave to run as a canary.
    AwaitingCanary,
    /// Runs one sub-request, the given one, as a canary.
    Canary(u64),
    /// Runs.
    Running,
    /// Waits for its outcome to be recorded.
    Recording,
}

/// The answers of one shard.
#[derive(Clone, Debug, Default)]
pub struct Part {
    /// Position of the shard in the service.
    pub shard: usize,
    /// Sub-requests outstanding, with the replica's position.
    pub attempts: BTreeMap<u64, usize>,
    /// Replicas tried since the last new pin.
    pub tried: BTreeSet<usize>,
    /// Answers by index version.
    pub answers: BTreeMap<Option<Index>, Answer>,
    /// Index versions that its servers said they have.
    pub offered: BTreeSet<Index>,
    /// The last reason for having no answer.
    pub failure: Option<Cause>,
    /// When it is tried again after finding no owner.
    pub retry_at: Option<Time>,
}

impl Part {
    /// Whether nothing is outstanding or planned for it.
    pub fn is_idle(&self) -> bool {
        self.attempts.is_empty() && self.retry_at.is_none()
    }

    fn has_answer(&self, index: Option<Index>) -> bool {
        self.answers.contains_key(&index)
    }

    fn versions(&self) -> impl Iterator<Item = Index> + '_ {
        let answered = self.answers.keys().flatten();
        answered.chain(&self.offered).copied()
    }
}

/// One request at its entry daemon.
#[derive(Clone, Debug)]
pub struct Query {
    /// The request.
    pub request: Arc<Request>,
    /// Digest by which it is known if it stops servers.
    pub fingerprint: Digest,
    /// The service as it was when the request came.
    pub service: Arc<Service>,
    /// When it came.
    pub started: Time,
    /// When its answer is due.
    pub deadline: Time,
    /// What it is doing.
    pub phase: Phase,
    /// Its shards.
    pub parts: Vec<Part>,
    /// The index version asked for.
    pub pin: Option<Index>,
    /// Whether an owner refused part of it for load.
    pub overloaded: bool,
    /// Sub-requests sent.
    pub attempt_count: u32,
    /// Its sub-requests that ended.
    pub steps: Vec<Step>,
    align_rounds: u8,
}

/// What to do once nothing is outstanding.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    /// Wait.
    Wait,
    /// Ask these parts again, at the query's new pin.
    Align(Vec<usize>),
    /// Answer.
    Finish,
}

impl Query {
    /// A request to `shards` of `service`, by their positions.
    pub fn new(
        now: Time,
        request: Arc<Request>,
        service: Arc<Service>,
        shards: Vec<usize>,
    ) -> Query {
        let asked = request.deadline.unwrap_or(service.deadline);
        let parts = shards.into_iter().map(|shard| Part {
            shard,
            ..Part::default()
        });
        Query {
            fingerprint: request.fingerprint(),
            deadline: now.after(asked.min(service.deadline_max)),
            parts: parts.collect(),
            request,
            service,
            started: now,
            phase: Phase::Running,
            pin: None,
            overloaded: false,
            attempt_count: 0,
            steps: Vec::new(),
            align_rounds: 0,
        }
    }

    /// The shard of a part.
    pub fn shard(&self, part: usize) -> &Shard {
        &self.service.shards[self.parts[part].shard]
    }

    /// Takes the outcome of a sub-request of `part`.
    pub fn record(&mut self, now: Time, part: usize, attempt_id: u64, outcome: Outcome) {
        let repeatable = self.request.is_repeatable();
        let part = &mut self.parts[part];
        part.attempts.remove(&attempt_id);
        match outcome {
            Outcome::Answered(answer) if !repeatable || is_success(answer.status) => {
                part.retry_at = None;
                part.answers.insert(answer.index, answer);
            }
            Outcome::Answered(answer) => part.failure = Some(Cause::Status(answer.status)),
            Outcome::IndexMismatch { index } => {
                part.offered.extend(index);
                part.failure = Some(Cause::OtherSnapshot);
            }
            Outcome::Failed { cause, .. } => {
                self.overloaded |= matches!(cause, Cause::Overloaded | Cause::Shed);
                part.failure = Some(cause);
                let no_owner = matches!(cause, Cause::NotOwner | Cause::NoOwner);
                if no_owner && part.answers.is_empty() {
                    part.retry_at = Some(now.after(OWNER_RETRY_DELAY));
                }
            }
        }
    }

    /// Plans another try of a part for which no owner is known.
    pub fn retry_later(&mut self, now: Time, part: usize, cause: Cause) {
        let part = &mut self.parts[part];
        part.failure = Some(cause);
        part.retry_at = Some(now.after(OWNER_RETRY_DELAY));
    }

    /// Parts that have no answer of any version.
    pub fn unanswered(&self) -> Vec<usize> {
        let parts = self.parts.iter().enumerate();
        parts
            .filter(|(_, part)| part.answers.is_empty())
            .map(|(at, _)| at)
            .collect()
    }

    /// The index version that most parts answered at; the newest of equals.
    pub fn best_version(&self) -> Option<Index> {
        let versions = self
            .parts
            .iter()
            .flat_map(|part| part.answers.keys().copied());
        let versions = versions.collect::<BTreeSet<_>>();
        versions
            .into_iter()
            .max_by_key(|v| (self.answered_at(*v), *v))
            .flatten()
    }

    fn answered_at(&self, index: Option<Index>) -> usize {
        self.parts
            .iter()
            .filter(|part| part.has_answer(index))
            .count()
    }

    /// Decides what to do after a change.
    pub fn next_step(&mut self, now: Time) -> Next {
        if now >= self.deadline {
            return Next::Finish;
        }
        if !self.parts.iter().all(Part::is_idle) {
            return Next::Wait;
        }
        let best = self.best_version();
        if self.answered_at(best) == self.parts.len() || self.align_rounds >= ALIGN_ROUNDS_MAX {
            return Next::Finish;
        }
        self.align(best)
    }

    /// Chooses the next version to ask for: first the best one at the parts that
    /// lack it, then the newest one known.
    fn align(&mut self, best: Option<Index>) -> Next {
        self.align_rounds += 1;
        let newest = self.parts.iter().flat_map(Part::versions).max();
        let target = if self.align_rounds == 1 { best } else { newest };
        let Some(target) = target.or(newest) else {
            return Next::Finish;
        };
        let lacking = self.parts.iter().enumerate().filter(|(_, part)| {
            let has_version = !part.answers.is_empty() || !part.offered.is_empty();
            has_version && !part.has_answer(Some(target))
        });
        let lacking = lacking.map(|(at, _)| at).collect::<Vec<_>>();
        if lacking.is_empty() {
            return if self.align_rounds < ALIGN_ROUNDS_MAX {
                self.align(best)
            } else {
                Next::Finish
            };
        }
        self.pin = Some(target);
        lacking.iter().for_each(|at| self.parts[*at].tried.clear());
        Next::Align(lacking)
    }

    /// The record of the request if its answer is slow or incomplete.
    pub fn trace(&mut self, now: Time, reply: &Reply) -> Option<Trace> {
        let took = now.since(self.started);
        let answer = match reply {
            Reply::Envelope(envelope) if envelope.missing.is_empty() => "complete".to_owned(),
            Reply::Envelope(envelope) => {
                let missing = envelope
                    .missing
                    .iter()
                    .map(|(shard, cause)| format!("{shard}:{cause}"));
                format!("missing {}", missing.collect::<Vec<_>>().join(" "))
            }
            Reply::Job { answer, .. } => format!("status {}", answer.status),
            Reply::Refusal { cause, ran, .. } => format!("refused {cause}, ran {ran}"),
        };
        let complete = matches!(answer.as_str(), "complete") || matches!(reply, Reply::Job { .. });
        if complete && took <= self.service.objective.latency {
            return None;
        }
        Some(Trace {
            request: self.request.id.clone(),
            service: self.service.name.clone(),
            caller: self.request.caller.clone(),
            took_us: took.as_us(),
            answer,
            steps: std::mem::take(&mut self.steps),
        })
    }

    /// The answer as far as it has come.
    pub fn reply(&self, retry_after: Span) -> Reply {
        if !self.request.is_repeatable() {
            return self.job_reply(retry_after);
        }
        let snapshot = self.best_version();
        let mut envelope = Envelope {
            snapshot,
            ..Envelope::default()
        };
        for part in &self.parts {
            let name = self.service.shards[part.shard].name.clone();
            match part.answers.get(&snapshot) {
                Some(answer) => envelope.results.push((name, answer.body.clone())),
                None => envelope.missing.push((name, self.missing_cause(part))),
            }
        }
        if envelope.results.is_empty() || envelope.ratio() < self.service.min_coverage {
            return self.refusal(&envelope, retry_after);
        }
        Reply::Envelope(envelope)
    }

    fn missing_cause(&self, part: &Part) -> Cause {
        match part.failure {
            _ if !part.answers.is_empty() => Cause::OtherSnapshot,
            None => Cause::Deadline,
            Some(cause) if part.attempts.is_empty() => cause,
            Some(_) => Cause::Deadline,
        }
    }

    fn refusal(&self, envelope: &Envelope, retry_after: Span) -> Reply {
        let cause = envelope
            .missing
            .first()
            .map_or(Cause::Deadline, |(_, cause)| *cause);
        let ran = if self.attempt_count == 0 {
            Ran::No
        } else {
            Ran::Maybe
        };
        Reply::Refusal {
            cause,
            ran,
            retry_after: Some(retry_after),
        }
    }

    fn job_reply(&self, retry_after: Span) -> Reply {
        let answer = self
            .parts
            .first()
            .and_then(|part| part.answers.values().next());
        if let Some(answer) = answer {
            return Reply::Job {
                answer: answer.clone(),
                replayed: false,
            };
        }
        let part = self.parts.first();
        let outstanding = part.is_some_and(|part| !part.attempts.is_empty());
        let cause = part.and_then(|part| part.failure).filter(|_| !outstanding);
        let ran = if outstanding { Ran::Maybe } else { Ran::No };
        Reply::Refusal {
            cause: cause.unwrap_or(Cause::Deadline),
            ran,
            retry_after: Some(retry_after),
        }
    }
}

fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}
