//! Hosts that are cut off from all replicas, while callers and the other hosts reach them.

use wagtailbeam_decision::clock::Span;

use crate::hosts::Cut;
use crate::hosts::Hosts;

const ROUTES: [&str; 4] = ["browse", "quick", "fetch", "job"];

/// Share of the requests that must be served at hosts that are cut off.
const SERVED_MIN: f64 = 0.95;

/// Eight hosts that serve all routes for the given time.
fn loaded(seed: u64, span: Span) -> Hosts {
    let mut hosts = Hosts::new(8, 6, seed);
    ROUTES.iter().for_each(|route| hosts.load(route, 20, span));
    hosts.run(Span::from_secs(3));
    hosts
}

/// Five of eight hosts are cut off for eight seconds. Guards against callers whose host refuses
/// them, or lets them wait, although other hosts reach the replicas.
#[test]
fn callers_of_hosts_without_links_to_replicas_are_served_through_others() {
    for (seed, cut) in [(1, Cut::Hang), (2, Cut::Reset), (3, Cut::Refuse)] {
        let mut hosts = loaded(seed, Span::from_secs(14));
        let cut_off = [0, 1, 2, 4, 6];
        hosts.cut(&cut_off, cut);
        hosts.run(Span::from_secs(2));
        let since = hosts.now;
        hosts.run(Span::from_secs(10));
        for route in ROUTES {
            let served = hosts.served_at(&cut_off, route, since);
            assert!(served >= SERVED_MIN, "{cut:?}: {served} of {route} served");
        }
    }
}
