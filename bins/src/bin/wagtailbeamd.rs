//! The daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    wagtailbeam_adapter::cli::daemon_main()
}
