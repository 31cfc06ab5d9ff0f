//! Steps of rollouts by a voter.
//!
//! Part of the controller: the first voter in the order of ids that is in contact with a majority
//! decides. All voters keep the evidence, so that another one can take over at once. A step names
//! the number of the step before it, so that two voters can't both take effect.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::clock::Span;
use crate::clock::Time;
use crate::controller::Action;
use crate::controller::Controller;
use crate::controller::Note;
use crate::controller::PEER_TIMEOUT;
use crate::controller::Pending;
use crate::fleet;
use crate::name::Name;
use crate::register::Change;
use crate::rollout::Phase;
use crate::rollout::Record;
use crate::rollout::Step;
use crate::rollout::evidence;
use crate::rollout::evidence::Board;
use crate::rollout::evidence::Pair;
use crate::rollout::evidence::Reports;
use crate::rollout::evidence::Sums;
use crate::rollout::order::Orders;
use crate::rollout::plan;
use crate::rollout::plan::Situation;
use crate::rollout::statistic;
use crate::rollout::statistic::Evidence;
use crate::tier;

/// Lengths of the recent time in which the versions are compared.
const WINDOWS: [Span; 3] = [
    Span::from_ms(2_000),
    Span::from_ms(6_000),
    Span::from_ms(18_000),
];

/// Silence after which an entry host's reports are no longer waited for.
const HOST_TIMEOUT: Span = Span::from_ms(1_600);

/// Silence after which an entry host's report is no longer passed on.
const REPORT_MAX: Span = Span::from_ms(2_500);

/// What a voter knows of rollouts beyond the replicated state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Steering {
    pub(crate) board: Board,
    /// Times of each rollout in progress, by id.
    timings: BTreeMap<u64, Timing>,
}

/// Time in progress of a rollout as a voter counts it.
#[derive(Clone, Copy, Debug)]
struct Timing {
    /// Number of steps when this voter learned of the newest one.
    serial: u64,
    /// When it learned of that.
    learned_at: Time,
    /// Time in progress at that moment.
    elapsed: Span,
}

/// A decided step with what it was derived from.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The service.
    pub service: Name,
    /// The rollout before the step.
    pub record: Record,
    /// The step.
    pub step: Step,
    /// The strongest evidence against the new version.
    pub evidence: Evidence,
    /// Sums over all routes since the rollout began.
    pub sums: Pair,
    /// Number of hosts with recent reports.
    pub hosts: usize,
    /// Time since the last report.
    pub age: Option<Span>,
}

impl Controller {
    /// Orders of all rollouts, for a host that has those of the digest `known`.
    pub(crate) fn rollout_orders(&self, known: u64) -> Orders {
        let fleet = self.listing.as_ref().map(|listing| &*listing.fleet);
        match &self.chosen {
            Some(state) => Orders::new(state, fleet, &self.settings.rollout, known),
            None => Orders::default(),
        }
    }

    /// Reports of this voter's entry hosts, for the other voters.
    pub(crate) fn rollout_reports(&self, now: Time) -> Reports {
        let reports = self.entries.keys().filter_map(|host| {
            let report = self.steering.board.report(now, *host, REPORT_MAX)?;
            Some((*host, report.clone()))
        });
        Reports(reports.collect())
    }

    /// Decides and proposes due steps of rollouts.
    pub(crate) fn steer_rollouts(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(state) = self.chosen.clone().filter(|s| !s.rollouts.is_empty()) else {
            return;
        };
        let in_progress = |record: &&Record| record.phase == Phase::InProgress;
        let records = state.rollouts.values().filter(in_progress);
        let ids = records.map(|record| record.id).collect::<Vec<_>>();
        self.steering.board.snapshot(now, &ids);
        self.steering.timings.retain(|id, _| ids.contains(id));
        for (service, record) in &state.rollouts {
            if record.phase != Phase::InProgress {
                continue;
            }
            let timing = self.timing(now, record);
            if self.is_leader(now) && !self.is_stepping(service) {
                self.step_rollout(now, service, record, timing, out);
            }
        }
    }

    /// Times of a rollout: its time in progress goes on while a step is being decided, which may
    /// take long on slow disks.
    fn timing(&mut self, now: Time, record: &Record) -> Timing {
        let learned = Timing {
            serial: record.serial,
            learned_at: now,
            elapsed: record.elapsed,
        };
        let timing = self.steering.timings.entry(record.id).or_insert(learned);
        if timing.serial != record.serial {
            let elapsed = timing.elapsed + now.since(timing.learned_at);
            *timing = Timing {
                elapsed: elapsed.max(record.elapsed),
                ..learned
            };
        }
        *timing
    }

    /// Whether this voter decides steps: it is in contact with a majority, and no voting one with a
    /// lower id is.
    fn is_leader(&self, now: Time) -> bool {
        let own = self.settings.address;
        let addresses = self.incarnations();
        let addresses = addresses.iter().filter_map(|voter| voter.address);
        let votes = |address: &SocketAddr| self.peers.get(address).is_some_and(|peer| peer.voting);
        let mut live = addresses.filter(|address| {
            *address == own || votes(address) && self.is_responsive(now, *address, PEER_TIMEOUT)
        });
        self.quorum && live.next() == Some(own)
    }

    /// Whether a step of the service's rollout is being decided.
    fn is_stepping(&self, service: &Name) -> bool {
        let mut pending = self.pending.values();
        pending
            .any(|pending| matches!(pending, Pending::Rollout(other) if other.service == *service))
    }

    fn step_rollout(
        &mut self,
        now: Time,
        service: &Name,
        record: &Record,
        timing: Timing,
        out: &mut Vec<Action>,
    ) {
        let in_step = now.since(timing.learned_at);
        let sums = self.steering.board.sums(record.id);
        let evidence = self.strongest_evidence(now, record, &sums);
        let situation = Situation {
            elapsed: timing.elapsed + in_step,
            in_step,
            sums: &sums,
            evidence: &evidence,
            has_replicas: self.has_new_replicas(service, record),
            all_follow: self.all_hosts_follow(now),
        };
        let Some(step) = plan::decide(record, &self.settings.rollout, &situation) else {
            return;
        };
        let change = tier::Change::Step {
            service: service.clone(),
            id: record.id,
            serial: record.serial,
            step,
        };
        let decision = Decision {
            service: service.clone(),
            record: record.clone(),
            step,
            evidence,
            sums: evidence::total(&sums),
            hosts: self.steering.board.host_count(now, REPORT_MAX),
            age: self.steering.board.age(now),
        };
        out.push(Action::Note(Note::Rollout(Box::new(decision.clone()))));
        let pending = Pending::Rollout(Box::new(decision));
        self.propose(now, pending, Change::Tier(change.into()), out);
    }

    /// The strongest evidence against the new version, in recent times and since the beginning.
    fn strongest_evidence(&self, now: Time, record: &Record, sums: &Sums) -> Evidence {
        let board = &self.steering.board;
        let recent = WINDOWS.iter().map(|window| {
            let recent = board.recent(now, record.id, *window);
            statistic::compare(&recent, sums)
        });
        let stronger = |a: Evidence, b: Evidence| if b.strength() > a.strength() { b } else { a };
        recent.fold(statistic::compare(sums, sums), stronger)
    }

    /// Whether a replica of the new version is listed that takes work.
    fn has_new_replicas(&self, service: &Name, record: &Record) -> bool {
        let Some(listing) = &self.listing else {
            return false;
        };
        let fleet = &listing.fleet;
        let mut replicas = fleet.replicas.iter();
        replicas.any(|(instance, replica)| {
            let ready = replica.state == fleet::State::Ready && replica.service == *service;
            ready && fleet.versions.get(instance) == Some(&record.target)
        })
    }

    /// Whether all hosts in contact follow the newest orders.
    fn all_hosts_follow(&self, now: Time) -> bool {
        let digest = self.rollout_orders(0).digest;
        let board = &self.steering.board;
        let reports = self.hosts.iter();
        let mut reports = reports.filter_map(|host| board.report(now, host.address, HOST_TIMEOUT));
        reports.all(|report| report.digest == digest)
    }
}
