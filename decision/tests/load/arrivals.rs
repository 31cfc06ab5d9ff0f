//! Requests of the replay: when they arrive, from which client, and how they end.

use rand_chacha::rand_core::Rng;
use wagtailbeam_decision::answer::Answer;
use wagtailbeam_decision::answer::Refusal;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::clock::Time;
use wagtailbeam_decision::digest::Digest;
use wagtailbeam_decision::gateway::Event;
use wagtailbeam_decision::gateway::Request;

use crate::replay::Replay;
use crate::replay::Step;
use crate::replay::WARM_UP;

/// Time after which a caller repeats a request without an answer.
const REPEAT_AFTER: Span = Span::from_ms(2);

/// A client that sends requests on behalf of an account.
#[derive(Clone, Debug)]
pub struct Client {
    pub account: &'static str,
    pub priority: u32,
    pub route: usize,
    /// Usual load in requests a second.
    pub per_s: f64,
    /// Factor on its load during the surge.
    pub surge: f64,
    /// When the surge begins and ends, in seconds.
    pub surge_time: (f64, f64),
    /// When its load begins, in seconds.
    pub begins: f64,
    /// Number of times that a request without an answer is sent again at once.
    pub repeats: u32,
}

/// A request before it is answered.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub route: usize,
    pub client: Option<usize>,
    /// Number of earlier requests that it repeats.
    pub repeats: u32,
}

/// A request that is not answered yet.
pub struct Open {
    pub arrival: Arrival,
    pub started: Time,
    /// When its first call was sent.
    pub sent: Option<Time>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    Answered,
    /// It did not run, and the caller was told when to come back.
    Refused,
    /// It was not answered in time, or may have run.
    Lost,
}

/// One answered request.
pub struct Outcome {
    pub route: usize,
    pub client: Option<usize>,
    pub started: Time,
    pub took: Span,
    /// Time until the first call was sent, or until the end without one.
    pub waited: Span,
    pub end: End,
}

impl Client {
    fn rate(&self, at: f64) -> f64 {
        match at {
            at if at < self.begins => 0.0,
            at if (self.surge_time.0..self.surge_time.1).contains(&at) => self.per_s * self.surge,
            _ => self.per_s,
        }
    }
}

impl Replay {
    /// Schedules all requests except repeated ones.
    pub fn schedule_arrivals(&mut self) {
        match self.case.clients.len() {
            0 => self.schedule_routes(),
            clients => (0..clients).for_each(|client| self.schedule_client(client)),
        }
    }

    fn schedule_routes(&mut self) {
        for route in 0..self.case.routes.len() {
            let per_s = self.case.routes[route].per_s;
            let mut at = 0.0;
            while at < self.case.seconds as f64 {
                at += -self.uniform().ln() / per_s;
                let arrival = Arrival {
                    route,
                    client: None,
                    repeats: 0,
                };
                self.schedule_request(at, arrival);
            }
        }
    }

    /// Schedules a client's requests: a Poisson process whose rate changes over time, by thinning.
    fn schedule_client(&mut self, index: usize) {
        let client = self.case.clients[index].clone();
        let most = client.per_s * client.surge.max(1.0);
        let mut at = 0.0;
        while at < self.case.seconds as f64 {
            at += -self.uniform().ln() / most;
            if self.uniform() * most < client.rate(at) {
                let arrival = Arrival {
                    route: client.route,
                    client: Some(index),
                    repeats: 0,
                };
                self.schedule_request(at, arrival);
            }
        }
    }

    fn schedule_request(&mut self, at: f64, arrival: Arrival) {
        let wait = Span::from_us((at * 1e6) as u64);
        self.send_request(wait, arrival);
    }

    /// Schedules a request to a random host after this time.
    fn send_request(&mut self, wait: Span, arrival: Arrival) {
        self.last_request += 1;
        let host = self.random.next_u32() as usize % self.case.hosts;
        self.schedule(wait, Step::Request(host, self.last_request, arrival));
    }

    /// Passes a request to a host.
    pub fn request(&mut self, host: usize, id: u64, arrival: Arrival) {
        let open = Open {
            arrival,
            started: self.now,
            sent: None,
        };
        self.open.insert((host, id), open);
        let client = arrival.client.map(|client| &self.case.clients[client]);
        let request = Request {
            host: "desk.example".into(),
            path: format!("/r{}/x", arrival.route).into(),
            fingerprint: Digest::of(&id.to_le_bytes()),
            catalog_confirmed: true,
            priority: client.map(|client| client.priority),
            account: client.map(|client| client.account.into()),
            ..Request::default()
        };
        self.handle(host, Event::Request(id, request));
    }

    /// Records how a request ended, and repeats it if its client does.
    pub fn record_answer(&mut self, host: usize, id: u64, answer: &Answer) {
        let Some(open) = self.open.get(&(host, id)) else {
            return;
        };
        let (arrival, started) = (open.arrival, open.started);
        let sent = open.sent.unwrap_or(self.now);
        let end = match answer {
            Answer::Refused(Refusal::NotRun, _) => End::Refused,
            Answer::Refused(..) => End::Lost,
            Answer::Relay(_) | Answer::Merged { .. } => End::Answered,
        };
        if started.as_us() >= WARM_UP.as_us() {
            self.outcomes.push(Outcome {
                route: arrival.route,
                client: arrival.client,
                started,
                took: self.now.since(started),
                waited: sent.since(started),
                end,
            });
        }
        let client = arrival.client.map(|client| &self.case.clients[client]);
        let repeats = client.map_or(0, |client| client.repeats);
        if end != End::Answered && arrival.repeats < repeats {
            let again = Arrival {
                repeats: arrival.repeats + 1,
                ..arrival
            };
            self.send_request(REPEAT_AFTER, again);
        }
    }
}
