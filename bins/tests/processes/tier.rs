//! A tier with discovered hosts as processes: voters, entry hosts and a fake list of replicas.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;
use wagtailbeam_adapter::dialect::Dialect as _;
use wagtailbeam_fakes::caller;
use wagtailbeam_platform::Dialect;
use wagtailbeam_platform::encode;
use wagtailbeam_soak::deployment::Deployment;
use wagtailbeam_soak::deployment::VOTERS;
use wagtailbeam_soak::list;
use wagtailbeam_soak::process::Process;

/// Value of the `Host` header that the fake caller sends.
const HOSTNAME: &str = "wagtailbeam";

/// Longest wait for all entry hosts to serve.
const START_MAX: Duration = Duration::from_secs(60);

/// An answer: when its request was sent, its status and its `Retry-After`.
#[derive(Clone, Debug)]
pub struct Sample {
    pub sent: Instant,
    pub status: u16,
    pub retry_after: Option<f64>,
}

/// The processes of a tier.
pub struct Tier {
    pub deployment: Deployment,
    pub entries: Vec<Process>,
    pub voters: Vec<Process>,
    _list: watch::Sender<list::View>,
}

/// Path of the folder for the processes of a test.
pub fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// An empty folder for the processes of a test.
pub fn folder(name: &str) -> PathBuf {
    let folder = path(name);
    drop(std::fs::remove_dir_all(&folder));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Runs a test on one thread.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(test);
}

impl Tier {
    /// Starts voters and entry hosts with these additional settings, and a list of these replicas.
    pub async fn start(
        deployment: Deployment,
        folder: &Path,
        replicas: Vec<encode::Replica>,
        settings: &str,
    ) -> Tier {
        let view = list::View {
            replicas,
            ..list::View::default()
        };
        let (list, receiver) = watch::channel(view);
        list::start(deployment.list_address, receiver)
            .await
            .unwrap();
        let program = Path::new(env!("CARGO_BIN_EXE_wagtailbeamd"));
        let start = |name: String, settings: String| {
            let mut process = Process::new(program, folder, &name, &settings).unwrap();
            process.start().unwrap();
            process
        };
        let voters = (0..VOTERS).map(|index| {
            let data = folder.join(format!("data-{index}"));
            start(
                format!("voter-{index}"),
                deployment.voter_settings(index, &data, true),
            )
        });
        let voters = voters.collect();
        let entries = (0..deployment.entry_hosts).map(|index| {
            let all = deployment.entry_settings(index) + settings;
            start(format!("entry-{index}"), all)
        });
        let entries = entries.collect();
        Tier {
            entries,
            voters,
            _list: list,
            deployment,
        }
    }

    /// Puts the configuration with these accounts into force.
    pub async fn configure(&self, version: u64, accounts: Vec<encode::Account>) {
        self.put(self.document(version, accounts)).await;
    }

    /// The configuration with these accounts.
    pub fn document(&self, version: u64, accounts: Vec<encode::Account>) -> String {
        encode::configuration(&encode::Configuration {
            hostname: HOSTNAME.to_owned(),
            accounts: Some(accounts),
            ..self.deployment.configuration(version)
        })
    }

    /// Puts a configuration into force.
    pub async fn put(&self, document: String) {
        let started = Instant::now();
        loop {
            let path = encode::CONFIGURATION_PATH;
            let answer = self.operate(0, "PUT", path, &document).await;
            if answer.is_some_and(|answer| answer.status == 200) {
                return;
            }
            assert!(started.elapsed() < START_MAX, "configuration not accepted");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Makes an operator's call at a voter; `None` if there is no answer.
    pub async fn operate(
        &self,
        voter: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<caller::Answer> {
        let request = caller::Request {
            method: method.to_owned(),
            path: path.to_owned(),
            body: body.to_owned().into(),
            ..caller::Request::default()
        };
        let address = self.deployment.operator_address(voter);
        caller::send(address, &request).await.ok()
    }

    /// Waits until each entry host serves this account.
    pub async fn wait_serving(&self, account: &str) {
        let started = Instant::now();
        for entry in 0..self.entries.len() {
            while self.send(entry, account, "/once/x").await.status != 200 {
                assert!(
                    started.elapsed() < START_MAX,
                    "entry-{entry} does not serve"
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Sends a request of an account; status 0 stands for no answer.
    pub async fn send(&self, entry: usize, account: &str, path: &str) -> Sample {
        send(&self.deployment, entry, account, path).await
    }
}

/// Sends a request of an account; status 0 stands for no answer.
pub async fn send(deployment: &Deployment, entry: usize, account: &str, path: &str) -> Sample {
    let request = request(&format!("key-of-{account}"), path);
    let sent = Instant::now();
    let exchange = caller::send(deployment.caller_address(entry), &request);
    let answer = tokio::time::timeout(Duration::from_secs(2), exchange).await;
    match answer {
        Ok(Ok(answer)) => Sample {
            sent,
            status: answer.status,
            retry_after: answer
                .header("retry-after")
                .and_then(|text| text.parse().ok()),
        },
        _ => Sample {
            sent,
            status: 0,
            retry_after: None,
        },
    }
}

/// A request with this key and the headers that the platform's callers send.
pub fn request(key: &str, path: &str) -> caller::Request {
    let names = Dialect::default().headers().clone();
    let id = format!("{:?}", Instant::now());
    let request = caller::get(key, path);
    let own = [
        (names.request.to_string(), id.replace(' ', "")),
        (names.deadline.to_string(), "2000".to_owned()),
    ];
    let headers = request.headers.iter().cloned().chain(own);
    caller::Request {
        headers: headers.collect(),
        ..request
    }
}
