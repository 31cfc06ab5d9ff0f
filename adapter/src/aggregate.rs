//! Branches of requests between entry hosts: orders given to other hosts, and orders
//! taken from them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
use derive_more::Display;
use derive_more::From;
use hyper::HeaderMap;
use hyper::Method;
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

use crate::entry::Host;
use crate::entry::Origin;
use crate::entry::Pending;
use crate::entry::name_of;
use crate::ingress::Passed;

/// Why an order can't be understood.
#[derive(Debug, Display, From)]
enum Error {
    #[display("method: {_0}")]
    Method(hyper::http::method::InvalidMethod),
    #[display("target: {_0}")]
    Target(hyper::http::uri::InvalidUri),
    #[display("name of a header: {_0}")]
    Name(hyper::header::InvalidHeaderName),
    #[display("value of a header: {_0}")]
    Value(hyper::header::InvalidHeaderValue),
}

type Result<T> = std::result::Result<T, Error>;

impl Host {
    /// Takes a message of another entry host.
    pub(crate) fn hear(&mut self, from: SocketAddr, message: branch::Message) {
        match message {
            branch::Message::Greeting { answer: false } => {
                self.tell(from, branch::Message::Greeting { answer: true });
            }
            branch::Message::Greeting { answer: true } => {}
            branch::Message::Order(order) => self.take_order(from, order),
            branch::Message::Confirmed(order) => self.fan(Event::Confirmed(order)),
            branch::Message::Committed(order) => {
                if let Some(id) = self.branches.get(&(Some(from), order)) {
                    self.step(gateway::Event::Committed(*id));
                }
            }
            branch::Message::Reply(piece) => self.fan(Event::Reply(piece)),
            branch::Message::Cancel(order) => self.cancel_branch(Some(from), order),
        }
    }

    /// Gives the fanout an event and does what it says.
    pub(crate) fn fan(&mut self, event: Event) {
        let now = self.now();
        for action in self.fanout.step(now, event) {
            match action {
                Action::Order(order) => self.give_order(order),
                Action::Commit(host, order) => self.tell(host, branch::Message::Committed(order)),
                Action::Cancel(Some(host), order) => {
                    self.tell(host, branch::Message::Cancel(order));
                }
                Action::Cancel(None, order) => self.cancel_branch(None, order),
                Action::Answer(id, answer, report) => self.answer(id, answer, &report),
                Action::Moved(id, host) => {
                    self.meter.moved();
                    if let Some(pending) = self.pending.get(&id) {
                        self.trail.moved(name_of(&pending.passed), host);
                    }
                }
            }
        }
    }

    /// Opens connections to hosts that get orders from now on.
    pub(crate) fn greet_partners(&mut self) {
        let partners = self.fanout.order_targets();
        for host in partners.difference(&self.greeted) {
            let greeting = branch::Message::Greeting { answer: false };
            self.mesh.send(*host, Message::Branch(greeting));
        }
        self.greeted = partners;
    }

    fn tell(&mut self, host: SocketAddr, message: branch::Message) {
        self.mesh.send(host, Message::Branch(message));
    }

    fn give_order(&mut self, order: fanout::Order) {
        let Some(pending) = self.pending.get_mut(&order.request) else {
            return tracing::error!(
                event = 791,
                request = order.request,
                "an order has no request"
            );
        };
        let passed = pending.passed.clone();
        let Some(host) = order.host else {
            let branch = gateway::Branch {
                order: order.id,
                route: order.route,
                key: key_of(&passed),
                moved: order.moved,
                committed: true,
                settle: order.settle,
                left: order.left,
            };
            return self.gather(None, passed, branch);
        };
        let envelope = pending.envelope.get_or_insert_with(|| envelope_of(&passed));
        let envelope = envelope.clone();
        let Target::Gather {
            shards,
            top,
            coverage_min,
        } = &order.route.target
        else {
            return tracing::error!(event = 791, "an order for one replica");
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
        };
        self.tell(host, branch::Message::Order(message));
    }

    /// Confirms an order of another host, then gathers for it.
    fn take_order(&mut self, from: SocketAddr, order: branch::Order) {
        let passed = match passed_of(&order.envelope) {
            Ok(passed) => Arc::new(passed),
            Err(fault) => {
                return tracing::error!(event = 706, %from, %fault, "order not understood");
            }
        };
        self.tell(from, branch::Message::Confirmed(order.id));
        let branch = gateway::Branch {
            order: order.id,
            route: Arc::new(order.route()),
            key: key_of(&passed),
            moved: order.moved,
            committed: false,
            settle: order.settle,
            left: order.left,
        };
        self.gather(Some(from), passed, branch);
    }

    fn gather(&mut self, from: Option<SocketAddr>, passed: Arc<Passed>, branch: gateway::Branch) {
        let order = branch.order;
        let id = self.ids.fetch_add(1, Ordering::Relaxed) + 1;
        let pending = Pending {
            passed,
            envelope: None,
            origin: Origin::Host(from, order),
            since: Instant::now(),
        };
        self.pending.insert(id, pending);
        self.branches.insert((from, order), id);
        self.step(gateway::Event::Branch(id, branch));
    }

    fn cancel_branch(&mut self, from: Option<SocketAddr>, order: OrderId) {
        if let Some(id) = self.branches.remove(&(from, order)) {
            self.pending.remove(&id);
            self.step(gateway::Event::Abandoned(id));
        }
    }

    /// Gives up what a lost host had ordered, and what it was to gather.
    pub(crate) fn lose_host(&mut self, host: SocketAddr) {
        let of_host =
            |(from, order): &(Option<SocketAddr>, OrderId)| (*from == Some(host)).then_some(*order);
        let orders = self.branches.keys().filter_map(of_host).collect::<Vec<_>>();
        for order in orders {
            self.cancel_branch(Some(host), order);
        }
        self.fan(Event::HostLost(host));
    }

    /// Tells what was gathered to the host that ordered it.
    pub(crate) fn piece(&mut self, id: u64, piece: Reply) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let Origin::Host(from, order) = pending.origin else {
            return tracing::error!(event = 791, request = id, "a caller's request has a piece");
        };
        if piece.cause.is_some() {
            self.trail.gathered(name_of(&pending.passed), from, &piece);
        }
        if piece.last {
            self.pending.remove(&id);
            self.branches.remove(&(from, order));
        }
        match from {
            Some(host) => self.tell(host, branch::Message::Reply(piece)),
            None => self.fan(Event::Reply(piece)),
        }
    }
}

/// The rank of a request by which all hosts pick the same replicas.
fn key_of(passed: &Passed) -> u64 {
    Digest::of(passed.id.as_bytes()).rank()
}

fn envelope_of(passed: &Passed) -> Arc<Envelope> {
    let headers = passed.headers.iter();
    let headers = headers.map(|(name, value)| {
        let name = name.as_str().as_bytes().to_vec();
        (name, value.as_bytes().to_vec())
    });
    Arc::new(Envelope {
        id: passed.id.as_bytes().to_vec(),
        method: passed.method.as_str().as_bytes().to_vec(),
        host: passed.host.clone(),
        target: passed.target.as_str().into(),
        headers: headers.collect(),
        body: passed.body.to_vec(),
    })
}

fn passed_of(envelope: &Envelope) -> Result<Passed> {
    let mut headers = HeaderMap::with_capacity(envelope.headers.len());
    for (name, value) in &envelope.headers {
        let name = HeaderName::from_bytes(name)?;
        headers.append(name, HeaderValue::from_bytes(value)?);
    }
    Ok(Passed {
        id: HeaderValue::from_bytes(&envelope.id)?,
        method: Method::from_bytes(&envelope.method)?,
        host: envelope.host.clone(),
        target: PathAndQuery::try_from(&*envelope.target)?,
        headers,
        body: Bytes::copy_from_slice(&envelope.body),
        left: None,
        first: false,
    })
}
