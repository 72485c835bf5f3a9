//! Identifies a message across its deliveries by everything in it that its client determines.

use bytes::BytesMut;
use pipithub_amqp::wire::Writer;
use pipithub_amqp::{Content, FieldTable, Properties};
use pipithub_engine::MessageIdentity;
use sha2::{Digest, Sha256};

use super::message_id;

/// Brokers note in headers with this prefix how often and why they deliver a message, so that these may differ between
/// its deliveries.
const BROKER_HEADER_PREFIX: &str = "x-";

/// Identifies a message across its deliveries; `None` if it bears neither a message id nor a correlation id with a reply
/// address, so that copies of it cannot be told from calls that happen to be alike.
///
/// The identity covers all properties and the body. Clients may number their messages alike, and one client may use an
/// id again: their messages have different identities as long as anything in them differs.
pub(super) fn message_identity(content: &Content) -> Option<MessageIdentity> {
    let properties = &content.properties;
    let has_correlation_id = properties
        .correlation_id
        .as_deref()
        .is_some_and(|id| !id.is_empty());
    let has_reply_address = properties.reply_to.is_some() && has_correlation_id;
    if message_id(properties).is_none() && !has_reply_address {
        return None;
    }
    let mut encoded = BytesMut::new();
    client_properties(properties).write(&mut Writer::new(&mut encoded));
    let digest = Sha256::new()
        .chain_update((encoded.len() as u64).to_be_bytes())
        .chain_update(&encoded)
        .chain_update(&content.body)
        .finalize();
    let half = digest.first_chunk().copied().unwrap_or_default();
    Some(MessageIdentity(u128::from_be_bytes(half)))
}

/// The properties without the headers that the broker may change between deliveries.
fn client_properties(properties: &Properties) -> Properties {
    let client_headers = |headers: &FieldTable| {
        headers
            .iter()
            .filter(|(name, _)| !name.starts_with(BROKER_HEADER_PREFIX))
            .map(|(name, value)| (name.clone(), value.clone()))
            .collect()
    };
    Properties {
        headers: properties.headers.as_ref().map(client_headers),
        ..properties.clone()
    }
}
