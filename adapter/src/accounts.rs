//! The command `wagtailbeam accounts`: the client accounts as one entry host sees them.
//!
//! The entry host answers at [`PATH`] of its readiness listener, which is open to whoever reaches
//! its address. The answer has no keys and no digests.

use std::fmt::Write;
use std::net::SocketAddr;

use clap::ArgMatches;
use clap::Command;
use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use wagtailbeam_decision::account::overview::Row;
use wagtailbeam_decision::name::Name;

use crate::client::Client;
use crate::client::Result;
use crate::entry::Driver;
use crate::http;
use crate::ingress;

/// Path of the report at an entry host's readiness listener.
pub const PATH: &str = "/accounts";

/// Name of the command.
pub(crate) const NAME: &str = "accounts";

/// Narrowest column of account names, in characters.
const NAME_WIDTH_MIN: usize = 16;

/// The accounts of the configuration that a host has in force.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Name of the host.
    pub host: Name,
    /// Version of the configuration; zero for none.
    pub version: u64,
    /// Whether the voters confirmed lately that the configuration is the newest.
    pub confirmed: bool,
    /// The accounts by name.
    pub accounts: Vec<Row>,
}

impl Report {
    /// The report as a plain-text table; `-` stands for what an account doesn't have.
    pub fn table(&self) -> String {
        let confirmed = match self.confirmed {
            true => "confirmed",
            false => "not confirmed as the newest",
        };
        let mut text = format!(
            "host {}: configuration {}, {confirmed}, {} accounts\n",
            self.host,
            self.version,
            self.accounts.len()
        );
        let widths = self.accounts.iter().map(|row| row.account.len());
        let width = widths.fold(NAME_WIDTH_MIN, usize::max);
        text += &format!(
            "{:<width$} {:>8} {:>10} {:>10} {:>9} {:>9} {:>11} {:>4} {:>10}\n",
            "ACCOUNT",
            "PRIORITY",
            "RATE/S",
            "BURST",
            "ADMITTED",
            "REFUSED",
            "UNAVAILABLE",
            "HOME",
            "TOKENS"
        );
        for row in &self.accounts {
            write_row(&mut text, width, row);
        }
        text
    }
}

fn write_row(text: &mut String, width: usize, row: &Row) {
    let amount = |amount: Option<f64>| amount.map_or("-".to_owned(), |value| value.to_string());
    let tokens = row.tokens.map(|tokens| format!("{tokens:.1}"));
    let home = match row.home {
        true => "yes",
        false => "no",
    };
    let _ = writeln!(
        text,
        "{:<width$} {:>8} {:>10} {:>10} {:>9} {:>9} {:>11} {:>4} {:>10}",
        &*row.account,
        row.priority
            .map_or("-".to_owned(), |value| value.to_string()),
        amount(row.rate),
        amount(row.burst),
        row.admitted,
        row.refused,
        row.unavailable,
        home,
        tokens.as_deref().unwrap_or("-"),
    );
}

/// The command line of the command.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Client accounts as one entry host of a discovered tier sees them")
        .after_help("--daemon takes the address of the host's readiness listener ([listen] ready); no key is needed.")
}

/// Asks the host named on the command line and prints its report.
///
/// # Errors
///
/// The host can't be reached, or its answer can't be decoded.
pub(crate) async fn run(matches: &ArgMatches, address: SocketAddr) -> Result<()> {
    let client = Client {
        address,
        key: String::new(),
    };
    let report = client.accounts().await?;
    if matches.get_flag("json") {
        let json = serde_json::to_string_pretty(&report);
        println!("{}", json.unwrap_or_default());
    } else {
        print!("{}", report.table());
    }
    Ok(())
}

/// Asks the event loop for its report and answers with it.
pub(crate) async fn reply(events: &mpsc::Sender<ingress::Event>) -> http::Reply {
    let (answer, answered) = oneshot::channel();
    let sent = events.send(ingress::Event::Accounts(answer)).await;
    let report = match sent {
        Ok(()) => answered.await.ok(),
        Err(_) => None,
    };
    match report {
        Some(report) => http::json(StatusCode::OK, &report),
        None => http::text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
    }
}

impl Driver {
    /// The accounts as this host sees them.
    pub(crate) fn report_accounts(&self) -> Report {
        let catalog = self.gateway.catalog();
        let usage = self.tally.usage();
        Report {
            host: self.settings.name.clone(),
            version: catalog.version,
            confirmed: self.feed_fresh,
            accounts: self.gate.overview(self.now(), &catalog.accounts, usage),
        }
    }
}
