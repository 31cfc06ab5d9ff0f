//! Small stand-ins for development: backend servers, callers, and daemons that
//! run inside one process.

pub mod backend;
pub mod caller;
pub mod fleet;
pub mod load;
pub mod port;
pub mod process;
