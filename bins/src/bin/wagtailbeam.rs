//! Entry point of the operators' client.

use std::process::ExitCode;

fn main() -> ExitCode {
    wagtailbeam_adapter::cli::client_main()
}
