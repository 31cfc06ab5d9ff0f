//! Entry point of the daemon, with the header names and formats of the users' platform.

use std::process::ExitCode;
use std::sync::Arc;

use wagtailbeam_platform::Dialect;

fn main() -> ExitCode {
    wagtailbeam_adapter::cli::daemon_main(Arc::new(Dialect::default()))
}
