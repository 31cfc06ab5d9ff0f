//! Records under which keys callers send requests and which of them reach replicas, and checks that
//! against the configurations.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use hyper::HeaderMap;
use hyper::Uri;
use hyper::header::AUTHORIZATION;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use wagtailbeam_adapter::dialect::Dialect as _;
use wagtailbeam_decision::name::Name;
use wagtailbeam_platform::Dialect;
use wagtailbeam_platform::encode::Account;

use super::KEY_MARK;
use super::PERMANENT;
use super::ROTATING;
use super::declaration::Declaration;
use super::key;
use super::quota;
use super::quota::Fullest;
use super::quota::Quotas;
use super::summary::Summary;
use crate::cluster::UPDATE_LAG_MAX;

/// Longest time after the confirmation of a configuration without a key in which requests under that
/// key may still run.
pub const REVOKED_LAG: Duration = Duration::from_secs(5);

/// Time after the end of a fault of a link in which bytes that it held back arrive.
const STALL_LAG: Duration = Duration::from_millis(500);

/// Newest keys of an account that callers use, most of them revoked.
const KEYS_USED: usize = 8;

/// Value of the account header that callers forge.
const FORGED_ACCOUNT: &str = "forged";

/// A key that was declared.
#[derive(Clone, Debug)]
struct Key {
    account: Name,
    text: String,
    /// When a configuration without it was confirmed.
    revoked: Option<Instant>,
}

/// A request that a caller sends.
#[derive(Clone, Debug)]
struct Sent {
    key: String,
    /// Entry host that gets it; absent for callers whose key stays valid.
    host: Option<usize>,
    status: Option<u16>,
}

/// A time in which hosts may not learn of new configurations.
#[derive(Clone, Copy, Debug)]
struct Outage {
    /// The host that is frozen or stopping; absent if the voters have no majority.
    host: Option<usize>,
    from: Instant,
    until: Instant,
}

/// A request that arrives at a replica.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Instance id of the replica.
    pub replica: &'a str,
    /// Id of the request.
    pub request: &'a str,
    /// Its path and query.
    pub uri: &'a Uri,
    /// Its headers.
    pub headers: &'a HeaderMap,
    /// Whether the replica begins to run it.
    pub runs: bool,
}

/// The accounts of a run and what was observed of them. It records nothing by default.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Absent in runs without accounts.
    declaration: Option<Declaration>,
    /// Accounts of the configurations, by version.
    versions: BTreeMap<u64, Vec<Account>>,
    /// Declared keys, in the order of their declaration.
    keys: Vec<Key>,
    sent: BTreeMap<String, Sent>,
    quotas: Quotas,
    /// In the order in which they began.
    outages: Vec<Outage>,
    /// Times in which the link of a replica held bytes back.
    stalls: Vec<(Name, Instant, Instant)>,
    identified: usize,
    violations: Vec<String>,
}

impl Ledger {
    /// The ledger of a run in which configurations declare accounts.
    pub fn new(seed: u64) -> Ledger {
        Ledger {
            declaration: Some(Declaration::new(seed)),
            ..Ledger::default()
        }
    }

    /// The accounts of the configuration with this version, which is sent now.
    pub fn declare(&mut self, version: u64) -> Option<Vec<Account>> {
        let declaration = self.declaration.as_mut()?;
        declaration.advance();
        let accounts = declaration.accounts();
        for account in &accounts {
            for text in &account.keys {
                self.add_key(&account.name, text);
            }
        }
        self.quotas.declare(&accounts);
        self.versions.insert(version, accounts.clone());
        Some(accounts)
    }

    fn add_key(&mut self, account: &Name, text: &str) {
        if self.key(text).is_none() {
            self.keys.push(Key {
                account: account.clone(),
                text: text.to_owned(),
                revoked: None,
            });
        }
    }

    fn key(&self, text: &str) -> Option<&Key> {
        self.keys.iter().find(|key| key.text == text)
    }

    /// Records that a voter confirmed the configuration with this version.
    pub fn confirm(&mut self, version: u64) {
        let Some(accounts) = self.versions.remove(&version) else {
            return;
        };
        self.declaration.iter_mut().for_each(Declaration::begin);
        for key in &mut self.keys {
            let declared = accounts
                .iter()
                .any(|account| account.keys.contains(&key.text));
            if !declared {
                key.revoked.get_or_insert_with(Instant::now);
            }
        }
        self.quotas.confirm(&accounts);
    }

    /// One of the newest keys of the account with revoked keys.
    pub fn random_key(&self, rng: &mut ChaCha8Rng) -> String {
        let rotating = self
            .keys
            .iter()
            .rev()
            .filter(|key| &*key.account == ROTATING);
        let newest = rotating.take(KEYS_USED).collect::<Vec<_>>();
        match newest.len() {
            0 => key(ROTATING, 0),
            count => newest[rng.random_range(0..count)].text.clone(),
        }
    }

    /// The newest key of the same account, which is valid.
    pub fn newest_key(&self) -> String {
        let mut newest = self.keys.iter().rev();
        let newest = newest.find(|key| &*key.account == ROTATING && key.revoked.is_none());
        newest.map_or_else(|| key(ROTATING, 0), |key| key.text.clone())
    }

    /// All keys that were revoked so long ago that no host may take them.
    pub fn revoked_keys(&self) -> Vec<String> {
        let revoked = self.keys.iter().filter(|key| {
            let since = key.revoked.map(|at| at.elapsed());
            since.is_some_and(|since| since > REVOKED_LAG)
        });
        revoked.map(|key| key.text.clone()).collect()
    }

    /// Records that a caller is about to send a request under a key to an entry host.
    pub fn record_sent(&mut self, request: &str, key: &str, host: usize) {
        let sent = Sent {
            key: key.to_owned(),
            host: Some(host),
            status: None,
        };
        self.sent.insert(request.to_owned(), sent);
    }

    /// Adds the key of a request to its headers, and an account that the caller forges.
    pub fn sign(&mut self, request: &str, headers: &mut HeaderMap) {
        if self.declaration.is_none() {
            return;
        }
        let sent = self.sent.entry(request.to_owned());
        let sent = sent.or_insert_with(|| Sent {
            key: key(PERMANENT, 0),
            host: None,
            status: None,
        });
        if let Ok(credential) = HeaderValue::try_from(format!("Bearer {}", sent.key)) {
            headers.insert(AUTHORIZATION, credential);
        }
        headers.insert(account_header(), HeaderValue::from_static(FORGED_ACCOUNT));
    }

    /// Records the status of a request's answer.
    pub fn record_status(&mut self, request: &str, status: u16) {
        if let Some(sent) = self.sent.get_mut(request) {
            sent.status = Some(status);
        }
    }

    /// The status of a request's answer; `None` if there was no answer.
    pub fn status(&self, request: &str) -> Option<u16> {
        self.sent.get(request)?.status
    }

    /// Records that a host is frozen or stops, or that the voters have no majority (no host).
    pub fn record_outage(&mut self, host: Option<usize>, until: Instant) {
        self.outages.push(Outage {
            host,
            from: Instant::now(),
            until,
        });
    }

    /// Records that the link of a replica holds bytes back.
    pub fn record_stall(&mut self, replica: &Name, until: Instant) {
        let stall = (replica.clone(), Instant::now(), until + STALL_LAG);
        self.stalls.push(stall);
    }

    /// When a host must have followed a change that was confirmed at `changed`, if it has to do so
    /// within `lag`. Outages that begin before extend that time until [`UPDATE_LAG_MAX`] after them.
    fn deadline(&self, changed: Instant, lag: Duration, host: Option<usize>) -> Instant {
        let mut deadline = changed + lag;
        for outage in &self.outages {
            let concerned = outage.host.is_none() || outage.host == host;
            if concerned && outage.from <= deadline && outage.until >= changed {
                deadline = deadline.max(outage.until + UPDATE_LAG_MAX);
            }
        }
        deadline
    }

    /// Checks a request that arrives at a replica now.
    pub fn record_arrival(&mut self, arrival: Arrival<'_>) {
        let known = self.sent.get(arrival.request).cloned();
        let Some(sent) = known.filter(|_| self.declaration.is_some()) else {
            return;
        };
        self.check_secrecy(&arrival);
        let Some(key) = self.key(&sent.key).cloned() else {
            return self.violations.push(format!(
                "{}: reached {} under a key that was never valid",
                arrival.request, arrival.replica
            ));
        };
        self.check_account(&arrival, &key);
        if arrival.runs {
            self.check_revoked(&arrival, &key, sent.host);
            self.quotas.record_run(&key.account, arrival.request);
        }
    }

    /// Checks that a request has neither credentials nor a key.
    fn check_secrecy(&mut self, arrival: &Arrival<'_>) {
        let contains_key = |bytes: &[u8]| {
            let mut parts = bytes.windows(KEY_MARK.len());
            parts.any(|part| part == KEY_MARK.as_bytes())
        };
        let mut fields = arrival.headers.iter();
        let in_headers = fields
            .any(|(name, value)| contains_key(name.as_ref()) || contains_key(value.as_bytes()));
        if arrival.headers.contains_key(AUTHORIZATION)
            || in_headers
            || contains_key(arrival.uri.to_string().as_bytes())
        {
            self.violations.push(format!(
                "{}: its key reached {}",
                arrival.request, arrival.replica
            ));
        }
    }

    /// Checks that a request names the account of its key once, and no other.
    fn check_account(&mut self, arrival: &Arrival<'_>, key: &Key) {
        self.identified += 1;
        let named = arrival.headers.get_all(account_header());
        let named = named.iter().map(HeaderValue::as_bytes).collect::<Vec<_>>();
        if named != [key.account.as_bytes()] {
            let names = named.iter().map(|name| String::from_utf8_lossy(name));
            let names = names.collect::<Vec<_>>().join(", ");
            self.violations.push(format!(
                "{}: reached {} with the accounts [{names}] instead of {}",
                arrival.request, arrival.replica, key.account
            ));
        }
    }

    /// Checks that a request that runs has no key that its host must know to be revoked.
    fn check_revoked(&mut self, arrival: &Arrival<'_>, key: &Key, host: Option<usize>) {
        let Some(revoked) = key.revoked else {
            return;
        };
        let now = Instant::now();
        let stalled = self.stalls.iter().any(|(replica, from, until)| {
            **replica == *arrival.replica && *from <= now && now <= *until
        });
        if !stalled && now > self.deadline(revoked, REVOKED_LAG, host) {
            let after = now.duration_since(revoked).as_millis();
            self.violations.push(format!(
                "{}: sent to entry-{}, ran on {} {after} ms after its key {} was revoked",
                arrival.request,
                host.map_or(-1, |host| host as i64),
                arrival.replica,
                key.text
            ));
        }
    }

    /// Adds a violation.
    pub fn report_violation(&mut self, violation: String) {
        self.violations.push(violation);
    }

    /// Fullest windows of the accounts with quotas.
    fn fullest(&self) -> impl Iterator<Item = (&Name, Fullest)> {
        let applied_until = |at| self.deadline(at, quota::LOWERED_LAG, None);
        self.quotas.fullest(applied_until)
    }

    /// Checks the quotas, and returns all violations.
    pub fn finish(&mut self) -> Vec<String> {
        let exceeded = self.fullest().filter_map(|(account, fullest)| {
            let Fullest { requests, bound } = fullest;
            (requests as f64 > bound).then(|| {
                format!(
                    "{account}: {requests} requests ran within {:?}, at most {bound:.1} may",
                    quota::WINDOW
                )
            })
        });
        let exceeded = exceeded.collect::<Vec<_>>();
        let mut violations = std::mem::take(&mut self.violations);
        violations.extend(exceeded);
        violations
    }

    /// What the run amounted to; absent without accounts.
    pub fn summary(&self) -> Option<Summary> {
        self.declaration.as_ref()?;
        let mut statuses = BTreeMap::new();
        for status in self.sent.values().filter_map(|sent| sent.status) {
            *statuses.entry(status).or_default() += 1;
        }
        let fullest = self.fullest();
        Some(Summary {
            revoked: self.keys.iter().filter(|key| key.revoked.is_some()).count(),
            identified: self.identified,
            statuses,
            fullest: fullest
                .map(|(account, fullest)| (account.clone(), fullest))
                .collect(),
        })
    }
}

fn account_header() -> HeaderName {
    Dialect::default().headers().account.clone()
}
