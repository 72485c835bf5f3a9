//! Values of the controls: paged results (RFC 2696) and content synchronisation (RFC 4533).

use bytes::Bytes;
use rasn::prelude::*;
use rasn_ldap::Control;

use crate::oid;

#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq, Eq)]
struct PagedValue {
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

/// How an entry of a synchronisation differs from what the client has.
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

/// Sync state control (RFC 4533, 2.3).
#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub struct StateValue {
    /// How the entry differs.
    pub state: State,
    /// The `entryUUID` of the entry.
    pub uuid: OctetString,
    /// The state of the synchronisation after this entry.
    pub cookie: Option<OctetString>,
}

/// Sync done control (RFC 4533, 2.4).
#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub struct DoneValue {
    /// The state of the synchronisation.
    pub cookie: Option<OctetString>,
    /// Whether entries that the server did not mention are still present; otherwise they were deleted.
    #[rasn(default)]
    pub refresh_deletes: bool,
}

fn default_true() -> bool {
    true
}

/// The end of a phase within a sync info message.
#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub struct PhaseValue {
    /// The state of the synchronisation.
    pub cookie: Option<OctetString>,
    /// Whether the refresh is complete: what follows are changes as they happen.
    #[rasn(default = "default_true")]
    pub refresh_done: bool,
}

/// A set of entries, named by their ids alone.
#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub struct IdSet {
    /// The state of the synchronisation.
    pub cookie: Option<OctetString>,
    /// Whether they were deleted; otherwise they are present.
    #[rasn(default)]
    pub refresh_deletes: bool,
    /// The `entryUUID`s.
    pub uuids: SetOf<OctetString>,
}

/// Sync info message (RFC 4533, 2.5).
#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq, Eq)]
#[rasn(choice)]
#[non_exhaustive]
pub enum Info {
    /// A new cookie.
    #[rasn(tag(0))]
    Cookie(OctetString),
    /// The end of a delete phase.
    #[rasn(tag(1))]
    RefreshDelete(PhaseValue),
    /// The end of a present phase: entries that the server did not mention were deleted.
    #[rasn(tag(2))]
    RefreshPresent(PhaseValue),
    /// A set of entries, named by their ids alone.
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
    /// The page size in requests, an estimate of the total in responses.
    pub size: u32,
    /// The server's place in the results; empty before the first page and after the last.
    pub cookie: Bytes,
}

/// A paged results control: page size in requests, an estimate of the total in responses.
pub fn paged(size: u32, cookie: Bytes) -> Control {
    let value = PagedValue {
        size,
        cookie: cookie.into(),
    };
    encode_control(oid::PAGED, false, &value)
}

/// Reads a paged results control.
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
    /// The state that the client has; `None`: it has nothing yet.
    pub cookie: Option<Bytes>,
    /// Whether the search stays open after the refresh, for changes as they happen.
    pub persist: bool,
}

/// A sync request whose search stays open after the refresh, for changes as they happen.
pub fn request(cookie: Option<Bytes>) -> Control {
    let value = RequestValue {
        mode: RequestMode::RefreshAndPersist,
        cookie: cookie.map(Into::into),
        reload_hint: false,
    };
    encode_control(oid::SYNC_REQUEST, true, &value)
}

/// Reads a sync request control.
pub fn read_request(controls: Option<&Vec<Control>>) -> Option<SyncRequest> {
    let value: RequestValue = find_control_value(controls, oid::SYNC_REQUEST)?;
    Some(SyncRequest {
        cookie: value.cookie.map(|cookie| Bytes::copy_from_slice(&cookie)),
        persist: value.mode == RequestMode::RefreshAndPersist,
    })
}

/// A sync state control.
pub fn state(state: State, uuid: Bytes, cookie: Option<Bytes>) -> Control {
    let value = StateValue {
        state,
        uuid: uuid.into(),
        cookie: cookie.map(Into::into),
    };
    encode_control(oid::SYNC_STATE, false, &value)
}

/// Reads the sync state control of an entry.
pub fn read_state(controls: Option<&Vec<Control>>) -> Option<StateValue> {
    find_control_value(controls, oid::SYNC_STATE)
}

/// Reads the sync done control of a result.
pub fn read_done(controls: Option<&Vec<Control>>) -> Option<DoneValue> {
    find_control_value(controls, oid::SYNC_DONE)
}

/// The value of a sync info message that ends a refresh in which the server named every entry that is present.
pub fn refresh_present(cookie: Option<Bytes>) -> Bytes {
    let info = Info::RefreshPresent(PhaseValue {
        cookie: cookie.map(Into::into),
        refresh_done: true,
    });
    rasn::ber::encode(&info).unwrap_or_default().into()
}

/// Reads a sync info message.
pub fn read_info(value: &[u8]) -> Option<Info> {
    rasn::ber::decode(value).ok()
}
