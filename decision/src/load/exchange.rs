//! Part of the controller: what a voter passes on of replicas that differ from the norm.

use crate::clock::Span;
use crate::clock::Time;
use crate::controller::Controller;
use crate::controller::PEER_TIMEOUT;
use crate::load::report::Report;

/// Silence after which a host's report is no longer counted. It covers two lost heartbeats. A host
/// that moved to another voter is counted at both for at most this time.
const HOST_TIMEOUT: Span = Span::from_ms(900);

impl Controller {
    /// Sums over the entry hosts of this voter, for the other voters.
    pub(crate) fn own_load(&mut self, now: Time) -> Report {
        self.retain_load(now);
        self.load.own_sums(now)
    }

    /// Sums over all entry hosts, for them.
    pub(crate) fn all_load(&mut self, now: Time) -> Report {
        self.retain_load(now);
        self.load.summary(now)
    }

    fn retain_load(&mut self, now: Time) {
        let hosts = &self.entries;
        let peers = &self.peers;
        self.load.retain(now);
        self.load.retain_live(
            |host| {
                hosts
                    .get(host)
                    .is_some_and(|(_, at)| now.since(*at) < HOST_TIMEOUT)
            },
            |voter| {
                peers
                    .get(voter)
                    .is_some_and(|peer| now.since(peer.last_heard) < PEER_TIMEOUT)
            },
        );
    }
}
