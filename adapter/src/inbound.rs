//! Messages that an entry host receives over the mesh.
//!
//! Feeds from a voter update the configuration, the list of replicas and the list of
//! entry hosts; messages of other entry hosts go to `aggregate`.

use std::net::SocketAddr;
use std::sync::Arc;

use wagtailbeam_decision::branch;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::fanout;
use wagtailbeam_decision::feed::Message;
use wagtailbeam_decision::feed::Update;
use wagtailbeam_decision::gateway::Event;
use wagtailbeam_decision::load::capacity::Estimator;
use wagtailbeam_decision::load::report::Report;
use wagtailbeam_decision::load::waiting::Discipline;
use wagtailbeam_decision::plan::Plan;
use wagtailbeam_decision::rollout::order::Orders;

use crate::entry::Driver;
use crate::mesh;
use crate::rollout;

impl Driver {
    /// Handles a report of the connections to voters and entry hosts.
    pub(crate) fn handle_mesh(&mut self, report: mesh::Report) {
        let now = self.now();
        self.suspension.step(now);
        match self.mesh.handle(report) {
            mesh::Event::Message(from, message) => match *message {
                Message::Feed(feed) => {
                    let update = self.subscriber.handle_feed(now, from, *feed);
                    if update.confirmed {
                        self.gate.confirm(now);
                    }
                    self.apply_update(from, update);
                }
                Message::Branch(message) => self.handle_branch(from, message),
                other => tracing::debug!(%from, ?other, "unexpected message for an entry host"),
            },
            mesh::Event::Lost(address) if Some(address) == self.subscriber.voter() => {
                self.subscriber.switch_voter(now);
            }
            mesh::Event::Lost(address) => self.handle_lost_host(address),
            mesh::Event::Unsent(message) => {
                let now = self.now();
                match *message {
                    Message::Branch(branch::Message::Order(order)) => {
                        self.step_fanout(fanout::Event::Undelivered(order.id));
                    }
                    Message::Branch(branch::Message::Relay(id, ..)) => {
                        let actions = self.relay.decline(now, id);
                        self.relay_actions(actions);
                    }
                    Message::Branch(branch::Message::Token(request)) => {
                        self.token_unsent(request.id);
                    }
                    _ => {}
                }
            }
            mesh::Event::Ignored => {}
        }
    }

    /// Applies what a feed of the voter at `from` changed.
    fn apply_update(&mut self, from: SocketAddr, update: Update) {
        if !update.records.is_empty() {
            self.step_gateway(Event::Records(update.records));
        }
        self.step_gateway(Event::Limits(update.limits));
        if let Some(load) = update.load {
            self.adopt_load(&load);
        }
        // Orders come before the list, so that replicas of a new version get no requests beyond the
        // share when they are listed.
        if let Some(orders) = update.rollouts {
            self.follow_rollouts(orders);
        }
        if let Some((version, document)) = update.document {
            match self.dialect.catalog(&document) {
                Ok(catalog) => {
                    let age = self.subscriber.age(self.now());
                    tracing::info!(
                        event = 710,
                        version,
                        revision = self.subscriber.revision(),
                        voter = %from,
                        age_ms = age.map(Span::as_ms),
                        "configuration in force"
                    );
                    self.gateway
                        .set_discipline(Discipline::of(&catalog.accounts));
                    self.step_gateway(Event::Catalog(Arc::new(catalog)));
                    self.update_plan();
                }
                Err(fault) => {
                    tracing::error!(event = 711, version, %fault, "configuration not understood");
                }
            }
        }
        if let Some(closed) = update.closed {
            tracing::info!(event = 713, ?closed, "failure domains out of service");
            self.step_gateway(Event::DomainsClosed(closed));
        }
        if let Some((fleet, read)) = update.fleet {
            let age_ms = self.now().since(read).as_ms();
            let replicas = fleet.replicas.len();
            tracing::info!(event = 712, replicas, age_ms, "list changed");
            self.step_gateway(Event::Fleet(fleet, read));
        }
        if let Some(read) = update.fleet_read_at {
            self.list_read_at = Some(read);
            self.fanout.set_fleet_read(read);
            self.step_gateway(Event::FleetUnchanged(read));
        }
        if let Some(links) = update.links {
            self.fanout.set_lost(links.lost.into_iter().collect());
            let sound = self.fanout.sound_hosts().into_iter();
            self.relay
                .set_hosts(sound.filter(|_| links.all_known).collect());
        }
        if let Some(hosts) = update.hosts {
            tracing::info!(event = 717, hosts = hosts.len(), "entry hosts changed");
            self.entry_hosts = hosts;
            self.update_plan();
        }
    }

    /// Adopts the measurements of all hosts, and logs replicas that became slow or normal by them.
    fn adopt_load(&mut self, load: &Report) {
        let now = self.now();
        self.gateway.merge_load(now, load);
        if self.settings.estimator != Estimator::Gradient {
            return;
        }
        for crossing in self.load_watch.update(now, load) {
            self.logger.capacity_changed(&crossing);
        }
    }

    /// Follows a voter's orders of rollouts and logs changed ones.
    fn follow_rollouts(&mut self, orders: Orders) {
        for order in orders.orders.iter().flatten() {
            rollout::log_order(order);
        }
        self.step_gateway(Event::Rollouts(orders));
    }

    /// Recomputes which entry hosts send to which services, and greets new targets of orders.
    fn update_plan(&mut self) {
        let catalog = self.gateway.catalog().clone();
        let now = self.now();
        self.gate
            .configure(now, &catalog.accounts, &self.entry_hosts);
        self.tally.retain(&catalog.accounts);
        let plan = Arc::new(Plan::new(&catalog, &self.entry_hosts));
        self.fanout.configure(catalog, plan.clone());
        self.step_gateway(Event::Plan(plan));
        self.greet_order_targets();
    }
}
