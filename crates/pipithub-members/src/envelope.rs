//! What every datagram is wrapped in: a version range, the cluster's tag, and what it carries.

use foca::{Codec, PostcardCodec};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::identity::Identity;

/// The newest form that this program writes.
pub const WIRE_VERSION: u8 = 1;
/// The oldest form that it reads: versions that differ by one get along.
pub const MIN_WIRE_VERSION: u8 = 0;

const MAGIC: [u8; 2] = *b"pm";
/// Bytes before what is carried.
const HEAD: usize = 2 + 1 + 8;

/// What a datagram carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Envelope {
    /// A process that knows nobody asks a seed who it is, and whether its own name is free.
    JoinRequest(Identity),
    /// A seed's answer: itself.
    JoinAccepted(Identity),
    /// A seed's other answer: under this name it knows a run that is not older, and whether that one is there now.
    NameTaken {
        /// The run that is known.
        known: Identity,
        /// It is not known to be down.
        active: bool,
    },
    /// What the SWIM engine says.
    Swim(Vec<u8>),
}

/// Why a datagram was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectReason {
    /// It is none of ours.
    #[error("no datagram of a fleet")]
    ForeignProtocol,
    /// It is of another cluster.
    #[error("of another cluster")]
    OtherCluster,
    /// Its version is not read here.
    #[error("of version {0}, which is not read here")]
    UnsupportedVersion(u8),
    /// It cannot be read.
    #[error("damaged")]
    Malformed,
}

/// The tag of a cluster's name.
pub(crate) fn cluster_tag(cluster: &str) -> [u8; 8] {
    let sum = Sha256::digest(cluster.as_bytes());
    let mut cluster_tag = [0; 8];
    cluster_tag.copy_from_slice(&sum[..8]);
    cluster_tag
}

impl Envelope {
    /// As bytes; `None` where it has no form, which only happens to what was never read from outside.
    pub(crate) fn encode(&self, cluster_tag: [u8; 8]) -> Option<Vec<u8>> {
        let mut bytes = Vec::with_capacity(256);
        bytes.extend(MAGIC);
        bytes.push(WIRE_VERSION);
        bytes.extend(cluster_tag);
        postcard::to_extend(self, bytes).ok()
    }

    /// Reads a datagram of this cluster.
    pub(crate) fn decode(bytes: &[u8], cluster_tag: [u8; 8]) -> Result<Envelope, RejectReason> {
        if bytes.len() < HEAD || bytes[..2] != MAGIC {
            return Err(RejectReason::ForeignProtocol);
        }
        if bytes[3..HEAD] != cluster_tag {
            return Err(RejectReason::OtherCluster);
        }
        if !(MIN_WIRE_VERSION..=WIRE_VERSION + 1).contains(&bytes[2]) {
            return Err(RejectReason::UnsupportedVersion(bytes[2]));
        }
        // A newer version may only add at the end, or kinds that are not understood here.
        postcard::take_from_bytes(&bytes[HEAD..])
            .map(|(e, _)| e)
            .map_err(|_| RejectReason::Malformed)
    }
}

/// Which run a datagram says that it takes part as: for judges that watch links. `None` where it is none of the
/// cluster's, cannot be read, or only asks.
pub fn sender_identity(bytes: &[u8], cluster: &str) -> Option<Identity> {
    match Envelope::decode(bytes, cluster_tag(cluster)).ok()? {
        Envelope::JoinAccepted(me) => Some(me),
        Envelope::JoinRequest(_) | Envelope::NameTaken { .. } => None,
        Envelope::Swim(data) => swim_sender(&data),
    }
}

/// Who says something to the engine.
pub(crate) fn swim_sender(data: &[u8]) -> Option<Identity> {
    let header: foca::Header<Identity> = PostcardCodec.decode_header(data).ok()?;
    Some(header.src)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn strangers_and_distant_versions_are_told_apart() {
        let bytes = Envelope::Swim(vec![1, 2, 3])
            .encode(cluster_tag("campus"))
            .unwrap();
        assert_eq!(
            Envelope::decode(&bytes, cluster_tag("campus")),
            Ok(Envelope::Swim(vec![1, 2, 3]))
        );
        assert_eq!(
            Envelope::decode(&bytes, cluster_tag("other")),
            Err(RejectReason::OtherCluster)
        );
        let mut newer = bytes.clone();
        newer[2] = WIRE_VERSION + 1;
        newer.push(9);
        assert!(Envelope::decode(&newer, cluster_tag("campus")).is_ok());
        newer[2] = WIRE_VERSION + 2;
        assert_eq!(
            Envelope::decode(&newer, cluster_tag("campus")),
            Err(RejectReason::UnsupportedVersion(WIRE_VERSION + 2))
        );
        assert_eq!(
            Envelope::decode(b"GET / HTTP", cluster_tag("campus")),
            Err(RejectReason::ForeignProtocol)
        );
    }

    proptest! {
        #[test]
        fn no_bytes_bring_it_down(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            let _ = Envelope::decode(&bytes, cluster_tag("campus"));
            let mut ours = Envelope::Swim(vec![]).encode(cluster_tag("campus")).unwrap();
            ours.truncate(HEAD);
            ours.extend(&bytes);
            let _ = Envelope::decode(&ours, cluster_tag("campus"));
        }
    }
}
