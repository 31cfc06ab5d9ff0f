//! Voters whose state is long: what they send and write, and whether they decide over slow links.

use std::sync::Arc;

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::command::Command;
use wagtailbeam_decision::command::Outcome;
use wagtailbeam_decision::tier::Change;

use crate::group::Group;

/// Time for a group without faults to become stable.
const SETTLE_TIME: Span = Span::from_secs(3);

/// Bytes of a route in a configuration.
const ROUTE_BYTES: usize = 170;

/// Bytes that a connection carries in a millisecond.
const BANDWIDTH: usize = 32 * 1024;

/// Bytes of the messages of five voters that don't grow with the state, in a second.
const REST_BYTES_MAX: usize = 64 * 1024;

/// A configuration with so many routes that differs from others by its version.
fn document(version: u64, routes: usize) -> Arc<[u8]> {
    let mut document = version.to_string().into_bytes();
    document.resize(routes * ROUTE_BYTES, b'r');
    document.into()
}

fn configure(group: &mut Group, at: usize, version: u64, routes: usize) -> u64 {
    let document = document(version, routes);
    let change = Change::Configure { version, document };
    group.command(at, Command::Change(change))
}

fn is_done(group: &Group, id: u64) -> bool {
    matches!(group.answers.get(&id), Some(Outcome::Done(_)))
}

fn is_read(group: &Group, id: u64, version: u64) -> bool {
    matches!(group.answers.get(&id), Some(Outcome::State(state)) if state.version == version)
}

/// A group that has decided two configurations with so many routes.
fn group_with(routes: usize) -> Group {
    let mut group = Group::new();
    group.advance(SETTLE_TIME);
    group.links.set_bandwidth(BANDWIDTH);
    group.counts_records = true;
    for version in 1..3 {
        let id = configure(&mut group, 0, version, routes);
        group.advance(Span::from_secs(4));
        assert!(is_done(&group, id), "{routes} routes");
    }
    group
}

/// Bytes that were sent between voters and written in a second in which this command is given, at a
/// voter that decided nothing before; it must be carried out.
fn cost(group: &mut Group, command: Command) -> (usize, usize) {
    (group.links.bytes, group.written) = (0, 0);
    let id = group.command(1, command);
    group.advance(Span::from_secs(1));
    assert!(matches!(
        group.answers.get(&id),
        Some(Outcome::Done(_) | Outcome::State(_))
    ));
    (group.links.bytes, group.written)
}

/// Guards against reads and changes whose cost grows with the state: each promise carried the whole
/// state and wrote it once more, and each voter was sent a chosen state that it had accepted.
#[test]
fn a_read_sends_and_writes_no_state_and_a_change_sends_it_once_to_each_voter() {
    for routes in [100, 1_000, 10_000, 30_000] {
        let mut group = group_with(routes);
        let size = routes * ROUTE_BYTES;
        let (sent, written) = cost(&mut group, Command::Read);
        println!("{routes} routes, a read: {sent} bytes sent, {written} written");
        assert!(sent < REST_BYTES_MAX, "{routes} routes: {sent} sent");
        assert_eq!(written, 0, "{routes} routes");
        let document = document(3, routes);
        let change = Change::Configure {
            version: 3,
            document,
        };
        let (sent, written) = cost(&mut group, Command::Change(change));
        println!("{routes} routes, a change: {sent} bytes sent, {written} written");
        assert!(sent < 4 * size + REST_BYTES_MAX, "{routes} routes: {sent}");
    }
}

/// Guards against a group that decides nothing any more: a value takes longer to reach the others than
/// a ballot waits. Two voters lose their disks meanwhile, and read the state back over the same links.
#[test]
fn a_large_state_is_changed_and_read_over_slow_links_with_two_lost_disks() {
    let routes = 12_000;
    let mut group = Group::new();
    group.advance(SETTLE_TIME);
    group.links.set_bandwidth(8 * 1024);
    let first = configure(&mut group, 0, 1, routes);
    group.advance(Span::from_secs(5));
    assert!(is_done(&group, first));
    [1, 2].iter().for_each(|at| group.wipe(*at));
    group.advance(Span::from_secs(1));
    [1, 2].iter().for_each(|at| group.start(*at));
    let mut last = 1;
    for version in 2..8 {
        let at = (version % 5) as usize;
        let id = configure(&mut group, at, version, routes);
        group.advance(Span::from_secs(2));
        if is_done(&group, id) {
            last = version;
        }
    }
    group.advance(Span::from_secs(5));
    assert_eq!(group.voting(), 5);
    assert!(last > 5, "version {last} is the last acknowledged one");
    let reads = (0..5).map(|at| group.command(at, Command::Read));
    let reads = reads.collect::<Vec<_>>();
    group.advance(Span::from_secs(1));
    assert!(
        reads
            .iter()
            .all(|id| (last..8).any(|version| is_read(&group, *id, version)))
    );
}
