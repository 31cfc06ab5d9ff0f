//! Conversions between HTTP and the gateway's terms: results of calls to replicas become
//! completions, and answers become replies to callers. Used by `serve`.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::StatusCode;
use wagtailbeam_decision::answer::Answer;
use wagtailbeam_decision::answer::Refusal;
use wagtailbeam_decision::endpoint::Ending;
use wagtailbeam_decision::endpoint::Ticket;
use wagtailbeam_decision::evidence::Evidence;
use wagtailbeam_decision::evidence::Identity;
use wagtailbeam_decision::evidence::Proof;
use wagtailbeam_decision::gateway::Completion;
use wagtailbeam_decision::notice::Notice;

use crate::entry::Driver;
use crate::entry::log_id;
use crate::http;
use crate::ingress::Reply;
use crate::ingress::Request;
use crate::logging::Outcome;
use crate::pool;
use crate::pool::Failure;

/// Value of the header with which a replica says that it is leaving.
const LEAVING: &str = "1";

impl Driver {
    /// Classifies the result of a call for the gateway. A response that may be relayed is
    /// kept in `held_response`.
    pub(crate) fn classify(
        &mut self,
        request: &Request,
        address: SocketAddr,
        ticket: Ticket,
        result: pool::Result,
    ) -> Completion {
        let without_body = |ending| Completion {
            ending,
            stamp: None,
            body: Bytes::new(),
            notice: Notice::default(),
        };
        let response = match result {
            Ok(response) => response,
            Err(failure) => {
                let cause = failure.to_string();
                let id = log_id(request);
                self.logger.replica_failed(id, &address.to_string(), &cause);
                return match failure {
                    Failure::Unreachable(_) => without_body(Ending::Unreachable),
                    Failure::Stale => without_body(Ending::Stale),
                    Failure::Broken(_) | Failure::TooLong => without_body(Ending::Broken),
                    Failure::Ended(_) => without_body(Ending::Ended),
                };
            }
        };
        let names = self.dialect.headers();
        let headers = &response.headers;
        let success = response.status.is_success();
        let evidence = Evidence {
            identity: response.identity,
            not_run: headers.contains_key(&names.not_run),
            success,
        };
        let proof = evidence.proof();
        if proof == Proof::Nothing {
            let cause = match evidence.identity {
                Identity::Foreign => "answer to another request",
                Identity::Missing | Identity::Unnamed => "answer that names no request",
                Identity::Own => "success that did not run",
            };
            let id = log_id(request);
            self.logger.replica_failed(id, &address.to_string(), cause);
            return without_body(Ending::Broken);
        }
        let denied = response.status == StatusCode::MISDIRECTED_REQUEST;
        if proof == Proof::NotRun && denied {
            return without_body(Ending::Denied);
        }
        let overloaded = response.status == StatusCode::SERVICE_UNAVAILABLE;
        let notice = Notice {
            limit: http::limit_statement(headers, names.limit.as_str()),
            leaving: http::header_text(headers, names.leaving.as_str()) == Some(LEAVING),
            pause: overloaded.then(|| http::retry_after(headers)).flatten(),
        };
        if proof == Proof::NotRun {
            return Completion {
                notice,
                ..without_body(Ending::Shed)
            };
        }
        let stamp = http::header_text(&response.headers, names.stamp.as_str());
        let stamp = stamp.map(Arc::<str>::from);
        let body = response.body.clone();
        if success && stamp.is_none() {
            return without_body(Ending::Broken);
        }
        if http::promises_not_run(response.status) {
            let cause = format!("status {} after a run", response.status.as_u16());
            let id = log_id(request);
            self.logger.replica_failed(id, &address.to_string(), &cause);
        }
        self.held_response = Some((ticket, response));
        match success {
            true => Completion {
                ending: Ending::Answered,
                stamp,
                body,
                notice,
            },
            false => Completion {
                notice,
                ..without_body(Ending::Failed)
            },
        }
    }

    /// Converts an answer to the reply for the caller, and to its outcome for the log and
    /// the metrics.
    pub(crate) fn build_reply(&mut self, answer: Answer) -> (Reply, Outcome) {
        match answer {
            Answer::Relay(ticket) => match self.held_response.take() {
                Some((held, response)) if held == ticket => match Reply::relay(response) {
                    reply @ Reply::Relay(_) => (reply, Outcome::Relayed),
                    reply => (reply, Outcome::Failed),
                },
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
                    Refusal::UnknownKey => Outcome::UnknownKey,
                    Refusal::OverQuota => Outcome::OverQuota,
                    Refusal::NotRun => Outcome::NotRun,
                    Refusal::Failed => Outcome::Failed,
                    Refusal::Timeout => Outcome::Timeout,
                    Refusal::Quarantined => Outcome::Quarantined,
                };
                (Reply::Refused(refusal, wait), outcome)
            }
        }
    }
}
