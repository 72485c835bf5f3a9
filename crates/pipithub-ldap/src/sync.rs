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

/// What an entry in a synchronisation is.
#[derive(AsnType, Encode, Decode, Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[rasn(enumerated)]
pub enum State {
    /// It has not changed.
    Present = 0,
    /// It is new.
    Add = 1,
    /// It has changed.
    Modify = 2,
    /// It is gone.
    Delete = 3,
}

/// Sync state control (RFC 4533, 2.3).
#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub struct StateValue {
    /// What it is.
    pub state: State,
    /// Its `entryUUID`.
    pub uuid: OctetString,
    /// Where the synchronisation stands after it.
    pub cookie: Option<OctetString>,
}

/// Sync done control (RFC 4533, 2.4).
#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub struct DoneValue {
    /// Where the synchronisation stands.
    pub cookie: Option<OctetString>,
    /// Entries that were not told stay; otherwise they are gone.
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
    /// Where the synchronisation stands.
    pub cookie: Option<OctetString>,
    /// The refresh is over: what follows are changes as they happen.
    #[rasn(default = "default_true")]
    pub refresh_done: bool,
}

/// Entries by their ids.
#[derive(AsnType, Encode, Decode, Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub struct IdSet {
    /// Where the synchronisation stands.
    pub cookie: Option<OctetString>,
    /// They are gone; otherwise they are present.
    #[rasn(default)]
    pub refresh_deletes: bool,
    /// Their `entryUUID`s.
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
    /// The end of a present phase: what was not told is gone.
    #[rasn(tag(2))]
    RefreshPresent(PhaseValue),
    /// Entries by their ids.
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
    let control = controls?.iter().find(|c| &c.control_type[..] == oid)?;
    rasn::ber::decode(control.control_value.as_deref()?).ok()
}

/// A paged results control: page size in requests, an estimate of the total in answers.
pub fn paged(size: u32, cookie: Bytes) -> Control {
    encode_control(
        oid::PAGED,
        false,
        &PagedValue {
            size,
            cookie: cookie.into(),
        },
    )
}

/// The size and cookie of a paged results control.
pub fn read_paged(controls: Option<&Vec<Control>>) -> Option<(u32, Bytes)> {
    find_control_value::<PagedValue>(controls, oid::PAGED)
        .map(|p| (p.size, Bytes::copy_from_slice(&p.cookie)))
}

/// A sync request that goes on with changes as they happen.
pub fn request(cookie: Option<Bytes>) -> Control {
    encode_control(
        oid::SYNC_REQUEST,
        true,
        &RequestValue {
            mode: RequestMode::RefreshAndPersist,
            cookie: cookie.map(Into::into),
            reload_hint: false,
        },
    )
}

/// The cookie of a sync request, and whether changes are wanted as they happen.
pub fn read_request(controls: Option<&Vec<Control>>) -> Option<(Option<Bytes>, bool)> {
    let value: RequestValue = find_control_value(controls, oid::SYNC_REQUEST)?;
    Some((
        value.cookie.map(|c| Bytes::copy_from_slice(&c)),
        value.mode == RequestMode::RefreshAndPersist,
    ))
}

/// A sync state control.
pub fn state(state: State, uuid: Bytes, cookie: Option<Bytes>) -> Control {
    encode_control(
        oid::SYNC_STATE,
        false,
        &StateValue {
            state,
            uuid: uuid.into(),
            cookie: cookie.map(Into::into),
        },
    )
}

/// The sync state control of an entry.
pub fn read_state(controls: Option<&Vec<Control>>) -> Option<StateValue> {
    find_control_value(controls, oid::SYNC_STATE)
}

/// The sync done control of a result.
pub fn read_done(controls: Option<&Vec<Control>>) -> Option<DoneValue> {
    find_control_value(controls, oid::SYNC_DONE)
}

/// The value of a sync info message: the end of a refresh in which everything present was told.
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
