//! Secrets: bind passwords, signing keys and the key of the snapshot.

use std::collections::BTreeMap;
use std::sync::Arc;

use pipithub_consumer::identity::Keys;

use crate::duration::{DAY, SECOND};
use crate::reader::Reader;

/// The minimum length of a key in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Reads a secret from the file that the node names, or from the node's text. `description` names the secret in faults.
pub(super) fn read(node: &Reader<'_>, description: &str) -> Option<Vec<u8>> {
    match (node.text("file"), node.text("text")) {
        (Some(file), None) => match std::fs::read(&file) {
            Ok(bytes) => Some(bytes.trim_ascii_end().to_vec()),
            Err(error) => {
                node.fault(format!("{description}: {file}: {error}"));
                None
            }
        },
        (None, Some(text)) => Some(text.into_bytes()),
        _ => {
            let message = format!("{description} needs either 'file' or 'text'");
            let help = "file=\"…\", or text=\"…\" where the settings themselves are secret";
            node.fault_with_help(message, help);
            None
        }
    }
}

/// Reads a secret that is used as a key. A key that is too short is a fault.
pub(super) fn read_key(node: &Reader<'_>, description: &str) -> Vec<u8> {
    let key = read(node, description).unwrap_or_default();
    if key.len() < MIN_KEY_BYTES {
        node.fault("a key must have at least 16 bytes");
    }
    key
}

/// Reads the node `signatures`, with the keys that messages may be signed with; `None` if there is none.
pub(super) fn read_signing_keys(root: &Reader<'_>) -> Option<Arc<Keys>> {
    let node = root.child("signatures")?;
    let mut keys = BTreeMap::new();
    for key in node.children("key") {
        let secret = read_key(&key, "a key");
        if keys.insert(key.name(), secret).is_some() {
            key.fault("a key with this id is given twice");
        }
        key.finish();
    }
    let max_age = node.duration("max-age", 300 * SECOND, SECOND..=DAY);
    node.finish();
    Some(Arc::new(Keys { keys, max_age }))
}
