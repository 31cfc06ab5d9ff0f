//! Case 8: two gathers of one name in a valid configuration: entry hosts end when a request comes on one.

#[path = "lab.rs"]
#[allow(dead_code)]
mod lab;

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

/// Shards of the index, and those that were there before it was repartitioned.
const SHARDS: usize = 50;
const SHARDS_BEFORE: usize = 40;

fn gather(name: &str, host: &str, shards: usize) -> String {
    let services = (0..shards)
        .map(|index| format!("\"huvo{index}\""))
        .collect::<Vec<_>>();
    format!(
        "{{\"Name\":\"{name}\",\"Hostname\":\"{host}\",\"PathPrefix\":\"/ziti980/\",\
         \"Type\":\"idempotent\",\"TimeoutMs\":3000,\"TargetLatencyMs\":400,\"Priority\":1,\
         \"Gather\":[{}],\"MaxAttempts\":2,\"TopK\":50,\"MinShardRatio\":0.89}}",
        services.join(",")
    )
}

fn main() {
    let journal = Journal::create();
    let deployment = Deployment::new(journal.clone());
    let list = List::start(&deployment);
    let servers = Servers::new(&journal);
    (0..SHARDS).for_each(|index| servers.start(&deployment, &list, &format!("huvo{index}"), index));
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
    let services = (0..SHARDS)
        .map(|index| service(&format!("huvo{index}")))
        .collect::<Vec<_>>()
        .join(",");
    let before = gather("r-browse", "pupu76.example", SHARDS_BEFORE);
    operator.insist(
        &voters[0],
        "PUT",
        lab::CONFIG,
        &config(1, &before, &services),
    );
    for entry in &entries {
        lab::wait_for("an entry host isn't ready", 20, || is_ready(entry));
    }
    sleep_ms(1_500);
    let mut count = 0;
    let mut ask = |entries: &[lab::Daemon]| {
        let mut lost = 0;
        for entry in entries {
            count += 1;
            let answer = send(
                &journal,
                entry.address(lab::FRONTEND),
                &format!("req-{count}"),
                "/ziti980/q",
                3_000,
            );
            lost += usize::from(answer.is_err());
        }
        lost
    };
    let mut lost = ask(&entries);
    let second = match is_calm() {
        true => "r-browse-2",
        false => "r-browse",
    };
    let routes = format!("{before},{}", gather(second, "lohu93e.example", SHARDS));
    operator.insist(
        &voters[0],
        "PUT",
        lab::CONFIG,
        &config(2, &routes, &services),
    );
    sleep_ms(1_000);
    for _ in 0..3 {
        lost += ask(&entries);
        sleep_ms(300);
    }
    let ended = entries
        .iter_mut()
        .map(|entry| entry.has_ended())
        .filter(|ended| *ended)
        .count();
    journal.note(&format!(
        "{ended} entry hosts ended by themselves, {lost} requests without an answer"
    ));
    voters.append(&mut entries);
    finish(deployment, voters, ended > 0 && lost > 0);
}
