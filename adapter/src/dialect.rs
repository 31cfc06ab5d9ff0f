//! The edge to the platform: what it calls things and how it writes them.
//!
//! Another crate fills this in; nothing here knows a platform's names.

use bytes::Bytes;
use hyper::header::HeaderName;
use wagtailbeam_decision::catalog;
use wagtailbeam_decision::catalog::Catalog;
use wagtailbeam_decision::fleet::Replica;

/// Header names on the way to callers and backend servers.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Identifier of a request, as the caller set it.
    pub request: HeaderName,
    /// Time left to answer, in milliseconds.
    pub deadline: HeaderName,
    /// The replica that alone may run the request.
    pub instance: HeaderName,
    /// The replica's stamp on its answer.
    pub stamp: HeaderName,
    /// Stamps of the parts of a merged answer, split by commas.
    pub stamps: HeaderName,
    /// Number of shards missing in a merged answer.
    pub missing: HeaderName,
    /// Present if the replica did not run the request.
    pub not_run: HeaderName,
}

/// One page of the platform's list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// The replicas that could be read.
    pub replicas: Vec<Replica>,
    /// Entries that could not be read, and so name no replica.
    pub skipped: usize,
    /// Token of the next page, unless this is the last one.
    pub next: Option<String>,
}

/// An operator's call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Put a configuration in force.
    Configure,
    /// Read the newest configuration.
    Read,
    /// Take a failure domain out of service.
    Close(String),
    /// Put a failure domain back into service.
    Open(String),
}

/// The platform's names, formats and calls.
pub trait Dialect: Send + Sync + 'static {
    /// Header names.
    fn headers(&self) -> &Headers;

    /// Whether this is the path at which the balancer asks for readiness.
    fn is_readiness(&self, path: &str) -> bool;

    /// The operator's call with this method and path, if it is one.
    fn command(&self, method: &hyper::Method, path: &str) -> Option<Command>;

    /// Reads and checks a configuration.
    fn catalog(&self, document: &[u8]) -> catalog::Result<Catalog>;

    /// The path of a page of the list of replicas.
    fn list_path(&self, token: Option<&str>) -> String;

    /// Reads a page of the list; the cause if it is unreadable as a whole.
    fn page(&self, body: &Bytes) -> std::result::Result<Page, String>;
}
