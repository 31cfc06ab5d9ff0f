//! Homes of accounts: the hosts that hold the token buckets of their quotas.
//!
//! Load pattern: an account may send all its requests through any host, and move them to others
//! within a second, while a host by itself sees less than a request per second. A quota is
//! therefore kept by few hosts: one home in each failure domain, each with an equal part of it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::account::Account;
use crate::account::Quota;
use crate::account::presence::Part;
use crate::account::token::Outcome;
use crate::account::token::Wait;
use crate::clock::Span;
use crate::clock::Time;
use crate::digest::Digest;
use crate::name::Name;
use crate::plan::Host;
use crate::quota::Bucket;
use crate::quota::Need;
use crate::quota::Share;

/// Share of the tolerated slack that a new bucket holds: its predecessor may have granted its whole
/// burst just before.
const START_SLACK: f64 = 0.1;

/// Most tokens in a new bucket.
const START_MAX: f64 = 2.0;

/// Time without a call after which the process was suspended. The voters replace a silent home
/// after 2.5 s; what accrued meanwhile was granted by its successor.
const SUSPENDED_MIN: Span = Span::from_secs(2);

/// Age of a bucket at a confirmation by the voters from which the host counts as the only home in
/// its domain: all hosts that the voters confirmed within this time know the list that made it one.
const SETTLE_TIME: Span = Span::from_ms(1_500);

/// Time after a confirmation for which a younger bucket grants tokens. The voters confirm every
/// 400 ms; when they stop, hosts may keep lists that name different homes.
const CONFIRMED_MAX: Span = Span::from_ms(500);

/// What the deployment tolerates beyond quotas.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Terms {
    /// Failure domains that have homes; if empty, all with live hosts.
    pub domains: Vec<Name>,
    /// Tolerated requests for each request within a quota.
    pub overage: f64,
    /// Tolerated requests in addition, in each window.
    pub slack: f64,
}

impl Terms {
    /// Part of a quota that one of `count` homes holds.
    fn share(&self, quota: Quota, count: usize) -> Share {
        let count = count.max(1) as f64;
        Share {
            rate: quota.rate * (1.0 + self.overage / 2.0) / count,
            burst: ((quota.burst + self.slack / 2.0) / count).max(1.0),
        }
    }

    /// Tokens in a new bucket.
    fn start(&self) -> f64 {
        (self.slack * START_SLACK).min(START_MAX)
    }
}

/// Which hosts are homes.
#[derive(Clone, Debug, Default)]
pub struct Map {
    /// Hosts that may be homes, with the text by which they are ranked, by domain.
    hosts: BTreeMap<Name, Vec<(SocketAddr, String)>>,
    /// Number of parts into which each quota is divided.
    count: usize,
}

impl Map {
    /// The map for these live hosts.
    pub fn new(terms: &Terms, live: &[Host]) -> Map {
        let mut hosts = BTreeMap::<Name, Vec<_>>::new();
        let declared = |host: &&Host| {
            let domains = &terms.domains;
            domains.is_empty() || domains.contains(&host.domain)
        };
        for host in live.iter().filter(declared) {
            let ranked = (host.address, host.address.to_string());
            hosts.entry(host.domain.clone()).or_default().push(ranked);
        }
        let count = match terms.domains.len() {
            0 => hosts.len(),
            declared => declared,
        };
        Map { hosts, count }
    }

    /// Number of parts into which each quota is divided.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Number of homes of each account.
    pub fn homes(&self) -> usize {
        self.hosts.len()
    }

    /// Home of an account in a failure domain.
    pub fn home(&self, account: &Name, domain: &Name) -> Option<SocketAddr> {
        let rank = |text: &String| Digest::of_parts(&[account.as_bytes(), text.as_bytes()]).rank();
        let hosts = self.hosts.get(domain)?.iter();
        let ranked = hosts.map(|(address, text)| (rank(text), *address));
        ranked.max().map(|(_, address)| address)
    }

    /// Homes of an account in all failure domains but this one.
    pub fn others(&self, account: &Name, domain: &Name) -> Vec<SocketAddr> {
        let domains = self.hosts.keys().filter(|other| *other != domain);
        domains
            .filter_map(|domain| self.home(account, domain))
            .collect()
    }
}

/// An account's bucket.
#[derive(Clone, Copy, Debug)]
struct Holding {
    /// The home's share while no host is cut off.
    share: Share,
    /// Whether the account's home before vanished; it may be cut off and grant a part.
    inherited: bool,
    /// Part of the share that may be granted, from 0 to 1.
    part: f64,
    bucket: Bucket,
    /// When the host became the account's home, or resumed after a suspension.
    since: Time,
}

impl Holding {
    /// A new bucket that holds this many tokens.
    fn new(now: Time, share: Share, tokens: f64) -> Holding {
        Holding {
            share,
            inherited: false,
            part: 1.0,
            bucket: Bucket::holding(now, share, tokens),
            since: now,
        }
    }

    /// Sets the share, and the part of it that may be granted from now on.
    fn set_share(&mut self, now: Time, share: Share, part: Part) {
        let part = match self.inherited {
            true => part.inherited,
            false => part.original,
        };
        if (share, part) == (self.share, self.part) {
            return;
        }
        (self.share, self.part) = (share, part);
        let granted = Share {
            rate: share.rate * part,
            burst: (share.burst * part).max(1.0),
        };
        self.bucket.set_share(now, granted);
    }

    /// Whether the bucket grants tokens, by the time of the last confirmation by the voters. A
    /// bucket that is not settled stops soon after it, as hosts with an older list may use an
    /// earlier home.
    fn grants(&self, now: Time, confirmed_at: Time) -> bool {
        if self.part <= 0.0 {
            return false;
        }
        let settled = confirmed_at.since(self.since) >= SETTLE_TIME;
        settled || now.since(confirmed_at) < CONFIRMED_MAX
    }
}

/// Buckets of the accounts of which a host is a home.
#[derive(Debug)]
pub struct Buckets {
    terms: Terms,
    /// Number of homes of each account.
    homes: usize,
    buckets: BTreeMap<Name, Holding>,
    /// When the voters last confirmed that the host's view of the tier is the newest.
    confirmed_at: Option<Time>,
    /// Time of the last call.
    called_at: Time,
}

impl Buckets {
    /// No buckets.
    pub fn new(terms: Terms) -> Buckets {
        Buckets {
            terms,
            homes: 1,
            buckets: BTreeMap::new(),
            confirmed_at: None,
            called_at: Time::default(),
        }
    }

    /// Sets the accounts of which the host is a home, with whether their home before vanished. A
    /// bucket is kept while the host remains one.
    pub(crate) fn configure<'a>(
        &mut self,
        now: Time,
        map: &Map,
        part: Part,
        accounts: impl Iterator<Item = (&'a Account, bool)>,
    ) {
        self.notice_suspension(now);
        self.homes = map.homes();
        let mut earlier = std::mem::take(&mut self.buckets);
        for (account, inherited) in accounts {
            let Some(quota) = account.quota else {
                continue;
            };
            let share = self.terms.share(quota, map.count());
            let holding = earlier.remove(&account.name);
            let mut holding =
                holding.unwrap_or_else(|| Holding::new(now, share, self.terms.start()));
            holding.inherited = inherited;
            holding.set_share(now, share, part);
            self.buckets.insert(account.name.clone(), holding);
        }
    }

    /// Sets the part of each share that may be granted from now on.
    pub(crate) fn set_part(&mut self, now: Time, part: Part) {
        for holding in self.buckets.values_mut() {
            holding.set_share(now, holding.share, part);
        }
    }

    /// The voters confirmed that the host's view of the tier is the newest.
    pub fn confirm(&mut self, now: Time) {
        self.notice_suspension(now);
        self.confirmed_at = Some(now);
    }

    /// Takes up to this many tokens of an account. A home that may not be the only one in its
    /// domain knows no quota of the account.
    pub fn take(&mut self, now: Time, account: &Name, wanted: u32) -> Outcome {
        self.notice_suspension(now);
        let (Some(holding), Some(confirmed_at)) =
            (self.buckets.get_mut(account), self.confirmed_at)
        else {
            return Outcome::Unknown;
        };
        if !holding.grants(now, confirmed_at) {
            return Outcome::Unknown;
        }
        let bucket = &mut holding.bucket;
        let mut granted = 0;
        while granted < wanted && bucket.allows(now, Need::Urgent) {
            bucket.take(now);
            granted += 1;
        }
        if granted > 0 {
            return Outcome::Granted(granted);
        }
        let wait = Wait {
            turn: bucket.wait(now, Need::Urgent),
            next: bucket.wait_behind(now, 0),
        };
        // A refused caller asked all homes, and comes back once.
        bucket.promise(now, 1.0 / self.homes.max(1) as f64);
        Outcome::Empty(wait)
    }

    /// Whether the host is the home of no account.
    pub(crate) fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Tokens in the bucket of an account; absent if the host is not a home of it.
    pub fn tokens(&self, now: Time, account: &str) -> Option<f64> {
        let holding = self.buckets.get(account)?;
        Some(holding.bucket.tokens(now))
    }

    /// Starts all buckets anew if the process was suspended since the last call. Must be called
    /// at least once a second.
    ///
    /// Without a confirmation before the suspension, buckets stay settled: voters without a
    /// majority name no successors, and homes that are suspended one after another must not all
    /// fall silent until the majority is back.
    pub fn notice_suspension(&mut self, now: Time) {
        if now.since(self.called_at) >= SUSPENDED_MIN {
            let start = self.terms.start();
            let confirmed = self.is_confirmed(self.called_at);
            for holding in self.buckets.values_mut() {
                holding.bucket.restart(now, start);
                if confirmed {
                    holding.since = now;
                }
            }
        }
        self.called_at = now;
    }

    /// Whether the voters confirmed the host's view shortly before this time.
    fn is_confirmed(&self, at: Time) -> bool {
        let confirmed_at = self.confirmed_at;
        confirmed_at.is_some_and(|confirmed_at| at.since(confirmed_at) < CONFIRMED_MAX)
    }
}
