//! How many bytes the operating system holds for TCP connections, read from its table of connections.

/// The number of bytes that the operating system holds for the connection between these two ports, because they are not
/// acknowledged or not read. A segment that has arrived and is not acknowledged yet counts in both queues, so the table
/// is read until no segment is on its way and two readings in a row agree.
pub(crate) fn bytes_between(one: u16, other: u16) -> usize {
    let is_between = |end: &&ConnectionEnd| {
        (end.local_port, end.remote_port) == (one, other)
            || (end.local_port, end.remote_port) == (other, one)
    };
    let mut before = None;
    loop {
        let table = connection_ends();
        let ends: Vec<&ConnectionEnd> = table.iter().filter(is_between).collect();
        let is_settled = ends.iter().all(|end| !end.has_unacknowledged);
        let bytes = ends.iter().map(|end| end.bytes).sum();
        if is_settled && before == Some(bytes) {
            return bytes;
        }
        before = Some(bytes).filter(|_| is_settled);
    }
}

/// The number of bytes that the operating system holds for all established connections with this port at either end.
pub(crate) fn bytes_at_port(port: u16) -> usize {
    connection_ends()
        .iter()
        // In a listener's entry, the figures mean something else.
        .filter(|end| end.is_established)
        .filter(|end| end.local_port == port || end.remote_port == port)
        .map(|end| end.bytes)
        .sum()
}

/// The number of bytes that the operating system holds at the end of a connection with the port `local`, because its peer at
/// the port `remote` does not read, or because they are not read at this end.
pub(crate) fn bytes_at_end(local: u16, remote: u16) -> usize {
    connection_ends()
        .iter()
        .filter(|end| (end.local_port, end.remote_port) == (local, remote))
        .map(|end| end.bytes)
        .sum()
}

/// One end of a connection.
struct ConnectionEnd {
    local_port: u16,
    remote_port: u16,
    is_established: bool,
    /// The number of bytes that are not acknowledged or not read.
    bytes: usize,
    /// Whether the retransmission timer runs, that is, a segment is on its way.
    has_unacknowledged: bool,
}

fn connection_ends() -> Vec<ConnectionEnd> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    table.lines().filter_map(connection_end).collect()
}

/// Parses a line of the table, see `proc_pid_net(5)`; `None` if the line is not an entry.
fn connection_end(line: &str) -> Option<ConnectionEnd> {
    const ESTABLISHED: &str = "01";
    const RETRANSMISSION_TIMER: &str = "01";
    let fields: Vec<&str> = line.split_whitespace().collect();
    let (unacknowledged, unread) = fields.get(4)?.split_once(':')?;
    let (timer, _) = fields.get(5)?.split_once(':')?;
    Some(ConnectionEnd {
        local_port: port(fields.get(1)?)?,
        remote_port: port(fields.get(2)?)?,
        is_established: *fields.get(3)? == ESTABLISHED,
        bytes: hexadecimal(unacknowledged)? + hexadecimal(unread)?,
        has_unacknowledged: timer == RETRANSMISSION_TIMER,
    })
}

fn port(address: &str) -> Option<u16> {
    u16::from_str_radix(address.split(':').nth(1)?, 16).ok()
}

fn hexadecimal(text: &str) -> Option<usize> {
    usize::from_str_radix(text, 16).ok()
}
