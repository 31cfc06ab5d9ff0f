//! Tells which process opened a connection on this machine, so that a stand-in can cut one process
//! off while the others go on.

use std::collections::HashMap;
use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

/// The local addresses of all IPv4 sockets that these processes hold, with the holder.
///
/// Reads the tables of the system once, however many addresses are asked for.
pub fn holders(pids: &[u32]) -> HashMap<SocketAddr, u32> {
    let inodes = pids.iter().flat_map(|pid| {
        let inodes = inodes_of(*pid).into_iter();
        inodes.map(|inode| (inode, *pid))
    });
    let inodes = inodes.collect::<HashMap<_, _>>();
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let sockets = table.lines().skip(1).filter_map(|row| {
        let mut columns = row.split_whitespace();
        let address = parse_address(columns.nth(1)?)?;
        let pid = inodes.get(columns.nth(7)?)?;
        Some((address, *pid))
    });
    sockets.collect()
}

/// Inodes of the sockets that a process holds; none if it has ended.
fn inodes_of(pid: u32) -> Vec<String> {
    let Ok(files) = fs::read_dir(format!("/proc/{pid}/fd")) else {
        return Vec::new();
    };
    let links = files.flatten().flat_map(|file| fs::read_link(file.path()));
    let inodes = links.filter_map(|link| {
        let inode = link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?;
        Some(inode.to_owned())
    });
    inodes.collect()
}

/// An address as the system's table of sockets has it: address in the byte order of the machine,
/// and port, in hexadecimal digits.
fn parse_address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?;
    let port = u16::from_str_radix(port, 16).ok()?;
    let ip = Ipv4Addr::from(ip.to_ne_bytes());
    Some(SocketAddrV4::new(ip, port).into())
}
