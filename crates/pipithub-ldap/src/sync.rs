//! Encoding and decoding of the controls for paged results (RFC 2696) and content synchronization (RFC 4533).

use bytes::Bytes;
use rasn::prelude::*;
use rasn_ldap::Control;

use crate::oid;

#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq, Eq)]
struct PagedValue {
    /// The page size in requests; an estimate of the number of all entries, or 0, in responses.
    size: u32,
    cookie: OctetString,
}

#[derive(AsnType, Encode, Decode, Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[rasn(enumerated)]
enum RequestMode {
    RefreshOnly = 1,
    RefreshAndPersist = 3,
}

#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq, Eq)]
struct RequestValue {
    mode: RequestMode,
    cookie: Option<OctetString>,
    #[rasn(default)]
    reload_hint: bool,
}

/// How an entry in a synchronization differs from the client's copy.
#[derive(AsnType, Encode, Decode, Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[rasn(enumerated)]
pub enum State {
    /// The entry has not changed.
    Present = 0,
    /// The entry is new.
    Add = 1,
    /// The entry has changed.
    Modify = 2,
    /// The entry was deleted.
    Delete = 3,
}

/// The value of a sync state control (RFC 4533, 2.3), which belongs to an entry.
#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub struct StateValue {
    /// How the entry differs.
    pub state: State,
    /// The `entryUUID` of the entry.
    pub uuid: OctetString,
    /// The cookie of the synchronization after this entry; `None` if the server sent none.
    pub cookie: Option<OctetString>,
}

/// The value of a sync done control (RFC 4533, 2.4), which belongs to a result.
#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub struct DoneValue {
    /// The cookie of the synchronization; `None` if the server sent none.
    pub cookie: Option<OctetString>,
    /// True if the server reported all deletions, so that entries that it did not report are present; false if entries
    /// that it did not report are deleted.
    #[rasn(default)]
    pub refresh_deletes: bool,
}

fn default_true() -> bool {
    true
}

/// The end of a phase of the refresh, in a sync info message.
#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub struct PhaseValue {
    /// The cookie of the synchronization; `None` if the server sent none.
    pub cookie: Option<OctetString>,
    /// Whether the refresh is complete. Messages after it report changes when they happen.
    #[rasn(default = "default_true")]
    pub refresh_done: bool,
}

/// A set of entries, identified by their `entryUUID`s.
#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub struct IdSet {
    /// The cookie of the synchronization; `None` if the server sent none.
    pub cookie: Option<OctetString>,
    /// Whether the entries were deleted; otherwise they are present.
    #[rasn(default)]
    pub refresh_deletes: bool,
    /// The `entryUUID`s of the entries.
    pub uuids: SetOf<OctetString>,
}

/// The value of a sync info message (RFC 4533, 2.5).
#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq, Eq)]
#[rasn(choice)]
#[non_exhaustive]
pub enum Info {
    /// A new cookie of the synchronization.
    #[rasn(tag(0))]
    Cookie(OctetString),
    /// The end of a delete phase.
    #[rasn(tag(1))]
    RefreshDelete(PhaseValue),
    /// The end of a present phase: entries that the server did not report are deleted.
    #[rasn(tag(2))]
    RefreshPresent(PhaseValue),
    /// Entries that are present or deleted, without their content.
    #[rasn(tag(3))]
    Ids(IdSet),
}

fn encode_control(oid: &[u8], critical: bool, value: &impl Encode) -> Control {
    let value = rasn::ber::encode(value).unwrap_or_default();
    Control::new(
        Bytes::copy_from_slice(oid).into(),
        critical,
        Some(value.into()),
    )
}

fn find_control_value<T: Decode>(controls: Option<&Vec<Control>>, oid: &[u8]) -> Option<T> {
    let control = controls?
        .iter()
        .find(|control| &control.control_type[..] == oid)?;
    rasn::ber::decode(control.control_value.as_deref()?).ok()
}

/// The value of a paged results control.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PagedResults {
    /// The page size in requests; an estimate of the number of all entries, or 0, in responses.
    pub size: u32,
    /// The position in the results, as the server encodes it; empty before the first page and after the last.
    pub cookie: Bytes,
}

/// Creates a paged results control, whose `size` is the page size in requests and an estimate of the number of all
/// entries in responses.
pub fn paged(size: u32, cookie: Bytes) -> Control {
    let value = PagedValue {
        size,
        cookie: cookie.into(),
    };
    encode_control(oid::PAGED, false, &value)
}

/// Decodes the paged results control; `None` if there is none or it is malformed.
pub fn read_paged(controls: Option<&Vec<Control>>) -> Option<PagedResults> {
    let value: PagedValue = find_control_value(controls, oid::PAGED)?;
    Some(PagedResults {
        size: value.size,
        cookie: Bytes::copy_from_slice(&value.cookie),
    })
}

/// The value of a sync request control (RFC 4533, 2.2).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncRequest {
    /// The cookie of the last synchronization; `None` for the first one.
    pub cookie: Option<Bytes>,
    /// Whether the search continues after the refresh, so that changes are sent when they happen.
    pub persist: bool,
}

/// Creates the sync request control of a search that continues after the refresh, so that changes are sent when they
/// happen.
pub fn request(cookie: Option<Bytes>) -> Control {
    let value = RequestValue {
        mode: RequestMode::RefreshAndPersist,
        cookie: cookie.map(Into::into),
        reload_hint: false,
    };
    encode_control(oid::SYNC_REQUEST, true, &value)
}

/// Decodes the sync request control; `None` if there is none or it is malformed.
pub fn read_request(controls: Option<&Vec<Control>>) -> Option<SyncRequest> {
    let value: RequestValue = find_control_value(controls, oid::SYNC_REQUEST)?;
    Some(SyncRequest {
        cookie: value.cookie.map(|cookie| Bytes::copy_from_slice(&cookie)),
        persist: value.mode == RequestMode::RefreshAndPersist,
    })
}

/// Creates the sync state control of an entry.
pub fn state(state: State, uuid: Bytes, cookie: Option<Bytes>) -> Control {
    let value = StateValue {
        state,
        uuid: uuid.into(),
        cookie: cookie.map(Into::into),
    };
    encode_control(oid::SYNC_STATE, false, &value)
}

/// Decodes the sync state control of an entry; `None` if there is none or it is malformed.
pub fn read_state(controls: Option<&Vec<Control>>) -> Option<StateValue> {
    find_control_value(controls, oid::SYNC_STATE)
}

/// Decodes the sync done control of a result; `None` if there is none or it is malformed.
pub fn read_done(controls: Option<&Vec<Control>>) -> Option<DoneValue> {
    find_control_value(controls, oid::SYNC_DONE)
}

/// Encodes a sync info message that ends a refresh in which the server sent all entries that are present.
pub fn refresh_present(cookie: Option<Bytes>) -> Bytes {
    let info = Info::RefreshPresent(PhaseValue {
        cookie: cookie.map(Into::into),
        refresh_done: true,
    });
    rasn::ber::encode(&info).unwrap_or_default().into()
}

/// Decodes a sync info message; `None` if it is malformed.
pub fn read_info(value: &[u8]) -> Option<Info> {
    rasn::ber::decode(value).ok()
}
