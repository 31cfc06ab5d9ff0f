//! What answers of servers prove.

use wagtailbeam_decision::evidence::Evidence;
use wagtailbeam_decision::evidence::Identity;

/// Guards against a request that runs twice: "not run" counts only in a failure that names the request.
#[test]
fn only_a_failure_that_names_the_request_proves_that_it_did_not_run() {
    let mut lines = Vec::new();
    for identity in [
        Identity::Own,
        Identity::Foreign,
        Identity::Missing,
        Identity::Unnamed,
    ] {
        for not_run in [false, true] {
            for success in [false, true] {
                let evidence = Evidence {
                    identity,
                    not_run,
                    success,
                };
                let says = if not_run { "not run" } else { "-" };
                let status = if success { "success" } else { "failure" };
                lines.push(format!(
                    "{identity:?} {says} {status}: {:?}",
                    evidence.proof()
                ));
            }
        }
    }
    let expected = "\
Own - failure: Answered
Own - success: Answered
Own not run failure: NotRun
Own not run success: Nothing
Foreign - failure: Nothing
Foreign - success: Nothing
Foreign not run failure: Nothing
Foreign not run success: Nothing
Missing - failure: Nothing
Missing - success: Nothing
Missing not run failure: Nothing
Missing not run success: Nothing
Unnamed - failure: Answered
Unnamed - success: Answered
Unnamed not run failure: Answered
Unnamed not run success: Answered";
    assert_eq!(lines.join("\n"), expected);
}
