//! Judges this host's links to the servers, and keeps requests off lost ones.
//!
//! See `uplink` for the evidence, and `relay` and `fanout` for the way through other hosts.

use crate::clock::Time;
use crate::gateway::Action;
use crate::gateway::Evidence;
use crate::gateway::Gateway;
use crate::uplink;

impl Gateway {
    /// State of this host's links to the servers.
    pub fn links(&self) -> uplink::State {
        self.uplink.state()
    }

    /// Whether other hosts must serve a request, because this host's links are lost. While they are
    /// on trial, some requests are served here.
    pub fn needs_detour(&mut self, now: Time) -> bool {
        match self.uplink.state() {
            uplink::State::Sound => false,
            uplink::State::Lost => true,
            uplink::State::Trial => !self.uplink.take_trial(now),
        }
    }

    /// Forgets what calls on lost links made of the replicas.
    fn forgive_replicas(&mut self, now: Time) {
        let endpoints = self.endpoints.values_mut();
        endpoints.for_each(|endpoint| endpoint.forgive(now));
    }

    /// Judges the links, tries servers if they are suspected, and tells of a change.
    pub(crate) fn check_links(&mut self, now: Time, actions: &mut Vec<Action>) {
        let sound = self.uplink.state() == uplink::State::Sound;
        if sound
            && self.calls.is_empty()
            && self.uplink.suspects() == 0
            && self.links == uplink::State::Sound
        {
            return;
        }
        let endpoints = self.endpoints.values();
        let unanswered = endpoints.filter_map(|endpoint| endpoint.unanswered(now));
        let unanswered = unanswered.collect::<Vec<_>>();
        let evidence = Evidence {
            failed: self.uplink.suspects(),
            quiet: self.uplink.quiet(now, &unanswered),
            open_for: unanswered.iter().map(|server| server.open).max(),
        };
        let endpoints = self.endpoints.values();
        let servers = endpoints.filter(|endpoint| endpoint.listed);
        let servers = servers.map(|endpoint| endpoint.replica.address);
        let probes = self.uplink.check(now, &unanswered, servers);
        actions.extend(probes.into_iter().map(Action::Probe));
        let state = self.uplink.state();
        if state != self.links {
            if state == uplink::State::Trial {
                self.forgive_replicas(now);
            }
            self.links = state;
            actions.push(Action::Links(state, evidence));
        }
    }
}
