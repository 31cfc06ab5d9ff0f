//! What replicas' answers mean for an entry host, and how callers are answered.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::StatusCode;
use wagtailbeam_decision::endpoint::Ending;
use wagtailbeam_decision::endpoint::Ticket;
use wagtailbeam_decision::gateway::Answer;
use wagtailbeam_decision::gateway::Completion;
use wagtailbeam_decision::gateway::Refusal;

use crate::entry::Host;
use crate::entry::name_of;
use crate::http;
use crate::ingress::Passed;
use crate::ingress::Reply;
use crate::pool;
use crate::pool::Failure;
use crate::trail::Outcome;

impl Host {
    /// What the end of a call means.
    pub(crate) fn judge(
        &mut self,
        passed: &Passed,
        address: SocketAddr,
        ticket: Ticket,
        result: pool::Result,
    ) -> Completion {
        let end = |ending| Completion {
            ending,
            stamp: None,
            body: Bytes::new(),
        };
        let response = match result {
            Ok(response) => response,
            Err(failure) => {
                let cause = failure.to_string();
                let id = name_of(passed);
                self.trail.unanswered(id, &address.to_string(), &cause);
                return match failure {
                    Failure::Unreachable(_) => end(Ending::Unreachable),
                    Failure::Stale => end(Ending::Stale),
                    Failure::Broken(_) | Failure::TooLong => end(Ending::Broken),
                };
            }
        };
        let names = self.dialect.headers();
        let echo = response.headers.get(&names.request);
        if echo.is_some_and(|echo| *echo != passed.id) {
            let cause = "answer to another request";
            let id = name_of(passed);
            self.trail.unanswered(id, &address.to_string(), cause);
            return end(Ending::Broken);
        }
        if response.status == StatusCode::MISDIRECTED_REQUEST {
            return end(Ending::Denied);
        }
        if response.headers.contains_key(&names.not_run) {
            return end(Ending::Shed);
        }
        let stamp = http::header_text(&response.headers, names.stamp.as_str());
        let stamp = stamp.map(Arc::<str>::from);
        let body = response.body.clone();
        let success = response.status.is_success();
        if success && stamp.is_none() {
            return end(Ending::Broken);
        }
        self.relayed = Some((ticket, response));
        match success {
            true => Completion {
                ending: Ending::Answered,
                stamp,
                body,
            },
            false => end(Ending::Failed),
        }
    }

    pub(crate) fn reply(&mut self, answer: Answer) -> (Reply, Outcome) {
        match answer {
            Answer::Relay(ticket) => match self.relayed.take() {
                Some((held, response)) if held == ticket => {
                    (Reply::Relay(response), Outcome::Relayed)
                }
                _ => (Reply::Refused(Refusal::Failed, None), Outcome::Failed),
            },
            Answer::Merged {
                stamps,
                missing,
                body,
            } => {
                let reply = Reply::Merged {
                    stamps: stamps.join(", "),
                    missing,
                    body,
                };
                let complete = missing == 0;
                let outcome = if complete {
                    Outcome::Complete
                } else {
                    Outcome::Partial
                };
                (reply, outcome)
            }
            Answer::Refused(refusal, wait) => {
                let outcome = match refusal {
                    Refusal::NoRoute => Outcome::NoRoute,
                    Refusal::NotRun => Outcome::NotRun,
                    Refusal::Failed => Outcome::Failed,
                    Refusal::Timeout => Outcome::Timeout,
                };
                (Reply::Refused(refusal, wait), outcome)
            }
        }
    }
}
