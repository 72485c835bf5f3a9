//! Addresses of servers in the form `host:port`.

use crate::reader::Reader;

/// The node's argument as an address; empty if there is none.
pub(crate) fn read(node: &Reader<'_>) -> String {
    let Some(given) = node.argument() else {
        return String::new();
    };
    let address = given.text();
    if !is_address(address) {
        let message = format!("{} is no address", given.value);
        node.fault_at(given.span, message, Some("\"host:port\""));
    }
    address.to_string()
}

fn is_address(text: &str) -> bool {
    text.rsplit_once(':')
        .is_some_and(|(host, port)| !host.is_empty() && port.parse::<u16>().is_ok())
}
