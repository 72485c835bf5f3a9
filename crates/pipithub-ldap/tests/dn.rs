//! Tests of distinguished names: equality, containment, malformed names and renaming.

use pipithub_ldap::Dn;
use pipithub_ldap::dn::MAX_LENGTH;

fn dn(text: &str) -> Dn {
    Dn::parse(text).expect(text)
}

#[test]
fn names_that_differ_only_in_case_spaces_and_escapes_are_equal() {
    assert_eq!(
        dn("UID=Mai,  OU=North ,dc=Example"),
        dn("uid=mai,ou=north,dc=example")
    );
    assert_eq!(
        dn("cn=James \\\"Jim\\\" Smith\\, III"),
        dn("CN=james \\22jim\\22 smith\\2C iii")
    );
    assert_eq!(dn("a=1+b=2,dc=x"), dn("B=2+A=1,DC=x"));
    assert_ne!(
        dn("cn=a\\,ou=north"),
        dn("cn=a,ou=north"),
        "an escaped comma does not separate RDNs"
    );
    assert_eq!(dn(""), Dn::default());
    assert_eq!(dn("cn=Lu\\C4\\8Di\\C4\\87"), dn("cn=Lučić"));
}

#[test]
fn containment_compares_rdns_not_text() {
    let north = dn("ou=north,dc=example");
    assert!(dn("uid=a,ou=north,dc=example").is_within(&north) && north.is_within(&north));
    assert!(!dn("uid=a,ou=south-ou=north,dc=example").is_within(&north));
    assert!(
        !dn("uid=a\\,ou=north,dc=example").is_within(&north),
        "an escaped comma does not separate RDNs"
    );
    assert!(!dn("dc=example").is_within(&north));
}

#[test]
fn malformed_and_oversized_names_are_rejected() {
    for text in [
        "x", "=x", "a=1,", "a=1,,b=2", "a=\\", "a=\\zz", "a=b\"c", "a=\\ff", ",a=1",
    ] {
        assert!(Dn::parse(text).is_err(), "{text}");
    }
    assert!(Dn::parse(&format!("a={}", "x".repeat(MAX_LENGTH))).is_err());
    assert!(Dn::parse(&vec!["a=1"; 200].join(",")).is_err());
}

#[test]
fn name_can_get_a_new_rdn_or_a_new_superior() {
    let from = dn("uid=mai,ou=north,dc=example");
    assert_eq!(
        from.moved(None, Some(&dn("ou=south,dc=example"))),
        dn("uid=mai,ou=south,dc=example")
    );
    assert_eq!(
        from.moved(Some(&dn("uid=may")), None),
        dn("uid=may,ou=north,dc=example")
    );
}
