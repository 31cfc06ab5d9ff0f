//! Tells which process opened a connection on this machine, so that a stand-in can cut one process
//! off while the others go on.

use std::fs;
use std::net::SocketAddr;

/// Whether the process `pid` holds the socket at this IPv4 address.
pub fn is_from(pid: u32, address: SocketAddr) -> bool {
    let Some(inode) = inode(address) else {
        return false;
    };
    let name = format!("socket:[{inode}]");
    let Ok(files) = fs::read_dir(format!("/proc/{pid}/fd")) else {
        return false;
    };
    let mut links = files.flatten().flat_map(|file| fs::read_link(file.path()));
    links.any(|link| link.as_os_str() == name.as_str())
}

/// Inode of the TCP socket with this local address.
fn inode(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    let local = format!("{ip:08X}:{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let mut rows = table
        .lines()
        .map(|row| row.split_whitespace().collect::<Vec<_>>());
    let row = rows.find(|row| row.get(1) == Some(&local.as_str()))?;
    row.get(9).map(|inode| (*inode).to_owned())
}
