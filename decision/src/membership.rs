//! What follows for a daemon from its lease and from the daemons alive.

use crate::clock::Span;
use crate::clock::Time;
use crate::daemon::Daemon;
use crate::lease;
use crate::manifest::Limits;
use crate::manifest::Service;
use crate::message::Action;
use crate::message::Dispatch;
use crate::message::Note;
use crate::owner;
use crate::placement::Candidate;
use crate::placement::Spread;
use std::collections::BTreeMap;
use std::net::SocketAddr;

impl Daemon {
    /// Whether this daemon sends to backend servers, or still may.
    pub(crate) fn is_owning(&self) -> bool {
        let able = self
            .candidates
            .iter()
            .any(|candidate| candidate.host == self.me.host);
        able || self.owner.is_owning() || self.owner.load() > 0
    }

    /// Draws the consequences of the lease and the membership.
    pub(crate) fn review(&mut self, now: Time, out: &mut Vec<Action>) {
        let version = self.manifest.version;
        let holds = version > 0 && self.lease.holds(now, version);
        if holds != self.leased {
            self.leased = holds;
            out.push(Action::Note(if holds {
                Note::LeaseGained
            } else {
                Note::LeaseLapsed
            }));
        }
        if self.lease.newest() > version {
            self.fetch(now, out);
        }
        let members = self.lease.members(now);
        let gone = self
            .members
            .iter()
            .filter(|old| members.iter().all(|new| new.boot != old.boot));
        let gone = gone.map(|member| member.host.clone()).collect::<Vec<_>>();
        self.members = members;
        gone.iter().for_each(|host| self.lost(now, host, out));
        let candidates = self.find_candidates();
        let changed = candidates != self.candidates;
        if changed {
            let hosts = candidates
                .iter()
                .map(|c| c.host.to_string())
                .collect::<Vec<_>>();
            out.push(Action::Note(Note::Members(hosts.join(","))));
            self.candidates = candidates;
            self.route(now);
        }
        self.assign(now, out);
        if changed {
            let again = self.entry.suspected();
            self.entry_actions(now, again, out);
        }
    }

    /// Time for which an earlier owner may still send to a replica: none if all of
    /// them are known to have ended or to own nothing.
    fn hold(&self, now: Time, replica: &SocketAddr) -> Span {
        let ended = self.lease.ended(now);
        let idle = self.members.iter().filter(|member| {
            let barred = !self.manifest.may_own(&member.host, &member.domain);
            let knows = barred && member.version >= self.manifest.version;
            !member.owning && (member.leaving || knows)
        });
        let idle = idle.map(|member| (member.host.clone(), member.boot));
        let own = (self.me.host.clone(), self.me.boot);
        let harmless = ended.into_iter().chain(idle).chain([own]).collect();
        if self.earlier.are_all(now, replica, &harmless) {
            Span::ZERO
        } else {
            lease::HOLD
        }
    }

    /// Tells the entry role who owns what.
    pub(crate) fn route(&mut self, now: Time) {
        let all = std::mem::take(&mut self.candidates);
        let own = |c: &&Candidate| self.me.dispatch != Dispatch::Direct || c.host == self.me.host;
        let owners = all.iter().filter(own).cloned().collect::<Vec<_>>();
        let spread = match self.me.dispatch {
            Dispatch::Owner | Dispatch::Direct => Spread::SameHost,
            Dispatch::Apart => Spread::SeparateDomains,
        };
        self.entry.update(&self.manifest, &owners, spread);
        self.candidates = all;
        self.note_owners(now);
    }

    /// Remembers the owners, which may go on until they learn better.
    fn note_owners(&mut self, now: Time) {
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
        self.earlier.note(now, runs.collect());
    }

    /// The limits under which this daemon sends to a server.
    fn limits(&self, limits: Limits) -> Limits {
        let part = |limit: u32| (limit / self.candidates.len().max(1) as u32).max(1);
        match self.me.dispatch {
            Dispatch::Owner | Dispatch::Apart => limits,
            Dispatch::Direct => Limits {
                slots: part(limits.slots),
                connections: part(limits.connections),
                cold_limit: part(limits.cold_limit),
                ..limits
            },
        }
    }

    pub(crate) fn find_candidates(&self) -> Vec<Candidate> {
        let able = self.members.iter().filter(|member| {
            !member.leaving && self.manifest.may_own(&member.host, &member.domain)
        });
        let able = able.map(|m| Candidate {
            host: m.host.clone(),
            domain: m.domain.clone(),
        });
        able.collect()
    }

    pub(crate) fn assign(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.leased {
            let actions = self.owner.suspend();
            return self.owner_actions(now, actions, out);
        }
        let services = self.manifest.services.values();
        let claims = services
            .flat_map(|service| self.claims(now, service))
            .collect::<Vec<_>>();
        let actions = self.owner.assign(now, &claims);
        self.owner_actions(now, actions, out);
    }

    /// The replicas of a service that this daemon should own.
    fn claims(&self, now: Time, service: &Service) -> Vec<owner::Claim> {
        let mut claims = Vec::new();
        for shard in &service.shards {
            let all = shard
                .replicas
                .iter()
                .map(|replica| replica.address)
                .collect::<Vec<_>>();
            for replica in &shard.replicas {
                if self.entry.router.owner(&replica.address) != Some(&self.me.host) {
                    continue;
                }
                let siblings = all.iter().filter(|address| **address != replica.address);
                claims.push(owner::Claim {
                    replica: replica.address,
                    service: service.name.clone(),
                    hedge: service.hedge,
                    siblings: siblings.copied().collect(),
                    limits: self.limits(service.limits),
                    open: self.manifest.is_domain_in_service(&replica.domain),
                    boot: self.entry.router.ready_boot(&replica.address),
                    hold: self.hold(now, &replica.address),
                });
            }
        }
        claims
    }
}
