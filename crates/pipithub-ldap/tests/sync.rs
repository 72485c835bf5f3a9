//! Tests of the encoding and decoding of the controls for paged results and content synchronization.

use bytes::Bytes;
use pipithub_ldap::sync::{
    Info, PagedResults, State, SyncRequest, paged, read_info, read_paged, read_request, read_state,
    refresh_present, request, state,
};

#[test]
fn control_values_round_trip() {
    let cookie = Bytes::from_static(b"c");
    assert_eq!(
        read_paged(Some(&vec![paged(7, cookie.clone())])),
        Some(PagedResults {
            size: 7,
            cookie: cookie.clone()
        })
    );
    assert_eq!(
        read_request(Some(&vec![request(Some(cookie.clone()))])),
        Some(SyncRequest {
            cookie: Some(cookie.clone()),
            persist: true
        })
    );
    let entry_state = read_state(Some(&vec![state(
        State::Delete,
        Bytes::from_static(&[7; 16]),
        None,
    )]));
    assert_eq!(
        entry_state.map(|value| (value.state, value.uuid.len())),
        Some((State::Delete, 16))
    );
    let Some(Info::RefreshPresent(phase)) = read_info(&refresh_present(Some(cookie.clone())))
    else {
        panic!("not the end of a present phase")
    };
    assert!(phase.refresh_done && phase.cookie == Some(cookie.into()));
    assert_eq!(read_info(b"\x30\x00"), None);
}

/// The bytes are those of the ASN.1 definition in RFC 4533: the mode refreshAndPersist (3) without a cookie.
#[test]
fn sync_request_is_encoded_as_in_rfc_4533() {
    let control = request(None);
    assert_eq!(
        control.control_value.as_deref(),
        Some(&[0x30, 3, 0x0a, 1, 3][..])
    );
}
