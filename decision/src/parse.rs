//! Parses the operators' file from INI text into a [`Manifest`], or returns all its
//! faults.
//!
//! The operators' client checks a file with this parser, and each daemon parses the
//! version that is in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::account::Account;
use crate::account::Directory;
use crate::clock::Span;
use crate::ini::Document;
use crate::ini::Result;
use crate::ini::Section;
use crate::ini::from_str;
use crate::ini::in_range;
use crate::ini::ratio;
use crate::ini::span;
use crate::manifest::Hedge;
use crate::manifest::Host;
use crate::manifest::Limits;
use crate::manifest::Manifest;
use crate::manifest::Objective;
use crate::manifest::Replica;
use crate::manifest::Service;
use crate::manifest::Shard;
use crate::manifest::State;
use crate::name::Name;

/// Upper limit on the replicas of one shard.
const REPLICAS_MAX: usize = 8;

/// Sections allowed in the file, as faults list them.
const SECTIONS: &str = "manifest, domain NAME, host NAME, caller NAME, service NAME";

/// Keys allowed in a service's section, as faults list them.
const SERVICE_KEYS: &str = "slots, connections, connect_cost, cold_limit, warmup, deadline, \
    deadline_max, priority, min_coverage, hedge_quantile, hedge_budget, \
    objective_latency, objective_coverage, objective_target, shard.NAME";

/// Parses the text of an operators' file.
///
/// # Errors
///
/// All faults of the text, in the order of their lines.
///
/// # Examples
///
/// ```
/// let faults = wagtailbeam_decision::parse::manifest("[manifest]\nversion = x\n").unwrap_err();
/// assert_eq!(faults[0].line, 2);
/// ```
pub fn manifest(text: &str) -> Result<Manifest> {
    let mut document = Document::parse(text);
    let mut header = document.take_one("manifest");
    let version = header.required(&mut document, "version", "1 or more", in_range(1, u64::MAX));
    document.reject_unknown_keys(header, "version");
    let domains = parse_named(&mut document, "domain", parse_domain);
    let hosts = parse_named(&mut document, "host", parse_host);
    let callers = parse_named(&mut document, "caller", parse_caller);
    let services = parse_named(&mut document, "service", parse_service);
    let services = services
        .into_iter()
        .map(|(name, _, service)| (name, service))
        .collect();
    let manifest = Manifest {
        version: version.unwrap_or_default(),
        domains: domains
            .into_iter()
            .map(|(name, _, state)| (name, state))
            .collect(),
        hosts: hosts
            .into_iter()
            .map(|(name, _, host)| (name, host))
            .collect(),
        callers: check_callers(&mut document, callers, &services),
        services,
    };
    check_references(&mut document, &manifest, text);
    document.finish(Some(manifest), SECTIONS)
}

/// Name, line of the heading and value of each section of one kind.
type Named<T> = Vec<(Name, usize, T)>;

/// Parses all sections of a kind with `parse`, which returns the value and the allowed
/// keys.
fn parse_named<T>(
    document: &mut Document,
    kind: &str,
    parse: impl Fn(&mut Document, &mut Section, &Name) -> (Option<T>, &'static str),
) -> Named<T> {
    let mut values = Vec::new();
    for mut section in document.take_all(kind) {
        let line = section.line;
        let Some(name) = Name::parse(&section.name) else {
            let cause = format!("expected [{kind} NAME] with letters, digits, '-', '_', '.'");
            document.add_fault(line, &section.name, &cause);
            continue;
        };
        let (value, allowed) = parse(document, &mut section, &name);
        document.reject_unknown_keys(section, allowed);
        values.extend(value.map(|value| (name, line, value)));
    }
    values
}

fn parse_state(text: &str) -> Option<State> {
    match text {
        "in" => Some(State::In),
        "out" => Some(State::Out),
        _ => None,
    }
}

fn parse_domain(
    document: &mut Document,
    section: &mut Section,
    _: &Name,
) -> (Option<State>, &'static str) {
    (
        section.required(document, "state", "in, out", parse_state),
        "state",
    )
}

fn parse_host(
    document: &mut Document,
    section: &mut Section,
    _: &Name,
) -> (Option<Host>, &'static str) {
    let domain = section.required(document, "domain", "a failure domain's name", Name::parse);
    let state = section
        .optional(document, "state", "in, out", parse_state)
        .unwrap_or_default();
    (domain.map(|domain| Host { domain, state }), "domain, state")
}

fn parse_names(text: &str) -> Option<Vec<Name>> {
    text.split(',')
        .map(|part| Name::parse(part.trim()))
        .collect()
}

fn parse_caller(
    document: &mut Document,
    section: &mut Section,
    name: &Name,
) -> (Option<Account>, &'static str) {
    const DIGEST: &str = "the BLAKE3 digest of the key in 64 hexadecimal digits";
    let key = section.required(document, "key_digest", DIGEST, from_str);
    let services = section.required(
        document,
        "services",
        "names, separated by commas",
        parse_names,
    );
    let weight = section.optional(document, "weight", "1 to 1000", in_range(1, 1_000));
    let caller = key.zip(services).map(|(key, services)| Account {
        name: name.clone(),
        keys: vec![key],
        services,
        weight: weight.map(|weight| weight as u32),
        ..Account::default()
    });
    (caller, "key_digest, services, weight")
}

fn parse_service(
    document: &mut Document,
    section: &mut Section,
    name: &Name,
) -> (Option<Service>, &'static str) {
    let limits = parse_limits(document, section);
    let deadline = section.optional(document, "deadline", "a time such as 500ms", positive_span);
    let deadline = deadline.unwrap_or(Span::from_ms(500));
    let line = section.line;
    let deadline_max =
        section.optional(document, "deadline_max", "a time such as 2s", positive_span);
    let deadline_max = deadline_max.unwrap_or(deadline.max(Span::from_secs(2)));
    if deadline_max < deadline {
        document.add_fault(
            line,
            &section.key_path("deadline_max"),
            "shorter than deadline",
        );
    }
    let priority = section.optional(document, "priority", "0 to 9", in_range(0, 9));
    let min_coverage = section.optional(document, "min_coverage", "0 to 1", ratio);
    let service = Service {
        name: name.clone(),
        shards: parse_shards(document, section),
        limits,
        deadline,
        deadline_max,
        priority: priority.map_or(5, |priority| priority as u8),
        min_coverage: min_coverage.unwrap_or_default(),
        hedge: parse_hedge(document, section),
        objective: parse_objective(document, section),
    };
    (Some(service), SERVICE_KEYS)
}

fn positive_span(text: &str) -> Option<Span> {
    span(text).filter(|span| *span > Span::ZERO)
}

fn parse_limits(document: &mut Document, section: &mut Section) -> Limits {
    let line = section.line;
    let defaults = Limits::default();
    let mut count = |document: &mut Document, key: &str, default: u32| {
        let value = section.optional(document, key, "1 to 10000", in_range(1, 10_000));
        value.map_or(default, |value| value as u32)
    };
    let slots = count(document, "slots", defaults.slots);
    let connections = count(document, "connections", defaults.connections);
    let cold_limit = count(document, "cold_limit", defaults.cold_limit);
    let connect_cost = section.optional(document, "connect_cost", "a time such as 6ms", span);
    let warmup = section.optional(document, "warmup", "a time such as 5s", span);
    if connections < slots {
        document.add_fault(
            line,
            &section.key_path("connections"),
            "fewer connections than slots",
        );
    }
    if cold_limit > slots {
        document.add_fault(line, &section.key_path("cold_limit"), "more than slots");
    }
    Limits {
        slots,
        connections,
        cold_limit,
        connect_cost: connect_cost.unwrap_or(defaults.connect_cost),
        warmup: warmup.unwrap_or(defaults.warmup),
    }
}

fn parse_hedge(document: &mut Document, section: &mut Section) -> Hedge {
    let defaults = Hedge::default();
    let parse_quantile = |text: &str| ratio(text).filter(|value| (0.5..1.0).contains(value));
    let quantile = section.optional(document, "hedge_quantile", "0.5 to below 1", parse_quantile);
    let budget = section.optional(document, "hedge_budget", "0 to 1", ratio);
    Hedge {
        quantile: quantile.unwrap_or(defaults.quantile),
        budget: budget.unwrap_or(defaults.budget),
    }
}

fn parse_objective(document: &mut Document, section: &mut Section) -> Objective {
    let defaults = Objective::default();
    let parse_target = |text: &str| ratio(text).filter(|value| *value > 0.0 && *value < 1.0);
    let latency = section.optional(
        document,
        "objective_latency",
        "a time such as 73ms",
        positive_span,
    );
    let coverage = section.optional(document, "objective_coverage", "0 to 1", ratio);
    let target = section.optional(
        document,
        "objective_target",
        "above 0 and below 1",
        parse_target,
    );
    Objective {
        latency: latency.unwrap_or(defaults.latency),
        coverage: coverage.unwrap_or(defaults.coverage),
        target: target.unwrap_or(defaults.target),
    }
}

fn parse_shards(document: &mut Document, section: &mut Section) -> Vec<Shard> {
    const ALLOWED: &str = "1 to 8 replicas as IP:PORT@DOMAIN, separated by commas";
    let mut shards = Vec::new();
    for (name, value, line) in section.take_prefixed("shard.") {
        let replicas = value
            .split(',')
            .map(|part| parse_replica(part.trim()))
            .collect();
        let replicas: Option<Vec<Replica>> = replicas;
        let replicas = replicas.filter(|replicas| replicas.len() <= REPLICAS_MAX);
        match Name::parse(&name).zip(replicas) {
            Some((name, replicas)) => shards.push(Shard { name, replicas }),
            None => document.add_fault(line, &section.key_path(&format!("shard.{name}")), ALLOWED),
        }
    }
    if shards.is_empty() {
        document.add_fault(
            section.line,
            &section.key_path("shard.NAME"),
            "at least one shard is needed",
        );
    }
    shards
}

fn parse_replica(text: &str) -> Option<Replica> {
    let (address, domain) = text.split_once('@')?;
    Some(Replica {
        address: from_str(address)?,
        domain: Name::parse(domain)?,
    })
}

/// Records a fault for each caller whose key is another caller's as well, and for each service of
/// a caller that is not declared. Returns the callers; none if their names or keys conflict, which
/// are faults of the file.
fn check_callers(
    document: &mut Document,
    callers: Named<Account>,
    services: &BTreeMap<Name, Service>,
) -> Directory {
    let mut keys = BTreeSet::new();
    for (name, line, caller) in &callers {
        if !caller.keys.iter().all(|key| keys.insert(*key)) {
            let cause = "another caller has the same key digest";
            document.add_fault(*line, &format!("[caller {name}] key_digest"), cause);
        }
    }
    for (name, line, caller) in &callers {
        let unknown = caller.services.iter();
        for service in unknown.filter(|service| !services.contains_key(*service)) {
            let cause = format!("service '{service}' is not declared");
            document.add_fault(*line, &format!("[caller {name}] services"), &cause);
        }
    }
    let callers = callers.into_iter().map(|(_, _, caller)| caller);
    Directory::new(callers).unwrap_or_default()
}

/// Records a fault for each name that is used but not declared, and for each replica
/// address that is listed more than once.
fn check_references(document: &mut Document, manifest: &Manifest, text: &str) {
    let line_of = |needle: &str| {
        let index = text.lines().position(|line| line.trim() == needle);
        index.map_or(0, |index| index + 1)
    };
    for (name, host) in &manifest.hosts {
        if !manifest.domains.contains_key(&host.domain) {
            let cause = format!("failure domain '{}' is not declared", host.domain);
            document.add_fault(
                line_of(&format!("[host {name}]")),
                &format!("[host {name}] domain"),
                &cause,
            );
        }
    }
    let mut seen = BTreeSet::new();
    for service in manifest.services.values() {
        let heading = format!("[service {}]", service.name);
        for shard in &service.shards {
            let key = format!("{heading} shard.{}", shard.name);
            for replica in &shard.replicas {
                if !manifest.domains.contains_key(&replica.domain) {
                    let cause = format!("failure domain '{}' is not declared", replica.domain);
                    document.add_fault(line_of(&heading), &key, &cause);
                }
                if !seen.insert(replica.address) {
                    let cause = format!(
                        "{} is listed more than once across all shards",
                        replica.address
                    );
                    document.add_fault(line_of(&heading), &key, &cause);
                }
            }
        }
    }
}
