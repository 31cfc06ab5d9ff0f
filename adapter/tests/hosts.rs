//! Settings of processes in a tier with discovered hosts.

use wagtailbeam_adapter::host::Settings;

fn faults(text: &str) -> Vec<String> {
    match Settings::parse(text) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn valid_settings_are_parsed() {
    let entry = Settings::parse(include_str!("data/host-entry.ini"));
    let voter = Settings::parse(include_str!("data/host-voter.ini"));
    let (entry, voter) = (
        entry.expect("valid settings"),
        voter.expect("valid settings"),
    );
    insta::assert_debug_snapshot!((entry, voter));
}

#[test]
fn all_faults_are_reported_with_their_lines() {
    insta::assert_debug_snapshot!(faults(include_str!("data/host-faulty.ini")));
}
