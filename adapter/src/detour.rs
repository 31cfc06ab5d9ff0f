//! Requests for one replica that another entry host serves, and those served for other hosts.
//!
//! Executes the actions of the relay, and passes requests of hosts whose links are lost to the
//! gateway. Those are never passed on again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use wagtailbeam_decision::answer::Refusal;
use wagtailbeam_decision::branch;
use wagtailbeam_decision::branch::Envelope;
use wagtailbeam_decision::branch::Relayed;
use wagtailbeam_decision::catalog::Target;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::evidence::Identity;
use wagtailbeam_decision::flight::Shared;
use wagtailbeam_decision::gateway::Event;
use wagtailbeam_decision::relay;
use wagtailbeam_decision::relay::Action;
use wagtailbeam_decision::relay::Ending;
use wagtailbeam_decision::relay::RelayId;

use crate::aggregate::from_envelope;
use crate::aggregate::placement_key;
use crate::aggregate::to_envelope;
use crate::entry::Driver;
use crate::entry::Origin;
use crate::entry::Pending;
use crate::entry::log_id;
use crate::http;
use crate::ingress::Reply;
use crate::ingress::Request;
use crate::pool::Response;

/// Most requests of other hosts that are served at the same time; further ones are declined, to
/// spare this host's own callers and memory.
const RELAYED_MAX: usize = 128;

/// `Retry-After` if no host takes a request.
const RETRY_AFTER_DECLINED: Span = Span::from_ms(200);

impl Driver {
    /// Sends a request for one replica to a host whose links work. Returns false if there is none.
    pub(crate) fn start_relay(&mut self, id: u64, request: &Request, waited: Span) -> bool {
        let path = request.target.path();
        let route = self.gateway.catalog().route(&request.host, path).cloned();
        let Some(route) = route.filter(|route| matches!(route.target, Target::Weighted(_))) else {
            return false;
        };
        if !self.relay.is_available() {
            return false;
        }
        let now = self.now();
        self.gateway.count_request(now, &route.name);
        let left = request
            .time_left
            .unwrap_or(route.timeout)
            .min(route.timeout)
            .saturating_sub(waited);
        let actions = self.relay.start(now, id, &route, left);
        self.relay_actions(actions);
        true
    }

    /// Executes actions of the relay.
    pub(crate) fn relay_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(order) => self.send_relay(&order),
                Action::Cancel(host, relay) => {
                    self.send_branch(host, branch::Message::RelayCancel(relay));
                }
                Action::Refuse(id, ending) => {
                    let reply = match ending {
                        Ending::NotRun => {
                            Reply::Refused(Refusal::NotRun, Some(RETRY_AFTER_DECLINED))
                        }
                        Ending::Failed => Reply::Refused(Refusal::Failed, None),
                        Ending::Timeout => Reply::Refused(Refusal::Timeout, None),
                    };
                    self.answer_relayed(id, None, reply);
                }
            }
        }
    }

    fn send_relay(&mut self, order: &relay::Order) {
        let Some(pending) = self.pending.get_mut(&order.request) else {
            return;
        };
        let request = pending.request.clone();
        let envelope = pending
            .envelope
            .get_or_insert_with(|| to_envelope(&request));
        let version = self.gateway.catalog().version;
        let (version, moved) = (version.into(), order.moved.into());
        let message =
            branch::Message::Relay(order.id, envelope.clone(), order.left, version, moved);
        self.send_branch(order.host, message);
    }

    /// Serves a request of another host whose links are lost, or declines it. `version` is that of
    /// the other host's configuration, `moved` whether a further host may have received it before.
    pub(crate) fn accept_relayed(
        &mut self,
        from: SocketAddr,
        relay: RelayId,
        envelope: &Envelope,
        left: Span,
        version: u64,
        moved: bool,
    ) {
        let busy = self.relayed.len() >= RELAYED_MAX || self.stop.is_some();
        if busy || !self.may_serve_relayed(from, envelope, version) {
            return self.send_branch(from, branch::Message::RelayDeclined(relay));
        }
        let request = match from_envelope(envelope) {
            Ok(request) => self.identify_forwarded(Request {
                time_left: Some(left),
                ..request
            }),
            Err(fault) => {
                tracing::error!(event = 706, %from, %fault, "order not understood");
                return self.send_branch(from, branch::Message::RelayDeclined(relay));
            }
        };
        let Some(request) = request else {
            self.logger.order_refused(from);
            return self.send_branch(from, branch::Message::RelayDeclined(relay));
        };
        self.send_branch(from, branch::Message::RelayConfirmed(relay));
        let id = self.last_id.fetch_add(1, Ordering::Relaxed) + 1;
        let request = Arc::new(request);
        let pending = Pending {
            request: request.clone(),
            envelope: None,
            origin: Origin::Relay(from, relay),
            received_at: Instant::now(),
        };
        self.pending.insert(id, pending);
        self.relayed.insert((from, relay), id);
        let shared = Shared {
            key: placement_key(&request),
            moved,
            committed: false,
        };
        self.serve_here(id, &request, Span::ZERO, Some(shared));
    }

    /// Whether this host's links and configuration allow it to serve a relayed request; logs if the
    /// other host has a configuration of another version.
    fn may_serve_relayed(&mut self, from: SocketAddr, envelope: &Envelope, version: u64) -> bool {
        let own = self.gateway.catalog().version;
        let accepted = relay::may_serve(self.gateway.links(), own, version);
        if own != version {
            let request = String::from_utf8_lossy(&envelope.id);
            self.logger
                .versions_differ(&request, from, version, own, accepted);
        }
        accepted
    }

    /// Sends the answer to a relayed request back to the host that it came from.
    pub(crate) fn send_relayed(&mut self, host: SocketAddr, relay: RelayId, reply: Reply) {
        self.relayed.remove(&(host, relay));
        let answer = match reply {
            Reply::Relay(response) => encode(response),
            Reply::Merged { .. } => Relayed::Failed,
            Reply::Refused(Refusal::NotRun, wait) => Relayed::NotRun(wait),
            Reply::Refused(Refusal::Quarantined, wait) => Relayed::Quarantined(wait),
            Reply::Refused(Refusal::OverQuota, wait) => Relayed::NotRun(wait),
            Reply::Refused(Refusal::NoRoute | Refusal::UnknownKey, _) => Relayed::NoRoute,
            Reply::Refused(Refusal::Failed, _) => Relayed::Failed,
            Reply::Refused(Refusal::Timeout, _) => Relayed::Timeout,
        };
        self.send_branch(host, branch::Message::Relayed(relay, answer));
    }

    /// Answers the caller of a request that another host served.
    pub(crate) fn finish_relayed(&mut self, from: SocketAddr, relay: RelayId, answer: Relayed) {
        let Some(id) = self.relay.request(from, relay) else {
            return;
        };
        let may_have_run = self.relay.may_have_run_before(id);
        self.relay.end(id);
        let reply = match answer {
            Relayed::NotRun(_) | Relayed::Quarantined(_) | Relayed::NoRoute if may_have_run => {
                Reply::Refused(Refusal::Failed, None)
            }
            Relayed::Response {
                status,
                headers,
                body,
            } => match decode(status, headers, body) {
                Some(response) => Reply::relay(response),
                None => Reply::Refused(Refusal::Failed, None),
            },
            Relayed::NotRun(wait) => Reply::Refused(Refusal::NotRun, wait),
            Relayed::Quarantined(wait) => Reply::Refused(Refusal::Quarantined, wait),
            Relayed::NoRoute => Reply::Refused(Refusal::NotRun, Some(RETRY_AFTER_DECLINED)),
            Relayed::Failed => Reply::Refused(Refusal::Failed, None),
            Relayed::Timeout => Reply::Refused(Refusal::Timeout, None),
        };
        self.answer_relayed(id, Some(from), reply);
    }

    /// Answers a caller through another host, or refuses the request if none took it.
    fn answer_relayed(&mut self, id: u64, host: Option<SocketAddr>, reply: Reply) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let served = matches!(reply, Reply::Relay(_));
        let took = pending.received_at.elapsed();
        let version = self.gateway.catalog().version;
        self.logger
            .request_relayed(log_id(&pending.request), host, served, version, took);
        self.meter.request_relayed(served);
        let now = self.now();
        self.rotation.record(now, !served);
        if let Origin::Caller(answer) = pending.origin
            && answer.send(reply).is_err()
        {
            tracing::debug!(
                request = id,
                "caller disconnected before the answer was sent"
            );
        }
    }

    /// Drops a relayed request whose caller left.
    pub(crate) fn cancel_relayed(&mut self, from: SocketAddr, relay: RelayId) {
        if let Some(id) = self.relayed.remove(&(from, relay)) {
            self.pending.remove(&id);
            self.step_gateway(Event::Abandoned(id));
        }
    }

    /// Handles a lost connection to a host: drops its requests, and moves or refuses those that
    /// it serves.
    pub(crate) fn handle_lost_relays(&mut self, host: SocketAddr) {
        let theirs = self.relayed.keys().filter(|(from, _)| *from == host);
        for (from, relay) in theirs.copied().collect::<Vec<_>>() {
            self.cancel_relayed(from, relay);
        }
        let actions = self.relay.lose_host(self.now(), host);
        self.relay_actions(actions);
    }
}

fn encode(response: Response) -> Relayed {
    let headers = response.headers.iter();
    let headers = headers.map(|(name, value)| {
        let name = name.as_str().as_bytes().to_vec();
        (name, value.as_bytes().to_vec())
    });
    Relayed::Response {
        status: response.status.as_u16(),
        headers: headers.collect(),
        body: response.body.to_vec(),
    }
}

fn decode(status: u16, headers: Vec<(Vec<u8>, Vec<u8>)>, body: Vec<u8>) -> Option<Response> {
    let mut decoded = HeaderMap::with_capacity(headers.len());
    for (name, value) in &headers {
        let name = HeaderName::from_bytes(name).ok()?;
        decoded.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    let status = StatusCode::from_u16(status).ok()?;
    Some(Response {
        status: Some(status).filter(|status| http::is_final(*status))?,
        headers: decoded,
        body: body.into(),
        identity: Identity::Own,
    })
}
