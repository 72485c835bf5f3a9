//! The bounds on size and nesting that are checked before a message is decoded.

use pipithub_ldap::frame::{Framer, Malformed};

#[test]
fn nothing_is_buffered_for_a_claimed_length() {
    let mut framer = Framer::new(1 << 20);
    framer.push(&[0x30, 0x84, 0x7f, 0xff, 0xff, 0xff, 2]);
    assert!(matches!(framer.take(), Err(Malformed::TooLong { .. })));
    let mut framer = Framer::new(1 << 20);
    framer.push(&[0x30, 0x80]);
    assert_eq!(framer.take(), Err(Malformed::Length));
}

/// The decoder is recursive for filters: without the check before it a message of 200 kB ended the process.
#[test]
fn deep_nesting_is_rejected_before_it_is_decoded() {
    // Filters of `not` within `not`, thousands of levels deep, each as long as its length says.
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
