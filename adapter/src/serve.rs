//! The path of callers' requests through an entry host.
//!
//! Requests from `ingress` go to the fanout or the gateway; the gateway's calls go to
//! replicas through the connection pool, and the answers back to the callers.

use std::sync::Arc;
use std::time::Instant;

use http_body_util::Full;
use hyper::header::HeaderValue;
use wagtailbeam_decision::answer::Answer;
use wagtailbeam_decision::answer::Report;
use wagtailbeam_decision::branch;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::endpoint::Ending;
use wagtailbeam_decision::endpoint::Ticket;
use wagtailbeam_decision::fanout;
use wagtailbeam_decision::flight::Shared;
use wagtailbeam_decision::gateway;
use wagtailbeam_decision::gateway::Action;
use wagtailbeam_decision::gateway::Call;
use wagtailbeam_decision::gateway::Event;
use wagtailbeam_decision::uplink;

use crate::entry::CALLER_MARGIN;
use crate::entry::CALLER_MARGIN_FIRST;
use crate::entry::Driver;
use crate::entry::Origin;
use crate::entry::Pending;
use crate::entry::log_id;
use crate::ingress;
use crate::ingress::Request;
use crate::note;
use crate::pool;
use crate::pool::Options;
use crate::probe;

/// Time added to the caller margin for merging the replies of several hosts.
const MERGE_MARGIN: Span = Span::from_ms(5);

impl Driver {
    /// Handles an event from a caller connection.
    pub(crate) fn handle_ingress(&mut self, event: ingress::Event) {
        self.suspension.step(self.now());
        match event {
            ingress::Event::Request(id, request, answer) => {
                let (mut request, known) = self.identify(*request);
                if let Some(stop) = self.stop {
                    let left = request.time_left.unwrap_or(Span::MAX);
                    request.time_left = Some(left.min(stop.answers_left()));
                }
                let request = Arc::new(request);
                let pending = Pending {
                    request: request.clone(),
                    envelope: None,
                    origin: Origin::Caller(answer),
                    received_at: Instant::now(),
                };
                self.pending.insert(id, pending);
                match known {
                    true => self.admit(id, &request),
                    false => self.refuse_unknown(id, &request),
                }
            }
            ingress::Event::Accounts(answer) => {
                if answer.send(self.report_accounts()).is_err() {
                    tracing::debug!("operator disconnected before the accounts were sent");
                }
            }
            ingress::Event::Abandoned(id) => {
                if let Some(pending) = self.pending.remove(&id) {
                    let id = log_id(&pending.request);
                    self.logger.caller_left(id, pending.received_at.elapsed());
                }
                self.gate.abandon(id);
                self.step_gateway(Event::Abandoned(id));
                self.step_fanout(fanout::Event::Abandoned(id));
                if let Some((host, relay)) = self.relay.end(id) {
                    self.send_branch(host, branch::Message::RelayCancel(relay));
                }
            }
        }
    }

    /// Passes a request to the fanout if its route is divided among hosts, else to the
    /// gateway, which also refuses the quarantined ones. `waited` is the time that it waited for
    /// its admission.
    pub(crate) fn serve(&mut self, id: u64, request: &Request, waited: Span) {
        let path = request.target.path();
        let (now, fingerprint) = (self.now(), request.fingerprint);
        let split = self.fanout.split_route(&request.host, path);
        let others_only = match (self.gateway.links(), &split) {
            (uplink::State::Trial, Some(_)) => false,
            _ => self.gateway.needs_detour(now),
        };
        let route = match others_only {
            true => self.fanout.detour_route(&request.host, path),
            false => split,
        };
        let admitted = route.filter(|route| !self.gateway.is_quarantined(now, route, fingerprint));
        if let Some(route) = admitted {
            let route = route.with_priority(request.priority());
            self.gateway.count_request(now, &route.name);
            let margin = match request.first_on_connection {
                true => CALLER_MARGIN_FIRST,
                false => CALLER_MARGIN,
            };
            let fanout_request = fanout::Request {
                route,
                left: request.time_left,
                margin: margin + MERGE_MARGIN,
                others_only,
                waited,
            };
            return self.step_fanout(fanout::Event::Request(id, fanout_request));
        }
        if others_only && self.start_relay(id, request, waited) {
            return;
        }
        self.serve_here(id, request, waited, None);
    }

    /// Passes a request that has waited this long to the gateway. `shared` is set if other hosts
    /// may send it to replicas as well.
    pub(crate) fn serve_here(
        &mut self,
        id: u64,
        request: &Request,
        waited: Span,
        shared: Option<Shared>,
    ) {
        let path = request.target.path();
        let fingerprint = request.fingerprint;
        let gateway_request = gateway::Request {
            host: request.host.clone(),
            path: path.into(),
            fingerprint,
            left: request.time_left,
            catalog_confirmed: self.feed_fresh,
            first_on_connection: request.first_on_connection,
            others_healthier: self.rotation.others_healthier(self.peers()),
            priority: request.priority(),
            account: request.account_name(),
            waited,
            shared,
        };
        self.step_gateway(Event::Request(id, gateway_request));
    }

    /// Handles an event of the connection pool; the end of a call goes to the gateway.
    pub(crate) fn handle_pool(&mut self, event: pool::Event<Ticket>) {
        let Some((ticket, result)) = self.pool.handle(event) else {
            return;
        };
        let Some((request, address)) = self.calls.remove(&ticket) else {
            return;
        };
        let completion = self.classify(&request, address, ticket, result);
        self.meter.call_ended(completion.ending);
        self.step_gateway(Event::Completed(ticket, completion));
        self.held_response = None;
    }

    /// Passes an event to the gateway and executes the resulting actions.
    pub(crate) fn step_gateway(&mut self, event: Event) {
        let now = self.now();
        for action in self.gateway.step(now, event) {
            match action {
                Action::Send(call) => self.send_call(&call),
                Action::Withdraw(ticket) => {
                    self.calls.remove(&ticket);
                    self.pool.abort(&ticket);
                    self.meter.call_ended(Ending::Withdrawn);
                }
                Action::Answer(id, answer, report) => self.answer_caller(id, answer, &report),
                Action::Reply(id, reply) => self.send_branch_reply(id, reply),
                Action::CloseIdle(address) => self.pool.close_idle(&address),
                Action::Standing(fingerprint, service, standing) => {
                    self.logger
                        .standing_changed(fingerprint, &service, standing);
                    self.meter.standing_changed(standing);
                    if self.gateway.ledger().digest() != self.subscriber.voter_ledger() {
                        self.subscriber.hurry();
                    }
                }
                Action::Probe(probe) => {
                    probe::start(probe, self.probes.clone(), |accepted| accepted);
                }
                Action::Links(state, evidence) => note::links_changed(state, evidence),
                Action::Leaving(service, replica) => {
                    self.logger.replica_leaves(&service, &replica);
                }
                Action::Pause(service, replica, pause) => {
                    self.logger.replica_pauses(&service, &replica, pause);
                }
                Action::Limit(service, replica, limit) => {
                    self.logger.limit_changed(&service, &replica, limit);
                }
                Action::Extra(id, service, replica, why) => {
                    self.meter.extra_sent(why);
                    if let Some(pending) = self.pending.get(&id) {
                        let id = log_id(&pending.request);
                        self.logger.extra_sent(id, &service, &replica, why);
                    }
                }
            }
        }
    }

    /// Sends a request to a replica, with the time left and the expected instance as
    /// headers.
    fn send_call(&mut self, call: &Call) {
        let Some(pending) = self.pending.get(&call.request) else {
            return tracing::error!(
                event = 791,
                request = call.request,
                "call refers to an unknown request"
            );
        };
        let request = pending.request.clone();
        let names = self.dialect.headers();
        let mut outgoing = hyper::Request::new(Full::new(request.body.clone()));
        *outgoing.method_mut() = request.method.clone();
        *outgoing.uri_mut() = request.target.clone().into();
        *outgoing.headers_mut() = request.headers.clone();
        let headers = outgoing.headers_mut();
        headers.insert(names.deadline.clone(), call.left.as_ms().into());
        match HeaderValue::from_str(&call.instance) {
            Ok(instance) => drop(headers.insert(names.instance.clone(), instance)),
            Err(error) => {
                tracing::error!(event = 791, %error, "instance is not a valid header value")
            }
        }
        outgoing.extensions_mut().insert(request.carriers.clone());
        let options = Options {
            address: call.address,
            connections_max: call.connections,
            avoid_stale: call.avoid_stale,
            keep: call.keep,
        };
        self.calls.insert(call.ticket, (request, call.address));
        self.pool.call(call.ticket, options, outgoing);
    }

    /// Answers a caller, and records the answer in the log, the metrics and the rotation.
    pub(crate) fn answer_caller(&mut self, id: u64, answer: Answer, report: &Report) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let (reply, outcome) = self.build_reply(answer);
        self.logger
            .request_answered(log_id(&pending.request), outcome, report);
        self.meter.request_answered(outcome, report);
        let now = self.now();
        let failed = outcome.is_failure() && report.is_cut_off();
        self.rotation.record(now, failed);
        let answer = match pending.origin {
            Origin::Caller(answer) => answer,
            Origin::Relay(host, relay) => return self.send_relayed(host, relay, reply),
            Origin::Host(..) => {
                return tracing::error!(event = 791, request = id, "answer belongs to a branch");
            }
        };
        if answer.send(reply).is_err() {
            tracing::debug!(
                request = id,
                "caller disconnected before the answer was sent"
            );
        }
    }
}
