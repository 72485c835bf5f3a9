//! What is rejected, and that no bytes make the decoder fail otherwise.

use proptest::prelude::{any, proptest};

use super::{Envelope, HEADER_LENGTH, RejectReason, WIRE_VERSION, cluster_tag};

#[test]
fn other_clusters_and_distant_versions_have_distinct_reasons() {
    let tag = cluster_tag("campus");
    let bytes = Envelope::Swim(vec![1, 2, 3]).encode(tag).unwrap();
    assert_eq!(
        Envelope::decode(&bytes, tag),
        Ok(Envelope::Swim(vec![1, 2, 3]))
    );
    assert_eq!(
        Envelope::decode(&bytes, cluster_tag("other")),
        Err(RejectReason::OtherCluster)
    );
    let mut newer = bytes.clone();
    newer[2] = WIRE_VERSION + 1;
    newer.push(9);
    assert!(Envelope::decode(&newer, tag).is_ok());
    newer[2] = WIRE_VERSION + 2;
    assert_eq!(
        Envelope::decode(&newer, tag),
        Err(RejectReason::UnsupportedVersion(WIRE_VERSION + 2))
    );
    assert_eq!(
        Envelope::decode(b"GET / HTTP", tag),
        Err(RejectReason::ForeignProtocol)
    );
}

proptest! {
    #[test]
    fn no_bytes_make_the_decoder_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let tag = cluster_tag("campus");
        let _ = Envelope::decode(&bytes, tag);
        let mut ours = Envelope::Swim(vec![]).encode(tag).unwrap();
        ours.truncate(HEADER_LENGTH);
        ours.extend(&bytes);
        let _ = Envelope::decode(&ours, tag);
    }
}
