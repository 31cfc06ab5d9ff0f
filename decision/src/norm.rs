//! Part of the gateway: the latency to which a replica's answers are compared, and the choice of
//! the estimator of its capacity.
//!
//! A gather's shards do like work, so the whole route is the norm. A route with several weighted
//! services has a norm for each of them.

use std::collections::HashMap;

use crate::catalog::Target;
use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::fleet::Instance;
use crate::gateway::Gateway;
use crate::gateway::HEDGE_QUANTILE;
use crate::gateway::Outstanding;
use crate::latency::Latency;
use crate::load::capacity::Estimator;
use crate::load::report::Record;
use crate::load::report::Report;
use crate::name::Name;

impl Gateway {
    /// Estimates the capacity of all replicas this way from now on, and forgets what was learned.
    pub fn set_estimator(&mut self, now: Time, estimator: Estimator) {
        self.estimator = estimator;
        let known = self.endpoint_ids.iter();
        let known = known.map(|(instance, id)| (*id, self.capacity_seed(instance)));
        for (id, seed) in known.collect::<Vec<_>>() {
            if let Some(endpoint) = self.endpoints.get_mut(&id) {
                endpoint.set_estimator(now, estimator, seed);
            }
        }
    }

    /// Seed of the estimator of a replica; differs by host.
    pub(crate) fn capacity_seed(&self, instance: &Instance) -> u64 {
        let own = self.settings.address.to_string();
        Digest::of_parts(&[instance.id.as_bytes(), own.as_bytes()]).rank()
    }

    /// This host's measurements of replicas that differ from the norm.
    pub fn load_report(&mut self, now: Time) -> Report {
        let ids = self.endpoint_ids.iter();
        let records = ids.filter_map(|(instance, id)| {
            let capacity = self.endpoints.get_mut(id)?.capacity();
            let reported = capacity.is_reported(now);
            reported.then(|| Record::new(instance.clone(), &capacity.evidence(now)))
        });
        Report::new(records.collect())
    }

    /// Adopts the measurements of all hosts.
    pub fn merge_load(&mut self, now: Time, report: &Report) {
        let records = report.records.iter();
        let told = records.filter_map(|record| {
            let id = *self.endpoint_ids.get(&record.instance)?;
            Some((id, (record.evidence(Span::ZERO), record.confirmed)))
        });
        let told = told.collect::<HashMap<_, _>>();
        for (id, endpoint) in &mut self.endpoints {
            let told = told.get(id);
            let evidence = told.map(|(evidence, _)| *evidence);
            let confirmed = told.is_some_and(|(_, confirmed)| *confirmed);
            endpoint.capacity().set_merged(now, evidence, confirmed);
        }
    }

    /// Median latency of a call's route at the service of its replica, if that is not the median
    /// of the whole route.
    pub(crate) fn service_norm(&self, call: &Outstanding) -> Option<Span> {
        if !self.has_service_norms(call) {
            return None;
        }
        let service = self.endpoints.get(&call.endpoint)?.replica.service.clone();
        let latency = self
            .service_latencies
            .get(&(call.route.name.clone(), service))?;
        Some(latency.median())
    }

    /// Adds the latency of a call to the norm of its route and service.
    pub(crate) fn record_service_latency(&mut self, call: &Outstanding, service: Name, took: Span) {
        if !self.has_service_norms(call) {
            return;
        }
        let key = (call.route.name.clone(), service);
        let latency = self.service_latencies.entry(key);
        let latency = latency.or_insert_with(|| Latency::new(took, HEDGE_QUANTILE));
        latency.record(took);
    }

    fn has_service_norms(&self, call: &Outstanding) -> bool {
        let learned = self.estimator != Estimator::Average;
        let several = matches!(&call.route.target, Target::Weighted(all) if all.len() > 1);
        learned && several
    }
}
