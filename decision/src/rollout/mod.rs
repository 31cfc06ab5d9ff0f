//! Rollouts: the traffic of a service moves from its old replicas to those of a new version.
//!
//! Load pattern: a new version fails requests, or answers several times slower, at once or later,
//! under load only, or on one route only. Until its time limit it may get a fixed share of the
//! service's requests plus a constant. The traffic is therefore not shifted evenly: a small share
//! goes to the new version for most of the time, then a short ramp tests it under load, and all
//! traffic follows before the time limit.
//!
//! A [`Record`] is part of the replicated state. `stored` keeps it readable for older builds,
//! `evidence` adds up what hosts count, `statistic` compares the versions, `plan` decides steps,
//! `steering` runs the decisions of a voter, and `traffic` divides the calls of an entry host.

pub mod evidence;
pub mod order;
pub mod plan;
pub mod statistic;
pub mod steering;
pub(crate) mod stored;
pub(crate) mod traffic;

use std::collections::BTreeSet;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::name::Name;

/// Limits on the exposure to a new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Share of a service's requests that a bad version may get, from 0 to 1.
    pub canary_share: f64,
    /// Requests that a bad version may get in addition.
    pub canary_slack: f64,
    /// Time after the 50th bad answer from which a bad version may get no requests.
    pub rollback: Span,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            canary_share: 0.1,
            canary_slack: 50.0,
            rollback: Span::from_ms(5_000),
        }
    }
}

/// State of a rollout.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// Both versions get requests.
    #[display("in progress")]
    InProgress,
    /// Only the new version gets requests.
    #[display("completed")]
    Completed,
    /// The new version gets no requests.
    #[display("rolled back")]
    RolledBack,
}

/// Stage of a rollout in progress.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Stage {
    /// A small share for most of the time.
    #[display("canary")]
    Canary,
    /// First stage of the ramp.
    #[display("ramp")]
    Ramp,
    /// Second stage of the ramp.
    #[display("half")]
    Half,
    /// All requests, and the old version in case the new one is not available.
    #[display("full")]
    Full,
    /// All requests, and none to the old version, so that it may stop on completion.
    #[display("closing")]
    Closing,
}

/// A rollout as the replicated state keeps it, by service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Version that the traffic moves to.
    pub target: Name,
    /// Revision of the state that began the rollout.
    pub id: u64,
    /// Number of steps decided so far.
    pub serial: u64,
    /// Time within which the rollout is to be completed.
    pub duration: Span,
    /// Time in progress when the last step was decided, added up by the deciding voters.
    pub elapsed: Span,
    /// Whether the rollout has ended, and how.
    pub phase: Phase,
    /// Stage while in progress.
    pub stage: Stage,
    /// Share of the requests that go to the new version, in thousandths.
    pub share: u32,
    /// Target of the last completed rollout; only its replicas count as old ones.
    pub proven: Option<Name>,
    /// Targets of rollouts that were rolled back since.
    pub refused: BTreeSet<Name>,
    /// Random number of the request that began the rollout; zero if an older build wrote the
    /// record.
    pub request: u64,
}

/// A step of a rollout in progress.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// Phase from now on.
    pub phase: Phase,
    /// Stage from now on.
    pub stage: Stage,
    /// Share of the requests that go to the new version, in thousandths.
    pub share: u32,
    /// Time in progress so far.
    pub elapsed: Span,
}

/// Verdict on the request of a rollout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Begin {
    /// It begins, or replaces one that ended.
    New,
    /// The same request began it, or a rollout to the same target has ended.
    Known,
    /// Another request began a rollout that is in progress, to whichever target.
    Conflict,
}

impl Record {
    /// What the request of a rollout to `target` does, given the service's last rollout.
    ///
    /// A voter evaluates a request again if the answers to its proposal are lost. The number
    /// `request` tells the rollout that the proposal began from that of another request.
    pub fn assess(last: Option<&Record>, target: &Name, request: u64) -> Begin {
        match last {
            None => Begin::New,
            Some(last) if last.request == request && request != 0 => Begin::Known,
            Some(last) if last.phase == Phase::InProgress => Begin::Conflict,
            Some(last) if last.target == *target => Begin::Known,
            Some(_) => Begin::New,
        }
    }

    /// A rollout that begins after the service's last one.
    pub fn begin(last: Option<&Record>, id: u64, target: Name, duration: Span) -> Record {
        let mut proven = last.and_then(|last| last.proven.clone());
        let mut refused = last.map(|last| last.refused.clone()).unwrap_or_default();
        if let Some(last) = last {
            match last.phase {
                Phase::Completed => {
                    proven = Some(last.target.clone());
                    refused.clear();
                }
                Phase::RolledBack => drop(refused.insert(last.target.clone())),
                Phase::InProgress => {}
            }
        }
        refused.remove(&target);
        Record {
            target,
            id,
            serial: 0,
            duration,
            elapsed: Span::ZERO,
            phase: Phase::InProgress,
            stage: Stage::Canary,
            share: plan::FIRST_SHARE,
            proven,
            refused,
            request: 0,
        }
    }

    /// The record after a step.
    pub fn after(&self, step: Step) -> Record {
        Record {
            serial: self.serial + 1,
            phase: step.phase,
            stage: step.stage,
            share: step.share,
            elapsed: step.elapsed.max(self.elapsed),
            ..self.clone()
        }
    }

    /// Group of a replica of this version; absent if the list tells none.
    pub fn group(&self, version: Option<&Name>) -> order::Group {
        let Some(version) = version else {
            return order::Group::Old;
        };
        let is_target = *version == self.target;
        let is_proven = self.proven.as_ref().is_none_or(|proven| proven == version);
        match self.phase {
            Phase::InProgress | Phase::Completed if is_target => order::Group::New,
            Phase::RolledBack if is_target => order::Group::Barred,
            Phase::Completed => order::Group::Barred,
            _ if self.refused.contains(version) || !is_proven => order::Group::Barred,
            _ => order::Group::Old,
        }
    }
}
