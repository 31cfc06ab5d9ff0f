//! Test doubles for development: fake backend servers, an HTTP caller, a load
//! generator, and daemons run on threads or as child processes. Used by the process
//! tests and by the examples `tour` and `load`.

pub mod backend;
pub mod caller;
pub mod file_limit;
pub mod fleet;
pub mod load;
pub mod locator;
pub mod origin;
pub mod port;
pub mod process;
