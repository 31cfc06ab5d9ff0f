//! A voter that was down while another one was replaced never votes again, and the group does not
//! survive the loss of two disks.

use crate::common::*;
use std::time::Duration;

/// Longest time that the operator reads back after the final fault. RecoveryS is 12 s.
const READ_BACK_MS: u64 = 30_000;
const DOWN_MS: u64 = 3_500;
const NEW_AFTER_MS: u64 = 2_000;

fn sleep(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// The version of the manifest that a voter answers with, if it does.
fn read(site: &Site, voter: usize) -> Option<u64> {
    let request = b"GET /wagtailbeam/config HTTP/1.1\r\nHost: control\r\n\r\n";
    let answer = call(site.voter(voter), request, Duration::from_secs(1));
    let status = answer.as_ref().map_or(0, Message::status);
    let body = answer
        .filter(|_| status == 200)
        .map(|a| String::from_utf8_lossy(&a.body).to_string());
    let version = body.and_then(|b| {
        b.strip_prefix("{\"Version\":")?
            .split(',')
            .next()?
            .parse()
            .ok()
    });
    site.log.add(format!(
        "read at {}: {status}, version {version:?}",
        site.machines[voter].name
    ));
    version
}

pub fn run() -> ! {
    let log = Log::new();
    // The last machine is the one that comes in place of a removed voter.
    let mut site = Site::with_spare(1, log.clone());
    let new = site.machines.len() - 1;
    let (removed, down) = (4, 0);
    for machine in 0..new {
        site.start(machine, true);
    }
    let route = "{\"Name\":\"r-1\",\"Hostname\":\"spa.example\",\"PathPrefix\":\"/voucher/\",\"Type\":\"idempotent\",\"TimeoutMs\":3000,\"TargetLatencyMs\":800,\"Priority\":2,\"Service\":\"voucher\",\"MaxAttempts\":2}";
    let text = |version| manifest(version, &[route.to_owned()], &["voucher".to_owned()]);
    if order(&site, "PUT", "/wagtailbeam/config", &text(1), &[1, 2, 3]).is_none() {
        site.give_up("the first manifest isn't accepted");
    }
    sleep(3_000);
    log.say("one voter is removed for good; an empty one comes 2 s later at another address");
    site.kill(removed);
    if trouble() {
        log.say("another voter is down for 3.5 s; it keeps its disk");
        site.kill(down);
    }
    sleep(NEW_AFTER_MS);
    site.start(new, false);
    sleep(DOWN_MS - NEW_AFTER_MS);
    if trouble() {
        site.start(down, false);
    }
    // CatchUpS is 4 s; all five machines have run for longer than that.
    sleep(12_000);
    for voter in [0, 1, 2, 3, new] {
        let version = read(&site, voter);
        log.say(format!(
            "{}: reads version {version:?}",
            site.machines[voter].name
        ));
    }
    if order(&site, "PUT", "/wagtailbeam/config", &text(2), &[1, 2, 3]).is_none() {
        site.give_up("the second manifest isn't acknowledged");
    }
    log.say("version 2 is acknowledged; two voters lose their disks and start again");
    for voter in [1, 2] {
        site.kill(voter);
        let folder = site.folder.join(&site.machines[voter].name);
        drop(std::fs::remove_dir_all(folder));
    }
    sleep(1_000);
    for voter in [1, 2] {
        site.start(voter, false);
    }
    let until = log.now() + READ_BACK_MS;
    let mut found = None;
    while found.is_none() && log.now() < until {
        for voter in [0, 1, 2, 3, new] {
            found = found.or(read(&site, voter));
        }
        sleep(300);
    }
    if let Some(ended) = site.ended() {
        site.log.say(ended);
    }
    match found {
        Some(version) => log.say(format!("read back: version {version}")),
        None => log.say(
            "read back: no daemon answers with a manifest, 30 s after the last machine was back",
        ),
    }
    site.end(i32::from(found != Some(2)))
}
