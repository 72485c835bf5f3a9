//! Addresses of simulated processes.

use std::net::SocketAddr;

/// Processes in one range of addresses, whose last octet runs from 1.
const PROCESSES_PER_SUBNET: usize = 250;
const PORT: u16 = 7000;

/// The address of a process.
pub fn address(process: usize) -> SocketAddr {
    let subnet = (process / PROCESSES_PER_SUBNET) as u8;
    let host = (process % PROCESSES_PER_SUBNET) as u8 + 1;
    SocketAddr::from(([10, 0, subnet, host], PORT))
}

/// The process that has an address.
pub(crate) fn process_at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let [_, _, subnet, host] = address.ip().octets();
    (usize::from(subnet) * PROCESSES_PER_SUBNET + usize::from(host)).checked_sub(1)
}
