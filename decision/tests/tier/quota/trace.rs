//! Which homes granted the requests of an account.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::name::Name;

use super::host;
use super::model::Demand;

/// Grants of one home.
#[derive(Clone, Copy, Debug)]
struct Grants {
    count: usize,
    first: Time,
    last: Time,
}

/// Domain of the host at this address.
fn domain(home: SocketAddr) -> Name {
    let mut hosts = (0..usize::from(u8::MAX)).map(host);
    let known = hosts.find(|host| host.address == home);
    known.expect("a host of the model").domain
}

/// Grants of each home in the window of this length that holds the most requests.
fn grants(demand: &Demand, window: Span) -> BTreeMap<(Name, SocketAddr), Grants> {
    let end = |first: usize| {
        let end = demand.ran[first].after(window);
        demand.ran.partition_point(|at| *at < end)
    };
    let most = (0..demand.ran.len()).max_by_key(|first| end(*first) - first);
    let mut homes = BTreeMap::new();
    for at in most.map_or(0..0, |first| first..end(first)) {
        let (home, time) = (demand.homes[at], demand.ran[at]);
        let grants = homes.entry((domain(home), home)).or_insert(Grants {
            count: 0,
            first: time,
            last: time,
        });
        grants.count += 1;
        grants.last = time;
    }
    homes
}

/// Prints the grants of each home in the window of this length that holds the most requests.
pub fn print(demand: &Demand, window: Span) {
    for ((domain, home), grants) in grants(demand, window) {
        let Grants { count, first, last } = grants;
        let (first, last) = (first.as_us() / 1_000, last.as_us() / 1_000);
        println!("  {domain} {home}: {count} granted from {first} ms to {last} ms");
    }
}
