//! The service-level burn report as a table, JSON or an HTML page: how fast each service and
//! caller consumes its error budget.
//!
//! `wagtailbeam report burn` builds it from the merged ledgers of all daemons.

use std::fmt::Write;

use serde::Serialize;
use wagtailbeam_decision::burn::Burn;
use wagtailbeam_decision::burn::Ledger;
use wagtailbeam_decision::burn::WINDOWS;
use wagtailbeam_decision::manifest::Manifest;
use wagtailbeam_decision::manifest::Objective;
use wagtailbeam_decision::name::Name;

/// Burn rate above which the HTML page draws a bar in the warning color.
const WARNING_RATE: f64 = 1.0;

/// Burn rate at which a bar of the HTML page has its full width.
const FULL_BAR_RATE: f64 = 15.0;

/// Width of a full bar of the HTML page, in pixels.
const BAR_WIDTH_PX: f64 = 160.0;

/// Burn rates and error budgets of all services and callers.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// One entry for each pair of service and caller.
    pub burns: Vec<Burn>,
    /// Number of daemons whose answers are counted.
    pub daemons: usize,
    /// Hosts of the daemons that could not be reached.
    pub missing: Vec<Name>,
}

impl Report {
    /// Computes the report of `ledger` under the objectives of `manifest`, at `minute` since the
    /// Unix epoch. The caller fills in `daemons` and `missing`.
    pub fn new(ledger: &Ledger, manifest: &Manifest, minute: u64) -> Report {
        let burns = ledger.series.iter().map(|(subject, series)| {
            let service = manifest.services.get(&subject.service);
            let objective = service.map_or(Objective::default(), |service| service.objective);
            Burn::of(subject, series, objective.target, minute)
        });
        Report {
            burns: burns.collect(),
            daemons: 0,
            missing: Vec::new(),
        }
    }

    /// The report as a plain-text table.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let windows = WINDOWS
            .iter()
            .map(|(name, _)| format!("{name:>7}"))
            .collect::<String>();
        let head = ["SERVICE", "CALLER", "TARGET", "ANSWERS", "BAD", "P99"];
        let [service, caller, target, answers, bad, p99] = head;
        text += &format!(
            "{service:<16} {caller:<16} {target:>7} {answers:>9} {bad:>7} {p99:>7}{windows} {:>8} {:>9}\n",
            "LEFT", "SPENT IN"
        );
        for burn in &self.burns {
            text += &table_row(burn);
        }
        let missing = self
            .missing
            .iter()
            .map(|name| name.to_string())
            .collect::<Vec<_>>();
        let _ = write!(text, "{} daemons counted", self.daemons);
        if !missing.is_empty() {
            let _ = write!(text, "; not reached: {}", missing.join(", "));
        }
        text + "\n"
    }

    /// The report as a self-contained HTML page.
    pub fn html(&self) -> String {
        let rows = self.burns.iter().map(html_row).collect::<String>();
        let heads = WINDOWS
            .iter()
            .map(|(name, _)| format!("<th>{name}</th>"))
            .collect::<String>();
        format!(
            "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\">\
             <title>Service-level burn</title>\n<style>\
             body{{font:14px sans-serif;margin:2em}}td,th{{padding:.3em .8em;text-align:left}}\
             th{{border-bottom:1px solid #888}}.bar{{height:.7em;background:#4a7}}\
             .warn{{background:#c53}}</style>\n<h1>Service-level burn</h1>\n\
             <p>Daemons counted: {}; not reached: {}.</p>\n\
             <table>\n<tr><th>Service</th><th>Caller</th><th>Target</th><th>Answers</th>\
             <th>Bad</th>{heads}<th>Budget left</th></tr>\n{rows}</table>\n</html>\n",
            self.daemons,
            self.missing.len()
        )
    }
}

/// One line of the table.
fn table_row(burn: &Burn) -> String {
    let rates = burn
        .rates
        .iter()
        .map(|(_, rate)| format!("{rate:>7.2}"))
        .collect::<String>();
    let p99 = burn.p99_ms.map_or("-".to_owned(), |ms| format!("<{ms}ms"));
    let spent = burn
        .exhausted_in_hours
        .map_or("never".to_owned(), |hours| format!("{hours:.0}h"));
    format!(
        "{:<16} {:<16} {:>6.2}% {:>9} {:>7} {p99:>7}{rates} {:>7.1}% {spent:>9}\n",
        &*burn.subject.service,
        &*burn.subject.caller,
        burn.target * 100.0,
        burn.period.total,
        burn.period.bad(),
        burn.budget_left * 100.0,
    )
}

/// One row of the HTML table, with a bar for the burn rate of each window.
fn html_row(burn: &Burn) -> String {
    let bars = burn.rates.iter().map(|(_, rate)| {
        let width = (rate / FULL_BAR_RATE).min(1.0) * BAR_WIDTH_PX;
        let class = if *rate > WARNING_RATE {
            "bar warn"
        } else {
            "bar"
        };
        format!("<td>{rate:.2}<div class=\"{class}\" style=\"width:{width:.0}px\"></div></td>")
    });
    format!(
        "<tr><td>{}</td><td>{}</td><td>{:.2}%</td><td>{}</td><td>{}</td>{}<td>{:.1}%</td></tr>\n",
        burn.subject.service,
        burn.subject.caller,
        burn.target * 100.0,
        burn.period.total,
        burn.period.bad(),
        bars.collect::<String>(),
        burn.budget_left * 100.0
    )
}
