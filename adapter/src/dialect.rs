//! Interface to the platform: its header names, paths and document formats.
//!
//! A platform crate implements [`Dialect`]; this crate contains no platform's names.

use bytes::Bytes;
use hyper::header::HeaderName;
use wagtailbeam_decision::catalog;
use wagtailbeam_decision::catalog::Catalog;
use wagtailbeam_decision::fleet::Replica;
use wagtailbeam_decision::fleet::Versions;
use wagtailbeam_decision::rollout::Record;

use crate::rollout::Order;

/// Names of the headers exchanged with callers and backend servers.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Identifier of a request, set by the caller.
    pub request: HeaderName,
    /// Name of the client account that sent the request.
    pub account: HeaderName,
    /// Time left to answer, in milliseconds.
    pub deadline: HeaderName,
    /// Identifier of the only replica that may run the request.
    pub instance: HeaderName,
    /// Stamp that a replica puts on its answer.
    pub stamp: HeaderName,
    /// Stamps of the parts of a merged answer, separated by commas.
    pub stamps: HeaderName,
    /// Number of shards missing from a merged answer.
    pub missing: HeaderName,
    /// Present if the replica did not run the request.
    pub not_run: HeaderName,
    /// Requests per second that the replica takes from all hosts together; absent without a
    /// limit.
    pub limit: HeaderName,
    /// Present, as `1`, if the replica is leaving.
    pub leaving: HeaderName,
}

/// One page of the platform's list of replicas.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// Replicas of the readable entries.
    pub replicas: Vec<Replica>,
    /// Number of entries that could not be read.
    pub skipped: usize,
    /// Versions of replicas, as far as their entries tell them.
    pub versions: Versions,
    /// Token of the next page; absent on the last one.
    pub next: Option<String>,
}

/// A command in an operator's HTTP request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Put a configuration in force.
    Configure,
    /// Read the newest configuration.
    Read,
    /// Take the failure domain of this name out of service.
    Close(String),
    /// Put the failure domain of this name back into service.
    Open(String),
    /// Begin a rollout.
    Rollout,
    /// Read the state of this service's last rollout.
    ReadRollout(String),
}

/// Translation of the platform's names and formats.
pub trait Dialect: Send + Sync + 'static {
    /// Names of the platform's headers.
    fn headers(&self) -> &Headers;

    /// Whether `path` is that of the balancer's readiness check.
    fn is_readiness(&self, path: &str) -> bool;

    /// The operator's command with this method and path, if there is one.
    fn command(&self, method: &hyper::Method, path: &str) -> Option<Command>;

    /// Parses and checks a configuration.
    ///
    /// # Errors
    ///
    /// The configuration is malformed or inconsistent.
    fn catalog(&self, document: &[u8]) -> catalog::Result<Catalog>;

    /// Parses and checks the request of a rollout.
    ///
    /// # Errors
    ///
    /// A description of the fault.
    fn rollout(&self, body: &[u8]) -> std::result::Result<Order, String>;

    /// The state of a rollout, for an operator.
    fn rollout_state(&self, record: &Record) -> Vec<u8>;

    /// Path and query of the page of the list with this token; without one, the first page.
    fn list_path(&self, token: Option<&str>) -> String;

    /// Parses a page of the list of replicas.
    ///
    /// # Errors
    ///
    /// A description, if the page as a whole can't be parsed.
    fn page(&self, body: &Bytes) -> std::result::Result<Page, String>;
}
