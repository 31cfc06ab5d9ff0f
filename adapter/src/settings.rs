//! Settings of a daemon in a group with a settings file: an INI file, read and checked as a
//! whole, so that all its faults are reported at once.
//!
//! [`Config::load`] is called by [`crate::cli`] before the daemon starts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;
use wagtailbeam_decision::clock::Span;
use wagtailbeam_decision::digest::Digest;
use wagtailbeam_decision::ini::Document;
use wagtailbeam_decision::ini::Fault;
use wagtailbeam_decision::ini::from_str;
use wagtailbeam_decision::ini::span;
use wagtailbeam_decision::message::Dispatch;
use wagtailbeam_decision::name::Name;

/// Allowed sections, for the report of an unknown one.
const SECTIONS: &str = "daemon, listen, voters, peers, operators, log, limits";

/// Shortest accepted shared key of the daemons, in bytes.
const PEER_KEY_MIN_BYTES: usize = 16;

/// Why settings can't be loaded.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file has faults; all of them are listed.
    #[snafu(display("{}", faults.iter().map(|f| format!("{}:{f}", path.display())).collect::<Vec<_>>().join("\n")))]
    Faults {
        /// Path of the file.
        path: PathBuf,
        /// All faults of the file.
        faults: Vec<Fault>,
    },
}

/// Result of loading settings.
pub type Result<T> = std::result::Result<T, Error>;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub enum Format {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Settings of one daemon.
#[derive(Clone, Debug, Serialize)]
pub struct Config {
    /// Name of this host.
    pub host: Name,
    /// Failure domain of this host.
    pub domain: Name,
    /// Folder for state that must survive a restart; required on voters.
    pub data: Option<PathBuf>,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for operators, health checks and metrics.
    pub admin: SocketAddr,
    /// Listening address for other daemons, TCP and UDP.
    pub peer: SocketAddr,
    /// Peer addresses of the voters by host: 1, 3 or 5 of them.
    pub voters: BTreeMap<Name, SocketAddr>,
    /// Contents of the file with the key shared by all daemons.
    #[serde(skip)]
    pub peer_key: Vec<u8>,
    /// Digest of the operators' bearer key.
    pub operator_key: Digest,
    /// Log filter in the syntax of `tracing`.
    pub log_filter: String,
    /// Format of log lines.
    pub log_format: Format,
    /// Time from the start of a planned stop until the listeners close.
    pub drain: Span,
    /// Longest duration of a planned stop; at least `drain`.
    pub stop_max: Span,
    /// Largest body of a caller's request, in bytes.
    pub body_max: usize,
    /// Largest response body of a backend server, in bytes.
    pub answer_max: usize,
    /// Most connections of callers open at once.
    pub connections_max: usize,
    /// Which daemon sends work to backend servers; must be the same on all hosts.
    pub dispatch: Dispatch,
}

impl Default for Config {
    fn default() -> Config {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        Config {
            host: Name::default(),
            domain: Name::default(),
            data: None,
            callers: unset,
            admin: unset,
            peer: unset,
            voters: BTreeMap::new(),
            peer_key: Vec::new(),
            operator_key: Digest::default(),
            log_filter: "info".to_owned(),
            log_format: Format::Text,
            drain: Span::from_secs(5),
            stop_max: Span::from_secs(30),
            body_max: 1024 * 1024,
            answer_max: 8 * 1024 * 1024,
            connections_max: 4_096,
            dispatch: Dispatch::Owner,
        }
    }
}

impl Config {
    /// Whether this host is one of the voters.
    pub fn is_voter(&self) -> bool {
        self.voters.contains_key(&self.host)
    }

    /// Reads and checks the settings in `path`. The path of the key file is relative to the
    /// folder of `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or has faults.
    pub fn load(path: &Path) -> Result<Config> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        let folder = path.parent().unwrap_or(Path::new("."));
        let read_key = |file: &str| std::fs::read(folder.join(file)).map_err(|e| e.to_string());
        Config::parse(&text, read_key).map_err(|faults| Error::Faults {
            path: path.to_owned(),
            faults,
        })
    }

    /// Parses settings from text; `read_key` reads the key file that the settings name.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text.
    pub fn parse(
        text: &str,
        read_key: impl Fn(&str) -> std::result::Result<Vec<u8>, String>,
    ) -> std::result::Result<Config, Vec<Fault>> {
        let mut document = Document::parse(text);
        let mut config = Config::default();
        config.read_daemon(&mut document);
        config.read_listen(&mut document);
        config.read_voters(&mut document);
        config.read_keys(&mut document, read_key);
        config.read_log(&mut document);
        config.read_limits(&mut document);
        document.finish(Some(config), SECTIONS)
    }

    fn read_daemon(&mut self, document: &mut Document) {
        let mut section = document.take_one("daemon");
        let host = section.required(document, "host", "a host name", Name::parse);
        let domain = section.required(document, "domain", "a failure domain", Name::parse);
        let data = section.optional(document, "data", "a folder", |text| {
            Some(PathBuf::from(text))
        });
        self.host = host.unwrap_or_default();
        self.domain = domain.unwrap_or_default();
        self.data = data;
        document.reject_unknown_keys(section, "host, domain, data");
    }

    fn read_listen(&mut self, document: &mut Document) {
        const ADDRESS: &str = "an address as IP:PORT";
        let mut section = document.take_one("listen");
        let callers = section.required(document, "callers", ADDRESS, from_str);
        let admin = section.required(document, "admin", ADDRESS, from_str);
        let peer = section.required(document, "peer", ADDRESS, from_str);
        self.callers = callers.unwrap_or(self.callers);
        self.admin = admin.unwrap_or(self.admin);
        self.peer = peer.unwrap_or(self.peer);
        document.reject_unknown_keys(section, "callers, admin, peer");
    }

    fn read_voters(&mut self, document: &mut Document) {
        let mut section = document.take_one("voters");
        let line = section.line;
        for (host, address, line) in section.take_prefixed("") {
            match Name::parse(&host).zip(from_str(&address)) {
                Some((host, address)) => drop(self.voters.insert(host, address)),
                None => {
                    let cause = "expected HOST = IP:PORT, the voter's peer address";
                    document.add_fault(line, &format!("[voters] {host}"), cause);
                }
            }
        }
        if !matches!(self.voters.len(), 1 | 3 | 5) {
            document.add_fault(line, "[voters]", "1, 3 or 5 voters are allowed");
        }
        if self.is_voter() && self.data.is_none() {
            document.add_fault(line, "[daemon] data", "a voter needs a data folder");
        }
        if self
            .voters
            .get(&self.host)
            .is_some_and(|address| *address != self.peer)
        {
            let cause = "differs from [listen] peer of this host";
            document.add_fault(line, &format!("[voters] {}", self.host), cause);
        }
    }

    fn read_keys(
        &mut self,
        document: &mut Document,
        read_key: impl Fn(&str) -> std::result::Result<Vec<u8>, String>,
    ) {
        let mut section = document.take_one("peers");
        let file = section.required(document, "key_file", "a file", |text| Some(text.to_owned()));
        match file.as_deref().map(read_key) {
            Some(Ok(key)) if key.len() >= PEER_KEY_MIN_BYTES => self.peer_key = key,
            Some(Ok(_)) => {
                let cause = format!("the key has fewer than {PEER_KEY_MIN_BYTES} bytes");
                document.add_fault(section.line, "[peers] key_file", &cause);
            }
            Some(Err(cause)) => document.add_fault(section.line, "[peers] key_file", &cause),
            None => {}
        }
        document.reject_unknown_keys(section, "key_file");
        let mut section = document.take_one("operators");
        const DIGEST: &str = "the BLAKE3 digest of the key in 64 hexadecimal digits";
        let key = section.required(document, "key_digest", DIGEST, from_str);
        self.operator_key = key.unwrap_or_default();
        document.reject_unknown_keys(section, "key_digest");
    }

    fn read_log(&mut self, document: &mut Document) {
        let mut section = document.take_one("log");
        let filter = section.optional(document, "filter", "a tracing filter", |text| {
            let parsed = text.parse::<tracing_subscriber::filter::EnvFilter>();
            parsed.is_ok().then(|| text.to_owned())
        });
        let format = section.optional(document, "format", "text, json", |text| match text {
            "text" => Some(Format::Text),
            "json" => Some(Format::Json),
            _ => None,
        });
        self.log_filter = filter.unwrap_or_else(|| self.log_filter.clone());
        self.log_format = format.unwrap_or_default();
        document.reject_unknown_keys(section, "filter, format");
    }

    fn read_limits(&mut self, document: &mut Document) {
        const SIZE: &str = "1 to 1073741824 bytes";
        let mut section = document.take_one("limits");
        let size = |text: &str| from_str::<usize>(text).filter(|size| (1..=1 << 30).contains(size));
        let drain = section.optional(document, "drain", "a time such as 5s", span);
        let stop_max = section.optional(document, "stop_max", "a time such as 30s", span);
        let body_max = section.optional(document, "body_max", SIZE, size);
        let answer_max = section.optional(document, "answer_max", SIZE, size);
        let connections = section.optional(document, "connections_max", "1 or more", size);
        let dispatch =
            section.optional(
                document,
                "dispatch",
                "owner, apart, direct",
                |text| match text {
                    "owner" => Some(Dispatch::Owner),
                    "apart" => Some(Dispatch::Apart),
                    "direct" => Some(Dispatch::Direct),
                    _ => None,
                },
            );
        self.dispatch = dispatch.unwrap_or_default();
        self.drain = drain.unwrap_or(self.drain);
        self.stop_max = stop_max.unwrap_or(self.stop_max);
        self.body_max = body_max.unwrap_or(self.body_max);
        self.answer_max = answer_max.unwrap_or(self.answer_max);
        self.connections_max = connections.unwrap_or(self.connections_max);
        if self.stop_max < self.drain {
            document.add_fault(section.line, "[limits] stop_max", "shorter than drain");
        }
        document.reject_unknown_keys(
            section,
            "drain, stop_max, body_max, answer_max, connections_max, dispatch",
        );
    }
}
