//! Merging the burn ledgers of several daemons gives the same result in any order.

use wagtailbeam_decision::burn::Ledger;
use wagtailbeam_decision::burn::Subject;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::manifest::Objective;
use wagtailbeam_decision::query::Answers;
use wagtailbeam_decision::query::Reply;

use crate::check;

/// One answer: minute, number of the caller, latency in milliseconds.
type Sample = (u8, u8, u8);

fn ledger(samples: &[Sample]) -> Ledger {
    let mut ledger = Ledger::default();
    let mut samples = samples.to_vec();
    samples.sort_unstable();
    for (minute, caller, ms) in samples {
        let caller = format!("c{}", caller % 3).as_str().into();
        let subject = Subject {
            service: "desk".into(),
            caller,
        };
        let latency = Span::from_ms(u64::from(ms));
        let reply = Reply::Answers(Answers::default());
        ledger.record(
            u64::from(minute),
            subject,
            &Objective::default(),
            latency,
            &reply,
        );
    }
    ledger
}

fn merge_is_commutative(first: Vec<Sample>, second: Vec<Sample>) -> bool {
    let (first, second) = (ledger(&first), ledger(&second));
    let (mut first_merged, mut second_merged) = (first.clone(), second.clone());
    first_merged.merge(&second);
    second_merged.merge(&first);
    first_merged == second_merged
}

#[test]
fn merging_ledgers_is_commutative() {
    check(
        61,
        60,
        500,
        merge_is_commutative as fn(Vec<Sample>, Vec<Sample>) -> bool,
    );
}
