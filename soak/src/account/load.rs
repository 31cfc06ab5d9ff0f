//! Callers of the accounts with changing keys and quotas, and the checks at the end of a run.

use std::io::Result;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::CHANGING;
use super::STEADY;
use super::UNKNOWN_KEY;
use super::key;
use super::ledger::Ledger;
use crate::caller::Caller;
use crate::checker::CONTACT;
use crate::checker::Shared;
use crate::cluster::Cluster;
use crate::deployment::Deployment;
use crate::fault::Fault;
use crate::proxy;
use crate::run::RECOVERY_MAX;

/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(12);

/// Pause between two requests under revoked keys while all processes are restarted.
const REVOKED_PAUSE: Duration = Duration::from_millis(20);

/// Requests of each account that are sent at the end.
const LAST_REQUESTS: usize = 6;

/// Pause between two of these; longer than the time between two tokens of the smallest quota.
const LAST_PAUSE: Duration = Duration::from_millis(500);

/// Whose key a request has.
#[derive(Clone, Copy, Debug)]
enum Sender {
    Unknown,
    Rotating,
    Steady,
    Changing,
}

/// Senders of consecutive requests. The accounts with a quota send more than twice as much as it.
const SENDERS: [Sender; 8] = [
    Sender::Unknown,
    Sender::Rotating,
    Sender::Steady,
    Sender::Changing,
    Sender::Rotating,
    Sender::Steady,
    Sender::Changing,
    Sender::Changing,
];

impl Sender {
    fn key(self, checker: &Shared, rng: &mut ChaCha8Rng) -> String {
        match self {
            Sender::Unknown => UNKNOWN_KEY.to_owned(),
            Sender::Rotating => checker.lock().accounts.random_key(rng),
            Sender::Steady => key(STEADY, 0),
            Sender::Changing => key(CHANGING, 0),
        }
    }
}

/// Sends requests under all kinds of keys to random entry hosts, whether earlier ones were answered
/// or not, until `stopped` becomes true.
async fn send(
    deployment: Deployment,
    mut rng: ChaCha8Rng,
    checker: Shared,
    stopped: watch::Receiver<bool>,
) {
    let mut count = 0;
    while !*stopped.borrow() {
        tokio::time::sleep(PAUSE).await;
        count += 1;
        let key = SENDERS[count % SENDERS.len()].key(&checker, &mut rng);
        let host = rng.random_range(0..deployment.entry_hosts);
        let is_gather = rng.random_bool(0.2);
        let id = format!("account-{count}");
        tokio::spawn(send_one(
            deployment.clone(),
            checker.clone(),
            (id, key, host),
            is_gather,
        ));
    }
}

/// Sends a request with this id and key to an entry host and returns the status of its answer.
async fn send_one(
    deployment: Deployment,
    checker: Shared,
    (id, key, host): (String, String, usize),
    is_gather: bool,
) -> Option<u16> {
    checker.lock().accounts.record_sent(&id, &key, host);
    let caller = Caller::new(host as u64, 0, &deployment, checker.clone());
    caller.send_one(id.clone(), is_gather).await;
    checker.lock().accounts.status(&id)
}

/// Sends requests under these keys to all entry hosts in turn until `stopped` becomes true, and
/// reports those that are served.
async fn send_revoked(
    deployment: Deployment,
    keys: Vec<String>,
    checker: Shared,
    stopped: watch::Receiver<bool>,
) {
    let mut count = 0;
    while !*stopped.borrow() && !keys.is_empty() {
        let key = keys[count % keys.len()].clone();
        let host = count % deployment.entry_hosts;
        count += 1;
        let id = format!("revoked-{count}");
        let (deployment, checker) = (deployment.clone(), checker.clone());
        tokio::spawn(async move {
            let request = (id, key.clone(), host);
            let status = send_one(deployment, checker.clone(), request, false).await;
            if status == Some(200) {
                checker.lock().accounts.report_violation(format!(
                    "entry-{host} serves the revoked key {key} after a restart"
                ));
            }
        });
        tokio::time::sleep(REVOKED_PAUSE).await;
    }
}

impl Cluster {
    /// Makes the configurations of a run with accounts declare them.
    pub(crate) fn declare_accounts(&self, seed: u64) {
        if self.deployment.accounts {
            self.checker.lock().accounts = Ledger::new(seed);
        }
    }

    /// Starts the callers of the accounts, if there are any.
    pub(crate) fn start_account_callers(
        &self,
        seed: u64,
        stopped: watch::Receiver<bool>,
    ) -> JoinHandle<()> {
        let enabled = self.deployment.accounts;
        let (deployment, checker) = (self.deployment.clone(), self.checker.clone());
        let rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(48) ^ !seed);
        tokio::spawn(async move {
            if enabled {
                send(deployment, rng, checker, stopped).await;
            }
        })
    }

    /// Records a fault that lasts until `until`, if hosts may not learn of new configurations in
    /// that time, or if it delays requests to a replica.
    pub(crate) fn record_account_fault(&self, fault: &Fault, no_majority: bool, until: Instant) {
        let mut checker = self.checker.lock();
        let accounts = &mut checker.accounts;
        match fault {
            Fault::PauseEntry(host) | Fault::StopEntry(host) => {
                accounts.record_outage(Some(*host), until);
            }
            Fault::KillAllVoters => accounts.record_outage(None, until),
            Fault::Link(index, proxy::Mode::Stall) => {
                accounts.record_stall(&self.backends[*index].limited().id, until);
            }
            _ if no_majority => accounts.record_outage(None, until),
            _ => {}
        }
    }

    /// In runs with accounts, checks with no faults in effect that no entry host takes a revoked key
    /// while and after all processes are restarted, and that valid callers are served within their
    /// quotas.
    pub(crate) async fn check_accounts(&mut self) -> Result<()> {
        if !self.deployment.accounts {
            return Ok(());
        }
        let (stop, stopped) = watch::channel(false);
        let keys = self.checker.lock().accounts.revoked_keys();
        let revoked = tokio::spawn(send_revoked(
            self.deployment.clone(),
            keys,
            self.checker.clone(),
            stopped,
        ));
        self.restart_all().await?;
        let deadline = Instant::now() + RECOVERY_MAX;
        self.wait_for_service("restart with accounts", deadline)
            .await;
        tokio::time::sleep(CONTACT).await;
        stop.send_replace(true);
        revoked.await.map_err(std::io::Error::other)?;
        self.check_valid_callers().await;
        self.poll()
    }

    /// Checks that each account is served within its quota, at one host after the other.
    async fn check_valid_callers(&self) {
        let rotating = self.checker.lock().accounts.newest_key();
        let keys = [key(STEADY, 0), key(CHANGING, 0), rotating];
        for turn in 0..LAST_REQUESTS {
            for (number, key) in keys.iter().enumerate() {
                let id = format!("last-{number}-{turn}");
                let host = turn % self.deployment.entry_hosts;
                self.check_valid_caller(id, key, host).await;
            }
            tokio::time::sleep(LAST_PAUSE).await;
        }
    }

    async fn check_valid_caller(&self, id: String, key: &str, host: usize) {
        let request = (id, key.to_owned(), host);
        let (deployment, checker) = (self.deployment.clone(), self.checker.clone());
        let status = send_one(deployment, checker, request, false).await;
        if status != Some(200) {
            let status = status.map_or("nothing".to_owned(), |status| status.to_string());
            self.checker.lock().accounts.report_violation(format!(
                "entry-{host} answers {status} to the valid key {key} within its quota"
            ));
        }
    }
}
