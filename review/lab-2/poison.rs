//! Case 10: a request under which servers end while they write its answer.

#[path = "lab.rs"]
#[allow(dead_code)]
mod lab;

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

/// `ContactMs` of the deployment.
const CONTACT: Duration = Duration::from_secs(4);

/// Retries later than that which the rule allows.
const RETRIES_MAX: usize = 3;

fn main() {
    let journal = Journal::create();
    let deployment = Deployment::new(journal.clone());
    let list = List::start(&deployment);
    let servers = Servers::new(&journal);
    (0..9).for_each(|index| servers.start(&deployment, &list, "kafi81c", index));
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
    let route = "{\"Name\":\"r-4qmv293\",\"Hostname\":\"pupu76.example\",\"PathPrefix\":\"/timi402/\",\
         \"Type\":\"idempotent\",\"TimeoutMs\":15000,\"TargetLatencyMs\":800,\"Priority\":2,\
         \"Service\":\"kafi81c\",\"MaxAttempts\":2}";
    operator.insist(
        &voters[0],
        "PUT",
        lab::CONFIG,
        &config(1, route, &lab::service("kafi81c")),
    );
    for entry in &entries {
        lab::wait_for("an entry host isn't ready", 20, || is_ready(entry));
    }
    sleep_ms(1_500);
    let path = match is_calm() {
        true => "/timi402/harmless",
        false => "/timi402/poison",
    };
    let started = Instant::now();
    let mut turn = 0;
    while started.elapsed().as_secs() < 25 {
        turn += 1;
        let entry = entries[turn % 3].address(lab::FRONTEND);
        let _ = send(
            &journal,
            entry,
            &format!("other-{turn}"),
            "/timi402/ok",
            15_000,
        );
        let _ = send(&journal, entry, &format!("poison-{turn}"), path, 15_000);
        sleep_ms(900);
    }
    let runs = servers.run_times.lock().unwrap().clone();
    let mut times = runs
        .iter()
        .filter(|(id, _)| id.starts_with("poison"))
        .map(|(_, at)| *at);
    let third = times.nth(2);
    let retries = times
        .filter(|at| third.is_some_and(|third| *at > third + CONTACT))
        .count();
    journal.note(&format!(
        "{retries} runs of it later than 4 s after the third one"
    ));
    voters.append(&mut entries);
    finish(deployment, voters, !is_calm() && retries > RETRIES_MAX);
}
