//! Command lines of both programs: `wagtailbeamd`, the daemon, and `wagtailbeam`, the operators'
//! client. The binaries call [`daemon_main`] and [`client_main`].

use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use serde::Serialize;
use snafu::ResultExt;
use tokio::sync::oneshot;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;
use wagtailbeam_decision::burn::Ledger;
use wagtailbeam_decision::digest::Digest;
use wagtailbeam_decision::parse;
use wagtailbeam_decision::register::Acceptance;

use crate::accounts;
use crate::admin::Applied;
use crate::client::Client;
use crate::client::Error;
use crate::dialect::Dialect;
use crate::entry;
use crate::host::Role;
use crate::host::Settings;
use crate::logging;
use crate::node;
use crate::node::SignalSnafu;
use crate::report::Report;
use crate::settings::Config;
use crate::settings::Format;
use crate::signal;
use crate::signal::Signal;
use crate::status::Status;
use crate::voter;

/// Exit code for success.
pub const EXIT_OK: u8 = 0;

/// Exit code if a call, file access or process fails, or `explain` finds no trace.
pub const EXIT_FAILED: u8 = 1;

/// Exit code for faults in a file or command line.
pub const EXIT_FAULTY: u8 = 2;

/// Exit code if the voters refused a file.
pub const EXIT_REFUSED: u8 = 3;

/// Exit code if the outcome of `apply` is unknown; applying the same file again is safe.
pub const EXIT_UNKNOWN: u8 = 4;

/// Exit code if a file was accepted but isn't yet in force on all daemons.
pub const EXIT_PARTIAL: u8 = 5;

/// How long `apply` waits for an accepted file to be in force on all daemons.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(6);

/// Interval at which `status --watch` prints.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Command line of `wagtailbeamd`.
pub fn daemon_command() -> Command {
    Command::new("wagtailbeamd")
        .about("Query tier over many shards: the daemon of one entry host")
        .version(clap::crate_version!())
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required_unless_present("settings-from")
                .value_parser(value_parser!(PathBuf))
                .help("INI file with the settings of this host"),
        )
        .arg(
            Arg::new("settings-from")
                .long("settings-from")
                .value_name("VARIABLE")
                .conflicts_with("settings")
                .help("Environment variable that holds the path of the settings"),
        )
        .arg(
            Arg::new("discover")
                .long("discover")
                .action(ArgAction::SetTrue)
                .conflicts_with("format")
                .help("Run in a tier whose voters, entry hosts and replicas are discovered"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
        .arg(
            Arg::new("format")
                .long("format")
                .action(ArgAction::SetTrue)
                .conflicts_with("check")
                .help("Write the first state of a voter in a new group and exit; never for a replaced disk"),
        )
}

/// Command line of `wagtailbeam`.
pub fn client_command() -> Command {
    let file_arg = || {
        Arg::new("file")
            .value_name("FILE")
            .required(true)
            .value_parser(value_parser!(PathBuf))
            .help("The operators' file")
    };
    let report = Command::new("report")
        .about("Reports")
        .subcommand_required(true)
        .subcommand(
            Command::new("burn")
                .about("Service-level burn by service and caller")
                .arg(
                    Arg::new("out")
                        .long("out")
                        .value_name("FILE")
                        .value_parser(value_parser!(PathBuf))
                        .help("Also write an HTML page"),
                ),
        );
    let status = Command::new("status").about("State of the daemons").arg(
        Arg::new("watch")
            .long("watch")
            .action(ArgAction::SetTrue)
            .help("Print the status every second until interrupted"),
    );
    let explain = Command::new("explain")
        .about("What each sub-request of a recent slow or incomplete request did")
        .arg(Arg::new("request").value_name("REQUEST-ID").required(true));
    let digest = Command::new("digest")
        .about("The digest of a key, for settings and the operators' file")
        .arg(file_arg().help("File that holds the key"));
    Command::new("wagtailbeam")
        .about("Operators' client of wagtailbeam")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg(
            Arg::new("daemon")
                .long("daemon")
                .value_name("IP:PORT")
                .global(true)
                .default_value("127.0.0.1:7002")
                .value_parser(value_parser!(SocketAddr))
                .help("Operators' address of any daemon"),
        )
        .arg(
            Arg::new("key-file")
                .long("key-file")
                .value_name("FILE")
                .global(true)
                .default_value("operator.key")
                .value_parser(value_parser!(PathBuf))
                .help("File that holds the operators' key"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .global(true)
                .help("Print JSON"),
        )
        .subcommand(
            Command::new("check")
                .about("Check a file without a daemon")
                .arg(file_arg()),
        )
        .subcommand(
            Command::new("apply")
                .about("Propose a file to the voters and wait until it is in force")
                .arg(file_arg()),
        )
        .subcommand(status)
        .subcommand(explain)
        .subcommand(report)
        .subcommand(digest)
        .subcommand(accounts::command())
}

/// Runs `future` on a single-threaded runtime. Blocking tasks that are still running afterwards
/// get one second to end.
fn block_on<T>(future: impl Future<Output = T>) -> std::io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let value = runtime.block_on(future);
    runtime.shutdown_timeout(Duration::from_secs(1));
    Ok(value)
}

/// Entry point of `wagtailbeamd`. `dialect` holds the platform's names for a discovered tier.
pub fn daemon_main(dialect: Arc<dyn Dialect>) -> ExitCode {
    let matches = daemon_command().get_matches();
    let Some(path) = settings_path(&matches) else {
        eprintln!("no settings file: the environment variable named by --settings-from is not set");
        return EXIT_FAULTY.into();
    };
    if matches.get_flag("discover") {
        return run_discovered(path, matches.get_flag("check"), dialect);
    }
    let config = match Config::load(&path) {
        Ok(config) => config,
        Err(error) => {
            eprintln!("{error}");
            return EXIT_FAULTY.into();
        }
    };
    if matches.get_flag("check") {
        println!(
            "{}: settings of host {} are usable",
            path.display(),
            config.host
        );
        return EXIT_OK.into();
    }
    if matches.get_flag("format") {
        return exit_code(node::format(&config));
    }
    let guard = init_logging(&config);
    let result = block_on(run_daemon(config));
    drop(guard);
    match result {
        Ok(result) => exit_code(result),
        Err(error) => exit_code(Err(error)),
    }
}

/// Path of the settings, from the command line or from the named environment variable.
fn settings_path(matches: &ArgMatches) -> Option<PathBuf> {
    let named = matches.get_one::<PathBuf>("settings").cloned();
    let variable = matches.get_one::<String>("settings-from");
    named.or_else(|| variable.and_then(std::env::var_os).map(PathBuf::from))
}

/// Runs an entry host or voter of a tier with discovered hosts; with `check`, only checks its
/// settings.
fn run_discovered(path: PathBuf, check: bool, dialect: Arc<dyn Dialect>) -> ExitCode {
    let settings = match Settings::load(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return EXIT_FAULTY.into();
        }
    };
    if check {
        let name = &settings.name;
        println!("{}: settings of host {name} are usable", path.display());
        return EXIT_OK.into();
    }
    let guard = logging::start(&settings.log_filter);
    let result = block_on(async {
        let signals = signal::receive().context(SignalSnafu)?;
        match settings.role {
            Role::Entry => entry::run(path, settings, dialect, signals).await,
            Role::Voter => voter::run(path, settings, dialect, signals).await,
        }
    });
    drop(guard);
    match result {
        Ok(result) => exit_code(result),
        Err(error) => exit_code(Err(error)),
    }
}

/// Exit code of a process; prints the error if there is one.
fn exit_code<E: std::fmt::Display>(result: std::result::Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => EXIT_OK.into(),
        Err(error) => {
            eprintln!("{error}");
            EXIT_FAILED.into()
        }
    }
}

/// Sends logs to the standard error output in the configured format, until the guard is dropped.
fn init_logging(config: &Config) -> WorkerGuard {
    let filter = EnvFilter::try_new(&config.log_filter).unwrap_or_default();
    let (writer, guard) = logging::in_background(std::io::stderr());
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer);
    match config.log_format {
        Format::Text => builder.init(),
        Format::Json => builder.json().init(),
    }
    guard
}

/// Runs a daemon of a group with a settings file until a stop signal.
async fn run_daemon(config: Config) -> node::Result<()> {
    let sockets = node::Sockets::bind(&config).await?;
    let mut signals = signal::receive().context(SignalSnafu)?;
    let (stop, stopped) = oneshot::channel();
    tokio::spawn(async move {
        while let Some(signal) = signals.recv().await {
            if signal == Signal::Stop {
                return stop.send(()).unwrap_or_default();
            }
        }
    });
    node::run(config, sockets, stopped).await
}

/// Entry point of `wagtailbeam`.
pub fn client_main() -> ExitCode {
    let matches = client_command().get_matches();
    match block_on(run_client(&matches)) {
        Ok(Ok(code)) => code.into(),
        Ok(Err(error)) => {
            eprintln!("{error}");
            EXIT_FAILED.into()
        }
        Err(error) => {
            eprintln!("{error}");
            EXIT_FAILED.into()
        }
    }
}

/// Exit code of a subcommand, or why a call or file access failed.
type CommandResult = std::result::Result<u8, Error>;

async fn run_client(matches: &ArgMatches) -> CommandResult {
    match matches.subcommand() {
        Some(("check", sub)) => check(sub),
        Some(("apply", sub)) => apply(sub).await,
        Some(("status", sub)) => status(sub).await,
        Some(("explain", sub)) => explain(sub).await,
        Some(("digest", sub)) => digest(sub),
        Some((accounts::NAME, sub)) => {
            accounts::run(sub, daemon_address(sub)).await?;
            Ok(EXIT_OK)
        }
        Some(("report", report)) => match report.subcommand() {
            Some(("burn", sub)) => burn(sub).await,
            _ => Ok(EXIT_FAULTY),
        },
        _ => Ok(EXIT_FAULTY),
    }
}

fn read_file(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })
}

fn file_argument(matches: &ArgMatches) -> PathBuf {
    matches
        .get_one::<PathBuf>("file")
        .cloned()
        .unwrap_or_default()
}

/// A client for the daemon and key file named on the command line; opens no connection.
fn build_client(matches: &ArgMatches) -> Result<Client, Error> {
    let path = matches
        .get_one::<PathBuf>("key-file")
        .cloned()
        .unwrap_or_default();
    let key = read_file(&path)?.trim().to_owned();
    let address = daemon_address(matches);
    Ok(Client { address, key })
}

/// The address of the daemon named on the command line.
fn daemon_address(matches: &ArgMatches) -> SocketAddr {
    let fallback = SocketAddr::from(([127, 0, 0, 1], 7002));
    let address = matches.get_one::<SocketAddr>("daemon");
    address.copied().unwrap_or(fallback)
}

fn print_json<T: Serialize>(value: &T) {
    println!(
        "{}",
        serde_json::to_string_pretty(value).unwrap_or_default()
    );
}

fn digest(matches: &ArgMatches) -> CommandResult {
    let key = read_file(&file_argument(matches))?;
    println!("{}", Digest::of(key.trim().as_bytes()));
    Ok(EXIT_OK)
}

fn check(matches: &ArgMatches) -> CommandResult {
    let path = file_argument(matches);
    match parse::manifest(&read_file(&path)?) {
        Ok(manifest) if matches.get_flag("json") => print_json(&manifest),
        Ok(manifest) => {
            let shards = manifest
                .services
                .values()
                .map(|service| service.shards.len());
            println!(
                "{}: version {}, {} services, {} shards, {} failure domains, {} callers: no faults",
                path.display(),
                manifest.version,
                manifest.services.len(),
                shards.sum::<usize>(),
                manifest.domains.len(),
                manifest.callers.accounts().count()
            );
        }
        Err(faults) if matches.get_flag("json") => {
            print_json(&faults);
            return Ok(EXIT_FAULTY);
        }
        Err(faults) => {
            faults
                .iter()
                .for_each(|fault| eprintln!("{}:{fault}", path.display()));
            return Ok(EXIT_FAULTY);
        }
    }
    Ok(EXIT_OK)
}

/// JSON output of `apply`.
#[derive(Serialize)]
struct Outcome<'a> {
    applied: &'a Applied,
    in_force: usize,
    daemons: usize,
}

async fn apply(matches: &ArgMatches) -> CommandResult {
    let path = file_argument(matches);
    let text = read_file(&path)?;
    if parse::manifest(&text).is_err() {
        return check(matches);
    }
    let client = build_client(matches)?;
    let applied = match client.apply(&text).await {
        Ok(applied) => applied,
        Err(error @ Error::Unreachable { .. }) => {
            eprintln!("{error}");
            println!("outcome unknown: send the same file again");
            return Ok(EXIT_UNKNOWN);
        }
        Err(error) => return Err(error),
    };
    let accepted = match &applied {
        Applied::Decided {
            version,
            acceptance,
        } => match acceptance {
            Acceptance::Accepted | Acceptance::Already => Some(*version),
            _ => None,
        },
        Applied::Faulty(_) | Applied::Unknown => None,
    };
    let (in_force, daemons) = match accepted {
        Some(version) => client.wait_in_force(version, IN_FORCE_TIMEOUT).await,
        None => (0, 0),
    };
    if matches.get_flag("json") {
        print_json(&Outcome {
            applied: &applied,
            in_force,
            daemons,
        });
    } else {
        print_applied(&applied, in_force, daemons);
    }
    Ok(match applied {
        _ if accepted.is_some() && in_force == daemons => EXIT_OK,
        _ if accepted.is_some() => EXIT_PARTIAL,
        Applied::Decided { .. } => EXIT_REFUSED,
        Applied::Faulty(_) => EXIT_FAULTY,
        Applied::Unknown => EXIT_UNKNOWN,
    })
}

fn print_applied(applied: &Applied, in_force: usize, daemons: usize) {
    match applied {
        Applied::Decided {
            version,
            acceptance,
        } => {
            println!("version {version}: {acceptance}");
            if matches!(acceptance, Acceptance::Accepted | Acceptance::Already) {
                println!("in force on {in_force} of {daemons} daemons");
            }
        }
        Applied::Faulty(faults) => faults.iter().for_each(|fault| println!("{fault}")),
        Applied::Unknown => println!("outcome unknown: send the same file again"),
    }
}

async fn status(matches: &ArgMatches) -> CommandResult {
    let client = build_client(matches)?;
    loop {
        let status = client.status().await?;
        if matches.get_flag("json") {
            print_json(&status);
        } else {
            print!("{}", status_text(&status));
        }
        if !matches.get_flag("watch") {
            return Ok(EXIT_OK);
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
        println!();
    }
}

/// The status as text.
pub fn status_text(status: &Status) -> String {
    let newest = status
        .members
        .iter()
        .map(|member| member.version)
        .max()
        .unwrap_or_default();
    let mut lines = vec![format!(
        "daemon {}: file version {}, {}",
        status.host,
        status.version,
        if status.ready {
            "ready".to_owned()
        } else {
            status.causes.join("; ")
        }
    )];
    for member in &status.members {
        let stale = if member.version < newest {
            ", stale"
        } else {
            ""
        };
        let leaving = match member.leaving {
            true => ", takes no replicas (stopping or without links to the servers)",
            false => "",
        };
        lines.push(format!(
            "  member {} in {}: version {}{stale}{leaving}",
            member.host, member.domain, member.version
        ));
    }
    let voters = status
        .voters
        .iter()
        .map(|voter| format!("  voter {}: {}", voter.host, voter.state));
    lines.extend(voters);
    lines.extend(
        status
            .domains_out
            .iter()
            .map(|domain| format!("  failure domain {domain}: out")),
    );
    lines.extend(status.replicas.iter().map(|replica| {
        format!(
            "  replica {} of {}/{} at {}: {}",
            replica.address, replica.service, replica.shard, replica.owner, replica.state
        )
    }));
    let suspects = status.suspects.iter();
    lines.extend(suspects.map(|s| format!("  request {}: {}", s.fingerprint, s.standing)));
    lines.push(String::new());
    lines.join("\n")
}

async fn explain(matches: &ArgMatches) -> CommandResult {
    let client = build_client(matches)?;
    let request = matches
        .get_one::<String>("request")
        .cloned()
        .unwrap_or_default();
    let mut trace = client.explain(&request).await?;
    if trace.is_none() {
        for member in client.status().await?.members {
            trace = trace.or(client
                .with_address(member.admin)
                .explain(&request)
                .await
                .ok()
                .flatten());
        }
    }
    let Some(trace) = trace else {
        eprintln!("no daemon kept request {request}: it was complete and in time, or is too old");
        return Ok(EXIT_FAILED);
    };
    if matches.get_flag("json") {
        print_json(&trace);
        return Ok(EXIT_OK);
    }
    println!(
        "request {} of {} to {}: {} after {} us",
        trace.request, trace.caller, trace.service, trace.answer, trace.took_us
    );
    for step in &trace.steps {
        println!(
            "  shard {} {} at {} by {}: sent {} us, took {} us: {}",
            step.shard,
            step.kind,
            step.replica,
            step.owner,
            step.sent_us,
            step.took_us,
            step.outcome
        );
    }
    Ok(EXIT_OK)
}

async fn burn(matches: &ArgMatches) -> CommandResult {
    let client = build_client(matches)?;
    let status = client.status().await?;
    let mut ledger = Ledger::default();
    let first = client.burn().await?;
    let (mut missing, mut daemons) = (Vec::new(), 0);
    for member in &status.members {
        match client.with_address(member.admin).burn().await {
            Ok(burn) => {
                ledger.merge(&burn.ledger);
                daemons += 1;
            }
            Err(_) => missing.push(member.host.clone()),
        }
    }
    let report = Report::new(&ledger, &first.manifest, first.minute);
    let report = Report {
        daemons,
        missing,
        ..report
    };
    if let Some(path) = matches.get_one::<PathBuf>("out") {
        let written = std::fs::write(path, report.html());
        written.map_err(|source| Error::File {
            path: path.clone(),
            source,
        })?;
    }
    if matches.get_flag("json") {
        print_json(&report);
    } else {
        print!("{}", report.table());
    }
    Ok(EXIT_OK)
}
