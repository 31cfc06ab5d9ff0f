//! Case 6: a voter whose disk is full decides a change and loses power. After its restart it gives
//! the number of that ballot to another change.

#[path = "lab.rs"]
#[allow(dead_code)]
mod lab;

use lab::Deployment;
use lab::Journal;
use lab::List;
use lab::Operator;
use lab::config;
use lab::finish;
use lab::give_up;
use lab::is_calm;
use lab::sleep_ms;

/// `ConfigApplyMs` of the deployment, in milliseconds.
const CONFIG_APPLY_MS: u64 = 3_000;

/// Times that each voter is asked for the configuration.
const READ_ROUNDS: usize = 6;

/// A configuration with some routes.
fn document(version: u64) -> String {
    let route = |index: u64| {
        format!(
            "{{\"Name\":\"r-{index}\",\"Hostname\":\"pupu76.example\",\"PathPrefix\":\"/timi{index}/\",\
             \"Type\":\"idempotent\",\"TimeoutMs\":{},\"TargetLatencyMs\":800,\"Priority\":2,\
             \"Service\":\"kafi81c\",\"MaxAttempts\":2}}",
            15_000 + version
        )
    };
    let routes = (0..8).map(route).collect::<Vec<_>>().join(",");
    config(version, &routes, &lab::service("kafi81c"))
}

fn main() {
    let journal = Journal::create();
    let deployment = Deployment::new(journal.clone());
    let _list = List::start(&deployment);
    let mut voters = (0..lab::VOTERS)
        .map(|index| deployment.voter(index))
        .collect::<Vec<_>>();
    voters.iter_mut().for_each(|voter| voter.start());
    let operator = Operator {
        journal: journal.clone(),
    };
    sleep_ms(2_000);
    for voter in &voters {
        lab::wait_for("a voter doesn't vote", 20, || {
            operator.order(voter, "PUT", lab::CONFIG, &document(1)) == 200
        });
        voter.write_settings(&deployment, false);
    }
    let last = voters.len() - 1;
    let first = 0;
    sleep_ms(1_000);
    if !is_calm() {
        let size = voters[first].largest_file();
        voters[first].fill_disk(size + 16);
        journal.note(&format!("the disk of {} is full", voters[first].name));
    }
    operator.insist(&voters[first], "PUT", lab::CONFIG, &document(2));
    sleep_ms(20);
    if !is_calm() {
        voters[first].kill();
        journal.note(&format!("{} is killed", voters[first].name));
        sleep_ms(1_000);
        voters[first].start();
        journal.note(&format!(
            "{} is started again; its disk has room",
            voters[first].name
        ));
        sleep_ms(1_500);
    }
    voters[last].stop();
    journal.note(&format!("{} is stopped", voters[last].name));
    operator.insist(&voters[first], "PUT", lab::CONFIG, &document(3));
    sleep_ms(300);
    voters[last].start();
    journal.note(&format!("{} is started again", voters[last].name));
    sleep_ms(CONFIG_APPLY_MS + 3_000);
    let mut broken = false;
    for _ in 0..READ_ROUNDS {
        for voter in voters.iter().rev() {
            if let Some(version) = operator.read(voter)
                && version < 3
            {
                journal.note(&format!(
                    "{} returns version {version} after the acknowledgement of version 3",
                    voter.name
                ));
                broken = true;
            }
        }
    }
    if operator.read(&voters[last]).is_none() {
        give_up("no configuration is returned");
    }
    operator.insist(&voters[last], "POST", "/wagtailbeam/evacuations/be-zav", "");
    sleep_ms(500);
    for voter in &voters {
        broken |= operator.read(voter).is_some_and(|version| version < 3);
    }
    finish(deployment, voters, broken);
}
