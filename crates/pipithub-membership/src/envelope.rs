//! The datagram format: a magic number, the version, the cluster tag, and one message.

use foca::{Codec, PostcardCodec};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::identity::Identity;

/// Format version of the datagrams that are sent.
const WIRE_VERSION: u8 = 1;
/// Oldest format version that is accepted: versions that differ by one are compatible.
const MIN_WIRE_VERSION: u8 = 0;
/// Newest format version that is accepted.
const MAX_WIRE_VERSION: u8 = WIRE_VERSION + 1;

const MAGIC: [u8; 2] = *b"pm";
const VERSION_OFFSET: usize = MAGIC.len();
const TAG_OFFSET: usize = VERSION_OFFSET + 1;
const TAG_LENGTH: usize = 8;
const HEADER_LENGTH: usize = TAG_OFFSET + TAG_LENGTH;
/// Initial size of the buffer for a datagram, in bytes; most datagrams fit into it.
const INITIAL_CAPACITY: usize = 256;

/// Identifies the cluster that a datagram belongs to: the first bytes of the SHA-256 digest of the cluster's name.
pub(crate) type ClusterTag = [u8; TAG_LENGTH];

/// The message in a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Envelope {
    /// A process asks to join, and whether another run of its name with the same or a later generation is known.
    JoinRequest(Identity),
    /// A member accepts the process and states its own identity.
    JoinAccepted(Identity),
    /// A member rejects the process, because it knows another run of that name with the same or a later generation.
    NameTaken {
        /// The run that is known.
        known: Identity,
        /// Whether that run is believed to be a member now.
        active: bool,
    },
    /// A message of the SWIM engine.
    Swim(Vec<u8>),
}

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectReason {
    /// It does not begin with the header of this protocol.
    #[error("not a membership datagram")]
    ForeignProtocol,
    /// Its cluster tag belongs to another cluster.
    #[error("of another cluster")]
    OtherCluster,
    /// Its format version is not supported.
    #[error("unsupported version {0}")]
    UnsupportedVersion(u8),
    /// Its message cannot be decoded.
    #[error("malformed")]
    Malformed,
}

/// Derives the tag of a cluster from its name.
pub(crate) fn cluster_tag(cluster: &str) -> ClusterTag {
    let digest = Sha256::digest(cluster.as_bytes());
    let mut tag = ClusterTag::default();
    tag.copy_from_slice(&digest[..TAG_LENGTH]);
    tag
}

impl Envelope {
    /// Encodes a datagram. Returns `None` if the serializer fails, which does not happen for values of this type.
    pub(crate) fn encode(&self, tag: ClusterTag) -> Option<Vec<u8>> {
        let mut bytes = Vec::with_capacity(INITIAL_CAPACITY);
        bytes.extend(MAGIC);
        bytes.push(WIRE_VERSION);
        bytes.extend(tag);
        postcard::to_extend(self, bytes).ok()
    }

    /// Decodes a datagram of the cluster with this tag.
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
        // A newer version may add fields at the end, which are ignored, or message types, which are rejected as
        // malformed.
        postcard::take_from_bytes(&bytes[HEADER_LENGTH..])
            .map(|(envelope, _)| envelope)
            .map_err(|_| RejectReason::Malformed)
    }
}

/// The identity under which the sender of a datagram claims to be a member, for observers of the network. Returns
/// `None` if the datagram belongs to another cluster, cannot be decoded, or makes no such claim.
pub fn sender_identity(bytes: &[u8], cluster: &str) -> Option<Identity> {
    match Envelope::decode(bytes, cluster_tag(cluster)).ok()? {
        Envelope::JoinAccepted(member) => Some(member),
        Envelope::JoinRequest(_) | Envelope::NameTaken { .. } => None,
        Envelope::Swim(data) => swim_sender(&data),
    }
}

/// The sender that the header of a SWIM message states; `None` if the header cannot be decoded.
pub(crate) fn swim_sender(data: &[u8]) -> Option<Identity> {
    let header: foca::Header<Identity> = PostcardCodec.decode_header(data).ok()?;
    Some(header.src)
}

#[cfg(test)]
mod tests;
