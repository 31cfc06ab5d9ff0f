//! Limits that replicas name, in a tier with discovered hosts.
//!
//! Load pattern: a replica in need names in its answers the requests per second that it takes
//! from all hosts together, for as long as it says so. Traffic is spread unevenly over the hosts,
//! hosts come and go, and a limit may be smaller than the number of hosts.
//!
//! The [`Ledger`] of a process holds the limits that were named, and by which run of a replica.
//! Hosts exchange their ledgers, and the [`Demand`] of their callers, through the voters. From
//! these each host derives its own [`Share`] of a limit with [`divide`], without asking others,
//! and keeps to it with a [`Bucket`]. See `throttle` for the entry host's side.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::fleet::Instance;
use crate::name::Name;

/// Lowest rate at which a replica is asked, in requests per second: only an answer can take a
/// limit back.
const RATE_MIN: f64 = 0.25;

/// Requests of a share that may be saved up, as the time in which they accrue.
const BURST: Span = Span::from_secs(1);

/// Hosts that share a limit of zero; a burst of one request for each stays within what a window
/// tolerates beyond the limit.
const SHARERS_MIN: f64 = 2.0;

/// Further hosts that share a limit, for each request per second.
const SHARERS_PER_RATE: f64 = 0.5;

/// Time after which it is forgotten that a replica took its limit back.
const LIFTED_TTL: Span = Span::from_secs(30);

/// Time constant of the moving average of a route's requests.
const DEMAND_WINDOW: Span = Span::from_secs(2);

/// Requests per second, in thousandths.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{}", self.per_second())]
pub struct Rate(u64);

impl Rate {
    /// The rate of this many requests per second; `None` unless it is a finite number of at
    /// least zero.
    pub fn from_per_second(rate: f64) -> Option<Rate> {
        let valid = rate.is_finite() && rate >= 0.0;
        valid.then_some(Rate((rate * 1_000.0) as u64))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

/// What an answer of a replica says about its limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Statement {
    /// There was no answer of this replica.
    #[default]
    Nothing,
    /// The replica names no limit.
    Unlimited,
    /// The replica takes this rate from all hosts together.
    Limited(Rate),
}

/// Calls of one host to a replica that names a limit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Usage {
    /// Service of the replica.
    pub service: Name,
    /// Identifier of the replica.
    pub replica: Name,
    /// The limit that it names.
    pub limit: Rate,
    /// Number of calls sent.
    pub calls: u32,
}

/// A replica's limit as a process tells it to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The run of the replica.
    pub instance: Instance,
    /// The limit that it named last; absent if it took its limit back.
    pub limit: Option<Rate>,
    /// Time since an answer said so.
    pub age: Span,
}

/// Requests of callers on a route at one host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// Address of the host.
    pub host: SocketAddr,
    /// Name of the route.
    pub route: Name,
    /// Requests per second.
    pub rate: Rate,
}

/// What a process tells another about limits.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Digest of the sender's ledger; zero if no replica names a limit.
    pub digest: u64,
    /// All records, if the receiver's ledger differs, else none.
    pub records: Vec<Record>,
    /// Demand at the hosts that the sender knows of; empty while no replica names a limit.
    pub demands: Vec<Demand>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// The limit that the replica named last; absent if it took its limit back.
    limit: Option<Rate>,
    /// When it last said so.
    heard_at: Time,
}

/// The limits that replicas named, as known to one process.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    entries: BTreeMap<Instance, Entry>,
    digest: u64,
}

impl Ledger {
    /// Whether no replica names a limit, or named one lately.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The limit of a replica; absent if it names none.
    pub fn limit(&self, instance: &Instance) -> Option<Rate> {
        self.entries.get(instance)?.limit
    }

    /// Digest of all limits; zero without any.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Records what an answer of a replica says. Returns whether its limit changed.
    pub fn hear(&mut self, now: Time, instance: &Instance, statement: Statement) -> bool {
        let limit = match statement {
            Statement::Nothing => return false,
            Statement::Unlimited if self.limit(instance).is_none() => return false,
            Statement::Unlimited => None,
            Statement::Limited(rate) => Some(rate),
        };
        self.set(now, instance, limit)
    }

    /// Stores what a replica said at this time. Returns whether its limit changed.
    fn set(&mut self, heard_at: Time, instance: &Instance, limit: Option<Rate>) -> bool {
        let entry = Entry { limit, heard_at };
        let earlier = match self.entries.get_mut(instance) {
            Some(known) => std::mem::replace(known, entry).limit,
            None => {
                self.entries.insert(instance.clone(), entry);
                None
            }
        };
        let changed = earlier != limit;
        if changed {
            self.update_digest();
        }
        changed
    }

    /// Adopts the newer ones of another process's records. Returns the replicas whose limit
    /// changed.
    pub fn merge(&mut self, now: Time, records: Vec<Record>) -> Vec<Instance> {
        let mut changed = Vec::new();
        for record in records {
            let heard_at = Time::from_us(now.as_us().saturating_sub(record.age.as_us()));
            let known = self.entries.get(&record.instance);
            let newer = known.is_none_or(|known| known.heard_at < heard_at);
            if newer && self.set(heard_at, &record.instance, record.limit) {
                changed.push(record.instance);
            }
        }
        changed
    }

    /// Drops what is known of replicas that are not among the listed ones, and of limits that
    /// were taken back long ago.
    pub fn retain(&mut self, now: Time, listed: impl Fn(&Instance) -> bool) {
        self.entries.retain(|instance, entry| {
            let lasts = entry.limit.is_some() || now.since(entry.heard_at) < LIFTED_TTL;
            lasts && listed(instance)
        });
        self.update_digest();
    }

    /// The digest, and all records unless the receiver's ledger has the same one.
    pub fn report(&self, now: Time, known: u64) -> Report {
        let records = self.entries.iter().map(|(instance, entry)| Record {
            instance: instance.clone(),
            limit: entry.limit,
            age: now.since(entry.heard_at),
        });
        let differs = known != self.digest;
        Report {
            digest: self.digest,
            records: records.filter(|_| differs).collect(),
            demands: Vec::new(),
        }
    }

    /// Replicas that name a limit, with it.
    pub fn limits(&self) -> impl Iterator<Item = (&Instance, Rate)> {
        let entries = self.entries.iter();
        entries.filter_map(|(instance, entry)| Some((instance, entry.limit?)))
    }

    fn update_digest(&mut self) {
        let text = self.limits().map(|(instance, limit)| {
            let Instance { id, born } = instance;
            format!("{id} {born} {limit}\n")
        });
        let text = text.collect::<String>();
        self.digest = match text.is_empty() {
            true => 0,
            false => Digest::of(text.as_bytes()).rank(),
        };
    }
}

/// Moving average of the requests on a route.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    rate: f64,
    updated: Time,
}

impl Meter {
    /// Counts a request.
    pub fn count(&mut self, now: Time) {
        self.rate = self.rate_at(now) + 1e6 / DEMAND_WINDOW.as_us() as f64;
        self.updated = now;
    }

    /// The rate now.
    pub fn rate(&self, now: Time) -> Rate {
        Rate::from_per_second(self.rate_at(now)).unwrap_or_default()
    }

    fn rate_at(&self, now: Time) -> f64 {
        let age = now.since(self.updated).as_us() as f64 / DEMAND_WINDOW.as_us() as f64;
        self.rate * (-age).exp()
    }
}

/// What one host may send of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Requests per second.
    pub rate: f64,
    /// Most requests that may be saved up.
    pub burst: f64,
}

impl Share {
    /// The share that is the whole of a limit.
    pub fn whole(limit: Rate) -> Share {
        Share::equal(limit, 1)
    }

    /// One of `count` equal shares of a limit.
    pub fn equal(limit: Rate, count: u32) -> Share {
        Share::of(limit.per_second().max(RATE_MIN) / f64::from(count.max(1)))
    }

    fn of(rate: f64) -> Share {
        Share {
            rate,
            burst: (rate * BURST.as_us() as f64 / 1e6).max(1.0),
        }
    }
}

/// A host among which a limit is divided, with its weight.
#[derive(Clone, Copy, Debug)]
pub struct Sharer {
    /// Address of the host.
    pub host: SocketAddr,
    /// Its share relative to the others; more than zero.
    pub weight: f64,
}

/// The share of the host `own` in a limit of a replica. If there are too many hosts for the limit,
/// weighted rendezvous hashing picks those that share it, so that what all of them may have saved
/// up stays in proportion to the limit.
///
/// The hashing is that of Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005.
pub fn divide(limit: Rate, replica: &str, sharers: &[Sharer], own: SocketAddr) -> Share {
    let rate = limit.per_second().max(RATE_MIN);
    let count = (SHARERS_MIN + SHARERS_PER_RATE * limit.per_second()) as usize;
    let mut chosen = sharers.to_vec();
    if chosen.len() > count {
        chosen.sort_by(|a, b| distance(replica, a).total_cmp(&distance(replica, b)));
        chosen.truncate(count);
    }
    let total = chosen.iter().map(|sharer| sharer.weight).sum::<f64>();
    let chosen = chosen.iter().find(|sharer| sharer.host == own);
    chosen.map_or(Share::default(), |own| Share::of(rate * own.weight / total))
}

/// Distance of a host from a replica in weighted rendezvous hashing. The weight counts by its
/// order of magnitude, so that small changes don't move limits between hosts.
fn distance(replica: &str, sharer: &Sharer) -> f64 {
    let host = sharer.host.to_string();
    let rank = Digest::of_parts(&[replica.as_bytes(), host.as_bytes()]).rank();
    let uniform = (rank as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -uniform.ln() / sharer.weight.log2().round().exp2()
}

/// How much of a bucket a call may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Need {
    /// All of it: a first call of one of the most urgent requests to the service.
    Urgent,
    /// What is left above a reserve for urgent calls.
    Spare,
}

/// Token bucket of one host for the calls to a replica that names a limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    share: Share,
    tokens: f64,
    /// Callers that were told to come back, and are not due yet.
    promised: f64,
    refilled: Time,
}

impl Bucket {
    /// An empty bucket: calls that are under way when the limit is named are not counted.
    pub fn new(now: Time, share: Share) -> Bucket {
        Bucket {
            share,
            refilled: now,
            ..Bucket::default()
        }
    }

    /// A bucket that holds this many tokens, at most its burst.
    pub fn holding(now: Time, share: Share, tokens: f64) -> Bucket {
        Bucket {
            tokens: tokens.min(share.burst),
            ..Bucket::new(now, share)
        }
    }

    /// Starts anew with this many tokens, at most the burst.
    pub fn restart(&mut self, now: Time, tokens: f64) {
        *self = Bucket::holding(now, self.share, tokens);
    }

    /// Changes the share from now on.
    pub fn set_share(&mut self, now: Time, share: Share) {
        self.refill(now);
        self.share = share;
        self.tokens = self.tokens.min(share.burst);
    }

    /// Tokens that accrued since the last refill.
    fn accrued(&self, now: Time) -> f64 {
        self.share.rate * now.since(self.refilled).as_us() as f64 / 1e6
    }

    /// Tokens now.
    pub fn tokens(&self, now: Time) -> f64 {
        (self.tokens + self.accrued(now)).min(self.share.burst)
    }

    /// Callers that were told to come back and are not due yet.
    fn promised(&self, now: Time) -> f64 {
        (self.promised - self.accrued(now)).max(0.0)
    }

    fn refill(&mut self, now: Time) {
        (self.tokens, self.promised) = (self.tokens(now), self.promised(now));
        self.refilled = now;
    }

    /// Tokens that a call must find.
    fn needed(&self, need: Need) -> f64 {
        match need {
            Need::Urgent => 1.0,
            Need::Spare => (1.0 + self.share.burst / 2.0).min(self.share.burst.max(1.0)),
        }
    }

    /// Whether a call may be sent now.
    pub fn allows(&self, now: Time, need: Need) -> bool {
        self.tokens(now) >= self.needed(need)
    }

    /// Counts a call that is sent.
    pub fn take(&mut self, now: Time) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    /// Time until a call may be sent, behind the callers that were told to come back;
    /// [`Span::MAX`] without a share.
    pub fn wait(&self, now: Time, need: Need) -> Span {
        let missing = (self.needed(need) - self.tokens(now)).max(0.0);
        self.time_for(missing + self.promised(now))
    }

    /// Time until an urgent call may be sent behind `ahead` other ones; [`Span::MAX`] without a
    /// share.
    pub fn wait_behind(&self, now: Time, ahead: usize) -> Span {
        let needed = self.needed(Need::Urgent) + ahead as f64;
        self.time_for((needed - self.tokens(now)).max(0.0))
    }

    /// Time in which this many tokens accrue.
    fn time_for(&self, tokens: f64) -> Span {
        match self.share.rate > 0.0 {
            true => Span::from_us((tokens / self.share.rate * 1e6) as u64),
            false => Span::MAX,
        }
    }

    /// Counts callers that are told to come back, or the part of them that this bucket serves.
    pub fn promise(&mut self, now: Time, callers: f64) {
        self.refill(now);
        self.promised += callers;
    }
}

/// Limits and demands that a voter collects from entry hosts and from the other voters.
#[derive(Clone, Debug, Default)]
pub struct Board {
    ledger: Ledger,
    /// Demands by the process that reported them, with the time of the report.
    demands: BTreeMap<SocketAddr, (Vec<Demand>, Time)>,
}

impl Board {
    /// Adopts the report of the process at `from`.
    pub fn merge(&mut self, now: Time, from: SocketAddr, report: Report) {
        self.ledger.merge(now, report.records);
        match report.demands.is_empty() {
            true => drop(self.demands.remove(&from)),
            false => drop(self.demands.insert(from, (report.demands, now))),
        }
    }

    /// Drops limits of replicas that are not listed, and demands that are older than `age_max`.
    pub fn retain(&mut self, now: Time, age_max: Span, listed: impl Fn(&Instance) -> bool) {
        self.ledger.retain(now, listed);
        self.demands.retain(|_, (_, at)| now.since(*at) < age_max);
    }

    /// Digest of the ledger; zero if no replica names a limit.
    pub fn digest(&self) -> u64 {
        self.ledger.digest()
    }

    /// Report with the demands that the processes in `sources` told of, or all if that is absent.
    /// `known` is the digest of the receiver's ledger.
    pub fn report(&self, now: Time, known: u64, sources: Option<&BTreeSet<SocketAddr>>) -> Report {
        let wanted = |from: &SocketAddr| sources.is_none_or(|sources| sources.contains(from));
        let demands = self.demands.iter().filter(|(from, _)| wanted(from));
        let demands = demands.flat_map(|(_, (demands, _))| demands.iter().cloned());
        let limited = self.digest() != 0;
        Report {
            demands: demands.filter(|_| limited).collect(),
            ..self.ledger.report(now, known)
        }
    }
}
