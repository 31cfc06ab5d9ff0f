//! Case 7: an entry of another writer in the platform's list, with a field of another type, names a
//! server under another service. Requests for that service run on it.

#[path = "lab.rs"]
#[allow(dead_code)]
mod lab;

use std::thread;

use lab::Deployment;
use lab::Journal;
use lab::List;
use lab::Operator;
use lab::Servers;
use lab::config;
use lab::finish;
use lab::is_calm;
use lab::is_ready;
use lab::send;
use lab::service;
use lab::sleep_ms;

/// The service that the requests are for, and one that they must not run on.
const WANTED: &str = "kafi81c";
const OTHER: &str = "gowu98c";

/// Requests that are sent.
const REQUESTS: usize = 240;

/// Clients that send them.
const CLIENTS: usize = 12;

fn route(name: &str, prefix: &str, service: &str) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"Hostname\":\"pupu76.example\",\"PathPrefix\":\"{prefix}\",\
         \"Type\":\"idempotent\",\"TimeoutMs\":15000,\"TargetLatencyMs\":800,\"Priority\":2,\
         \"Service\":\"{service}\",\"MaxAttempts\":2}}"
    )
}

fn main() {
    let journal = Journal::create();
    let deployment = Deployment::new(journal.clone());
    let list = List::start(&deployment);
    let servers = Servers::new(&journal);
    (0..3).for_each(|index| servers.start(&deployment, &list, WANTED, index));
    (3..6).for_each(|index| servers.start(&deployment, &list, OTHER, index));
    if !is_calm() {
        let own = list.0.lock().unwrap()[3].clone();
        let foreign = format!(
            "{{\"Service\":\"{WANTED}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":6,\
             \"State\":\"ready\",\"WarmupLeftMs\":\"0\",\"Id\":\"{}\"}}",
            own.address, own.zone, own.id
        );
        journal.note(&format!("another writer lists {foreign}"));
        list.1.lock().unwrap().push(foreign);
    }
    let mut voters = (0..lab::VOTERS)
        .map(|index| deployment.voter(index))
        .collect::<Vec<_>>();
    let mut entries = (0..3)
        .map(|index| deployment.entry(index))
        .collect::<Vec<_>>();
    voters
        .iter_mut()
        .chain(&mut entries)
        .for_each(|daemon| daemon.start());
    let operator = Operator {
        journal: journal.clone(),
    };
    sleep_ms(1_000);
    let routes = [
        route("r-wanted", "/timi402/", WANTED),
        route("r-other", "/bapu561/", OTHER),
    ];
    let services = [service(WANTED), service(OTHER)].join(",");
    operator.insist(
        &voters[0],
        "PUT",
        lab::CONFIG,
        &config(1, &routes.join(","), &services),
    );
    for entry in &entries {
        lab::wait_for("an entry host isn't ready", 20, || is_ready(entry));
    }
    sleep_ms(1_500);
    let clients = (0..CLIENTS).map(|client| {
        let (journal, entry) = (
            journal.clone(),
            entries[client % entries.len()].address(lab::FRONTEND),
        );
        thread::spawn(move || {
            for turn in 0..REQUESTS / CLIENTS {
                let _ = send(
                    &journal,
                    entry,
                    &format!("req-{client}-{turn}"),
                    "/timi402/q",
                    15_000,
                );
            }
        })
    });
    let clients = clients.collect::<Vec<_>>();
    clients.into_iter().for_each(|client| drop(client.join()));
    let runs = servers.runs.lock().unwrap().clone();
    let is_foreign = |server: &String| server.contains(OTHER);
    let wrong = runs
        .values()
        .filter(|servers| servers.iter().any(is_foreign))
        .count();
    journal.note(&format!(
        "{wrong} of {REQUESTS} requests for {WANTED} ran on a server of {OTHER}"
    ));
    voters.append(&mut entries);
    finish(deployment, voters, wrong > 0);
}
