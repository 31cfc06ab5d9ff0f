//! Steps of a rollout in progress.
//!
//! For three quarters of the time the new version gets less than a third of the share that a bad
//! one may get. Most of the rest is spent on a short ramp at the end: the exposure of each stage is
//! a fixed fraction of the whole time, whatever the traffic, so that the sum stays within the
//! share also if traffic can't be predicted.
//!
//! Each route has to give evidence: one that is in doubt holds the ramp or takes the rollout back
//! to it, however good the answers of the other routes are.

use crate::clock::Span;
use crate::rollout::Phase;
use crate::rollout::Record;
use crate::rollout::Settings;
use crate::rollout::Stage;
use crate::rollout::Step;
use crate::rollout::evidence::Pair;
use crate::rollout::evidence::Sums;
use crate::rollout::evidence::total;
use crate::rollout::statistic;
use crate::rollout::statistic::Evidence;

/// Share at the beginning, in thousandths.
pub const FIRST_SHARE: u32 = 30;

/// Part of the allowed share that the canary gets.
const CANARY_PART: f64 = 0.4;

/// Part of the slack that the canary gets in addition.
const SLACK_PART: f64 = 0.4;

/// Largest share of the canary at low traffic, so that the old version can be compared.
const CANARY_MAX: f64 = 0.5;

/// Time before the first change of the canary's share.
const RATE_AFTER: Span = Span::from_ms(3_000);

/// Time between two steps that only record the time in progress.
const RECORD_EVERY: Span = Span::from_ms(5_000);

/// Part of the duration until the ramp begins.
const CANARY_TIME: f64 = 0.72;

/// Answers of the new version from which its evidence suffices for the ramp.
const ANSWERS_MIN: f64 = 20.0;

/// Part of the expected answers that suffices at low traffic.
const ANSWERS_PART: f64 = 0.33;

/// Strength of the evidence from which no further stage begins.
const STRENGTH_MAX: f64 = 0.3;

/// The same late in the rollout.
const STRENGTH_MAX_LATE: f64 = 0.5;

/// Part of the duration from which it is late.
const LATE: f64 = 0.85;

/// Part of the duration that a stage after the canary takes, at most and for
/// [`STAGE_TIME_MAX`] or less.
const STAGE_TIME: f64 = 0.02;

/// Longest time of a stage after the canary.
const STAGE_TIME_MAX: Span = Span::from_ms(3_000);

/// Shortest time of a stage after the canary, so that its counts are known before the last one
/// ends; also at most [`STAGE_PART_MAX`] of the duration.
const STAGE_TIME_MIN: Span = Span::from_ms(1_000);

/// Largest part of the duration that a stage takes.
const STAGE_PART_MAX: f64 = 0.035;

/// Part of the slack that a stage after the canary may use to last longer at low traffic.
const STAGE_SLACK_PART: f64 = 0.12;

/// Doubt in a route (see [`statistic::doubt`]) up to which its evidence suffices.
const DOUBT_SUFFICIENT: f64 = -4.0;

/// Doubt in a route with failures up to which the traffic is raised further.
const DOUBT_MAX: f64 = 2.0;

/// Part of the duration up to which the ramp waits for evidence from each route, so that the
/// stages after it end in time.
const WAIT_UNTIL: f64 = 0.83;

/// What a step is decided on.
#[derive(Clone, Debug)]
pub struct Situation<'a> {
    /// Time in progress.
    pub elapsed: Span,
    /// Time since the deciding voter learned of the last step.
    pub in_step: Span,
    /// Sums since the rollout began.
    pub sums: &'a Sums,
    /// The strongest evidence against the new version.
    pub evidence: &'a Evidence,
    /// Whether the list has a replica of the new version that takes work.
    pub has_replicas: bool,
    /// Whether all hosts in contact follow the newest orders.
    pub all_follow: bool,
}

/// Length of a stage after the canary: a part of the duration, and longer at low traffic, until the
/// new version has had a few requests.
fn stage_time(record: &Record, settings: &Settings, situation: &Situation) -> Span {
    let duration = record.duration.as_us() as f64;
    let most = duration * STAGE_PART_MAX;
    let least = (STAGE_TIME_MIN.as_us() as f64).min(most);
    let planned = duration * STAGE_TIME;
    let planned = planned.clamp(least, (STAGE_TIME_MAX.as_us() as f64).max(least));
    let Pair { old, new } = total(situation.sums);
    let sent = (old.sent + new.sent).max(1) as f64 * f64::from(record.share) / 1_000.0;
    let passed = situation.elapsed.as_us() as f64;
    let wanted = settings.canary_slack * STAGE_SLACK_PART / sent * passed;
    Span::from_us(wanted.min(most).max(planned) as u64)
}

/// Share of a stage after the canary, in thousandths.
fn stage_share(stage: Stage) -> u32 {
    match stage {
        Stage::Canary => FIRST_SHARE,
        Stage::Ramp => 200,
        Stage::Half => 500,
        Stage::Full | Stage::Closing => 1_000,
    }
}

/// The canary's share in thousandths: a part of the allowed share, and at low traffic a part of the
/// slack, spread evenly over the time until the ramp.
fn canary_share(record: &Record, settings: &Settings, situation: &Situation) -> u32 {
    let base = settings.canary_share * CANARY_PART;
    let Pair { old, new } = total(situation.sums);
    let sent = (old.sent + new.sent) as f64;
    let passed = situation.elapsed.as_us().max(1) as f64;
    let canary_us = record.duration.as_us() as f64 * CANARY_TIME;
    let expected = (sent / passed * canary_us).max(1.0);
    let share = base + settings.canary_slack * SLACK_PART / expected;
    (share.min(CANARY_MAX.max(base)) * 1_000.0) as u32
}

/// The next step of a rollout in progress, if one is due.
pub fn decide(record: &Record, settings: &Settings, situation: &Situation) -> Option<Step> {
    let step = |phase, stage, share| Step {
        phase,
        stage,
        share,
        elapsed: situation.elapsed,
    };
    let rollback = step(Phase::RolledBack, record.stage, 0);
    if situation.evidence.is_clear() {
        return Some(rollback);
    }
    if situation.elapsed >= record.duration {
        let last = matches!(record.stage, Stage::Full | Stage::Closing);
        let last = last && !has_doubtful_route(situation);
        return match last {
            false => Some(rollback),
            true => next_stage(record, settings, situation, step),
        };
    }
    match record.stage {
        Stage::Canary => canary_step(record, settings, situation, step),
        _ => next_stage(record, settings, situation, step),
    }
}

/// A step of the canary: the ramp begins, the share changes, or the time in progress is recorded.
fn canary_step(
    record: &Record,
    settings: &Settings,
    situation: &Situation,
    step: impl Fn(Phase, Stage, u32) -> Step,
) -> Option<Step> {
    let canary_us = (record.duration.as_us() as f64 * CANARY_TIME) as u64;
    if situation.elapsed.as_us() >= canary_us && may_ramp(record, situation) {
        let share = stage_share(Stage::Ramp).max(record.share);
        return Some(step(Phase::InProgress, Stage::Ramp, share));
    }
    let share = match situation.elapsed >= RATE_AFTER {
        true => canary_share(record, settings, situation),
        false => record.share,
    };
    let since = situation.elapsed.saturating_sub(record.elapsed);
    let first = record.elapsed < RATE_AFTER && situation.elapsed >= RATE_AFTER;
    (first || since >= RECORD_EVERY).then(|| step(Phase::InProgress, Stage::Canary, share))
}

/// Whether the new version has given enough good answers for the ramp.
fn may_ramp(record: &Record, situation: &Situation) -> bool {
    let Pair { old, new } = total(situation.sums);
    let expected = (old.sent + new.sent) as f64 * f64::from(record.share) / 1_000.0;
    let needed = (expected * ANSWERS_PART).floor().min(ANSWERS_MIN);
    let answers = new.ended.saturating_sub(new.failed) as f64;
    situation.has_replicas && answers >= needed && !is_suspected(record, situation)
}

/// Whether the evidence against the new version is too strong for a further stage.
fn is_suspected(record: &Record, situation: &Situation) -> bool {
    let late = situation.elapsed.as_us() as f64 >= record.duration.as_us() as f64 * LATE;
    let limit = if late {
        STRENGTH_MAX_LATE
    } else {
        STRENGTH_MAX
    };
    situation.evidence.strength() >= limit
}

/// Whether the failures on a route fit a bad version better than a good one, though they prove
/// nothing. Good answers of other routes don't count.
fn has_doubtful_route(situation: &Situation) -> bool {
    let mut routes = situation.sums.values();
    routes.any(|pair| pair.new.failed > 0 && statistic::doubt(pair) > DOUBT_MAX)
}

/// Whether the ramp waits for more answers on a route. It does so only as long as the rollout can
/// still end in time, since a route with hardly any requests never gives enough.
fn waits_for_route(record: &Record, situation: &Situation) -> bool {
    let elapsed = situation.elapsed.as_us() as f64;
    let may_wait = elapsed < record.duration.as_us() as f64 * WAIT_UNTIL;
    let mut routes = situation.sums.values();
    let lacks = routes.any(|pair| statistic::doubt(pair) > DOUBT_SUFFICIENT);
    record.stage == Stage::Ramp && may_wait && lacks
}

/// The next stage after the canary, if its time has come.
fn next_stage(
    record: &Record,
    settings: &Settings,
    situation: &Situation,
    step: impl Fn(Phase, Stage, u32) -> Step,
) -> Option<Step> {
    let passed = situation.in_step;
    let length = stage_time(record, settings, situation);
    let suspected = is_suspected(record, situation);
    if passed < length || !situation.has_replicas {
        return None;
    }
    if suspected && passed < length.saturating_mul(2) {
        return None;
    }
    if waits_for_route(record, situation) {
        return None;
    }
    if has_doubtful_route(situation) {
        let back = step(Phase::InProgress, Stage::Ramp, stage_share(Stage::Ramp));
        return (record.stage > Stage::Ramp).then_some(back);
    }
    let next = match record.stage {
        Stage::Canary | Stage::Ramp => Stage::Half,
        Stage::Half => Stage::Full,
        Stage::Full => Stage::Closing,
        Stage::Closing => {
            let done = situation.all_follow || passed >= length.saturating_mul(4);
            return done.then(|| step(Phase::Completed, Stage::Closing, 1_000));
        }
    };
    let share = stage_share(next).max(record.share);
    Some(step(Phase::InProgress, next, share))
}
