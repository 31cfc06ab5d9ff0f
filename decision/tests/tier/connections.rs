//! Connections that all entry hosts together keep open to a replica.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::fleet::Fleet;
use wagtailbeam_decision::gateway::Action;
use wagtailbeam_decision::gateway::Event;
use wagtailbeam_decision::gateway::Gateway;
use wagtailbeam_decision::gateway::Request;
use wagtailbeam_decision::gateway::Settings;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::plan::Host;
use wagtailbeam_decision::plan::Plan;

use crate::model;

/// Most connections that a replica of the model takes.
const CONNECTIONS_MAX: usize = 26;

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 9, 1, host], 70))
}

/// Calls that keep their connections, by replica, when each of these hosts gathers once from this
/// many shards.
fn kept(hosts: u8, shards: usize) -> BTreeMap<SocketAddr, usize> {
    let names = (0..shards).map(|index| Name::from(format!("shard-{index}")));
    let names = names.collect::<Vec<_>>();
    let catalog = Arc::new(model::catalog(&names));
    let replicas = names
        .iter()
        .flat_map(|name| [0, 1].map(|index| model::replica(name, index, "east")));
    let fleet = Arc::new(Fleet::new(replicas.collect::<Vec<_>>()));
    let all = (0..hosts).map(|host| Host {
        address: address(host),
        domain: Name::from("east"),
    });
    let plan = Arc::new(Plan::new(&catalog, &all.collect::<Vec<_>>()));
    let mut kept = BTreeMap::new();
    for host in 0..hosts {
        let mut gateway = Gateway::new(Settings {
            address: address(host),
            ..model::settings()
        });
        let now = Time::from_us(1_000_000);
        gateway.step(now, Event::Catalog(catalog.clone()));
        gateway.step(now, Event::Fleet(fleet.clone(), now));
        gateway.step(now, Event::Plan(plan.clone()));
        let request = Request {
            host: "desk.example".into(),
            path: "/all/x".into(),
            left: Some(Span::from_secs(1)),
            catalog_confirmed: true,
            ..Request::default()
        };
        let actions = gateway.step(now, Event::Request(1, request));
        for action in actions {
            if let Action::Send(call) = action {
                *kept.entry(call.address).or_default() += usize::from(call.keep);
            }
        }
    }
    kept
}

/// Guards against more hosts than connections of which each keeps one open: the replica resets
/// what exceeds its limit.
#[test]
fn hosts_keep_no_more_connections_than_a_replica_takes() {
    for (hosts, shards) in [(60, 4), (60, 64), (200, 4), (200, 64)] {
        let kept = kept(hosts, shards);
        let most = kept.values().max().copied().unwrap_or_default();
        assert!(most <= CONNECTIONS_MAX / 2, "{hosts} hosts: {most} kept");
        assert!(most > 0, "{hosts} hosts keep none");
    }
}

/// Guards against new connections for each call where there are enough for all hosts.
#[test]
fn few_hosts_keep_all_their_connections() {
    let kept = kept(10, 4);
    let calls = kept.values().sum::<usize>();
    assert_eq!(calls, 40);
}
