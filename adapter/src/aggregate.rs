//! Branches of scatter/gather requests that are divided among entry hosts.
//!
//! An entry host splits a request into branches and orders other hosts to gather them.
//! This module executes the fanout's actions, and accepts orders of other hosts and
//! passes them to the gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
use derive_more::Display;
use derive_more::From;
use hyper::HeaderMap;
use hyper::Method;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::uri::PathAndQuery;
use wagtailbeam_decision::branch;
use wagtailbeam_decision::branch::Envelope;
use wagtailbeam_decision::branch::OrderId;
use wagtailbeam_decision::branch::Reply;
use wagtailbeam_decision::catalog::Target;
use wagtailbeam_decision::digest::Digest;
use wagtailbeam_decision::fanout;
use wagtailbeam_decision::fanout::Action;
use wagtailbeam_decision::fanout::Event;
use wagtailbeam_decision::feed::Message;
use wagtailbeam_decision::gateway;

use crate::carriers::Carriers;
use crate::entry::Driver;
use crate::entry::Origin;
use crate::entry::Pending;
use crate::entry::log_id;
use crate::ingress;
use crate::ingress::Request;

/// Why an order of another host can't be decoded.
#[derive(Debug, Display, From)]
pub(crate) enum Error {
    #[display("method: {_0}")]
    Method(hyper::http::method::InvalidMethod),
    #[display("target: {_0}")]
    Target(hyper::http::uri::InvalidUri),
    #[display("header name: {_0}")]
    Name(hyper::header::InvalidHeaderName),
    #[display("header value: {_0}")]
    Value(hyper::header::InvalidHeaderValue),
}

pub(crate) type Result<T> = std::result::Result<T, Error>;

impl Driver {
    /// Handles a message of another entry host about a branch.
    pub(crate) fn handle_branch(&mut self, from: SocketAddr, message: branch::Message) {
        match message {
            branch::Message::Greeting { answer: false } => {
                self.send_branch(from, branch::Message::Greeting { answer: true });
            }
            branch::Message::Greeting { answer: true } => {}
            branch::Message::Order(order) => self.accept_order(from, order),
            branch::Message::Confirmed(order) => self.step_fanout(Event::Confirmed(order)),
            branch::Message::Committed(order) => {
                if let Some(id) = self.branches.get(&(Some(from), order)) {
                    self.step_gateway(gateway::Event::Committed(*id));
                }
            }
            branch::Message::Reply(reply) => self.step_fanout(Event::Reply(reply)),
            branch::Message::Cancel(order) => self.cancel_branch(Some(from), order),
            branch::Message::Relay(id, envelope, left, version, moved) => {
                self.accept_relayed(from, id, &envelope, left, *version, *moved);
            }
            branch::Message::RelayConfirmed(id) => self.relay.confirm(from, id),
            branch::Message::RelayDeclined(id) => {
                let actions = self.relay.decline(self.now(), id);
                self.relay_actions(actions);
            }
            branch::Message::Relayed(id, answer) => self.finish_relayed(from, id, answer),
            branch::Message::RelayCancel(id) => self.cancel_relayed(from, id),
            branch::Message::Token(request) => self.answer_token(from, &request),
            branch::Message::TokenReply(reply) => self.finish_token(from, reply),
        }
    }

    /// Passes an event to the fanout and executes the resulting actions.
    pub(crate) fn step_fanout(&mut self, event: Event) {
        let now = self.now();
        for action in self.fanout.step(now, event) {
            match action {
                Action::Order(order) => self.place_order(order),
                Action::Commit(host, order) => {
                    self.send_branch(host, branch::Message::Committed(order))
                }
                Action::Cancel(Some(host), order) => {
                    self.send_branch(host, branch::Message::Cancel(order));
                }
                Action::Cancel(None, order) => self.cancel_branch(None, order),
                Action::Answer(id, answer, report) => self.answer_caller(id, answer, &report),
                Action::Moved(id, host) => {
                    self.meter.order_moved();
                    if let Some(pending) = self.pending.get(&id) {
                        self.logger.order_moved(log_id(&pending.request), host);
                    }
                }
            }
        }
    }

    /// Greets the hosts that orders may now be sent to, so that connections both ways are
    /// open before the first order.
    pub(crate) fn greet_order_targets(&mut self) {
        let targets = self.fanout.order_targets();
        for host in targets.difference(&self.greeted) {
            let greeting = branch::Message::Greeting { answer: false };
            self.mesh.send(*host, Message::Branch(greeting));
        }
        self.greeted = targets;
    }

    pub(crate) fn send_branch(&mut self, host: SocketAddr, message: branch::Message) {
        self.mesh.send(host, Message::Branch(message));
    }

    /// Sends an order to another host, or starts the branch here if no host is named.
    fn place_order(&mut self, order: fanout::Order) {
        let Some(pending) = self.pending.get_mut(&order.request) else {
            return tracing::error!(
                event = 791,
                request = order.request,
                "order refers to an unknown request"
            );
        };
        let request = pending.request.clone();
        let Some(host) = order.host else {
            let branch = gateway::Branch {
                order: order.id,
                route: order.route,
                account: request.account_name(),
                fingerprint: request.fingerprint,
                key: placement_key(&request),
                moved: order.moved,
                committed: true,
                settle: order.settle,
                left: order.left,
            };
            return self.start_branch(None, request, branch);
        };
        let envelope = pending
            .envelope
            .get_or_insert_with(|| to_envelope(&request));
        let envelope = envelope.clone();
        let Target::Gather {
            shards,
            top,
            coverage_min,
        } = &order.route.target
        else {
            return tracing::error!(event = 791, "order for a route that does not gather");
        };
        let message = branch::Order {
            id: order.id,
            envelope,
            route: order.route.name.clone(),
            shards: shards.clone(),
            top: *top as u32,
            coverage_min: *coverage_min,
            attempts_max: order.route.attempts_max,
            moved: order.moved,
            objective: order.route.objective,
            settle: order.settle,
            left: order.left,
            priority: order.route.priority.into(),
        };
        self.send_branch(host, branch::Message::Order(message));
    }

    /// Confirms an order of another host, then starts its branch.
    fn accept_order(&mut self, from: SocketAddr, order: branch::Order) {
        let request = match from_envelope(&order.envelope) {
            Ok(request) => self.identify_forwarded(request),
            Err(fault) => {
                return tracing::error!(event = 706, %from, %fault, "order not understood");
            }
        };
        let Some(request) = request.map(Arc::new) else {
            return self.logger.order_refused(from);
        };
        self.send_branch(from, branch::Message::Confirmed(order.id));
        let branch = gateway::Branch {
            order: order.id,
            route: Arc::new(order.route()),
            account: request.account_name(),
            fingerprint: request.fingerprint,
            key: placement_key(&request),
            moved: order.moved,
            committed: false,
            settle: order.settle,
            left: order.left,
        };
        self.start_branch(Some(from), request, branch);
    }

    /// Registers a branch and passes it to the gateway; `from` is the host that ordered
    /// the branch, `None` for this one.
    fn start_branch(
        &mut self,
        from: Option<SocketAddr>,
        request: Arc<Request>,
        branch: gateway::Branch,
    ) {
        let order = branch.order;
        let id = self.last_id.fetch_add(1, Ordering::Relaxed) + 1;
        let pending = Pending {
            request,
            envelope: None,
            origin: Origin::Host(from, order),
            received_at: Instant::now(),
        };
        self.pending.insert(id, pending);
        self.branches.insert((from, order), id);
        self.step_gateway(gateway::Event::Branch(id, branch));
    }

    /// Drops the branch of a cancelled order, if it is unfinished.
    fn cancel_branch(&mut self, from: Option<SocketAddr>, order: OrderId) {
        if let Some(id) = self.branches.remove(&(from, order)) {
            self.pending.remove(&id);
            self.step_gateway(gateway::Event::Abandoned(id));
        }
    }

    /// Handles a lost connection to a host: cancels the branches ordered by it, and lets
    /// the fanout deal with the orders placed there.
    pub(crate) fn handle_lost_host(&mut self, host: SocketAddr) {
        let orders_of_host =
            |(from, order): &(Option<SocketAddr>, OrderId)| (*from == Some(host)).then_some(*order);
        let orders = self
            .branches
            .keys()
            .filter_map(orders_of_host)
            .collect::<Vec<_>>();
        for order in orders {
            self.cancel_branch(Some(host), order);
        }
        self.step_fanout(Event::HostLost(host));
        self.handle_lost_relays(host);
        self.handle_lost_home(host);
    }

    /// Sends what a branch has gathered to the host that ordered the branch.
    pub(crate) fn send_branch_reply(&mut self, id: u64, reply: Reply) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let Origin::Host(from, order) = pending.origin else {
            return tracing::error!(
                event = 791,
                request = id,
                "a branch's reply belongs to a caller's request"
            );
        };
        if reply.cause.is_some() {
            self.logger
                .branch_incomplete(log_id(&pending.request), from, &reply);
        }
        if reply.last {
            self.pending.remove(&id);
            self.branches.remove(&(from, order));
        }
        match from {
            Some(host) => self.send_branch(host, branch::Message::Reply(reply)),
            None => self.step_fanout(Event::Reply(reply)),
        }
    }
}

/// Hash of a request's identifier by which all hosts choose the same replicas for it.
pub(crate) fn placement_key(request: &Request) -> u64 {
    Digest::of(request.id.as_bytes()).rank()
}

/// Encodes a request for another entry host.
pub(crate) fn to_envelope(request: &Request) -> Arc<Envelope> {
    let headers = request.headers.iter();
    let headers = headers.map(|(name, value)| {
        let name = name.as_str().as_bytes().to_vec();
        (name, value.as_bytes().to_vec())
    });
    Arc::new(Envelope {
        id: request.id.as_bytes().to_vec(),
        method: request.method.as_str().as_bytes().to_vec(),
        host: request.host.clone(),
        target: request.target.as_str().into(),
        headers: headers.collect(),
        body: request.body.to_vec(),
    })
}

/// Decodes a request from another entry host. Its deadline comes with the order instead.
pub(crate) fn from_envelope(envelope: &Envelope) -> Result<Request> {
    let mut headers = HeaderMap::with_capacity(envelope.headers.len());
    for (name, value) in &envelope.headers {
        let name = HeaderName::from_bytes(name)?;
        headers.append(name, HeaderValue::from_bytes(value)?);
    }
    let method = Method::from_bytes(&envelope.method)?;
    let target = PathAndQuery::try_from(&*envelope.target)?;
    let body = Bytes::copy_from_slice(&envelope.body);
    let caller = headers.get(header::AUTHORIZATION);
    let caller = caller.map(HeaderValue::as_bytes).unwrap_or_default();
    Ok(Request {
        fingerprint: ingress::fingerprint(caller, &method, &envelope.host, &target, &body),
        account: None,
        carriers: Carriers::default(),
        id: HeaderValue::from_bytes(&envelope.id)?,
        method,
        host: envelope.host.clone(),
        target,
        headers,
        body,
        time_left: None,
        first_on_connection: false,
    })
}
