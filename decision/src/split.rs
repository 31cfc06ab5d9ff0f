//! Which services get a request of a route: all shards of a gather, or one of several weighted
//! services.
//!
//! Load pattern: a route's requests are divided among services by weight, at many hosts that each
//! see a part of them. Turns by credit keep each host's part at the weights over short times, too. A
//! request that several hosts may send goes by its key in place of a turn.

use std::collections::HashMap;

use crate::catalog::Route;
use crate::catalog::Target;
use crate::name::Name;

/// Turns of the weighted services of each route.
#[derive(Debug, Default)]
pub(crate) struct Splits {
    /// Credits of a route's services, in their order, by the name of the route.
    credits: HashMap<Name, Vec<f64>>,
}

impl Splits {
    /// Services that receive the next request of this route.
    pub(crate) fn services(&mut self, route: &Route) -> Vec<Name> {
        match &route.target {
            Target::Gather { shards, .. } => shards.clone(),
            Target::Weighted(services) if services.len() == 1 => vec![services[0].0.clone()],
            Target::Weighted(services) => {
                let weights = services.iter().map(|(_, weight)| weight.max(0.0));
                let weights = weights.collect::<Vec<_>>();
                let credits = self.credits.entry(route.name.clone()).or_default();
                vec![services[next_weighted(credits, &weights)].0.clone()]
            }
        }
    }
}

/// Services that receive a request with this key: one of several weighted services is the same at
/// all hosts, so that they pick among the same replicas.
pub(crate) fn services_by_key(route: &Route, key: u64) -> Vec<Name> {
    let services = match &route.target {
        Target::Gather { shards, .. } => return shards.clone(),
        Target::Weighted(services) => services,
    };
    let total = services.iter().map(|(_, weight)| weight.max(0.0));
    let mut point = total.sum::<f64>() * (key >> 11) as f64 / (1_u64 << 53) as f64;
    let positive = services.iter().filter(|(_, weight)| *weight > 0.0);
    let chosen = positive.clone().find(|(_, weight)| {
        point -= weight;
        point < 0.0
    });
    let chosen = chosen.or_else(|| positive.clone().next_back());
    chosen.map(|(name, _)| name.clone()).into_iter().collect()
}

/// Picks the next service by smooth weighted round robin, so that over time each service
/// gets the share given by its weight.
fn next_weighted(credits: &mut Vec<f64>, weights: &[f64]) -> usize {
    credits.resize(weights.len(), 0.0);
    let total = weights.iter().sum::<f64>();
    for (credit, weight) in credits.iter_mut().zip(weights) {
        *credit = (*credit + weight).clamp(-2.0 * total, 2.0 * total);
    }
    let higher_credit = |best: usize, index: usize| {
        if credits[index] > credits[best] {
            index
        } else {
            best
        }
    };
    let eligible = (0..weights.len()).filter(|index| weights[*index] > 0.0);
    let chosen = eligible.reduce(higher_credit).unwrap_or_default();
    credits[chosen] -= total;
    chosen
}
