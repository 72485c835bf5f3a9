//! Which generation a starting process takes, and which records are rejected.

use proptest::prelude::{prop_assert, proptest};

use super::{GenerationRecord, RecordDamage, RecordError};
use crate::identity::DiskState;

#[test]
fn each_start_takes_the_next_generation_and_an_empty_folder_is_reported() {
    let first = GenerationRecord::next(None, "campus", "front-1").unwrap();
    assert!(first.disk == DiskState::Empty && first.record.generation == 1);
    let text = first.record.encode();
    let second = GenerationRecord::next(Some(&text), "campus", "front-1").unwrap();
    assert!(second.disk == DiskState::Intact && second.record.generation == 2);
}

#[test]
fn record_of_another_front_end_or_without_next_generation_is_rejected() {
    let first = GenerationRecord::next(None, "campus", "front-1").unwrap();
    let text = first.record.encode();
    assert!(matches!(
        GenerationRecord::next(Some(&text), "campus", "front-2"),
        Err(RecordError::OtherOwner { .. })
    ));
    assert!(matches!(
        GenerationRecord::next(Some(&text), "other", "front-1"),
        Err(RecordError::OtherOwner { .. })
    ));
    let last = GenerationRecord {
        generation: u64::MAX,
        ..first.record
    }
    .encode();
    assert_eq!(
        GenerationRecord::next(Some(&last), "campus", "front-1"),
        Err(RecordError::Exhausted(u64::MAX))
    );
}

#[test]
fn malformed_record_is_rejected_with_the_kind_of_its_damage() {
    let with_checksum = |body: &str| format!("{body}{}\n", super::checksum(body));
    let cases = [
        (String::new(), RecordDamage::Truncated),
        ("one line\n".to_string(), RecordDamage::Truncated),
        (
            "body\nchecksum\n".to_string(),
            RecordDamage::ChecksumMismatch,
        ),
        (
            with_checksum("pipithub generation 2\ncampus\nfront-1\n41\n"),
            RecordDamage::UnsupportedVersion,
        ),
        (
            with_checksum("pipithub generation 1\ncampus\nfront-1\n"),
            RecordDamage::MissingLines,
        ),
        (
            with_checksum("pipithub generation 1\ncampus\nfront-1\nmany\n"),
            RecordDamage::InvalidGeneration,
        ),
    ];
    for (text, damage) in cases {
        assert_eq!(
            GenerationRecord::decode(&text),
            Err(RecordError::Malformed(damage)),
            "{text:?}"
        );
    }
}

proptest! {
    #[test]
    fn truncated_or_corrupted_record_is_rejected(
        cut in 0usize..200,
        at in 0usize..200,
        bit in 0u8..7,
    ) {
        let record = GenerationRecord {
            cluster: "campus".into(),
            name: "front-1".into(),
            generation: 41,
        };
        let text = record.encode();
        if cut < text.len() {
            prop_assert!(GenerationRecord::decode(&text[..cut]).is_err());
        }
        let mut bytes = text.into_bytes();
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        if let Ok(corrupted) = String::from_utf8(bytes) {
            prop_assert!(GenerationRecord::decode(&corrupted).is_err());
        }
    }
}
