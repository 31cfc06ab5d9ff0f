//! The owner role: replicas that this daemon alone sends work to.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::gate::Gate;
use crate::gate::Health;
use crate::gate::Sign;
use crate::gate::Step;
use crate::gate::Ticket;
use crate::gate::Work;
use crate::manifest::Limits;
use crate::name::Name;
use crate::request::Answer;
use crate::request::Batch;
use crate::request::Cause;
use crate::request::Index;
use crate::request::Outcome;
use crate::request::Request;

/// HTTP status with which a server says that it can't serve the index version.
const STATUS_VERSION: u16 = 412;

/// HTTP statuses with which a server sheds load.
const STATUS_SHED: [u16; 2] = [429, 503];

/// Units in which the load of a replica is compared, for one slot.
const LOAD_UNIT: u32 = 1_000;

/// What an exchange over HTTP came to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Exchange {
    /// A complete answer to this very request.
    Done {
        /// The answer.
        answer: Answer,
        /// The server's boot identifier.
        boot: Option<Name>,
        /// The server drains.
        draining: bool,
        /// The server shed the request without running it.
        shed: bool,
    },
    /// No byte was sent.
    NotSent,
    /// The connection broke after the request was sent.
    Broken,
    /// The answer was cut short or belonged to another request.
    Garbled,
}

/// A call to a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Identifier of the sub-request at this owner.
    pub ticket: Ticket,
    /// Address of the server.
    pub replica: SocketAddr,
    /// The request.
    pub request: Arc<Request>,
    /// Index version wanted.
    pub pin: Option<Index>,
    /// Time left.
    pub left: Span,
}

/// Effects of the owner role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a request to a server.
    Call(Call),
    /// Give up a request at a server.
    Abort(Ticket),
    /// Answer an entry daemon.
    Reply {
        /// The entry daemon's host.
        to: Name,
        /// The entry daemon's number of the sub-request.
        ask: u64,
        /// The replica that it went to.
        replica: SocketAddr,
        /// What became of it.
        outcome: Outcome,
    },
    /// Tell all daemons about a replica.
    Hint(SocketAddr, Health),
    /// Tell all daemons about a request that ran where a connection broke.
    Suspect(Digest),
    /// Close the connections to a replica no longer owned.
    Release(SocketAddr),
}

#[derive(Clone, Debug)]
struct Job {
    from: Name,
    ask: u64,
    replica: SocketAddr,
    others: Vec<SocketAddr>,
    pin: Option<Index>,
    deadline: Time,
    priority: u8,
    request: Arc<Request>,
    running: bool,
}

impl Job {
    fn work(&self, ticket: Ticket) -> Work {
        Work {
            ticket,
            deadline: self.deadline,
            caller: self.request.caller.clone(),
            priority: self.priority,
        }
    }

    fn reply(self, outcome: Outcome) -> Action {
        Action::Reply {
            to: self.from,
            ask: self.ask,
            replica: self.replica,
            outcome,
        }
    }
}

#[derive(Clone, Debug)]
struct Held {
    gate: Gate,
    told: Health,
}

/// One replica that this daemon should own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    /// Address of the server.
    pub replica: SocketAddr,
    /// Its limits.
    pub limits: Limits,
    /// Whether its failure domain is in.
    pub open: bool,
}

/// State of the owner role.
#[derive(Clone, Debug, Default)]
pub struct Owner {
    held: BTreeMap<SocketAddr, Held>,
    gaining: BTreeMap<SocketAddr, Time>,
    closed: BTreeMap<SocketAddr, Cause>,
    jobs: BTreeMap<Ticket, Job>,
    last: Ticket,
}

impl Owner {
    /// Sets what this daemon should own. A replica gained is used only after
    /// `hold`, when the lease of any earlier owner has lapsed.
    pub fn assign(&mut self, now: Time, claims: &[Claim], hold: Span) -> Vec<Action> {
        let wanted = claims
            .iter()
            .map(|claim| (claim.replica, claim))
            .collect::<BTreeMap<_, _>>();
        let mut actions = Vec::new();
        let lost = self
            .held
            .keys()
            .filter(|replica| !wanted.contains_key(replica));
        for replica in lost.copied().collect::<Vec<_>>() {
            actions.extend(self.lose(replica));
        }
        self.gaining
            .retain(|replica, _| wanted.contains_key(replica));
        self.closed
            .retain(|replica, _| wanted.contains_key(replica));
        for claim in claims {
            actions.extend(self.want(now, claim, hold));
        }
        actions
    }

    fn want(&mut self, now: Time, claim: &Claim, hold: Span) -> Vec<Action> {
        let returned = claim.open && self.closed.remove(&claim.replica).is_some();
        if !claim.open {
            self.closed.insert(claim.replica, Cause::Out);
        }
        let Some(held) = self.held.get_mut(&claim.replica) else {
            let ready = *self.gaining.entry(claim.replica).or_insert(now.after(hold));
            if ready <= now {
                self.gaining.remove(&claim.replica);
                let running = self
                    .jobs
                    .iter()
                    .filter(|(_, job)| job.replica == claim.replica);
                let running = running.map(|(ticket, _)| *ticket);
                let gate = Gate::new(now, claim.limits).with_running(now, running);
                self.held.insert(
                    claim.replica,
                    Held {
                        gate,
                        told: Health::Ready,
                    },
                );
            }
            return Vec::new();
        };
        held.gate.update(claim.limits);
        if returned {
            held.gate.chill(now);
        }
        if claim.open {
            return Vec::new();
        }
        let steps = held.gate.refuse_all(Cause::Out);
        self.apply(now, steps)
    }

    /// Stops new work to a replica; what runs there ends normally.
    fn lose(&mut self, replica: SocketAddr) -> Vec<Action> {
        let Some(mut held) = self.held.remove(&replica) else {
            return Vec::new();
        };
        let steps = held.gate.refuse_all(Cause::NotOwner);
        let mut actions = self.apply(Time::default(), steps);
        actions.push(Action::Release(replica));
        actions
    }

    /// Stops all new work, as for a lapsed lease.
    pub fn suspend(&mut self) -> Vec<Action> {
        let all = self.held.keys().copied().collect::<Vec<_>>();
        self.gaining.clear();
        all.into_iter()
            .flat_map(|replica| self.lose(replica))
            .collect()
    }

    /// Replicas owned, with their state.
    pub fn report(&self) -> impl Iterator<Item = (&SocketAddr, &Gate)> {
        self.held
            .iter()
            .map(|(replica, held)| (replica, &held.gate))
    }

    /// Sub-requests waiting or running.
    pub fn load(&self) -> usize {
        self.jobs.len()
    }

    /// Takes a batch of an entry daemon.
    pub fn ask(&mut self, now: Time, from: &Name, batch: &Batch) -> Vec<Action> {
        let deadline = now.after(batch.left);
        let mut actions = Vec::new();
        for piece in &batch.pieces {
            let avoid = self.replicas_of(from, &piece.avoid);
            let others = piece.others.iter().filter(|other| !avoid.contains(other));
            let job = Job {
                from: from.clone(),
                ask: piece.ask,
                replica: piece.replica,
                others: others.copied().collect(),
                pin: piece.pin,
                deadline,
                priority: batch.priority,
                request: batch.request.clone(),
                running: false,
            };
            actions.extend(self.offer(now, job, &avoid));
        }
        actions
    }

    /// Replicas at which sub-requests of an entry daemon run or wait.
    fn replicas_of(&self, from: &Name, asks: &[u64]) -> Vec<SocketAddr> {
        if asks.is_empty() {
            return Vec::new();
        }
        let jobs = self
            .jobs
            .values()
            .filter(|job| job.from == *from && asks.contains(&job.ask));
        jobs.map(|job| job.replica).collect()
    }

    fn offer(&mut self, now: Time, mut job: Job, avoid: &[SocketAddr]) -> Vec<Action> {
        match self.choose(now, &job, avoid) {
            Ok(replica) => job.replica = replica,
            Err(cause) => return vec![job.reply(Outcome::refused(cause))],
        }
        self.last += 1;
        let (ticket, replica, work) = (self.last, job.replica, job.work(self.last));
        self.jobs.insert(ticket, job);
        let held = self.held.get_mut(&replica);
        let steps = held
            .map(|held| held.gate.offer(now, work))
            .unwrap_or_default();
        self.apply(now, steps)
    }

    /// The replica held here at which the job would run first, or why none is.
    fn choose(&self, now: Time, job: &Job, avoid: &[SocketAddr]) -> Result<SocketAddr, Cause> {
        let all = std::iter::once(&job.replica).chain(&job.others);
        let usable =
            all.filter(|replica| !avoid.contains(replica) && self.cause(replica).is_none());
        let held = usable.filter_map(|replica| Some((*replica, &self.held.get(replica)?.gate)));
        let best = held.min_by_key(|(_, gate)| {
            let load = (gate.running() + gate.waiting()) as u32 * LOAD_UNIT / gate.limit().max(1);
            (
                !gate.is_open(now),
                !gate.has_room(),
                gate.health() != Health::Ready,
                load,
            )
        });
        match best {
            Some((replica, _)) => Ok(replica),
            None => Err(self.cause(&job.replica).unwrap_or(Cause::Full)),
        }
    }

    /// Why a replica gets no work from here, if it gets none.
    fn cause(&self, replica: &SocketAddr) -> Option<Cause> {
        match (self.held.get(replica), self.closed.get(replica)) {
            (None, _) => Some(Cause::NotOwner),
            (_, cause) => cause.copied(),
        }
    }

    /// Moves waiting sub-requests to a replica that has room.
    fn fill(&mut self, now: Time, replica: SocketAddr) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.has_room(now, &replica) {
            let Some((ticket, mut job)) = self.take_waiting(&replica) else {
                break;
            };
            job.replica = replica;
            let work = job.work(ticket);
            self.jobs.insert(ticket, job);
            let held = self.held.get_mut(&replica);
            let steps = held
                .map(|held| held.gate.offer(now, work))
                .unwrap_or_default();
            actions.extend(self.apply(now, steps));
        }
        actions
    }

    fn has_room(&self, now: Time, replica: &SocketAddr) -> bool {
        let gate = self.held.get(replica).map(|held| &held.gate);
        let open = gate.is_some_and(|gate| gate.is_open(now) && gate.has_room());
        open && gate.is_some_and(|gate| gate.waiting() == 0) && self.cause(replica).is_none()
    }

    /// Takes a waiting sub-request from another replica for which `replica` will do.
    fn take_waiting(&mut self, replica: &SocketAddr) -> Option<(Ticket, Job)> {
        let waiting = self.jobs.iter().filter(|(_, job)| {
            !job.running && job.replica != *replica && job.others.contains(replica)
        });
        let from = waiting.map(|(_, job)| job.replica).next()?;
        let work = self.held.get_mut(&from)?.gate.take_back()?;
        let mut job = self.jobs.remove(&work.ticket)?;
        if !job.others.contains(replica) {
            self.jobs.insert(work.ticket, job);
            self.held.get_mut(&from)?.gate.put_back(work);
            return None;
        }
        job.others.push(from);
        Some((work.ticket, job))
    }

    fn apply(&mut self, now: Time, steps: Vec<Step>) -> Vec<Action> {
        steps
            .into_iter()
            .filter_map(|step| self.act(now, step))
            .collect()
    }

    fn act(&mut self, now: Time, step: Step) -> Option<Action> {
        match step {
            Step::Run(ticket) => {
                let job = self.jobs.get_mut(&ticket)?;
                job.running = true;
                Some(Action::Call(Call {
                    ticket,
                    replica: job.replica,
                    request: job.request.clone(),
                    pin: job.pin,
                    left: job.deadline.since(now),
                }))
            }
            Step::Refuse(ticket, cause) => {
                let job = self.jobs.remove(&ticket)?;
                Some(job.reply(Outcome::refused(cause)))
            }
        }
    }

    /// Takes the end of a call.
    pub fn done(&mut self, now: Time, ticket: Ticket, exchange: Exchange) -> Vec<Action> {
        let Some(job) = self.jobs.remove(&ticket) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        if exchange == Exchange::Broken {
            actions.push(Action::Suspect(job.request.fingerprint()));
        }
        let sign = sign(&exchange);
        let replica = job.replica;
        actions.push(job.reply(outcome(exchange)));
        actions.extend(self.settle(now, replica, ticket, sign));
        actions
    }

    fn settle(
        &mut self,
        now: Time,
        replica: SocketAddr,
        ticket: Ticket,
        sign: Sign,
    ) -> Vec<Action> {
        let Some(held) = self.held.get_mut(&replica) else {
            return Vec::new();
        };
        let steps = held.gate.finish(now, ticket, sign);
        let mut actions = self.apply(now, steps);
        actions.extend(self.fill(now, replica));
        actions.extend(self.hint(now, replica));
        actions
    }

    fn hint(&mut self, now: Time, replica: SocketAddr) -> Option<Action> {
        let held = self.held.get_mut(&replica)?;
        let health = match held.gate.health() {
            _ if held.gate.is_due(now) => Health::Cold,
            health => health,
        };
        if held.told == health {
            return None;
        }
        held.told = health;
        Some(Action::Hint(replica, health))
    }

    /// Withdraws a sub-request of an entry daemon.
    pub fn cancel(&mut self, now: Time, from: &Name, ask: u64) -> Vec<Action> {
        let found = self
            .jobs
            .iter()
            .find(|(_, job)| job.ask == ask && job.from == *from);
        let Some(ticket) = found.map(|(ticket, _)| *ticket) else {
            return Vec::new();
        };
        self.withdraw(now, ticket, Sign::Cancelled)
    }

    /// Withdraws all sub-requests of a lost entry daemon.
    pub fn lose_entry(&mut self, now: Time, host: &Name) -> Vec<Action> {
        let tickets = self.jobs.iter().filter(|(_, job)| job.from == *host);
        let tickets = tickets.map(|(ticket, _)| *ticket).collect::<Vec<_>>();
        tickets
            .into_iter()
            .flat_map(|t| self.withdraw(now, t, Sign::Cancelled))
            .collect()
    }

    fn withdraw(&mut self, now: Time, ticket: Ticket, sign: Sign) -> Vec<Action> {
        let Some(job) = self.jobs.remove(&ticket) else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        if job.running {
            actions.push(Action::Abort(ticket));
        }
        actions.extend(self.settle(now, job.replica, ticket, sign));
        actions
    }

    /// Ends late sub-requests and finds stalled servers.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let late = self
            .jobs
            .iter()
            .filter(|(_, job)| job.running && job.deadline <= now);
        let mut actions = Vec::new();
        for ticket in late.map(|(ticket, _)| *ticket).collect::<Vec<_>>() {
            let late = Outcome::unsure(Cause::Deadline);
            actions.extend(self.jobs.get(&ticket).map(|job| job.clone().reply(late)));
            actions.extend(self.withdraw(now, ticket, Sign::Timeout));
        }
        for replica in self.held.keys().copied().collect::<Vec<_>>() {
            let held = self.held.get_mut(&replica);
            let steps = held.map(|held| held.gate.tick(now)).unwrap_or_default();
            actions.extend(self.apply(now, steps));
            actions.extend(self.hint(now, replica));
        }
        actions
    }
}

fn sign(exchange: &Exchange) -> Sign {
    match exchange {
        Exchange::Done { shed: true, .. } => Sign::Shed,
        Exchange::Done {
            answer,
            draining: false,
            ..
        } if STATUS_SHED.contains(&answer.status) => Sign::Shed,
        Exchange::Done { boot, draining, .. } => Sign::Success {
            boot: boot.clone(),
            draining: *draining,
        },
        Exchange::NotSent | Exchange::Broken => Sign::Reset,
        Exchange::Garbled => Sign::Cancelled,
    }
}

fn outcome(exchange: Exchange) -> Outcome {
    match exchange {
        Exchange::Done { shed: true, .. } => Outcome::refused(Cause::Shed),
        Exchange::Done { answer, .. } if answer.status == STATUS_VERSION => Outcome::Moved {
            index: answer.index,
        },
        Exchange::Done { answer, .. } => Outcome::Answered(answer),
        Exchange::NotSent => Outcome::refused(Cause::Unreachable),
        Exchange::Broken => Outcome::unsure(Cause::Died),
        Exchange::Garbled => Outcome::unsure(Cause::Garbled),
    }
}
