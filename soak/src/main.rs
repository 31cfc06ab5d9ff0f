//! Command line of the soak test: runs one or more seeds and prints their reports.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;
use wagtailbeam_soak::run;
use wagtailbeam_soak::run::Options;
use wagtailbeam_soak::usage::Usage;

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("soak")
        .about("Runs wagtailbeam's programs under injected faults and checks their guarantees")
        .arg(number("seed", "1", "First seed"))
        .arg(number(
            "runs",
            "1",
            "Number of runs, with consecutive seeds",
        ))
        .arg(number("seconds", "20", "Seconds of faults in each run"))
        .arg(number("entries", "4", "Number of entry hosts"))
        .arg(
            Arg::new("cuts")
                .long("cuts")
                .action(ArgAction::SetTrue)
                .help("Cut entry hosts off from all replicas, in series"),
        )
        .arg(
            Arg::new("notices")
                .long("notices")
                .action(ArgAction::SetTrue)
                .help("Make replicas say that they leave or want no requests; with --entries 1"),
        )
        .arg(
            Arg::new("answers")
                .long("answers")
                .action(ArgAction::SetTrue)
                .help("Make a share of the replicas' answers odd"),
        )
        .arg(
            Arg::new("starts")
                .long("starts")
                .action(ArgAction::SetTrue)
                .help("Take disks of voters right after the first acknowledgement"),
        )
        .arg(
            Arg::new("accounts")
                .long("accounts")
                .action(ArgAction::SetTrue)
                .help("Declare accounts and change their keys and quotas"),
        )
        .arg(
            Arg::new("moves")
                .long("moves")
                .action(ArgAction::SetTrue)
                .help("Move a route between services, and kill many entry hosts at once"),
        )
        .arg(
            Arg::new("older")
                .long("older")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Executable of an older build, which every second process runs"),
        )
        .arg(
            Arg::new("program")
                .long("program")
                .value_name("FILE")
                .default_value("target/release/wagtailbeamd")
                .value_parser(value_parser!(PathBuf))
                .help("Path of the daemon's executable"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let program = matches.get_one::<PathBuf>("program").cloned();
    let options = Options {
        program: program.unwrap_or_default(),
        older: matches.get_one::<PathBuf>("older").cloned(),
        entry_hosts: number("entries") as usize,
        duration: Duration::from_secs(number("seconds")),
        cuts: matches.get_flag("cuts"),
        notices: matches.get_flag("notices"),
        answers: matches.get_flag("answers"),
        starts: matches.get_flag("starts"),
        accounts: matches.get_flag("accounts"),
        moves: matches.get_flag("moves"),
    };
    let mut failed = false;
    for seed in number("seed")..number("seed") + number("runs") {
        match run::run(&options, seed) {
            Ok(report) => {
                println!("{report}");
                println!("seed {seed}: the soak itself: {}", Usage::read());
                failed |= !report.violations.is_empty();
            }
            Err(error) => {
                eprintln!("seed {seed}: {error}");
                failed = true;
            }
        }
    }
    ExitCode::from(u8::from(failed))
}
