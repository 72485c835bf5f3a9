//! The format of datagrams: magic, version, cluster tag, and a message.

use foca::{Codec, PostcardCodec};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::identity::Identity;

/// The version that this program writes.
const WIRE_VERSION: u8 = 1;
/// The oldest version that it reads: versions that differ by one are compatible.
const MIN_WIRE_VERSION: u8 = 0;
/// The newest version that it reads.
const MAX_WIRE_VERSION: u8 = WIRE_VERSION + 1;

const MAGIC: [u8; 2] = *b"pm";
const VERSION_OFFSET: usize = MAGIC.len();
const TAG_OFFSET: usize = VERSION_OFFSET + 1;
const TAG_LENGTH: usize = 8;
const HEADER_LENGTH: usize = TAG_OFFSET + TAG_LENGTH;
/// Most messages fit into it without another allocation.
const INITIAL_CAPACITY: usize = 256;

/// Marks the datagrams of one cluster; derived from its name.
pub(crate) type ClusterTag = [u8; TAG_LENGTH];

/// The message in a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Envelope {
    /// A process that knows nobody asks who is there, and whether its own name is free.
    JoinRequest(Identity),
    /// The answer of a member that accepts the process: the member's own identity.
    JoinAccepted(Identity),
    /// The answer of a member that knows a run of that name which is not older.
    NameTaken {
        /// The run that is known.
        known: Identity,
        /// Whether that run is believed to take part now.
        active: bool,
    },
    /// A message of the SWIM engine.
    Swim(Vec<u8>),
}

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectReason {
    /// It belongs to another protocol.
    #[error("no datagram of a fleet")]
    ForeignProtocol,
    /// It belongs to another cluster.
    #[error("of another cluster")]
    OtherCluster,
    /// Its version is not supported.
    #[error("of version {0}, which is not read here")]
    UnsupportedVersion(u8),
    /// It cannot be decoded.
    #[error("damaged")]
    Malformed,
}

/// The tag of a cluster's name.
pub(crate) fn cluster_tag(cluster: &str) -> ClusterTag {
    let digest = Sha256::digest(cluster.as_bytes());
    let mut tag = ClusterTag::default();
    tag.copy_from_slice(&digest[..TAG_LENGTH]);
    tag
}

impl Envelope {
    /// Encodes a datagram; `None` where the message cannot be encoded, which only happens to values that were never
    /// received.
    pub(crate) fn encode(&self, tag: ClusterTag) -> Option<Vec<u8>> {
        let mut bytes = Vec::with_capacity(INITIAL_CAPACITY);
        bytes.extend(MAGIC);
        bytes.push(WIRE_VERSION);
        bytes.extend(tag);
        postcard::to_extend(self, bytes).ok()
    }

    /// Decodes a datagram of this cluster.
    pub(crate) fn decode(bytes: &[u8], tag: ClusterTag) -> Result<Envelope, RejectReason> {
        if bytes.len() < HEADER_LENGTH || !bytes.starts_with(&MAGIC) {
            return Err(RejectReason::ForeignProtocol);
        }
        if bytes[TAG_OFFSET..HEADER_LENGTH] != tag {
            return Err(RejectReason::OtherCluster);
        }
        let version = bytes[VERSION_OFFSET];
        if !(MIN_WIRE_VERSION..=MAX_WIRE_VERSION).contains(&version) {
            return Err(RejectReason::UnsupportedVersion(version));
        }
        // A newer version may only add fields at the end, or messages that are not understood here.
        postcard::take_from_bytes(&bytes[HEADER_LENGTH..])
            .map(|(envelope, _)| envelope)
            .map_err(|_| RejectReason::Malformed)
    }
}

/// The run that a datagram says that it takes part as, for observers of the network. `None` where the datagram is not of
/// this cluster, cannot be decoded, or comes from a process that only asks.
pub fn sender_identity(bytes: &[u8], cluster: &str) -> Option<Identity> {
    match Envelope::decode(bytes, cluster_tag(cluster)).ok()? {
        Envelope::JoinAccepted(member) => Some(member),
        Envelope::JoinRequest(_) | Envelope::NameTaken { .. } => None,
        Envelope::Swim(data) => swim_sender(&data),
    }
}

/// The sender of a SWIM message.
pub(crate) fn swim_sender(data: &[u8]) -> Option<Identity> {
    let header: foca::Header<Identity> = PostcardCodec.decode_header(data).ok()?;
    Some(header.src)
}

#[cfg(test)]
mod tests;
