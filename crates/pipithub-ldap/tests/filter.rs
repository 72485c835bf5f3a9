//! Tests of the parsing of filters, and of users' names as assertion values.

use pipithub_ldap::filter::{all, any_of, equal, parse};
use pipithub_ldap::message::Filter;

#[test]
fn filters_are_parsed_and_malformed_ones_are_rejected() {
    assert_eq!(parse("(uid=mai)"), Ok(equal("uid", "mai")));
    assert_eq!(parse("(cn=a\\2ab\\28)"), Ok(equal("cn", "a*b(")));
    assert_eq!(parse("(objectClass=*)"), Ok(all()));
    assert!(matches!(
        parse("(&(a=1)(|(b=2)(!(c=3))))"),
        Ok(Filter::And(_))
    ));
    let Ok(Filter::Substrings(filter)) = parse("(cn=a*b*c)") else {
        panic!("not a substring filter")
    };
    assert_eq!(filter.substrings.len(), 3);
    for text in [
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
        assert!(parse(text).is_err(), "{text}");
    }
    assert!(parse(&format!("{}(a=1){}", "(!".repeat(1000), ")".repeat(1000))).is_err());
}

#[test]
fn filter_syntax_in_a_name_stays_part_of_the_assertion_value() {
    let name = "*)(uid=*))(|(uid=*";
    let Filter::EqualityMatch(assertion) = any_of("uid", [name].into_iter(), None) else {
        panic!("not an equality filter")
    };
    assert_eq!(&assertion.assertion_value[..], name.as_bytes());
}
