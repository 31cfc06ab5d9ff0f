//! Admission of callers' requests within the quotas of their accounts.
//!
//! Executes the actions of [`Gate`](wagtailbeam_decision::account::quota::Gate). Requests without
//! an account, without a quota or without a route pass at once, and so do the orders and requests
//! that other hosts forward: the host that the caller reached took their token.

use std::net::SocketAddr;
use std::sync::Arc;

use wagtailbeam_decision::account::home::Terms;
use wagtailbeam_decision::account::quota::Action;
use wagtailbeam_decision::account::quota::Cause;
use wagtailbeam_decision::account::quota::Gate;
use wagtailbeam_decision::account::quota::Settings;
use wagtailbeam_decision::account::token;
use wagtailbeam_decision::account::usage::Verdict;
use wagtailbeam_decision::answer::Answer;
use wagtailbeam_decision::answer::Refusal;
use wagtailbeam_decision::branch;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::plan::Host;

use crate::entry::Driver;
use crate::host;
use crate::ingress::Request;

/// The gate of a host with these settings.
pub(crate) fn gate(settings: &host::Settings, own: Host, seed: u64) -> Gate {
    let terms = Terms {
        domains: settings.domains.clone(),
        overage: settings.quota.ratio,
        slack: settings.quota.slack,
    };
    Gate::new(Settings { own, terms, seed })
}

impl Driver {
    /// Serves a request of this host's caller once its account's quota allows it.
    pub(crate) fn admit(&mut self, id: u64, request: &Arc<Request>) {
        let path = request.target.path();
        let routed = self.gateway.catalog().route(&request.host, path).is_some();
        let account = request.account.as_ref().filter(|_| routed);
        let Some(account) = account else {
            return self.serve(id, request, Span::ZERO);
        };
        if account.quota.is_none() {
            self.tally.count(&account.name, Verdict::Admitted);
            return self.serve(id, request, Span::ZERO);
        }
        let now = self.now();
        let confirmed = self.subscriber.is_fresh(now);
        let actions = self.gate.start(now, id, account, confirmed);
        self.gate_actions(actions);
    }

    /// Executes actions of the gate.
    pub(crate) fn gate_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Admit(id, waited) => self.serve_admitted(id, waited),
                Action::Refuse(id, cause, wait) => self.refuse_by_quota(id, cause, wait),
                Action::Ask(home, request) => {
                    self.send_branch(home, branch::Message::Token(request));
                }
                Action::Reply(host, reply) => {
                    self.send_branch(host, branch::Message::TokenReply(reply));
                }
                Action::Ended(_, ending) => {
                    self.meter.token_request_ended(ending);
                }
                Action::Avoid(home) => self.logger.home_silent(home),
            }
        }
    }

    fn serve_admitted(&mut self, id: u64, waited: Span) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let request = pending.request.clone();
        self.count_decided(&request, Verdict::Admitted);
        self.serve(id, &request, waited);
    }

    fn refuse_by_quota(&mut self, id: u64, cause: Cause, wait: Span) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let request = pending.request.clone();
        let (refusal, verdict) = match cause {
            Cause::Empty(_) => (Refusal::OverQuota, Verdict::Refused),
            Cause::Silent | Cause::Crowded => (Refusal::NotRun, Verdict::Unavailable),
        };
        self.count_decided(&request, verdict);
        if let Some(account) = &request.account {
            self.logger.quota_refused(&account.name, cause, wait);
        }
        let path = request.target.path();
        let route = self.gateway.catalog().route(&request.host, path);
        let route = route.map(|route| route.name.clone());
        let report = self.gateway.report_unsent(self.now(), route);
        self.answer_caller(id, Answer::Refused(refusal, Some(wait)), &report);
    }

    /// Counts a request of an account with a quota by what became of it.
    fn count_decided(&mut self, request: &Request, verdict: Verdict) {
        self.meter.quota_decided(verdict);
        if let Some(account) = &request.account {
            self.tally.count(&account.name, verdict);
        }
    }

    /// Answers another host's request for tokens.
    pub(crate) fn answer_token(&mut self, from: SocketAddr, request: &token::Request) {
        let action = self.gate.answer(self.now(), from, request);
        self.gate_actions(vec![action]);
    }

    /// Handles a home's answer.
    pub(crate) fn finish_token(&mut self, from: SocketAddr, reply: token::Reply) {
        let actions = self.gate.handle_reply(self.now(), from, reply);
        self.gate_actions(actions);
    }

    /// Handles a request for tokens that could not be sent.
    pub(crate) fn token_unsent(&mut self, id: token::TokenId) {
        let actions = self.gate.undelivered(self.now(), id);
        self.gate_actions(actions);
    }

    /// Moves the requests on that wait for a lost host.
    pub(crate) fn handle_lost_home(&mut self, host: SocketAddr) {
        let actions = self.gate.lose_host(self.now(), host);
        self.gate_actions(actions);
    }

    /// Fires the gate's timers.
    pub(crate) fn tick_gate(&mut self) {
        let actions = self.gate.tick(self.now());
        self.gate_actions(actions);
    }
}
