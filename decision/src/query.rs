//! A query: one request at its entry daemon, with its parts (one for each shard), their
//! answers, and the choice of one index version for the whole answer.
//!
//! The entry role keeps one [`Query`] for each unanswered request. It records outcomes
//! with [`Query::record`], asks [`Query::next_step`] what to do, and takes the answer
//! from [`Query::reply`].

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

/// Rounds at most in which parts are asked again for a common index version.
const ALIGN_ROUNDS_MAX: u8 = 2;

/// Delay before a part is retried after no owner or no failure domain in service was
/// found.
const OWNER_RETRY_DELAY: Span = Span::from_ms(20);

/// Final answer to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// Answers of the shards, all of one index version.
    Answers(Answers),
    /// Answer to a job.
    Job {
        /// Answer of the backend server.
        answer: Answer,
        /// Whether the answer is the recorded one of an earlier run.
        replayed: bool,
    },
    /// The request is refused.
    Refusal {
        /// Cause of the refusal.
        cause: Cause,
        /// Whether the request ran at a backend server.
        ran: Ran,
        /// Time after which a retry may succeed; absent if a retry does not help.
        retry_after: Option<Span>,
    },
}

/// Answers of the shards of one query.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Answers {
    /// Index version of all answers; absent if the servers state none.
    pub snapshot: Option<Index>,
    /// Answer bodies by shard.
    pub results: Vec<(Name, Bytes)>,
    /// Shards without an answer, with the cause.
    pub missing: Vec<(Name, Cause)>,
}

impl Answers {
    /// Share of the requested shards that answered, between 0 and 1.
    pub fn ratio(&self) -> f64 {
        let requested = self.results.len() + self.missing.len();
        self.results.len() as f64 / requested.max(1) as f64
    }
}

/// Phase of a query.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// A job waits for the voters to decide its claim.
    Claiming,
    /// A suspected query waits for the arbiter's ruling.
    AwaitingCanary,
    /// The sub-request with this identifier runs as a canary.
    Canary(u64),
    /// Sub-requests run as usual.
    Running,
    /// A job waits for its answer to be recorded in the register.
    Recording,
}

/// Attempts and answers for one shard.
#[derive(Clone, Debug, Default)]
pub struct Part {
    /// Position of the shard in the service.
    pub shard: usize,
    /// Outstanding sub-requests by identifier, with the position of their replica in the
    /// shard.
    pub attempts: BTreeMap<u64, usize>,
    /// Positions of the replicas tried since the set was last cleared, by a new pin, a
    /// scheduled retry or a ruling.
    pub tried: BTreeSet<usize>,
    /// Answers by index version.
    pub answers: BTreeMap<Option<Index>, Answer>,
    /// Index versions that servers reported when they could not serve the pinned one.
    pub offered: BTreeSet<Index>,
    /// Cause of the last failed attempt.
    pub failure: Option<Cause>,
    /// When the part is tried again after no owner or no failure domain in service was
    /// found; absent if no retry is scheduled.
    pub retry_at: Option<Time>,
}

impl Part {
    /// Whether no sub-request is outstanding and no retry is scheduled.
    pub fn is_idle(&self) -> bool {
        self.attempts.is_empty() && self.retry_at.is_none()
    }

    fn has_answer(&self, index: Option<Index>) -> bool {
        self.answers.contains_key(&index)
    }

    /// Index versions that the shard's servers are known to have.
    fn versions(&self) -> impl Iterator<Item = Index> + '_ {
        let answered = self.answers.keys().flatten();
        answered.chain(&self.offered).copied()
    }
}

/// One request at its entry daemon.
#[derive(Clone, Debug)]
pub struct Query {
    /// The caller's request.
    pub request: Arc<Request>,
    /// Fingerprint of the request, see [`crate::suspect`].
    pub fingerprint: Digest,
    /// Configuration of the service when the request arrived.
    pub service: Arc<Service>,
    /// When the request arrived.
    pub started: Time,
    /// When the query is answered at the latest.
    pub deadline: Time,
    /// Current phase.
    pub phase: Phase,
    /// Parts, one for each requested shard.
    pub parts: Vec<Part>,
    /// Index version that answers must have; absent until one is chosen.
    pub pin: Option<Index>,
    /// Whether an owner or server refused a part because of load.
    pub overloaded: bool,
    /// Number of sub-requests sent.
    pub attempt_count: u32,
    /// Trace of the sub-requests that ended.
    pub steps: Vec<Step>,
    /// Rounds so far in which parts were asked for a common index version.
    align_rounds: u8,
}

/// Next step of a running query.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    /// Wait for outstanding sub-requests or scheduled retries.
    Wait,
    /// Ask these parts again for the query's new pin.
    Align(Vec<usize>),
    /// Answer the caller.
    Finish,
}

impl Query {
    /// Creates a query to `shards`, the positions of shards in `service`. The deadline is
    /// the caller's or the default one, at most `deadline_max`.
    pub fn new(
        now: Time,
        request: Arc<Request>,
        service: Arc<Service>,
        shards: Vec<usize>,
    ) -> Query {
        let time_allowed = request.deadline.unwrap_or(service.deadline);
        let parts = shards.into_iter().map(|shard| Part {
            shard,
            ..Part::default()
        });
        Query {
            fingerprint: request.fingerprint(),
            deadline: now.after(time_allowed.min(service.deadline_max)),
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

    /// Records the outcome of a sub-request of `part`.
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

    /// Schedules a retry of a part that could not be sent because of `cause`: no owner or
    /// no failure domain in service.
    pub fn retry_later(&mut self, now: Time, part: usize, cause: Cause) {
        let part = &mut self.parts[part];
        part.failure = Some(cause);
        part.retry_at = Some(now.after(OWNER_RETRY_DELAY));
    }

    /// Positions of the parts without an answer of any index version.
    pub fn unanswered(&self) -> Vec<usize> {
        let parts = self.parts.iter().enumerate();
        parts
            .filter(|(_, part)| part.answers.is_empty())
            .map(|(at, _)| at)
            .collect()
    }

    /// The index version at which most parts answered; the newest of equals.
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

    /// Number of parts that answered at an index version.
    fn answered_at(&self, index: Option<Index>) -> usize {
        self.parts
            .iter()
            .filter(|part| part.has_answer(index))
            .count()
    }

    /// Determines the next step after an outcome or a timer.
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

    /// Pins the index version to ask for next and returns the parts that lack it. The
    /// first round asks for the best version, the second one for the newest known.
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

    /// The trace of the query if its answer is slow or incomplete; absent otherwise.
    pub fn trace(&mut self, now: Time, reply: &Reply) -> Option<Trace> {
        let took = now.since(self.started);
        let answer = match reply {
            Reply::Answers(answers) if answers.missing.is_empty() => "complete".to_owned(),
            Reply::Answers(answers) => {
                let missing = answers
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

    /// The reply with the answers received so far. It is a refusal if fewer shards
    /// answered than `min_coverage` requires.
    pub fn reply(&self, retry_after: Span) -> Reply {
        if !self.request.is_repeatable() {
            return self.job_reply(retry_after);
        }
        let snapshot = self.best_version();
        let mut answers = Answers {
            snapshot,
            ..Answers::default()
        };
        for part in &self.parts {
            let name = self.service.shards[part.shard].name.clone();
            match part.answers.get(&snapshot) {
                Some(answer) => answers.results.push((name, answer.body.clone())),
                None => answers.missing.push((name, self.missing_cause(part))),
            }
        }
        if answers.results.is_empty() || answers.ratio() < self.service.min_coverage {
            return self.refusal(&answers, retry_after);
        }
        Reply::Answers(answers)
    }

    /// Why a part is missing from the answer.
    fn missing_cause(&self, part: &Part) -> Cause {
        match part.failure {
            _ if !part.answers.is_empty() => Cause::OtherSnapshot,
            None => Cause::Deadline,
            Some(cause) if part.attempts.is_empty() => cause,
            Some(_) => Cause::Deadline,
        }
    }

    /// Refusal for too few answers, with the cause of the first missing shard.
    fn refusal(&self, answers: &Answers, retry_after: Span) -> Reply {
        let cause = answers
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

    /// Reply of a job: its answer, or a refusal that says whether the job may have run.
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
