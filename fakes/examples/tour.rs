//! Runs daemons and fake backend servers in one process, applies a manifest, sends a query,
//! and sends one job with an idempotency key to two daemons. The job runs once: the second
//! daemon replays the recorded answer.

use std::time::Duration;

use wagtailbeam_adapter::admin::Applied;
use wagtailbeam_adapter::node;
use wagtailbeam_fakes::backend::Behavior;
use wagtailbeam_fakes::backend::Cluster;
use wagtailbeam_fakes::caller;
use wagtailbeam_fakes::fleet;

/// Shards of the example service.
const SHARDS: usize = 20;

/// Replicas of each shard.
const REPLICAS: usize = 2;

fn main() -> Result<(), caller::Error> {
    let names = (0..SHARDS).flat_map(|s| (0..REPLICAS).map(move |r| format!("gate-{s:02}-{r}")));
    let names = names.collect::<Vec<_>>();
    let cluster = Cluster::start(&names, &Behavior::default(), 7);
    println!(
        "{} fake backend servers: {SHARDS} shards with {REPLICAS} replicas",
        names.len()
    );
    let folder = tempfile::tempdir()?;
    let hosts = fleet::allocate(5, 3, folder.path());
    let mut daemons = Vec::new();
    for index in 0..hosts.len() {
        let config = fleet::config(&hosts, index);
        node::format(&config)?;
        daemons.push(fleet::Daemon::start(config));
    }
    println!("{} daemons, the first 3 of them voters", hosts.len());
    let service = fleet::Service::of(
        "desk-gate",
        "slots = 2\nconnections = 25\nwarmup = 0s\n",
        &cluster,
        REPLICAS,
    );
    let manifest = fleet::manifest(1, &[service], &["airline-one"], &[]);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(send_requests(&hosts, &manifest))?;
    daemons.iter_mut().for_each(fleet::Daemon::stop);
    println!("all daemons stopped");
    Ok(())
}

/// Applies the manifest, waits for a complete answer to a query, and sends the job twice.
/// Repeats the manifest until the voters have decided on it, and the query while shards are
/// missing. A failed connection for a query or job is an error.
async fn send_requests(hosts: &[fleet::Host], manifest: &str) -> Result<(), caller::Error> {
    let client = fleet::client(&hosts[0]);
    loop {
        match client.apply(manifest).await {
            Ok(Applied::Decided {
                version,
                acceptance,
            }) => {
                println!("apply: version {version} {acceptance}");
                break;
            }
            _ => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    }
    let (in_force, daemons) = client.wait_in_force(1, Duration::from_secs(6)).await;
    println!("in force on {in_force} of {daemons} daemons");
    let key = fleet::caller_key("airline-one");
    let query = caller::get(&key, "/desk-gate/eligibility?card=7");
    loop {
        let answer = caller::send(hosts[3].callers, &query).await?;
        if answer.coverage() == (SHARDS as u64, SHARDS as u64) {
            let json = answer.json();
            println!(
                "query at entry-4: snapshot {}, coverage {}",
                json["snapshot"], json["coverage"]
            );
            println!("  first result {}", json["results"]["00"]);
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let job = caller::post(&key, "/desk-gate/entries", "visit-4711", "{\"visit\":4711}");
    for host in [&hosts[3], &hosts[4]] {
        let answer = caller::send(host.callers, &job).await?;
        let replayed = answer.header("wagtailbeam-replayed").unwrap_or("no");
        let body = String::from_utf8_lossy(&answer.body);
        println!(
            "job at {}: status {}, replayed {replayed}, {body}",
            host.name, answer.status
        );
    }
    Ok(())
}
