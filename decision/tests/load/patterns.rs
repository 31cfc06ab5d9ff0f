//! Load patterns under which parts wait for capacity.

use std::sync::LazyLock;

use wagtailbeam_decision::clock::Span;

use crate::arrivals::Client;
use crate::cases;
use crate::setup::Case;
use crate::setup::HEALTHY;
use crate::setup::Health;

/// Number of accounts.
const ACCOUNTS: usize = 84;

/// Number of large accounts among them.
pub const LARGE: usize = 4;

/// Share of the load that each large account has.
const LARGE_SHARE: f64 = 0.08;

/// When the pattern begins and ends, in seconds.
pub const SURGE: (f64, f64) = (20.0, 26.0);

/// Usual load of the single reads in requests a second: 70 % of what the replicas take.
const READS_PER_S: f64 = 108.0;

/// The same for the gathers.
const GATHERS_PER_S: f64 = 250.0;

/// Names of the accounts.
static NAMES: LazyLock<Vec<String>> =
    LazyLock::new(|| (0..ACCOUNTS).map(|index| format!("a{index}")).collect());

/// All accounts, the large ones first, with this load in total. The factor on the load of each
/// during the surge, and its priority, depend on its index.
fn clients(total: f64, surge: fn(usize) -> f64, priority: fn(usize) -> u32) -> Vec<Client> {
    let small_share = (1.0 - LARGE as f64 * LARGE_SHARE) / (ACCOUNTS - LARGE) as f64;
    let client = |index: usize| Client {
        account: &NAMES[index],
        priority: priority(index),
        route: 0,
        per_s: total
            * if index < LARGE {
                LARGE_SHARE
            } else {
                small_share
            },
        surge: surge(index),
        surge_time: SURGE,
        begins: 0.0,
        repeats: 0,
    };
    (0..ACCOUNTS).map(client).collect()
}

/// Single reads through two hosts that keep each replica's calls to its slots.
fn reads(name: &'static str, clients: Vec<Client>) -> Case {
    Case {
        hosts: 2,
        connections_max: 2,
        clients,
        seconds: 32,
        ..cases::reads(name, cases::healthy)
    }
}

fn one(_: usize) -> u32 {
    1
}

fn mixed(index: usize) -> u32 {
    index as u32 % 3
}

fn steady(_: usize) -> f64 {
    1.0
}

/// One of the small accounts at eight times its load.
fn small_hot(index: usize) -> f64 {
    if index == LARGE { 8.0 } else { 1.0 }
}

/// One of the large accounts at eight times its load.
fn large_hot(index: usize) -> f64 {
    if index == 0 { 8.0 } else { 1.0 }
}

fn two_hot(index: usize) -> f64 {
    if index < 2 { 8.0 } else { 1.0 }
}

fn all_hot(_: usize) -> f64 {
    2.5
}

/// Six times the load in the first second: that of five seconds of outage comes back.
fn returning(_: usize) -> f64 {
    6.0
}

fn half_slow(server: usize, at: f64) -> Health {
    let slow = server.is_multiple_of(2) && (SURGE.0..SURGE.1).contains(&at);
    let factor = if slow { 5.0 } else { 1.0 };
    Health { factor, ..HEALTHY }
}

/// Whether an account sends more than all others do on average.
pub fn is_hot(case: &Case, index: usize) -> bool {
    let clients = &case.clients;
    clients[index].surge > clients[ACCOUNTS - 1].surge
}

fn repeating(mut clients: Vec<Client>) -> Vec<Client> {
    clients.iter_mut().for_each(|client| client.repeats = 8);
    clients
}

fn after_outage(mut clients: Vec<Client>) -> Vec<Client> {
    for client in &mut clients {
        client.begins = SURGE.0;
        client.surge_time = (SURGE.0, SURGE.0 + 1.0);
    }
    clients
}

/// The patterns; the last one has limits that do not bind.
pub fn all() -> Vec<Case> {
    let total = READS_PER_S;
    let hot = clients(total, large_hot, one);
    let gathering = Case {
        hosts: 2,
        connections_max: 2,
        clients: clients(GATHERS_PER_S, large_hot, one),
        routes: vec![cases::gather(15, 150, 0.0)],
        seconds: 32,
        ..cases::gathers("gathers, one large account x 8", cases::healthy)
    };
    let slow = Case {
        health: half_slow,
        ..reads(
            "half of the replicas slower x 5",
            clients(total, steady, mixed),
        )
    };
    vec![
        reads("one small account x 8", clients(total, small_hot, one)),
        reads("one large account x 8", hot.clone()),
        gathering,
        reads(
            "two large accounts x 8, repeated at once",
            repeating(clients(total, two_hot, one)),
        ),
        reads("all x 2.5", clients(total, all_hot, mixed)),
        slow,
        reads(
            "all return after an outage",
            after_outage(clients(total, returning, mixed)),
        ),
        Case {
            hosts: 84,
            connections_max: 200,
            ..reads("84 hosts, one large account x 8", hot)
        },
    ]
}

/// Time after the end of a pattern until which requests are counted.
pub const AFTER: Span = Span::from_secs(4);
