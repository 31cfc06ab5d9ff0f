//! Rollouts in a tier of several entry hosts and voters, in virtual time. Voters and hosts are
//! killed, restarted and cut off.

use std::collections::BTreeMap;

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::command::Command;
use wagtailbeam_decision::command::Outcome;
use wagtailbeam_decision::fleet::Versions;
use wagtailbeam_decision::rollout::Phase;
use wagtailbeam_decision::rollout::Stage;
use wagtailbeam_decision::tier::Verdict;

use crate::rollout_model::DURATION;
use crate::rollout_model::Tier;
use crate::rollout_model::fleet;

/// Without a rollout, versions don't matter.
#[test]
fn both_versions_are_used_without_a_rollout() {
    let tier = Tier::new(0.0, 1);
    let (old, new) = tier.count(Time::default(), |_| true);
    assert!(old > 20 && new > 20, "{old} {new}");
}

/// On completion the old replicas stop at once.
#[test]
fn a_good_version_gets_all_traffic_before_its_rollout_is_completed() {
    let mut tier = Tier::new(0.0, 2);
    tier.begin();
    let began = tier.group.now;
    tier.run(Span::from_secs(1));
    let settled = tier.group.now;
    tier.run(Span::from_secs(10));
    let (old, new) = tier.count(settled, |_| true);
    assert!(new > 5 && new * 4 < old, "{old} {new}");
    while tier.record(2).phase == Phase::InProgress {
        tier.run(Span::from_ms(100));
        assert!(tier.group.now.since(began) < DURATION, "not in time");
    }
    let completed = tier.group.now;
    assert_eq!(tier.record(4).phase, Phase::Completed);
    tier.run(Span::from_secs(5));
    let (old, new) = tier.count(completed, |_| true);
    assert!(old == 0 && new > 100, "{old} {new}");
}

#[test]
fn a_bad_version_is_rolled_back_and_stays_out() {
    let mut tier = Tier::new(0.9, 3);
    tier.begin();
    let began = tier.group.now;
    tier.run(Span::from_secs(15));
    assert_eq!(tier.record(3).phase, Phase::RolledBack);
    let exposure = tier.count(began, |_| true).1;
    assert!(exposure <= 50, "{exposure}");
    let since = tier.group.now;
    tier.restart_hosts();
    tier.run(Span::from_secs(1));
    let restarted = tier.group.now;
    tier.run(Span::from_secs(5));
    assert_eq!(tier.count(restarted, |_| true).1, 0);
    assert!(tier.count(since, |_| true).0 > 0);
    let again = tier.order("v2");
    tier.run(Span::from_ms(300));
    let answer = tier.group.answers.get(&again);
    assert_eq!(answer, Some(&Outcome::Done(Verdict::Done)));
    assert_eq!(tier.record(0).phase, Phase::RolledBack);
}

/// The next voter must decide from the state, whether the step was confirmed or not.
#[test]
fn a_voter_killed_between_a_step_and_its_confirmation_does_not_stop_the_rollout() {
    for killed_after in [0, 5, 10, 15] {
        let mut tier = Tier::new(0.0, 4 + killed_after);
        tier.begin();
        let began = tier.group.now;
        let serial = tier.record(1).serial;
        // The voter of the lowest id decides; it is killed while its next step is under way.
        tier.run(Span::from_ms(2_600 + killed_after));
        tier.group.crash(0);
        tier.run(Span::from_secs(5));
        assert!(tier.record(1).serial > serial);
        tier.run(DURATION.saturating_sub(tier.group.now.since(began)));
        assert_eq!(tier.record(2).phase, Phase::Completed, "{killed_after}");
    }
}

/// Slow disks or a short loss of the majority delay the decision on a step. The time limit of the
/// operator does not wait for it.
#[test]
fn the_time_in_progress_goes_on_while_a_step_is_being_decided() {
    let mut tier = Tier::new(0.0, 14);
    tier.begin();
    let began = tier.group.now;
    tier.run(Span::from_ms(2_600));
    tier.group.set_isolated(&[2, 3, 4], true);
    tier.run(Span::from_secs(2));
    tier.group.set_isolated(&[2, 3, 4], false);
    tier.run(Span::from_secs(2));
    let serial = tier.record(0).serial;
    while tier.record(0).serial == serial {
        assert!(tier.group.now.since(began) < DURATION, "no further step");
    }
    let passed = tier.group.now.since(began);
    let lag = passed.saturating_sub(tier.record(0).elapsed);
    assert!(lag < Span::from_secs(1), "{lag:?} behind");
}

/// Counts are lost, and the share must stay at the value in the state.
#[test]
fn restarted_hosts_keep_the_share_and_collect_evidence_anew() {
    let mut tier = Tier::new(0.0, 9);
    tier.begin();
    tier.run(Span::from_secs(8));
    tier.restart_hosts();
    tier.run(Span::from_secs(1));
    let since = tier.group.now;
    tier.run(Span::from_secs(6));
    let (old, new) = tier.count(since, |_| true);
    assert!(new * 4 < old, "{old} {new}");
    tier.failing = 0.9;
    let bad = tier.group.now;
    tier.run(Span::from_secs(10));
    assert_eq!(tier.record(2).phase, Phase::RolledBack);
    assert!(tier.count(bad, |_| true).1 <= 50);
}

/// The whole tier loses power; what was acknowledged must survive.
#[test]
fn a_rollout_survives_a_power_loss_of_all_hosts() {
    let mut tier = Tier::new(0.0, 10);
    tier.begin();
    tier.run(Span::from_secs(6));
    let before = tier.record(0);
    (0..5).for_each(|at| tier.group.crash(at));
    tier.restart_hosts();
    tier.run(Span::from_secs(1));
    (0..5).for_each(|at| tier.group.start(at));
    tier.run(Span::from_secs(4));
    let after = tier.record(3);
    assert_eq!((after.id, &after.target), (before.id, &before.target));
    assert!(after.serial >= before.serial && after.elapsed >= before.elapsed);
    tier.run(DURATION);
    assert_eq!(tier.record(1).phase, Phase::Completed);
}

/// Only the old version is proven; a host that may have missed a rollback must return to it.
#[test]
fn a_host_out_of_contact_falls_back_to_the_old_version() {
    let mut tier = Tier::new(0.0, 11);
    tier.begin();
    while tier.record(1).stage < Stage::Half {
        tier.run(Span::from_ms(50));
    }
    tier.hosts[5].cut_off = true;
    tier.run(Span::from_ms(1_600));
    let since = tier.group.now;
    tier.run(Span::from_secs(3));
    let (old, new) = tier.count(since, |host| host == 5);
    assert!(old > 20 && new == 0, "{old} {new}");
    // The others go on without it.
    tier.run(Span::from_secs(5));
    assert_eq!(tier.record(1).phase, Phase::Completed);
}

/// An answer from a voter that may not know the newest state could be wrong.
#[test]
fn a_voter_without_a_majority_does_not_tell_the_state() {
    let mut tier = Tier::new(0.0, 12);
    tier.begin();
    tier.group.set_isolated(&[4], true);
    tier.run(Span::from_secs(2));
    let read = tier.group.command(4, Command::Read);
    tier.run(Span::from_secs(2));
    assert_eq!(tier.group.answers.get(&read), Some(&Outcome::Unknown));
    let other = tier.order("v3");
    tier.run(Span::from_ms(300));
    let answer = tier.group.answers.get(&other);
    assert_eq!(answer, Some(&Outcome::Done(Verdict::Conflict)));
}

/// Two runs of a model whose voters have no rollout must not differ in any call, whether replicas
/// have versions or not: no random number may be drawn.
#[test]
fn versions_change_nothing_without_a_rollout() {
    let run = |versions: Versions| {
        let mut tier = Tier::new(0.0, 13);
        tier.calls.clear();
        tier.group.fleet = Some(fleet().with_versions(versions));
        tier.restart_hosts();
        tier.run(Span::from_secs(5));
        let calls = tier.calls.iter();
        calls
            .map(|call| (call.at, call.host, call.is_new))
            .collect::<Vec<_>>()
    };
    let counts = run(fleet().versions);
    assert_eq!(counts, run(Versions::new()));
    let by_version = counts
        .iter()
        .fold(BTreeMap::new(), |mut sums, (_, _, new)| {
            *sums.entry(*new).or_insert(0) += 1;
            sums
        });
    assert_eq!(by_version.len(), 2);
}
