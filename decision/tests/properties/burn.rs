//! Burn: the sum over daemons doesn't depend on their order.

use wagtailbeam_decision::burn::Ledger;
use wagtailbeam_decision::burn::Subject;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::manifest::Objective;
use wagtailbeam_decision::query::Envelope;
use wagtailbeam_decision::query::Reply;

use crate::check;

/// One answer: minute, caller, latency in ms.
type Step = (u8, u8, u8);

fn ledger(steps: &[Step]) -> Ledger {
    let mut ledger = Ledger::default();
    let mut steps = steps.to_vec();
    steps.sort_unstable();
    for (minute, caller, ms) in steps {
        let caller = format!("c{}", caller % 3).as_str().into();
        let subject = Subject {
            service: "desk".into(),
            caller,
        };
        let latency = Span::from_ms(u64::from(ms));
        let reply = Reply::Envelope(Envelope::default());
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

fn merges_in_any_order(one: Vec<Step>, two: Vec<Step>) -> bool {
    let (one, two) = (ledger(&one), ledger(&two));
    let (mut forth, mut back) = (one.clone(), two.clone());
    forth.merge(&two);
    back.merge(&one);
    forth == back
}

#[test]
fn ledgers_add_up_in_any_order() {
    check(
        61,
        60,
        500,
        merges_in_any_order as fn(Vec<Step>, Vec<Step>) -> bool,
    );
}
