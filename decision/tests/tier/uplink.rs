//! What a host makes of servers that don't answer.

use std::net::SocketAddr;

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::uplink::State;
use wagtailbeam_decision::uplink::Unanswered;
use wagtailbeam_decision::uplink::Uplink;

const SERVERS: u8 = 9;

fn at(ms: u64) -> Time {
    Time::default().after(Span::from_ms(ms))
}

fn servers() -> impl Iterator<Item = SocketAddr> {
    (0..SERVERS).map(|index| SocketAddr::from(([10, 0, 0, index], 80)))
}

/// Links over which all servers answered one second after the start.
fn answered() -> Uplink {
    let mut uplink = Uplink::default();
    servers().for_each(|server| uplink.record_answer(at(1_000), server));
    uplink
}

/// Judges the links every 10 ms between these times, while calls to three servers are open that were
/// sent at the first one and usually take this long. New connections are accepted or not. Returns
/// when the links were taken for lost.
fn lost_at(uplink: &mut Uplink, sent: u64, until: u64, usual: u64, accepts: bool) -> Option<u64> {
    for ms in (sent..until).step_by(10) {
        let calls = Unanswered::default().add(Span::from_ms(ms - sent), Span::from_ms(usual));
        for _ in uplink.check(at(ms), &[calls; 3], servers()) {
            uplink.record_probe(at(ms), accepts);
        }
        if uplink.state() == State::Lost {
            return Some(ms - sent);
        }
    }
    None
}

/// Guards against hosts that refuse their callers because they were idle: calls that have been open
/// for 130 ms after two idle seconds were taken for two seconds of silence.
#[test]
fn time_without_calls_is_no_silence() {
    let calls = Unanswered::default().add(Span::from_ms(130), Span::from_ms(20));
    let mut uplink = answered();
    uplink.check(at(3_130), &[calls; 3], servers());
    assert_eq!(uplink.state(), State::Sound);
    assert_eq!(lost_at(&mut answered(), 3_000, 3_700, 20, true), None);
}

/// Guards against hosts that take a slow route for lost links: its calls take 900 ms.
#[test]
fn calls_that_usually_take_long_are_no_silence() {
    assert_eq!(lost_at(&mut answered(), 3_000, 3_900, 900, true), None);
}

/// Guards against links that are never taken for lost: connections are accepted, and nothing is
/// answered.
#[test]
fn servers_that_accept_connections_and_never_answer_are_found() {
    assert_eq!(lost_at(&mut answered(), 1_000, 9_000, 20, true), Some(720));
    assert_eq!(
        lost_at(&mut answered(), 3_000, 9_000, 900, true),
        Some(1_600)
    );
}

/// Guards against cuts that are found late because the host was idle or the route is slow.
#[test]
fn a_cut_is_found_as_soon_as_no_server_accepts_a_connection() {
    for (sent, usual) in [(1_000, 20), (3_000, 20), (3_000, 900)] {
        let lost = lost_at(&mut answered(), sent, 9_000, usual, false);
        assert_eq!(lost, Some(120), "sent at {sent}, usually {usual} ms");
    }
}

/// Links that are lost, and on trial since this time.
fn on_trial(since: u64) -> Uplink {
    let mut uplink = answered();
    assert!(lost_at(&mut uplink, 1_000, 9_000, 20, false).is_some());
    uplink.record_probe(at(since), true);
    assert_eq!(uplink.state(), State::Trial);
    uplink
}

/// Runs a trial without calls to its end; connections are reset this long after they were accepted.
/// Returns the state then.
fn trial(reset_after: Option<Span>) -> State {
    let mut uplink = on_trial(2_000);
    let mut under_way = Vec::<(u64, bool)>::new();
    for ms in (2_000..6_000).step_by(10) {
        let (ended, open) = under_way.into_iter().partition(|(until, _)| *until <= ms);
        under_way = open;
        let ended: Vec<(u64, bool)> = ended;
        for (_, accepted) in ended {
            uplink.record_probe(at(ms), accepted);
            if uplink.state() != State::Trial {
                return uplink.state();
            }
        }
        for probe in uplink.check(at(ms), &[], servers()) {
            let accepted = reset_after.is_none_or(|reset| reset > probe.open_for);
            let took = reset_after.map_or(probe.open_for, |reset| reset.min(probe.open_for));
            under_way.push((ms + took.as_ms(), accepted));
        }
    }
    uplink.state()
}

/// Guards against links that count as back because connections are reset late, by a device or a server
/// that is busy, while the daemon has no calls that would show it.
#[test]
fn connections_that_are_reset_after_a_moment_do_not_end_a_trial_well() {
    assert_eq!(trial(None), State::Sound);
    for ms in [50, 150, 400, 900] {
        assert_eq!(trial(Some(Span::from_ms(ms))), State::Lost, "{ms} ms");
    }
}

/// Guards against links that are never taken for lost: connections are accepted, and reset with each
/// call only after a moment.
#[test]
fn calls_that_all_break_on_accepted_connections_show_lost_links() {
    let mut uplink = answered();
    let mut lost = None;
    for ms in (3_000..9_000).step_by(10) {
        let failing = servers().nth((ms as usize / 10) % usize::from(SERVERS));
        uplink.record_failure(at(ms), failing.expect("a server"));
        for _ in uplink.check(at(ms), &[], servers()) {
            uplink.record_probe(at(ms), true);
        }
        if uplink.state() == State::Lost {
            lost = lost.or(Some(ms - 3_000));
        }
    }
    assert_eq!(lost, Some(700));
}

/// Guards against links that are taken for lost because some servers fail while another answers.
#[test]
fn calls_that_break_at_some_servers_while_others_answer_are_no_silence() {
    let mut uplink = answered();
    let answering = servers().last().expect("a server");
    for ms in (3_000..9_000).step_by(10) {
        let failing = servers().nth((ms as usize / 10) % 5);
        uplink.record_failure(at(ms), failing.expect("a server"));
        if ms % 500 == 0 {
            uplink.record_answer(at(ms), answering);
        }
        for _ in uplink.check(at(ms), &[], servers()) {
            uplink.record_probe(at(ms), true);
        }
        assert_eq!(uplink.state(), State::Sound, "after {} ms", ms - 3_000);
    }
}

/// Guards against links that are taken for lost at once because a call had failed before an idle time.
#[test]
fn a_call_that_broke_long_ago_does_not_add_to_those_that_break_now() {
    let mut uplink = answered();
    let mut failing = servers();
    uplink.record_failure(at(2_000), failing.next().expect("a server"));
    for server in failing.take(3) {
        uplink.record_failure(at(5_000), server);
    }
    let probes = uplink.check(at(5_000), &[], servers());
    assert_eq!((uplink.state(), probes.len()), (State::Sound, 3));
}
