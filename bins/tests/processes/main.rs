//! End-to-end tests of the daemon and the operators' client as processes on loopback.

#![expect(clippy::unwrap_used, reason = "a failed step must fail the test")]

mod accounts;
mod accounts_report;
mod accounts_scale;
mod capacity;
mod disks;
mod endless;
mod faults;
mod harness;
mod lifecycle;
mod limited;
mod notice;
mod orders;
mod promise;
mod quota;
mod rollout;
mod stop;
mod stranded;
mod tier;
mod versioned;
