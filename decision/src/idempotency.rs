//! The entry role's handling of jobs: requests with an idempotency key, which run at most
//! once.
//!
//! The entry claims the job's key in the voters' register before it sends the job, and
//! records the answer there before it answers the caller. A claim is released only if the
//! job certainly did not run.

use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::entry::Action;
use crate::entry::Attempt;
use crate::entry::Entry;
use crate::entry::RETRY_AFTER;
use crate::entry::refusal;
use crate::job::ANSWER_MAX_BYTES;
use crate::job::Token;
use crate::job::Verdict;
use crate::query::Phase;
use crate::query::Reply;
use crate::register::Change;
use crate::register::Decision;
use crate::register::Key;
use crate::request::Cause;
use crate::request::Ran;
use crate::suspect::Standing;
use crate::suspect::Table;
use crate::trace::Kind;

/// Retry-After of a job whose outcome is unknown.
const JOB_RETRY_AFTER: Span = Span::from_secs(5);

impl Entry {
    /// The claim token of a query: the daemon's seed followed by the query's identifier.
    pub(crate) fn token(&self, id: u64) -> Token {
        Token(u128::from(self.seed) << 64 | u128::from(id))
    }

    /// Proposes to claim the query's job.
    pub(crate) fn claim(&mut self, id: u64) -> Vec<Action> {
        let token = self.token(id);
        let Some(query) = self.queries.get_mut(&id) else {
            return Vec::new();
        };
        query.phase = Phase::Claiming;
        let change = Change::Claim {
            token,
            body: query.fingerprint,
        };
        vec![Action::Propose(
            id,
            Key::Job(query.request.job_key()),
            change,
        )]
    }

    /// Proposes to release the query's claim on a job that did not run.
    pub(crate) fn release_claim(&self, id: u64, job: Digest) -> Action {
        Action::Propose(
            id,
            Key::Job(job),
            Change::Release {
                token: self.token(id),
            },
        )
    }

    /// Handles the voters' decision on a change that the query `id` proposed.
    pub fn on_decision(
        &mut self,
        now: Time,
        id: u64,
        decision: &Decision,
        standings: &Table,
    ) -> Vec<Action> {
        let Some(query) = self.queries.get(&id) else {
            return Vec::new();
        };
        match query.phase {
            Phase::Recording => {
                let reply = query.reply(JOB_RETRY_AFTER);
                self.finish(now, id, reply)
            }
            Phase::Claiming => self.on_claim_decided(now, id, decision, standings),
            Phase::AwaitingCanary | Phase::Canary(_) | Phase::Running => Vec::new(),
        }
    }

    /// Starts the job if its claim was granted; otherwise answers from the record or
    /// refuses it.
    pub(crate) fn on_claim_decided(
        &mut self,
        now: Time,
        id: u64,
        decision: &Decision,
        standings: &Table,
    ) -> Vec<Action> {
        let Some(query) = self.queries.get(&id) else {
            return Vec::new();
        };
        let (job, fingerprint) = (query.request.job_key(), query.fingerprint);
        let reply = match decision {
            Decision::Job(Verdict::Won) => {
                return match standings.standing(now, &fingerprint) {
                    Some(Standing::Suspect | Standing::Quarantined) => self.request_canary(now, id),
                    Some(Standing::Cleared) | None => self.start(now, id),
                };
            }
            Decision::Job(Verdict::Done(Some(answer))) => Reply::Job {
                answer: answer.clone(),
                replayed: true,
            },
            Decision::Job(Verdict::Done(None)) => Reply::Refusal {
                cause: Cause::AnswerNotKept,
                ran: Ran::Yes,
                retry_after: None,
            },
            Decision::Job(Verdict::Conflict) => Reply::Refusal {
                cause: Cause::KeyReused,
                ran: Ran::No,
                retry_after: None,
            },
            Decision::Job(Verdict::Held | Verdict::Noted) => outcome_unknown(),
            Decision::Unknown | Decision::File(_) | Decision::Value(_) | Decision::Tier(..) => {
                let mut actions = vec![self.release_claim(id, job)];
                actions.extend(self.finish(now, id, refusal(Cause::NoQuorum, Ran::No)));
                return actions;
            }
        };
        self.finish(now, id, reply)
    }

    /// Handles the end of a job's attempt: records the answer, retries a job that did not
    /// run, or refuses with an unknown outcome.
    pub(crate) fn after_job_attempt(
        &mut self,
        now: Time,
        attempt: &Attempt,
        not_run: bool,
    ) -> Vec<Action> {
        let id = attempt.query;
        let token = self.token(id);
        let Some(query) = self.queries.get_mut(&id) else {
            return Vec::new();
        };
        let job = query.request.job_key();
        if let Some(answer) = query.parts[attempt.part].answers.values().next().cloned() {
            query.phase = Phase::Recording;
            let answer = Some(answer).filter(|answer| answer.body.len() <= ANSWER_MAX_BYTES);
            return vec![Action::Propose(
                id,
                Key::Job(job),
                Change::Record { token, answer },
            )];
        }
        if !not_run {
            return self.finish(now, id, outcome_unknown());
        }
        if query.parts[attempt.part].retry_at.is_some() {
            return Vec::new();
        }
        let actions = self.send_parts(now, id, &[attempt.part], Kind::Again);
        if !actions.is_empty() {
            return actions;
        }
        let Some(query) = self.queries.get(&id) else {
            return Vec::new();
        };
        let reply = query.reply(RETRY_AFTER);
        let mut actions = vec![self.release_claim(id, job)];
        actions.extend(self.finish(now, id, reply));
        actions
    }
}

/// The refusal of a job whose outcome is unknown.
fn outcome_unknown() -> Reply {
    let retry_after = Some(JOB_RETRY_AFTER);
    Reply::Refusal {
        cause: Cause::OutcomeUnknown,
        ran: Ran::Maybe,
        retry_after,
    }
}
