//! Tests of the limits on size and nesting, which are checked before a message is decoded.

use pipithub_ldap::frame::{Framer, Malformed};

#[test]
fn oversized_or_indefinite_length_is_rejected_by_the_header_alone() {
    let mut framer = Framer::new(1 << 20);
    framer.push(&[0x30, 0x84, 0x7f, 0xff, 0xff, 0xff, 2]);
    assert!(matches!(framer.take(), Err(Malformed::TooLong { .. })));
    let mut framer = Framer::new(1 << 20);
    framer.push(&[0x30, 0x80]);
    assert_eq!(framer.take(), Err(Malformed::Length));
}

/// The decoder is recursive for filters: without the check, a message of 200 kB overflowed the stack.
#[test]
fn deep_nesting_is_rejected_before_it_is_decoded() {
    // Nested `not` filters, over 3,000 levels deep, with valid lengths.
    let mut filter = vec![0x87, 1, b'x'];
    for _ in 0..100_000 {
        let length = filter.len() as u32;
        let mut outer = vec![0xa2, 0x84];
        outer.extend(length.to_be_bytes());
        filter.splice(0..0, outer);
        if filter.len() > 20_000 {
            break;
        }
    }
    let mut message = vec![0x30, 0x84];
    message.extend((filter.len() as u32).to_be_bytes());
    message.extend(&filter);
    let mut framer = Framer::new(1 << 20);
    framer.push(&message);
    assert_eq!(framer.take(), Err(Malformed::TooDeep));
}
