//! Which replicas are slow by the measurements of all hosts, for logs and metrics.

use std::collections::BTreeMap;

use crate::clock::Span;
use crate::clock::Time;
use crate::fleet::Instance;
use crate::load::capacity::TOLD_AGE_MAX;
use crate::load::report::Record;
use crate::load::report::Report;
use crate::load::report::SLOWDOWN;

/// Time for which a replica must be told to be normal before it no longer counts as slow. Without
/// it, a replica near the threshold would be logged several times a second.
const RETURN_AFTER: Span = Span::from_secs(1);

/// A replica whose slowdown crossed the threshold.
#[derive(Clone, Debug, PartialEq)]
pub struct Crossing {
    /// The run of the replica.
    pub instance: Instance,
    /// Whether it is slow from now on.
    pub slow: bool,
    /// Its latency relative to the norm; absent if it is no longer told of.
    pub slowdown: Option<f64>,
    /// Weight of the calls with a latency that this was derived from.
    pub answers: f64,
}

/// Replicas that are slow by the confirmed sums of all hosts.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    /// Slow replicas, with the last time when they were told to be slow.
    slow: BTreeMap<Instance, Time>,
    /// Number of replicas that differ.
    differing: usize,
    /// When the host was last told.
    told_at: Time,
}

impl Watch {
    /// Number of replicas that differ from the norm by the last confirmed sums, in latency or
    /// failures; zero once the host no longer goes by these sums.
    pub fn differing(&self, now: Time) -> usize {
        match now.since(self.told_at) < TOLD_AGE_MAX {
            true => self.differing,
            false => 0,
        }
    }

    /// Adopts what a voter tells, and returns what it changes.
    pub fn update(&mut self, now: Time, report: &Report) -> Vec<Crossing> {
        let confirmed = report.records.iter().filter(|record| record.confirmed);
        let confirmed = confirmed.map(|record| (&record.instance, record));
        let confirmed = confirmed.collect::<BTreeMap<_, _>>();
        self.differing = confirmed.len();
        self.told_at = now;
        let mut crossings = Vec::new();
        for (instance, record) in &confirmed {
            if record.slowdown() < SLOWDOWN {
                continue;
            }
            if self.slow.insert((*instance).clone(), now).is_none() {
                crossings.push(crossing(instance, true, Some(record)));
            }
        }
        let returned = self.slow.iter();
        let returned = returned.filter(|(_, at)| now.since(**at) >= RETURN_AFTER);
        let returned = returned.map(|(instance, _)| instance.clone());
        for instance in returned.collect::<Vec<_>>() {
            self.slow.remove(&instance);
            let record = confirmed.get(&instance).copied();
            crossings.push(crossing(&instance, false, record));
        }
        crossings
    }
}

fn crossing(instance: &Instance, slow: bool, record: Option<&Record>) -> Crossing {
    Crossing {
        instance: instance.clone(),
        slow,
        slowdown: record.map(Record::slowdown),
        answers: record.map_or(0.0, |record| record.evidence(Span::ZERO).answers),
    }
}
