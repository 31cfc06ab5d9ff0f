//! Settings of one entry host or voter in a tier with discovered hosts.
//!
//! They are read from an INI file at startup and on reload. All faults of the file are
//! reported together, each with its line.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use snafu::ResultExt;
use wagtailbeam_decision::allowance::Limit;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::ini::Document;
use wagtailbeam_decision::ini::Fault;
use wagtailbeam_decision::ini::Section;
use wagtailbeam_decision::ini::from_str;
use wagtailbeam_decision::ini::in_range;
use wagtailbeam_decision::ini::span;
use wagtailbeam_decision::load::capacity::Estimator;
use wagtailbeam_decision::name::Name;
use wagtailbeam_decision::rollout;

use crate::settings::Error;
use crate::settings::ReadSnafu;
use crate::settings::Result;

/// Sections allowed in the file.
const SECTIONS: &str =
    "host, listen, voters, list, extra, cold, quota, capacity, rollout, stop, log";

/// Largest value of [`Settings::tolerated_losses`].
const TOLERATED_LOSSES_MAX: u64 = 4;

/// Role of a process in the tier.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Role {
    /// Serves callers.
    #[default]
    Entry,
    /// Keeps the replicated state and sends it to the entry hosts.
    Voter,
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the host, used in logs only.
    pub name: Name,
    /// Failure domain of the host.
    pub domain: Name,
    /// All failure domains; if empty, operators may name any.
    pub domains: Vec<Name>,
    /// Whether the process is an entry host or a voter.
    pub role: Role,
    /// Folder for the state that must survive a restart; required for voters.
    pub data: Option<PathBuf>,
    /// Listening address for callers; required for entry hosts.
    pub callers: SocketAddr,
    /// Listening address for the balancer's readiness checks; required for entry hosts.
    pub readiness: SocketAddr,
    /// Listening address for operators; required for voters.
    pub operators: SocketAddr,
    /// Listening address for entry hosts and voters.
    pub peer: SocketAddr,
    /// Listening address for metrics; they are not served if absent.
    pub metrics: Option<SocketAddr>,
    /// IP addresses of the voters to contact first.
    pub seeds: Vec<IpAddr>,
    /// Port on which voters listen for entry hosts and other voters.
    pub voter_port: u16,
    /// Whether the group of voters is started for the first time.
    pub bootstrap: bool,
    /// Number of voters that may fail without loss of state, 0 to 4.
    pub tolerated_losses: u8,
    /// Address of the platform's list of replicas.
    pub list: SocketAddr,
    /// Longest time by which the list may lag behind the replicas.
    pub list_lag: Span,
    /// Interval at which voters read the list.
    pub list_interval: Span,
    /// Limit on hedges and retries to one service, for all entry hosts together.
    pub extra: Limit,
    /// Factor on the request rate that a cold replica supports.
    pub cold_overage: f64,
    /// Requests per second allowed to a cold replica on top of that rate.
    pub cold_slack: f64,
    /// What may run beyond the quotas of accounts, for all entry hosts together.
    pub quota: Limit,
    /// How entry hosts estimate the capacity of replicas.
    pub estimator: Estimator,
    /// Limits on the exposure to new versions in rollouts.
    pub rollout: rollout::Settings,
    /// Time from a stop request until no more connections are accepted.
    pub drain: Span,
    /// Time after a stop request at which the process ends with requests still pending.
    pub stop_max: Span,
    /// Log filter in the syntax of `tracing`.
    pub log_filter: String,
}

impl Default for Settings {
    fn default() -> Settings {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            name: Name::default(),
            domain: Name::default(),
            domains: Vec::new(),
            role: Role::Entry,
            data: None,
            callers: unset,
            readiness: unset,
            operators: unset,
            peer: unset,
            metrics: None,
            seeds: Vec::new(),
            voter_port: 0,
            bootstrap: false,
            tolerated_losses: 1,
            list: unset,
            list_lag: Span::from_secs(1),
            list_interval: Span::from_ms(1_000),
            extra: Limit::default(),
            cold_overage: 1.0,
            cold_slack: 0.0,
            quota: Limit {
                ratio: 0.0,
                slack: 0.0,
                window: Span::from_secs(5),
            },
            estimator: Estimator::default(),
            rollout: rollout::Settings::default(),
            drain: Span::from_ms(2_200),
            stop_max: Span::from_ms(5_500),
            log_filter: "info".to_owned(),
        }
    }
}

impl Settings {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    ///
    /// The file can't be read, or has faults.
    pub fn load(path: &Path) -> Result<Settings> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        Settings::parse(&text).map_err(|faults| Error::Faults {
            path: path.to_owned(),
            faults,
        })
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// All faults of the text, with their lines.
    pub fn parse(text: &str) -> std::result::Result<Settings, Vec<Fault>> {
        let mut document = Document::parse(text);
        let mut settings = Settings::default();
        settings.read_host(&mut document);
        settings.read_listen(&mut document);
        settings.read_voters(&mut document);
        settings.read_list(&mut document);
        settings.read_limits(&mut document);
        settings.read_capacity(&mut document);
        settings.read_rollout(&mut document);
        settings.read_stop_and_log(&mut document);
        document.finish(Some(settings), SECTIONS)
    }

    /// Number of voters in the group: a majority remains after the tolerated losses.
    pub fn voter_count(&self) -> u8 {
        2 * self.tolerated_losses + 1
    }

    /// Addresses of the voters to contact first.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        let peer = |host: &IpAddr| SocketAddr::from((*host, self.voter_port));
        self.seeds.iter().map(peer).collect()
    }

    fn read_host(&mut self, document: &mut Document) {
        let mut section = document.take_one("host");
        let name = section.required(document, "name", "a host name", Name::parse);
        let domain = section.required(document, "domain", "a failure domain", Name::parse);
        let domains = section.optional(
            document,
            "domains",
            "names, separated by commas",
            parse_names,
        );
        let role = section.required(document, "role", "entry, voter", |text| match text {
            "entry" => Some(Role::Entry),
            "voter" => Some(Role::Voter),
            _ => None,
        });
        let data = section.optional(document, "data", "a folder", |text| {
            Some(PathBuf::from(text))
        });
        self.name = name.unwrap_or_default();
        self.domain = domain.unwrap_or_default();
        self.domains = domains.unwrap_or_default();
        self.role = role.unwrap_or_default();
        self.data = data;
        if self.role == Role::Voter && self.data.is_none() {
            document.add_fault(section.line, "[host] data", "a voter needs a data folder");
        }
        document.reject_unknown_keys(section, "name, domain, domains, role, data");
    }

    fn read_listen(&mut self, document: &mut Document) {
        let mut section = document.take_one("listen");
        self.peer = read_address(document, &mut section, "peer", self.peer);
        match self.role {
            Role::Entry => {
                self.callers = read_address(document, &mut section, "callers", self.callers);
                self.readiness = read_address(document, &mut section, "ready", self.readiness);
            }
            Role::Voter => {
                self.operators = read_address(document, &mut section, "operators", self.operators);
            }
        }
        self.metrics = section.optional(document, "metrics", ADDRESS_FORMAT, from_str);
        let allowed = match self.role {
            Role::Entry => "peer, callers, ready, metrics",
            Role::Voter => "peer, operators, metrics",
        };
        document.reject_unknown_keys(section, allowed);
    }

    fn read_voters(&mut self, document: &mut Document) {
        let mut section = document.take_one("voters");
        const HOSTS_FORMAT: &str = "addresses as IP or IP:PORT, separated by commas";
        let seeds = section.required(document, "seeds", HOSTS_FORMAT, parse_hosts);
        let port = section.required(document, "port", "1 to 65535", in_range(1, 65_535));
        let losses = section.optional(
            document,
            "losses",
            "0 to 4",
            in_range(0, TOLERATED_LOSSES_MAX),
        );
        let found = section.optional(document, "found", "true, false", from_str::<bool>);
        self.seeds = seeds.unwrap_or_default();
        self.voter_port = port.unwrap_or_default() as u16;
        self.tolerated_losses = losses.map_or(self.tolerated_losses, |losses| losses as u8);
        self.bootstrap = found.unwrap_or_default();
        document.reject_unknown_keys(section, "seeds, port, losses, found");
    }

    fn read_list(&mut self, document: &mut Document) {
        let mut section = document.take_one("list");
        self.list = read_address(document, &mut section, "address", self.list);
        let lag = section.optional(document, "lag", "a time such as 800ms", span);
        let every = section.optional(document, "every", "a time such as 1s", span);
        self.list_lag = lag.unwrap_or(self.list_lag);
        self.list_interval = every.unwrap_or(self.list_interval);
        document.reject_unknown_keys(section, "address, lag, every");
    }

    fn read_limits(&mut self, document: &mut Document) {
        let mut section = document.take_one("extra");
        let ratio = section.optional(document, "ratio", AMOUNT_FORMAT, parse_amount);
        let slack = section.optional(document, "slack", AMOUNT_FORMAT, parse_amount);
        let window = section.optional(document, "window", "a time such as 10s", span);
        let base = self.extra;
        self.extra = Limit {
            ratio: ratio.unwrap_or(base.ratio),
            slack: slack.unwrap_or(base.slack),
            window: window.unwrap_or(base.window),
        };
        document.reject_unknown_keys(section, "ratio, slack, window");
        let mut section = document.take_one("cold");
        let overage = section.optional(document, "overage", AMOUNT_FORMAT, parse_amount);
        let slack = section.optional(document, "slack", AMOUNT_FORMAT, parse_amount);
        self.cold_overage = overage.unwrap_or(self.cold_overage);
        self.cold_slack = slack.unwrap_or(self.cold_slack);
        document.reject_unknown_keys(section, "overage, slack");
        self.read_quota(document);
    }

    fn read_quota(&mut self, document: &mut Document) {
        let mut section = document.take_one("quota");
        let overage = read_rendered(
            document,
            &mut section,
            "overage",
            AMOUNT_FORMAT,
            parse_amount,
        );
        let slack = read_rendered(document, &mut section, "slack", AMOUNT_FORMAT, parse_amount);
        let window = read_rendered(document, &mut section, "window", "a time such as 5s", span);
        let base = self.quota;
        self.quota = Limit {
            ratio: overage.unwrap_or(base.ratio),
            slack: slack.unwrap_or(base.slack),
            window: window.unwrap_or(base.window),
        };
        document.reject_unknown_keys(section, "window, overage, slack");
    }

    fn read_capacity(&mut self, document: &mut Document) {
        let mut section = document.take_one("capacity");
        let parse = |text: &str| match text {
            "average" => Some(Estimator::Average),
            "gradient" => Some(Estimator::Gradient),
            _ => None,
        };
        let allowed = "average, gradient";
        let estimator = read_rendered(document, &mut section, "estimator", allowed, parse);
        self.estimator = estimator.unwrap_or_default();
        document.reject_unknown_keys(section, "estimator");
    }

    fn read_rollout(&mut self, document: &mut Document) {
        let mut section = document.take_one("rollout");
        let share = section.optional(document, "share", "0 to 1", |text| {
            parse_amount(text).filter(|share| *share <= 1.0)
        });
        let slack = section.optional(document, "slack", AMOUNT_FORMAT, parse_amount);
        let rollback = section.optional(document, "rollback", "a time such as 5s", span);
        let base = self.rollout;
        self.rollout = rollout::Settings {
            canary_share: share.unwrap_or(base.canary_share),
            canary_slack: slack.unwrap_or(base.canary_slack),
            rollback: rollback.unwrap_or(base.rollback),
        };
        document.reject_unknown_keys(section, "share, slack, rollback");
    }

    fn read_stop_and_log(&mut self, document: &mut Document) {
        let mut section = document.take_one("stop");
        let drain = section.optional(document, "drain", "a time such as 2s", span);
        let longest = section.optional(document, "longest", "a time such as 6s", span);
        self.drain = drain.unwrap_or(self.drain);
        self.stop_max = longest.unwrap_or(self.stop_max);
        document.reject_unknown_keys(section, "drain, longest");
        let mut section = document.take_one("log");
        let filter = section.optional(document, "filter", "a tracing filter", |text| {
            let parsed = text.parse::<tracing_subscriber::filter::EnvFilter>();
            parsed.is_ok().then(|| text.to_owned())
        });
        self.log_filter = filter.unwrap_or_else(|| self.log_filter.clone());
        document.reject_unknown_keys(section, "filter");
    }
}

const ADDRESS_FORMAT: &str = "an address as IP:PORT";

const AMOUNT_FORMAT: &str = "a number, 0 or more";

/// Reads a required address; `default` stands in for a faulty one.
fn read_address(
    document: &mut Document,
    section: &mut Section,
    key: &str,
    default: SocketAddr,
) -> SocketAddr {
    section
        .required(document, key, ADDRESS_FORMAT, from_str)
        .unwrap_or(default)
}

/// Reads an optional key; an empty value, as templates render it, counts as absent.
fn read_rendered<T>(
    document: &mut Document,
    section: &mut Section,
    key: &str,
    allowed: &str,
    parse: impl Fn(&str) -> Option<T>,
) -> Option<T> {
    let parse = |text: &str| match text.is_empty() {
        true => Some(None),
        false => parse(text).map(Some),
    };
    section.optional(document, key, allowed, parse).flatten()
}

fn parse_amount(text: &str) -> Option<f64> {
    from_str::<f64>(text).filter(|amount| amount.is_finite() && *amount >= 0.0)
}

fn parse_names(text: &str) -> Option<Vec<Name>> {
    text.split(',')
        .map(|part| Name::parse(part.trim()))
        .collect()
}

/// Parses IP addresses separated by commas; a port after an address is ignored.
fn parse_hosts(text: &str) -> Option<Vec<IpAddr>> {
    let host = |part: &str| match from_str::<SocketAddr>(part.trim()) {
        Some(address) => Some(address.ip()),
        None => from_str(part.trim()),
    };
    text.split(',').map(host).collect()
}
