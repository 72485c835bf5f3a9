//! Which datagrams are rejected, and for which reason.

use proptest::prelude::{any, proptest};

use super::{Envelope, HEADER_LENGTH, RejectReason, WIRE_VERSION, cluster_tag};

#[test]
fn foreign_datagrams_are_rejected_with_distinct_reasons() {
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
    fn decoder_does_not_panic_on_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let tag = cluster_tag("campus");
        let _ = Envelope::decode(&bytes, tag);
        let mut with_header = Envelope::Swim(vec![]).encode(tag).unwrap();
        with_header.truncate(HEADER_LENGTH);
        with_header.extend(&bytes);
        let _ = Envelope::decode(&with_header, tag);
    }
}
