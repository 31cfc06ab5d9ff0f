//! Requests that end each server that begins to run them, and requests that only ran where
//! servers ended.

use std::collections::BTreeSet;

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;

use crate::model::Simulation;

/// Time after the third server ended within which all hosts must know the request.
const CONTACT: Span = Span::from_secs(4);

/// Most repeats that may still reach servers after that.
const LATE_REPEATS_MAX: usize = 3;

/// Number of repeats that ran on servers later than [`CONTACT`] after the third one ended.
fn late_repeats(ended: &[(Time, u64)]) -> usize {
    let mut times = ended.iter().map(|(at, _)| *at).collect::<Vec<_>>();
    times.sort_unstable();
    let Some(third) = times.get(2) else {
        return 0;
    };
    let known = third.after(CONTACT);
    let late = ended.iter().filter(|(at, _)| *at > known);
    late.map(|(_, request)| request)
        .collect::<BTreeSet<_>>()
        .len()
}

/// Sends a request that ends its servers once a second, for 40 seconds, and returns how many
/// repeats reached servers too late.
fn repeat_fatal_request(route: &str) -> usize {
    let mut simulation = Simulation::new(20);
    simulation.load(1_000_000, 60, "all", Span::from_ms(20));
    simulation.run(Span::from_secs(3));
    simulation.fatal.extend(1..=40);
    simulation.load(1, 40, route, Span::from_secs(1));
    simulation.run(Span::from_secs(45));
    late_repeats(&simulation.ended)
}

/// Guards against a gather that ends a server of each shard with each repeat.
#[test]
fn a_gather_that_ends_its_servers_is_refused_after_the_third() {
    let late = repeat_fatal_request("all");
    assert!(late <= LATE_REPEATS_MAX, "{late} repeats reached servers");
}

/// Guards against a request of which each repeat may run once, and ends one more server.
#[test]
fn a_request_that_runs_once_and_ends_its_server_is_refused_after_the_third() {
    let late = repeat_fatal_request("once");
    assert!(late <= LATE_REPEATS_MAX, "{late} repeats reached servers");
}
