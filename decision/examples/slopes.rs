//! Measures how the processor time and the bytes of one daemon's decisions grow with the
//! size of the group, without sockets or files. The slopes are figures in
//! docs/CAPACITY.md.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::digest::Digest;
use wagtailbeam_decision::exchange::Exchange;
use wagtailbeam_decision::job::Token;
use wagtailbeam_decision::lease::Confirm;
use wagtailbeam_decision::lease::Lease;
use wagtailbeam_decision::lease::Poll;
use wagtailbeam_decision::manifest::Hedge;
use wagtailbeam_decision::manifest::Limits;
use wagtailbeam_decision::manifest::Manifest;
use wagtailbeam_decision::manifest::Replica;
use wagtailbeam_decision::manifest::Service;
use wagtailbeam_decision::manifest::Shard;
use wagtailbeam_decision::owner::Action;
use wagtailbeam_decision::owner::Assignment;
use wagtailbeam_decision::owner::Owner;
use wagtailbeam_decision::placement::Candidate;
use wagtailbeam_decision::placement::Spread;
use wagtailbeam_decision::quota::Statement;
use wagtailbeam_decision::register::Change;
use wagtailbeam_decision::register::Key;
use wagtailbeam_decision::request::Answer;
use wagtailbeam_decision::request::Batch;
use wagtailbeam_decision::request::Request;
use wagtailbeam_decision::request::Subrequest;
use wagtailbeam_decision::roster::Member;
use wagtailbeam_decision::roster::Report;
use wagtailbeam_decision::roster::Roster;
use wagtailbeam_decision::route::Router;
use wagtailbeam_decision::voter;
use wagtailbeam_decision::voter::Voter;

/// A distinct address for each number.
fn address(number: usize) -> SocketAddr {
    let number = number as u32;
    let [_, a, b, c] = number.to_be_bytes();
    SocketAddr::from(([10, a, b, c], 8_080))
}

/// Mean time of `count` repetitions of `work`, in microseconds.
fn mean_us(count: usize, mut work: impl FnMut(usize)) -> f64 {
    let started = Instant::now();
    (0..count).for_each(&mut work);
    started.elapsed().as_secs_f64() * 1e6 / count as f64
}

/// A member of the group, numbered from 0, in one of 41 failure domains.
fn member(number: usize) -> Member {
    Member {
        host: format!("entry-{number}").as_str().into(),
        domain: format!("domain-{}", number % 41).as_str().into(),
        peer: address(number),
        admin: address(number),
        boot: number as u64,
        leaving: false,
        owning: true,
        version: 1,
    }
}

/// Time of polls, reports and views, and bytes of the messages, by number of daemons.
fn measure_membership() {
    let poll = Poll {
        member: member(3_699),
        sent: Time::from_us(86_400_000_000),
    };
    println!(
        "poll: {} bytes",
        postcard::to_stdvec(&poll).map_or(0, |bytes| bytes.len())
    );
    for daemons in [8, 64, 512, 3_700] {
        let members = (0..daemons).map(member).collect::<Vec<_>>();
        let mut roster = Roster::new(Time::default());
        let record = mean_us(daemons, |index| {
            roster.record(Time::from_us(1), members[index].clone())
        });
        let report = mean_us(20, |_| drop(roster.report(Time::from_us(2))));
        let confirm = Confirm {
            voter: "v".into(),
            sent: Time::from_us(1),
            boot: 1,
            voting: true,
            file: None,
            report: Report {
                complete: true,
                members,
                ended: Vec::new(),
            },
        };
        let bytes = postcard::to_stdvec(&confirm).map_or(0, |bytes| bytes.len());
        let mut lease = Lease::new(1);
        lease.record(confirm);
        let view = mean_us(20, |_| drop(lease.members(Time::from_us(2))));
        println!(
            "membership {daemons:>5} daemons: record poll {record:.2} us, report {report:.0} us, \
             confirm {bytes} bytes, view {view:.0} us"
        );
    }
}

/// A manifest of one service.
fn manifest(shards: usize, replicas: usize) -> Manifest {
    let shard = |index: usize| Shard {
        name: format!("{index:05}").as_str().into(),
        replicas: (0..replicas)
            .map(|r| Replica {
                address: address(index * replicas + r),
                domain: format!("domain-{}", r % 41).as_str().into(),
            })
            .collect(),
    };
    let service = Service {
        name: "desk".into(),
        shards: (0..shards).map(shard).collect(),
        ..Service::default()
    };
    let services = [(service.name.clone(), service)].into();
    Manifest {
        version: 1,
        services,
        ..Manifest::default()
    }
}

/// Time to compute the owners of all replicas and of one shard, by group size. The time
/// for all replicas is measured only up to 10 000 replicas.
fn measure_routing() {
    for (daemons, replicas) in [(8, 100), (64, 1_000), (512, 10_000), (3_700, 68_000)] {
        let manifest = Arc::new(manifest(replicas / 2, 2));
        let candidates = (0..daemons).map(member);
        let candidates = candidates.map(|m| Candidate {
            host: m.host,
            domain: m.domain,
        });
        let candidates = candidates.collect::<Vec<_>>();
        let mut router = Router::default();
        let repetitions = if replicas > 10_000 { 0 } else { 1 };
        let all = mean_us(repetitions, |_| {
            router.update(&manifest, &candidates, Spread::SameHost)
        });
        let bytes = postcard::to_stdvec(&*manifest).map_or(0, |bytes| bytes.len());
        let shard = &manifest.services["desk"].shards[0];
        let one = mean_us(5, |_| {
            let name = "desk".into();
            drop(wagtailbeam_decision::placement::owners(
                &name,
                shard,
                &candidates,
                Spread::SameHost,
            ));
        });
        println!(
            "routing {daemons:>5} daemons {replicas:>6} replicas: all {all:.0} us, one shard \
             {one:.1} us, file {bytes} bytes in postcard"
        );
    }
}

/// Time of a sub-request, a tick and an assignment at an owner, by number of replicas.
fn measure_owner() {
    for replicas in [10, 100, 1_000] {
        let mut owner = Owner::default();
        let assignments = (0..replicas).map(|index| Assignment {
            replica: address(index),
            service: "desk".into(),
            hedge: Hedge::default(),
            siblings: vec![address(index ^ 1)],
            limits: Limits {
                warmup: Span::ZERO,
                ..Limits::default()
            },
            domain_in: true,
            boot: None,
            limit: None,
            senders: 1,
            takeover_delay: Span::ZERO,
        });
        let assignments = assignments.collect::<Vec<_>>();
        owner.assign(Time::default(), &assignments);
        let assign = mean_us(20, |_| drop(owner.assign(Time::from_us(1), &assignments)));
        let tick = mean_us(200, |_| drop(owner.tick(Time::from_us(1))));
        let request = Arc::new(Request {
            method: "GET".to_owned(),
            ..Request::default()
        });
        let work = mean_us(20_000, |index| {
            let replica = address(index % replicas);
            let subrequests = vec![Subrequest {
                id: index as u64,
                replica,
                alternatives: Vec::new(),
                pin: None,
            }];
            let time_left = Span::from_secs(1);
            let batch = Batch {
                request: request.clone(),
                time_left,
                priority: 5,
                exclusive: false,
                subrequests,
            };
            let actions = owner.on_batch(Time::from_us(1), &"entry".into(), &batch);
            for action in actions {
                if let Action::Call(call) = action {
                    let answer = Answer {
                        status: 200,
                        ..Answer::default()
                    };
                    let (boot, draining, shed) = (None, false, false);
                    let exchange = Exchange::Answered {
                        answer,
                        boot,
                        draining,
                        shed,
                        limit: Statement::Unlimited,
                        pause: None,
                    };
                    drop(owner.on_exchange(Time::from_us(2), call.ticket, exchange));
                }
            }
        });
        println!(
            "owning {replicas:>5} replicas: sub-request {work:.2} us, tick {tick:.1} us, \
             assign {assign:.1} us"
        );
    }
}

/// Time and bytes of a claim at a voter by number of keys, and time of a change of the
/// operators' file by its size.
fn measure_voter() {
    for held in [1_000, 10_000, 100_000] {
        let mut voter = Voter::open(Time::default(), 0, 1, 1, Voter::format(0, 1));
        voter.tick(Time::from_us(1));
        let mut bytes = 0;
        let claim = mean_us(held, |index| {
            let key = Key::Job(Digest::of(&index.to_le_bytes()));
            let change = Change::Claim {
                token: Token(index as u128),
                body: Digest::default(),
            };
            let mut actions = voter.propose(Time::from_us(2), index as u64, key, change);
            while let Some(action) = actions.pop() {
                if let voter::Action::Persist(number, record) = action {
                    bytes += postcard::to_stdvec(&record).map_or(0, |bytes| bytes.len());
                    actions.extend(voter.synced(Time::from_us(2), number));
                }
            }
        });
        println!(
            "deciding with {held:>6} keys: claim {claim:.1} us without syncs, {} bytes written",
            bytes / held
        );
    }
    for size in [10_000, 100_000, 1_000_000] {
        let mut voter = Voter::open(Time::default(), 0, 1, 1, Voter::format(0, 1));
        voter.tick(Time::from_us(1));
        let text: Arc<str> = "x".repeat(size).into();
        let change = mean_us(20, |index| {
            let (version, text) = (index as u64 + 1, text.clone());
            let change = Change::Apply { version, text };
            let mut actions = voter.propose(Time::from_us(2), index as u64, Key::File, change);
            while let Some(action) = actions.pop() {
                if let voter::Action::Persist(number, record) = action {
                    drop(postcard::to_stdvec(&record));
                    actions.extend(voter.synced(Time::from_us(2), number));
                }
            }
        });
        println!("changing a file of {size:>7} bytes: {change:.0} us without syncs");
    }
}

fn main() {
    measure_membership();
    measure_routing();
    measure_owner();
    measure_voter();
}
