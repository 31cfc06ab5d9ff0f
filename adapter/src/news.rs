//! What an entry host hears from voters and other entry hosts.

use std::sync::Arc;

use wagtailbeam_decision::branch;
use wagtailbeam_decision::fanout;
use wagtailbeam_decision::feed::Message;
use wagtailbeam_decision::feed::Update;
use wagtailbeam_decision::gateway::Event;
use wagtailbeam_decision::plan::Plan;

use crate::entry::Host;
use crate::mesh;
use crate::mesh::News;

impl Host {
    /// Takes a report of the connections to other processes.
    pub(crate) fn peer(&mut self, report: mesh::Report) {
        let now = self.now();
        match self.mesh.take(report) {
            News::Message(from, message) => match *message {
                Message::Feed(feed) => {
                    let update = self.subscriber.take(now, from, *feed);
                    self.update(update);
                }
                Message::Branch(message) => self.hear(from, message),
                other => tracing::debug!(%from, ?other, "a message that no entry host takes"),
            },
            News::Lost(address) if Some(address) == self.subscriber.voter() => {
                self.subscriber.turn(now);
            }
            News::Lost(address) => self.lose_host(address),
            News::Unsent(message) => {
                if let Message::Branch(branch::Message::Order(order)) = *message {
                    self.fan(fanout::Event::Undelivered(order.id));
                }
            }
            News::Nothing => {}
        }
    }

    fn update(&mut self, update: Update) {
        if let Some((version, document)) = update.document {
            match self.dialect.catalog(&document) {
                Ok(catalog) => {
                    tracing::info!(event = 710, version, "configuration in force");
                    self.step(Event::Catalog(Arc::new(catalog)));
                    self.replan();
                }
                Err(fault) => {
                    tracing::error!(event = 711, version, %fault, "configuration not understood");
                }
            }
        }
        if let Some(closed) = update.closed {
            tracing::info!(event = 713, ?closed, "failure domains out of service");
            self.step(Event::DomainsClosed(closed));
        }
        if let Some((fleet, read)) = update.fleet {
            let age_ms = self.now().since(read).as_ms();
            let replicas = fleet.replicas.len();
            tracing::info!(event = 712, replicas, age_ms, "list changed");
            self.step(Event::Fleet(fleet, read));
        }
        if let Some(read) = update.read {
            self.fleet_read = Some(read);
            self.fanout.set_fleet_read(read);
            self.step(Event::FleetUnchanged(read));
        }
        if let Some(hosts) = update.hosts {
            tracing::info!(event = 717, hosts = hosts.len(), "entry hosts changed");
            self.hosts = hosts;
            self.replan();
        }
    }

    /// Decides anew which hosts send to which services.
    fn replan(&mut self) {
        let catalog = self.gateway.catalog().clone();
        let plan = Arc::new(Plan::new(&catalog, &self.hosts));
        self.fanout.configure(catalog, plan.clone());
        self.step(Event::Plan(plan));
        self.greet_partners();
    }
}
