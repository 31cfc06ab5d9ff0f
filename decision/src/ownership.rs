//! Ownership of replicas.
//!
//! Part of the daemon: derives from its lease and the live daemons who owns which replica,
//! updates the entry role's routing and assigns this daemon's replicas to its owner role.

use crate::clock::Span;
use crate::clock::Time;
use crate::daemon::Daemon;
use crate::exchange::Exchange;
use crate::lease;
use crate::limiter::Ticket;
use crate::manifest::Limits;
use crate::manifest::Service;
use crate::message::Action;
use crate::message::Dispatch;
use crate::message::Note;
use crate::message::Purpose;
use crate::owner;
use crate::placement::Candidate;
use crate::placement::Spread;
use crate::uplink;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// This daemon's links to the backend servers. While they are lost it announces that it leaves,
/// so that other daemons own its replicas; it goes on to take requests of callers.
impl Daemon {
    /// Whether this daemon's links to the backend servers work, as far as it knows.
    pub fn can_reach_servers(&self) -> bool {
        self.uplink.state() == uplink::State::Sound
    }

    /// Records what the end of a call shows about the links.
    pub(crate) fn record_evidence(&mut self, now: Time, ticket: Ticket, exchange: &Exchange) {
        let Some(server) = self.owner.replica_of(ticket) else {
            return;
        };
        match exchange {
            Exchange::Answered { .. } | Exchange::BadAnswer => {
                self.uplink.record_answer(now, server);
            }
            Exchange::NotSent | Exchange::Broken | Exchange::Ended => {
                self.uplink.record_failure(now, server);
            }
            Exchange::StaleConnection => {}
        }
    }

    /// Judges the links and tries servers if the links are suspected.
    pub(crate) fn check_links(&mut self, now: Time, out: &mut Vec<Action>) {
        let unanswered = self.owner.unanswered(now);
        let servers = self.entry.router.owners().map(|(server, _)| *server);
        let probes = self.uplink.check(now, &unanswered, servers);
        let probes = probes.into_iter();
        out.extend(probes.map(|probe| Action::Probe(Purpose::Links, probe)));
        let state = self.uplink.state();
        if state != self.links {
            self.links = state;
            out.push(Action::Note(Note::Links(state)));
        }
    }
}

impl Daemon {
    /// Whether this daemon may own replicas or still has work at backend servers.
    pub(crate) fn is_owning(&self) -> bool {
        let eligible = self
            .candidates
            .iter()
            .any(|candidate| candidate.host == self.identity.host);
        eligible || self.owner.is_owning() || self.owner.pending() > 0
    }

    /// Recomputes the lease, the live daemons and the assignment of replicas. Fetches the
    /// operators' file if a voter has a newer one.
    pub(crate) fn apply_membership(&mut self, now: Time, out: &mut Vec<Action>) {
        let version = self.manifest.version;
        let leased = version > 0 && self.lease.is_held(now, version);
        if leased != self.leased {
            self.leased = leased;
            out.push(Action::Note(if leased {
                Note::LeaseGained
            } else {
                Note::LeaseLapsed
            }));
        }
        if self.lease.newest_version() > version {
            self.fetch_file(now, out);
        }
        let members = self.lease.members(now);
        let departed = self
            .members
            .iter()
            .filter(|old| members.iter().all(|new| new.boot != old.boot));
        let departed = departed
            .map(|member| member.host.clone())
            .collect::<Vec<_>>();
        self.members = members;
        departed
            .iter()
            .for_each(|host| self.on_peer_lost(now, host, out));
        let candidates = self.find_candidates();
        let changed = candidates != self.candidates;
        if changed {
            let hosts = candidates
                .iter()
                .map(|c| c.host.to_string())
                .collect::<Vec<_>>();
            out.push(Action::Note(Note::Members(hosts.join(","))));
            self.candidates = candidates;
            self.update_routing(now);
        }
        self.assign_replicas(now, out);
        if changed {
            let actions = self.entry.renew_canary_requests();
            self.entry_actions(now, actions, out);
        }
    }

    /// Time to wait before sending to a replica, because an earlier owner may still send to
    /// it. Zero if earlier owners are recorded and each of them has ended, owns nothing, has
    /// lately released the replica or is this run of this daemon.
    fn takeover_delay(&self, now: Time, replica: &SocketAddr) -> Span {
        let ended = self.lease.ended(now);
        let idle = self.members.iter().filter(|member| {
            let is_excluded = !self.manifest.may_own(&member.host, &member.domain);
            let has_applied_exclusion = is_excluded && member.version >= self.manifest.version;
            !member.owning && (member.leaving || has_applied_exclusion)
        });
        let idle = idle.map(|member| (member.host.clone(), member.boot));
        let own = (self.identity.host.clone(), self.identity.boot);
        let harmless = ended.into_iter().chain(idle).chain([own]).collect();
        if self.handovers.is_released(now, replica, &harmless) {
            Span::ZERO
        } else {
            lease::TAKEOVER_DELAY
        }
    }

    /// Recomputes the owners of replicas among the candidates, to which the entry role
    /// sends. With direct dispatch this daemon is the only candidate.
    pub(crate) fn update_routing(&mut self, now: Time) {
        let all = std::mem::take(&mut self.candidates);
        let is_routable = |c: &&Candidate| {
            self.identity.dispatch != Dispatch::Direct || c.host == self.identity.host
        };
        let routable = all.iter().filter(is_routable).cloned().collect::<Vec<_>>();
        let spread = match self.identity.dispatch {
            Dispatch::Owner | Dispatch::Direct => Spread::SameHost,
            Dispatch::Apart => Spread::SeparateDomains,
        };
        self.entry.update(&self.manifest, &routable, spread);
        self.candidates = all;
        self.record_owners(now);
    }

    /// Records the current owners. [`Self::takeover_delay`] needs them after a change, because
    /// an earlier owner may keep sending until it is informed of the change.
    fn record_owners(&mut self, now: Time) {
        let boots = self
            .members
            .iter()
            .map(|member| (&member.host, member.boot));
        let boots = boots.collect::<BTreeMap<_, _>>();
        let owners = self.entry.router.owners();
        let runs = owners.map(|(replica, host)| {
            (
                *replica,
                (host.clone(), boots.get(host).copied().unwrap_or_default()),
            )
        });
        self.handovers.record_owners(now, runs.collect());
    }

    /// Limits under which this daemon sends to a server: with direct dispatch its share of
    /// them, else all.
    fn own_limits(&self, limits: Limits) -> Limits {
        let share = |limit: u32| (limit / self.senders()).max(1);
        match self.identity.dispatch {
            Dispatch::Owner | Dispatch::Apart => limits,
            Dispatch::Direct => Limits {
                slots: share(limits.slots),
                connections: share(limits.connections),
                cold_limit: share(limits.cold_limit),
                ..limits
            },
        }
    }

    /// Number of daemons that send to a replica.
    fn senders(&self) -> u32 {
        match self.identity.dispatch {
            Dispatch::Owner | Dispatch::Apart => 1,
            Dispatch::Direct => self.candidates.len().max(1) as u32,
        }
    }

    /// Live daemons that may own replicas: in service by the operators' file, and not leaving. If
    /// all of them leave, as when no server can be reached from anywhere, all stay.
    pub(crate) fn find_candidates(&self) -> Vec<Candidate> {
        let eligible = self.members.iter();
        let eligible =
            eligible.filter(|member| self.manifest.may_own(&member.host, &member.domain));
        let (leaving, staying) = eligible.partition::<Vec<_>, _>(|member| member.leaving);
        let chosen = match staying.is_empty() {
            true => leaving,
            false => staying,
        };
        let chosen = chosen.into_iter().map(|member| Candidate {
            host: member.host.clone(),
            domain: member.domain.clone(),
        });
        chosen.collect()
    }

    /// Assigns this daemon's replicas to its owner role; without a lease takes all of them
    /// away.
    pub(crate) fn assign_replicas(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.leased {
            let actions = self.owner.disown_all();
            return self.owner_actions(now, actions, out);
        }
        let services = self.manifest.services.values();
        let assignments = services
            .flat_map(|service| self.assignments_for(now, service))
            .collect::<Vec<_>>();
        let actions = self.owner.assign(now, &assignments);
        self.owner_actions(now, actions, out);
    }

    /// Assignments of the replicas of a service that this daemon owns by the current routing.
    fn assignments_for(&self, now: Time, service: &Service) -> Vec<owner::Assignment> {
        let mut assignments = Vec::new();
        for shard in &service.shards {
            let all = shard
                .replicas
                .iter()
                .map(|replica| replica.address)
                .collect::<Vec<_>>();
            for replica in &shard.replicas {
                if self.entry.router.owner(&replica.address) != Some(&self.identity.host) {
                    continue;
                }
                let siblings = all.iter().filter(|address| **address != replica.address);
                assignments.push(owner::Assignment {
                    replica: replica.address,
                    service: service.name.clone(),
                    hedge: service.hedge,
                    siblings: siblings.copied().collect(),
                    limits: self.own_limits(service.limits),
                    domain_in: self.manifest.is_domain_in_service(&replica.domain),
                    boot: self.entry.router.ready_boot(&replica.address),
                    limit: self.entry.router.limit(&replica.address),
                    senders: self.senders(),
                    takeover_delay: self.takeover_delay(now, &replica.address),
                });
            }
        }
        assignments
    }
}
