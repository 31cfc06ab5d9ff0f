//! The cases of the replay.

use wagtailbeam_decision::clock::Span;

use crate::setup::Case;
use crate::setup::HEALTHY;
use crate::setup::Health;
use crate::setup::Load;

/// When the condition of the affected replica changes and when it recovers, in seconds.
const FAULTY: (f64, f64) = (20.0, 40.0);

fn is_faulty(server: usize, at: f64) -> bool {
    server == 0 && (FAULTY.0..FAULTY.1).contains(&at)
}

pub fn healthy(_: usize, _: f64) -> Health {
    HEALTHY
}

fn slow(server: usize, at: f64) -> Health {
    let factor = if is_faulty(server, at) { 4.0 } else { 1.0 };
    Health { factor, ..HEALTHY }
}

/// Each call beside a call makes it slower.
fn contended(server: usize, at: f64) -> Health {
    let contention = if is_faulty(server, at) { 3.0 } else { 0.0 };
    Health {
        contention,
        ..HEALTHY
    }
}

/// Slow at first, and warm after 4 s; each 10 s anew.
fn cold(server: usize, at: f64) -> Health {
    let age = at % 10.0;
    let is_cold = is_faulty(server, at) && age < 4.0;
    let factor = if is_cold { 4.0 - 0.75 * age } else { 1.0 };
    Health { factor, ..HEALTHY }
}

/// Slow for 600 ms every 4 s.
fn noisy(server: usize, at: f64) -> Health {
    let is_noisy = is_faulty(server, at) && at % 4.0 < 0.6;
    let factor = if is_noisy { 4.0 } else { 1.0 };
    Health { factor, ..HEALTHY }
}

fn failing(server: usize, at: f64) -> Health {
    let failures = if is_faulty(server, at) { 0.5 } else { 0.0 };
    Health {
        failures,
        ..HEALTHY
    }
}

fn cut_off(server: usize, at: f64) -> Health {
    let refused_domain = is_faulty(server, at).then_some(0);
    Health {
        refused_domain,
        ..HEALTHY
    }
}

/// A quarter of the replicas takes 1.8 times as long, all the time.
fn unequal(server: usize, _: f64) -> Health {
    let factor = if server.is_multiple_of(4) { 1.8 } else { 1.0 };
    Health { factor, ..HEALTHY }
}

pub fn single(work_ms: u64, objective_ms: u64, per_s: f64) -> Load {
    Load {
        work: Span::from_ms(work_ms),
        objective: Span::from_ms(objective_ms),
        per_s,
        services: vec![0],
        gathers: false,
    }
}

pub fn gather(work_ms: u64, objective_ms: u64, per_s: f64) -> Load {
    Load {
        services: (0..8).collect(),
        gathers: true,
        ..single(work_ms, objective_ms, per_s)
    }
}

/// Single reads through 84 hosts at 10 replicas.
pub fn reads(name: &'static str, health: fn(usize, f64) -> Health) -> Case {
    Case {
        name,
        hosts: 84,
        services: vec![10],
        slots: 2,
        routes: vec![single(120, 1_000, 48.0)],
        seconds: 45,
        pause: (Span::from_ms(150), Span::from_ms(3_600)),
        health,
        affected: Some((0, FAULTY.0, FAULTY.1)),
        connections_max: 200,
        clients: Vec::new(),
    }
}

/// Gathers through the six hosts of a branch at 8 shards of 3 replicas.
pub fn gathers(name: &'static str, health: fn(usize, f64) -> Health) -> Case {
    Case {
        hosts: 6,
        services: vec![3; 8],
        routes: vec![gather(15, 150, 30.0), gather(5, 50, 18.0)],
        ..reads(name, health)
    }
}

/// Reads of 5 and 120 ms at the same replicas.
fn mixed(name: &'static str, health: fn(usize, f64) -> Health) -> Case {
    Case {
        routes: vec![single(120, 1_000, 40.0), single(5, 50, 60.0)],
        ..reads(name, health)
    }
}

/// Cases in which no replica differs from the others.
pub fn equal() -> Vec<Case> {
    vec![
        reads("reads, equal", healthy),
        mixed("mixed, equal", healthy),
        gathers("gathers, equal", healthy),
    ]
}

/// Cases in which one replica is to get far fewer calls.
pub fn degraded() -> Vec<Case> {
    vec![
        reads("reads, one slow", slow),
        reads("reads, one failing fast", failing),
        mixed("mixed, one slow", slow),
        gathers("gathers, one slow", slow),
        gathers("gathers, one failing fast", failing),
    ]
}

/// Cases in which a replica is degraded for a short time, slightly, or for some callers.
pub fn mild() -> Vec<Case> {
    vec![
        reads("reads, one slow beside others", contended),
        reads("reads, one cold", cold),
        reads("reads, one noisy", noisy),
        reads("reads, one cut off from a domain", cut_off),
        reads("reads, unequal", unequal),
        gathers("gathers, one slow beside others", contended),
        gathers("gathers, one noisy", noisy),
        gathers("gathers, unequal", unequal),
    ]
}
