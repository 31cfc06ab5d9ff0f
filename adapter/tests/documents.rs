//! Settings, the operators' file and the event catalogue against their documents.

#![expect(clippy::unwrap_used, reason = "a failed step is a failed test")]

use std::collections::BTreeSet;

use wagtailbeam_adapter::event::Event;
use wagtailbeam_adapter::settings::Config;
use wagtailbeam_decision::parse;

fn data(name: &str) -> String {
    std::fs::read_to_string(format!("tests/data/{name}")).unwrap()
}

fn read_key(file: &str) -> Result<Vec<u8>, String> {
    match file {
        "short.key" => Ok(b"short".to_vec()),
        "peer.key" => Ok(b"a shared key of the peers".to_vec()),
        other => Err(format!("{other}: no such file")),
    }
}

#[test]
fn all_faults_of_settings_are_named() {
    let faults = Config::parse(&data("settings-faulty.ini"), read_key).unwrap_err();
    let lines = faults.iter().map(ToString::to_string).collect::<Vec<_>>();
    insta::assert_snapshot!("settings_faults", lines.join("\n"));
}

#[test]
fn good_settings_are_read() {
    let config = Config::parse(&data("settings-good.ini"), read_key).unwrap();
    assert_eq!(&*config.host, "entry-1");
    assert_eq!(config.voters.len(), 3);
    assert!(config.is_voter());
}

#[test]
fn all_faults_of_a_file_are_named() {
    let faults = parse::manifest(&data("manifest-faulty.ini")).unwrap_err();
    let lines = faults.iter().map(ToString::to_string).collect::<Vec<_>>();
    insta::assert_snapshot!("manifest_faults", lines.join("\n"));
}

#[test]
fn the_example_files_have_no_faults() {
    for (name, services) in [("loungepass.ini", 4), ("freshwater.ini", 4)] {
        let text = std::fs::read_to_string(format!("../examples/{name}")).unwrap();
        let manifest = parse::manifest(&text).unwrap_or_else(|faults| panic!("{name}: {faults:?}"));
        assert_eq!(manifest.services.len(), services, "{name}");
        assert_eq!(manifest.domains.len(), 3, "{name}");
    }
}

#[test]
fn the_catalogue_names_every_event() {
    let catalogue = std::fs::read_to_string("../docs/EVENTS.md").unwrap();
    for event in Event::ALL {
        let row = format!("| {} | {} | {event} |", event.number(), event.level());
        assert!(catalogue.contains(&row), "docs/EVENTS.md lacks: {row}");
    }
    let (fixed, discovered) = catalogue.split_once("## Discovered tiers").unwrap();
    assert_eq!(rows(fixed).count(), Event::ALL.len());
    let listed = rows(discovered).flat_map(numbers).collect::<BTreeSet<_>>();
    assert_eq!(listed, logged());
}

fn rows(text: &str) -> impl Iterator<Item = &str> {
    text.lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit())
}

/// The numbers in the first column of a row.
fn numbers(row: &str) -> Vec<u32> {
    let column = row.split('|').nth(1).unwrap_or_default();
    column
        .split(',')
        .map(|number| number.trim().parse().unwrap())
        .collect()
}

/// The numbers from 700 on that the sources log.
fn logged() -> BTreeSet<u32> {
    let files = std::fs::read_dir("src").unwrap();
    let texts = files.map(|file| std::fs::read_to_string(file.unwrap().path()).unwrap());
    let texts = texts.collect::<Vec<_>>();
    let numbers = texts.iter().flat_map(|text| text.split("event = ").skip(1));
    let numbers = numbers.filter_map(|rest| rest.get(..3)?.parse().ok());
    numbers.filter(|number| *number >= 700).collect()
}
