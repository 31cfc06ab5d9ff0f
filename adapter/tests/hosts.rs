//! Tests of the settings of entry hosts and voters in a tier with discovered hosts.

use wagtailbeam_adapter::host::Settings;
use wagtailbeam_decision::load::capacity::Estimator;

/// Faults of a settings file as they are printed, none if it is valid.
fn faults(text: &str) -> Vec<String> {
    match Settings::parse(text) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(ToString::to_string).collect(),
    }
}

/// Guards against a key that is read into the wrong field or gets the wrong default.
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

/// Guards against a check that stops at the first fault, or reports one with the wrong
/// line.
#[test]
fn all_faults_are_reported_with_their_lines() {
    insta::assert_debug_snapshot!(faults(include_str!("data/host-faulty.ini")));
}

/// Guards against an entry host that doesn't start where a template renders values as empty.
#[test]
fn empty_values_of_the_quota_section_count_as_absent() {
    let text = include_str!("data/host-entry.ini");
    let empty = text.replace("overage = 0.1\nslack = 20", "window =\noverage =\nslack = ");
    let absent = text.replace("[quota]\noverage = 0.1\nslack = 20", "");
    let [empty, absent] = [empty, absent].map(|text| Settings::parse(&text).ok());
    assert!(empty.is_some());
    assert_eq!(empty, absent);
    let faulty = text.replace("overage = 0.1", "overage = much");
    assert_eq!(faults(&faulty).len(), 1);
}

/// Guards against an estimator that takes effect without the operators asking for it, and against
/// misspelt or unfinished ones.
#[test]
fn the_estimator_is_average_unless_the_settings_name_gradient() {
    let text = include_str!("data/host-entry.ini");
    let estimator = |value: &str| {
        let text = text.replace("estimator = gradient", value);
        Settings::parse(&text).map(|settings| settings.estimator)
    };
    assert_eq!(
        estimator("estimator = gradient").ok(),
        Some(Estimator::Gradient)
    );
    for value in ["estimator = average", "estimator =", ""] {
        assert_eq!(estimator(value).ok(), Some(Estimator::Average), "{value}");
    }
    let absent = text.replace("[capacity]\nestimator = gradient\n", "");
    let absent = Settings::parse(&absent).expect("valid settings");
    assert_eq!(absent.estimator, Estimator::Average);
    for value in ["concurrency", "Gradient", "gradient\nhalf_life = 2s"] {
        let text = text.replace("= gradient", &format!("= {value}"));
        assert_eq!(faults(&text).len(), 1, "{value}");
    }
}
