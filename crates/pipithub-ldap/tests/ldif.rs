//! Tests of the reading of LDIF content records, and of the errors in them.

use pipithub_ldap::Dn;
use pipithub_ldap::ldif::{InvalidLdifReason, read};

#[test]
fn records_with_comments_continuation_lines_and_base64_are_read() {
    let text = concat!(
        "version: 1\n# a comment\n#  that goes on\n\n",
        "dn: uid=mai,\n dc=example\r\nuid: mai\nsn:: TMO8\ncn:\n\n\n",
        "dn: dc=example\n"
    );
    let records = read(text).expect("valid LDIF");
    assert_eq!(records.len(), 2);
    assert_eq!(
        records[0].dn,
        Dn::parse("uid=mai,dc=example").expect("a valid name")
    );
    let [uid, sn, cn] = &records[0].attributes[..] else {
        panic!("{records:?}")
    };
    assert_eq!(uid.value, b"mai");
    assert_eq!(sn.value, "Lü".as_bytes());
    assert_eq!(cn.value, b"");
}

#[test]
fn errors_state_the_number_of_the_line_and_the_reason() {
    let cases = [
        ("dn: a=1\nx", 2, InvalidLdifReason::MissingColon),
        (" x", 1, InvalidLdifReason::OrphanContinuation),
        ("uid: x", 1, InvalidLdifReason::MissingDn("uid".into())),
        (
            "dn: a=1\njpeg:< file:///x",
            2,
            InvalidLdifReason::ValueByUrl,
        ),
        ("dn: a=1\nx:: A", 2, InvalidLdifReason::InvalidBase64),
        (
            "dn: a=1\nchangetype: add",
            2,
            InvalidLdifReason::ChangeRecord,
        ),
        ("version: 2\n", 1, InvalidLdifReason::UnsupportedVersion),
    ];
    for (text, line, reason) in cases {
        let error = read(text).expect_err("invalid LDIF");
        assert_eq!((error.line, error.reason), (line, reason), "{text:?}");
    }
    let error = read("dn: a=1\n\ndn: b").expect_err("invalid LDIF");
    assert_eq!(error.line, 3);
    assert!(matches!(error.reason, InvalidLdifReason::InvalidDn(_)));
}
