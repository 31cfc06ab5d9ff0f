//! The entry role's handling of requests that are suspected of making servers fail.
//!
//! A suspected request pauses until the arbiter rules on it. It then runs as a canary,
//! alone at one server, or as usual, or is refused. See [`crate::suspect`].

use crate::clock::Time;
use crate::digest::Digest;
use crate::entry::Action;
use crate::entry::Attempt;
use crate::entry::Entry;
use crate::entry::RETRY_AFTER;
use crate::query::Phase;
use crate::query::Reply;
use crate::request::Cause;
use crate::request::Ran;
use crate::suspect::QUARANTINE_TTL;
use crate::suspect::Ruling;
use crate::suspect::Standing;
use crate::trace::Kind;

impl Entry {
    /// Cancels a query's sub-requests and asks for permission to run it as a canary.
    pub(crate) fn request_canary(&mut self, now: Time, id: u64) -> Vec<Action> {
        let mut actions = self.cancel_attempts(now, id, None);
        let Some(query) = self.queries.get_mut(&id) else {
            return actions;
        };
        query.phase = Phase::AwaitingCanary;
        query.parts.iter_mut().for_each(|part| part.retry_at = None);
        actions.push(Action::RequestCanary(id, query.fingerprint));
        actions
    }

    /// Pauses all running repeatable queries with a suspected fingerprint.
    pub fn on_suspected(&mut self, now: Time, fingerprint: &Digest) -> Vec<Action> {
        let running = self.queries.iter().filter(|(_, query)| {
            let affected = query.phase == Phase::Running && query.request.is_repeatable();
            affected && query.fingerprint == *fingerprint
        });
        let running = running.map(|(id, _)| *id).collect::<Vec<_>>();
        running
            .into_iter()
            .flat_map(|id| self.request_canary(now, id))
            .collect()
    }

    /// Asks for permission again once the retry time of a canary that found no owner has
    /// come.
    pub(crate) fn retry_canary(&mut self, now: Time, id: u64) -> Vec<Action> {
        let Some(query) = self.queries.get_mut(&id) else {
            return Vec::new();
        };
        let due = query
            .parts
            .iter()
            .any(|part| part.retry_at.is_some_and(|at| at <= now));
        if !due {
            return Vec::new();
        }
        query.parts.iter_mut().for_each(|part| part.retry_at = None);
        vec![Action::RequestCanary(id, query.fingerprint)]
    }

    /// Repeats all canary requests, to be called when the members change: another daemon
    /// may be the arbiter now.
    pub fn renew_canary_requests(&self) -> Vec<Action> {
        let waiting = self
            .queries
            .iter()
            .filter(|(_, query)| query.phase == Phase::AwaitingCanary);
        waiting
            .map(|(id, query)| Action::RequestCanary(*id, query.fingerprint))
            .collect()
    }

    /// Applies the arbiter's ruling to a query that waits for it.
    pub fn on_ruling(&mut self, now: Time, id: u64, ruling: Ruling) -> Vec<Action> {
        let Some(query) = self.queries.get_mut(&id) else {
            return Vec::new();
        };
        if query.phase != Phase::AwaitingCanary {
            return Vec::new();
        }
        query.parts.iter_mut().for_each(|part| part.tried.clear());
        let job = (!query.request.is_repeatable()).then(|| query.request.job_key());
        match ruling {
            Ruling::Quarantined => {
                let ran = if query.attempt_count == 0 {
                    Ran::No
                } else {
                    Ran::Yes
                };
                let release = job.map(|job| self.release_claim(id, job));
                let mut actions = self.finish(now, id, quarantine_refusal(ran));
                actions.extend(release);
                actions
            }
            Ruling::Cleared => self.start(now, id),
            Ruling::Go => self.run_canary(now, id),
        }
    }

    /// Sends one sub-request of the query as a canary, for the first part with a replica
    /// to try. Without any, the query is answered and the canary is inconclusive.
    pub(crate) fn run_canary(&mut self, now: Time, id: u64) -> Vec<Action> {
        let Some(query) = self.queries.get(&id) else {
            return Vec::new();
        };
        for part in query.unanswered() {
            let actions = self.send_parts(now, id, &[part], Kind::Canary);
            if !actions.is_empty() {
                return actions;
            }
        }
        let Some(query) = self.queries.get(&id) else {
            return Vec::new();
        };
        let mut actions = vec![Action::CanaryEnded(query.fingerprint, Standing::Suspect)];
        let reply = query.reply(RETRY_AFTER);
        actions.extend(self.finish(now, id, reply));
        actions
    }

    /// Handles the end of a canary: quarantines the request if the server failed, clears
    /// it if the server answered, tries another replica if the canary did not run. Any
    /// other end is inconclusive and answers the query.
    pub(crate) fn after_canary(
        &mut self,
        now: Time,
        attempt: &Attempt,
        server_failed: bool,
        answered: bool,
        not_run: bool,
    ) -> Vec<Action> {
        let id = attempt.query;
        let Some(query) = self.queries.get_mut(&id) else {
            return Vec::new();
        };
        let fingerprint = query.fingerprint;
        query.phase = Phase::Running;
        if server_failed {
            let mut actions = vec![Action::CanaryEnded(fingerprint, Standing::Quarantined)];
            actions.extend(self.finish(now, id, quarantine_refusal(Ran::Yes)));
            return actions;
        }
        if answered {
            let mut actions = vec![Action::CanaryEnded(fingerprint, Standing::Cleared)];
            actions.extend(match self.is_repeatable(id) {
                true => self.start(now, id),
                false => self.after_job_attempt(now, attempt, false),
            });
            return actions;
        }
        let no_owner = query.parts[attempt.part].retry_at.is_some();
        if not_run && no_owner {
            query.phase = Phase::AwaitingCanary;
            return vec![Action::CanaryEnded(fingerprint, Standing::Suspect)];
        }
        if not_run {
            return self.run_canary(now, id);
        }
        let reply = query.reply(RETRY_AFTER);
        let mut actions = vec![Action::CanaryEnded(fingerprint, Standing::Suspect)];
        actions.extend(self.finish(now, id, reply));
        actions
    }
}

/// The refusal of a quarantined request; `ran` says whether the request ran.
pub(crate) fn quarantine_refusal(ran: Ran) -> Reply {
    Reply::Refusal {
        cause: Cause::Quarantined,
        ran,
        retry_after: Some(QUARANTINE_TTL),
    }
}
