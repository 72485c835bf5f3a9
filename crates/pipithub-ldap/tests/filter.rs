//! Filters as operators write them, and names that must stay values.

use pipithub_ldap::filter::{all, any_of, equal, parse};
use pipithub_ldap::message::Filter;

#[test]
fn filter_texts_are_parsed() {
    assert_eq!(parse("(uid=mai)"), Ok(equal("uid", "mai")));
    assert_eq!(parse("(cn=a\\2ab\\28)"), Ok(equal("cn", "a*b(")));
    assert_eq!(parse("(objectClass=*)"), Ok(all()));
    assert!(matches!(
        parse("(&(a=1)(|(b=2)(!(c=3))))"),
        Ok(Filter::And(_))
    ));
    let Ok(Filter::Substrings(s)) = parse("(cn=a*b*c)") else {
        panic!("substrings")
    };
    assert_eq!(s.substrings.len(), 3);
    for bad in [
        "",
        "uid=mai",
        "(uid=mai",
        "(uid=a)(b=c)",
        "(&)",
        "(uid=a\\2)",
        "(=x)",
        "(a>=x*y)",
        "(a=**)",
    ] {
        assert!(parse(bad).is_err(), "{bad}");
    }
    assert!(parse(&format!("{}(a=1){}", "(!".repeat(1000), ")".repeat(1000))).is_err());
}

/// A user's name that is a filter's text must not become one.
#[test]
fn a_name_cannot_change_the_filter() {
    let name = "*)(uid=*))(|(uid=*";
    let Filter::EqualityMatch(a) = any_of("uid", [name].into_iter(), None) else {
        panic!("an equality")
    };
    assert_eq!(&a.assertion_value[..], name.as_bytes());
}
