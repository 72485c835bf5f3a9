//! Distinguished names: equality, containment, parts that are not well formed, renaming.

use pipithub_ldap::Dn;
use pipithub_ldap::dn::MAX_LENGTH;

fn dn(text: &str) -> Dn {
    Dn::parse(text).expect(text)
}

#[test]
fn equal_names_are_equal() {
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
        "an escaped comma is no boundary"
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
        "the value holds the text of a part"
    );
    assert!(!dn("dc=example").is_within(&north));
}

#[test]
fn malformed_names_are_rejected() {
    for bad in [
        "x", "=x", "a=1,", "a=1,,b=2", "a=\\", "a=\\zz", "a=b\"c", "a=\\ff", ",a=1",
    ] {
        assert!(Dn::parse(bad).is_err(), "{bad}");
    }
    assert!(Dn::parse(&format!("a={}", "x".repeat(MAX_LENGTH))).is_err());
    assert!(Dn::parse(&vec!["a=1"; 200].join(",")).is_err());
}

#[test]
fn an_entry_is_renamed_and_moved() {
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
