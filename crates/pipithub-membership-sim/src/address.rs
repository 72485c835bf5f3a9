//! Addresses of simulated processes.

use std::net::SocketAddr;

/// Number of processes in one subnet; the last octet of their addresses starts at 1.
const PROCESSES_PER_SUBNET: usize = 250;
const PORT: u16 = 7000;

/// The address of the process with this number.
pub fn address(process: usize) -> SocketAddr {
    let subnet = (process / PROCESSES_PER_SUBNET) as u8;
    let host = (process % PROCESSES_PER_SUBNET) as u8 + 1;
    SocketAddr::from(([10, 0, subnet, host], PORT))
}

/// The number of the process with this address; `None` for an IPv6 address, or if the last two octets are 0.
pub(crate) fn process_at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let [_, _, subnet, host] = address.ip().octets();
    (usize::from(subnet) * PROCESSES_PER_SUBNET + usize::from(host)).checked_sub(1)
}
