//! Callers' requests at an entry host: to the decisions, to replicas and back.

use std::time::Instant;

use http_body_util::Full;
use hyper::Request;
use hyper::header::HeaderValue;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::endpoint::Ending;
use wagtailbeam_decision::endpoint::Ticket;
use wagtailbeam_decision::fanout;
use wagtailbeam_decision::gateway;
use wagtailbeam_decision::gateway::Action;
use wagtailbeam_decision::gateway::Answer;
use wagtailbeam_decision::gateway::Call;
use wagtailbeam_decision::gateway::Event;

use crate::entry::CALLER_MARGIN;
use crate::entry::CALLER_MARGIN_FIRST;
use crate::entry::Host;
use crate::entry::Origin;
use crate::entry::Pending;
use crate::entry::name_of;
use crate::ingress;
use crate::ingress::Passed;
use crate::pool;
use crate::pool::Terms;

/// Time that this host needs beyond that to merge what several hosts gathered.
const MERGE_MARGIN: Span = Span::from_ms(5);

impl Host {
    /// Takes a report of the callers' port.
    pub(crate) fn caller(&mut self, report: ingress::Report) {
        match report {
            ingress::Report::Request(id, passed, answer) => {
                let pending = Pending {
                    passed: passed.clone(),
                    envelope: None,
                    origin: Origin::Caller(answer),
                    since: Instant::now(),
                };
                self.pending.insert(id, pending);
                self.serve(id, &passed);
            }
            ingress::Report::Abandoned(id) => {
                if let Some(pending) = self.pending.remove(&id) {
                    let id = name_of(&pending.passed);
                    self.trail.abandoned(id, pending.since.elapsed());
                }
                self.step(Event::Abandoned(id));
                self.fan(fanout::Event::Abandoned(id));
            }
        }
    }

    /// Serves a caller's request, with other hosts if its route needs them.
    fn serve(&mut self, id: u64, passed: &Passed) {
        let path = passed.target.path();
        if let Some(route) = self.fanout.split_route(&passed.host, path) {
            let margin = match passed.first {
                true => CALLER_MARGIN_FIRST,
                false => CALLER_MARGIN,
            };
            let request = fanout::Request {
                route,
                left: passed.left,
                margin: margin + MERGE_MARGIN,
            };
            return self.fan(fanout::Event::Request(id, request));
        }
        let request = gateway::Request {
            host: passed.host.clone(),
            path: path.into(),
            left: passed.left,
            catalog_confirmed: self.fresh,
            first_on_connection: passed.first,
            others_healthier: self.rotation.others_healthier(self.others()),
        };
        self.step(Event::Request(id, request));
    }

    /// Takes a report of the connections to replicas.
    pub(crate) fn backend(&mut self, report: pool::Report<Ticket>) {
        let Some((ticket, result)) = self.pool.take(report) else {
            return;
        };
        let Some((passed, address)) = self.calls.remove(&ticket) else {
            return;
        };
        let exchange = self.judge(&passed, address, ticket, result);
        self.meter.ended(exchange.ending);
        self.step(Event::Completed(ticket, exchange));
        self.relayed = None;
    }

    /// Gives the gateway an event and does what it says.
    pub(crate) fn step(&mut self, event: Event) {
        let now = self.now();
        for action in self.gateway.step(now, event) {
            match action {
                Action::Send(call) => self.send(&call),
                Action::Withdraw(ticket) => {
                    self.calls.remove(&ticket);
                    self.pool.abort(&ticket);
                    self.meter.ended(Ending::Withdrawn);
                }
                Action::Answer(id, answer, report) => self.answer(id, answer, &report),
                Action::Reply(id, piece) => self.piece(id, piece),
                Action::CloseIdle(address) => self.pool.release(&address),
                Action::Extra(id, service, replica, why) => {
                    self.meter.extra(why);
                    if let Some(pending) = self.pending.get(&id) {
                        let id = name_of(&pending.passed);
                        self.trail.extra(id, &service, &replica, why);
                    }
                }
            }
        }
    }

    fn send(&mut self, call: &Call) {
        let Some(pending) = self.pending.get(&call.request) else {
            return tracing::error!(event = 791, request = call.request, "a call has no request");
        };
        let passed = pending.passed.clone();
        let names = self.dialect.headers();
        let mut request = Request::new(Full::new(passed.body.clone()));
        *request.method_mut() = passed.method.clone();
        *request.uri_mut() = passed.target.clone().into();
        *request.headers_mut() = passed.headers.clone();
        let headers = request.headers_mut();
        headers.insert(names.deadline.clone(), call.left.as_ms().into());
        match HeaderValue::from_str(&call.instance) {
            Ok(instance) => drop(headers.insert(names.instance.clone(), instance)),
            Err(error) => tracing::error!(event = 791, %error, "an instance is no header value"),
        }
        let terms = Terms {
            address: call.address,
            connections: call.connections,
            careful: call.avoid_stale,
        };
        self.calls.insert(call.ticket, (passed, call.address));
        self.pool.call(call.ticket, terms, request);
    }

    /// Answers a caller.
    pub(crate) fn answer(&mut self, id: u64, answer: Answer, report: &gateway::Report) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let (reply, outcome) = self.reply(answer);
        self.trail
            .answered(name_of(&pending.passed), outcome, report);
        self.meter.answered(outcome, report);
        let now = self.now();
        let failed = outcome.is_failure() && report.is_cut_off();
        self.rotation.record(now, failed);
        let Origin::Caller(answer) = pending.origin else {
            return tracing::error!(event = 791, request = id, "a branch has an answer");
        };
        if answer.send(reply).is_err() {
            tracing::debug!(request = id, "the caller left as it was answered");
        }
    }
}
