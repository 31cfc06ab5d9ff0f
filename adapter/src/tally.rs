//! Counts of requests by client account and of refused keys, for the metrics, the log and the
//! operators' command.

use prometheus::IntCounterVec;
use prometheus::Opts;
use snafu::ResultExt;
use wagtailbeam_decision::account::Directory;
use wagtailbeam_decision::account::refusals::Line;
use wagtailbeam_decision::account::refusals::Refusals;
use wagtailbeam_decision::account::refusals::Refused;
use wagtailbeam_decision::account::usage::OTHER;
use wagtailbeam_decision::account::usage::Usage;
use wagtailbeam_decision::account::usage::Verdict;
use wagtailbeam_decision::name::Name;

use crate::entry::Driver;
use crate::ingress::Request;
use crate::meter::Exporter;
use crate::metric::Error;
use crate::node::MeterSnafu;
use crate::node::Result;

/// Requests of accounts at this host, by account and verdict. The series are removed when their
/// account is no longer listed, which the counters of opentelemetry don't allow.
pub(crate) struct Tally {
    usage: Usage,
    refusals: Refusals,
    series: IntCounterVec,
}

impl Tally {
    /// Nothing counted, with a metric in this registry.
    ///
    /// # Errors
    ///
    /// The metric can't be registered.
    pub(crate) fn new(exporter: &Exporter) -> Result<Tally> {
        let options = Opts::new(
            "wagtailbeam_account_requests_total",
            "Requests by client account",
        );
        let series = IntCounterVec::new(options, &["account", "result"]).and_then(|series| {
            exporter.registry.register(Box::new(series.clone()))?;
            Ok(series)
        });
        let series = series.map_err(|error| Error::new(&error.to_string()));
        Ok(Tally {
            usage: Usage::default(),
            refusals: Refusals::default(),
            series: series.context(MeterSnafu)?,
        })
    }

    /// Counts a request of an account.
    pub(crate) fn count(&mut self, account: &Name, verdict: Verdict) {
        let listing = self.usage.record(account, verdict);
        if let Some(displaced) = listing.displaced {
            self.merge(&displaced);
        }
        let label = match listing.by_name {
            true => account,
            false => OTHER,
        };
        let verdict = verdict.to_string();
        self.series.with_label_values(&[label, &verdict]).inc();
    }

    /// Forgets the accounts that are not in the directory.
    pub(crate) fn retain(&mut self, accounts: &Directory) {
        for dropped in self.usage.retain(accounts) {
            self.merge(&dropped);
        }
    }

    /// Requests at this host since its process started.
    pub(crate) fn usage(&self) -> &Usage {
        &self.usage
    }

    /// Adds the series of an account to the others and removes it, so that no sum decreases.
    fn merge(&self, account: &str) {
        for verdict in [Verdict::Admitted, Verdict::Refused, Verdict::Unavailable] {
            let verdict = verdict.to_string();
            let Ok(count) = self
                .series
                .get_metric_with_label_values(&[account, &verdict])
            else {
                continue;
            };
            if count.get() > 0 {
                let other = self.series.with_label_values(&[OTHER, &verdict]);
                other.inc_by(count.get());
            }
            if let Err(error) = self.series.remove_label_values(&[account, &verdict]) {
                tracing::debug!(%error, "series not removed");
            }
        }
    }
}

impl Driver {
    /// Counts a request that is refused for its unknown key.
    pub(crate) fn count_unknown(&mut self, request: &Request, route: Option<Name>) {
        self.meter.key_refused();
        let refused = Refused {
            request: request.id.to_str().unwrap_or("unprintable").into(),
            route,
        };
        let line = self.tally.refusals.record(self.now(), refused);
        self.log_refusals(line);
    }

    /// Logs the keys refused since the last line, if that is due.
    pub(crate) fn log_refused_keys(&mut self) {
        let line = self.tally.refusals.take(self.now());
        self.log_refusals(line);
    }

    fn log_refusals(&self, line: Option<Line>) {
        let Some(Line { refusals, latest }) = line else {
            return;
        };
        let version = self.gateway.catalog().version;
        let (request, route) = (&*latest.request, latest.route.as_deref());
        tracing::info!(
            event = 752,
            refusals,
            request,
            route,
            version,
            "unknown keys refused"
        );
    }
}
