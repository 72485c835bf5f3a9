//! Tests of how change numbers are parsed.

use super::parse_change_number;

#[test]
fn change_number_grows_with_the_time_of_its_mark() {
    let csn = |micros: u32| {
        parse_change_number(&format!("20261201133000.{micros:06}Z#000000#001#000000"))
    };
    assert!(csn(2) > csn(1) && csn(1).is_some());
    assert!(parse_change_number("20261201133001.000000Z#000000#000#000000") > csn(999_999));
    assert_eq!(parse_change_number("4711"), Some(4711));
    assert_eq!(parse_change_number("none"), None);
}
