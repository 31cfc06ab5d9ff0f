//! Input and output of wagtailbeam: sockets, files, clocks, signals, metrics and logs.
//!
//! The loops in [`node`], [`entry`] and [`voter`] feed events to the `decision` package, which
//! does no I/O, and perform the actions that it returns.
//!
//! There are two modes; [`cli::daemon_main`] starts a process in one of them.
//!
//! # Groups with a settings file
//!
//! Every host runs the loop in [`node`], with the settings of [`settings`]. A caller's request
//! takes this path:
//!
//! 1. [`frontend`] accepts the connection, validates the request and sends it to [`node`].
//! 2. [`node`] passes it to `decision::daemon`. Messages to the daemons of other hosts go through
//!    [`peer`], which encodes them with [`wire`].
//! 3. [`backend`] calls the backend servers over connections of [`pool`]; [`node`] passes the
//!    results back to `decision::daemon`.
//! 4. [`node`] sends the reply to [`frontend`], which writes the HTTP response.
//!
//! Operators connect to [`admin`]; their command line is in [`cli`] and [`client`]. [`metric`]
//! and [`event`] hold the metrics and the log events of this mode.
//!
//! # Tiers with discovered hosts
//!
//! Entry hosts run the loop in [`entry`], voters the one in [`voter`], both with the settings of
//! [`host`] and a platform's [`dialect`]. A caller's request takes this path:
//!
//! 1. [`ingress`] accepts the connection, reads the request and sends it to [`entry`].
//! 2. `identity` finds its client account, and `admission` waits for a token of the account's
//!    quota, if it has one; `tally` counts requests and refusals by account. Then `serve` passes it
//!    to the gateway, or to the fanout if its route is divided among hosts.
//!    For the fanout, `aggregate` orders branches from other entry hosts over [`mesh`], accepts
//!    the orders of others, and passes the branches of this host to the gateway.
//! 3. `serve` sends the gateway's calls to replicas over connections of [`pool`]; `response`
//!    classifies the results.
//! 4. `serve` sends the answer to [`ingress`], which writes the HTTP response.
//!
//! `inbound` handles what voters and other entry hosts send. A voter reads the list of replicas
//! with [`discovery`], and operators connect to its [`operator`] port. [`meter`] and [`logging`]
//! hold the metrics and the log of this mode, [`accounts`] what operators see of client accounts.
//!
//! # Both modes
//!
//! Voters store their records with [`store`], through the writer thread of [`disk`]. [`peer`],
//! [`wire`], [`pool`], [`http`], [`socket`] and [`signal`] are used in both modes.

pub mod accounts;
pub mod admin;
mod admission;
mod aggregate;
pub mod backend;
mod body;
pub mod carriers;
pub mod cli;
pub mod client;
pub mod clock;
mod detour;
pub mod dialect;
pub mod discovery;
pub mod disk;
pub mod entry;
pub mod event;
pub mod frontend;
pub mod host;
pub mod http;
mod identity;
mod inbound;
pub mod ingress;
mod listener;
pub mod logging;
pub mod mesh;
pub mod meter;
mod metered;
pub mod metric;
pub mod node;
pub mod note;
pub mod operator;
pub mod peer;
pub mod pool;
pub mod probe;
mod readiness;
pub mod report;
mod response;
pub mod rollout;
mod serve;
pub mod settings;
pub mod signal;
pub mod socket;
pub mod status;
mod stop;
pub mod store;
mod tally;
pub mod voter;
pub mod wire;
