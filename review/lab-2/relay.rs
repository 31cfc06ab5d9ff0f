//! Case 9: an entry host is cut off from all servers and has other hosts serve its requests. One of
//! these is killed; what it had in work runs once more, on further servers.

#[path = "lab.rs"]
#[allow(dead_code)]
mod lab;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

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
use lab::sleep_ms;

/// Most servers on which a request may run, as the route says.
const MAX_ATTEMPTS: usize = 1;

/// Requests that may run on more, by the rule.
const EXCUSED: usize = 3;

/// Entry hosts.
const ENTRIES: usize = 3;

/// Servers of the service.
const SERVERS: usize = 9;

/// Requests in work when the host is killed.
const REQUESTS: usize = 24;

/// Time from the cut, in which callers go on, until the requests that are killed.
const CUT_TIME: Duration = Duration::from_millis(4_500);

/// Callers of quick requests, which go on all the time.
const QUICK_CLIENTS: usize = 9;

/// Callers that send before the cut, so that the hosts know how long answers usually take.
const WARM_CLIENTS: usize = 12;

/// Time for which a server works on a request, in milliseconds. It is within the work of
/// `voucher-lookup`: 220 on average, 1,300 at most.
const WORK_MS: u64 = 500;

/// Time from the first of the requests in work until the host is killed, in milliseconds.
const KILL_AFTER_MS: u64 = 350;

fn main() {
    let journal = Journal::create();
    let deployment = Deployment::new(journal.clone());
    let list = List::start(&deployment);
    let servers = Servers::new(&journal);
    (0..SERVERS).for_each(|index| servers.start(&deployment, &list, "kafi81c", index));
    let mut voters = (0..lab::VOTERS)
        .map(|index| deployment.voter(index))
        .collect::<Vec<_>>();
    let mut entries = (0..ENTRIES)
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
    let route = |name: &str, prefix: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"Hostname\":\"pupu76.example\",\"PathPrefix\":\"{prefix}\",\
             \"Type\":\"idempotent\",\"TimeoutMs\":15000,\"TargetLatencyMs\":800,\"Priority\":2,\
             \"Service\":\"kafi81c\",\"MaxAttempts\":{MAX_ATTEMPTS}}}"
        )
    };
    let routes = format!(
        "{},{}",
        route("r-long", "/timi402/"),
        route("r-quick", "/bapu561/")
    );
    operator.insist(
        &voters[0],
        "PUT",
        lab::CONFIG,
        &config(1, &routes, &lab::service("kafi81c")),
    );
    for entry in &entries {
        lab::wait_for("an entry host isn't ready", 20, || is_ready(entry));
    }
    sleep_ms(1_500);
    *servers.work_ms.lock().unwrap() = WORK_MS;
    let stopped = Arc::new(AtomicBool::new(false));
    for client in 0..QUICK_CLIENTS {
        let (journal, stopped) = (journal.clone(), stopped.clone());
        let entry = entries[client % ENTRIES].address(lab::FRONTEND);
        thread::spawn(move || {
            let mut turn = 0;
            while !stopped.load(Ordering::Relaxed) {
                turn += 1;
                let _ = send(
                    &journal,
                    entry,
                    &format!("quick-{client}-{turn}"),
                    "/bapu561/quick",
                    1_200,
                );
                sleep_ms(40);
            }
        });
    }
    sleep_ms(500);
    let warm = (0..WARM_CLIENTS).map(|client| {
        let (journal, entry) = (
            journal.clone(),
            entries[client % ENTRIES].address(lab::FRONTEND),
        );
        thread::spawn(move || {
            for turn in 0..6 {
                let _ = send(
                    &journal,
                    entry,
                    &format!("warm-{client}-{turn}"),
                    "/timi402/w",
                    15_000,
                );
            }
        })
    });
    let warm = warm.collect::<Vec<_>>();
    warm.into_iter().for_each(|client| drop(client.join()));
    let frontend = entries[0].address(lab::FRONTEND);
    if !is_calm() {
        servers.cut_off(entries[0].pid());
        journal.note("edge-0 is cut off from all servers");
    }
    let during = (0..4).map(|client| {
        let journal = journal.clone();
        thread::spawn(move || {
            let started = Instant::now();
            let mut turn = 0;
            while started.elapsed() < CUT_TIME {
                turn += 1;
                let _ = send(
                    &journal,
                    frontend,
                    &format!("cut-{client}-{turn}"),
                    "/timi402/c",
                    15_000,
                );
                sleep_ms(100);
            }
        })
    });
    let during = during.collect::<Vec<_>>();
    during.into_iter().for_each(|client| drop(client.join()));
    let clients = (0..REQUESTS).map(|index| {
        let journal = journal.clone();
        thread::spawn(move || {
            sleep_ms(5 * index as u64);
            let _ = send(
                &journal,
                frontend,
                &format!("req-{index}"),
                "/timi402/r",
                15_000,
            );
        })
    });
    let clients = clients.collect::<Vec<_>>();
    sleep_ms(KILL_AFTER_MS);
    if !is_calm() {
        entries[1].kill();
        journal.note("edge-1 is killed");
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    stopped.store(true, Ordering::Relaxed);
    sleep_ms(500);
    let runs = servers.runs.lock().unwrap().clone();
    let mut beyond = 0;
    for (request, runs) in &runs {
        let distinct = runs.iter().collect::<BTreeSet<_>>();
        if distinct.len() > MAX_ATTEMPTS {
            beyond += 1;
            journal.note(&format!(
                "{request} ran on {} servers: {runs:?}",
                distinct.len()
            ));
        }
    }
    journal.note(&format!(
        "{beyond} requests ran on more than {MAX_ATTEMPTS} servers"
    ));
    voters.append(&mut entries);
    finish(deployment, voters, beyond > EXCUSED);
}
