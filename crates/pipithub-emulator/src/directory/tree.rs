//! The entries of an emulated directory, and the number of its last change.

use std::collections::BTreeMap;

use pipithub_ldap::{Dn, ldif};

use super::Faults;

/// The `entryUUID` of an entry.
pub(super) type EntryUuid = [u8; 16];

/// An attribute with one of its values.
#[derive(Clone, Debug)]
pub(super) struct Attribute {
    pub(super) name: String,
    pub(super) value: Vec<u8>,
}

#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// The DN as it was written in the LDIF, or the DN after a move.
    pub(super) written_dn: String,
    pub(super) attributes: Vec<Attribute>,
    pub(super) uuid: EntryUuid,
    /// The `modifyTimestamp` of the entry.
    pub(super) modified: String,
}

impl Entry {
    /// The values of an attribute.
    pub(super) fn values(&self, name: &str) -> Vec<Vec<u8>> {
        if name.eq_ignore_ascii_case("modifyTimestamp") {
            return vec![self.modified.clone().into_bytes()];
        }
        self.attributes
            .iter()
            .filter(|attribute| attribute.name.eq_ignore_ascii_case(name))
            .map(|attribute| attribute.value.clone())
            .collect()
    }
}

/// The entries, with the faults and the counters of their server.
pub(super) struct Tree {
    pub(super) entries: BTreeMap<Dn, Entry>,
    pub(super) base: Dn,
    /// Increases with each change.
    pub(super) change_number: u64,
    /// The number of insertions so far.
    inserted: u64,
    pub(super) faults: Faults,
    pub(super) searches: u64,
    pub(super) search_answers: u32,
}

impl Tree {
    pub(super) fn new(base: Dn) -> Self {
        Tree {
            entries: BTreeMap::new(),
            base,
            change_number: 1,
            inserted: 0,
            faults: Faults::default(),
            searches: 0,
            search_answers: 0,
        }
    }

    /// Inserts an entry, or replaces the one with the same DN.
    pub(super) fn insert(&mut self, record: ldif::Record) {
        self.change_number += 1;
        self.inserted += 1;
        let attributes = record
            .attributes
            .into_iter()
            .map(|attribute| Attribute {
                name: attribute.name,
                value: attribute.value,
            })
            .collect();
        let entry = Entry {
            uuid: entry_uuid(self.inserted, &record.dn),
            written_dn: record.dn_text,
            attributes,
            modified: timestamp(),
        };
        self.entries.insert(record.dn, entry);
    }

    /// Removes an entry and returns its UUID; `None` if there is no such entry.
    pub(super) fn remove(&mut self, dn: &Dn) -> Option<EntryUuid> {
        let entry = self.entries.remove(dn)?;
        self.change_number += 1;
        Some(entry.uuid)
    }

    /// Moves an entry below another one and returns its new DN; `None` if there is no such entry.
    pub(super) fn move_entry(&mut self, dn: &Dn, superior: &Dn) -> Option<Dn> {
        let mut entry = self.entries.remove(dn)?;
        let moved = dn.moved(None, Some(superior));
        self.change_number += 1;
        entry.modified = timestamp();
        entry.written_dn = moved.to_string();
        self.entries.insert(moved.clone(), entry);
        Some(moved)
    }

    /// The `contextCSN` of the base entry.
    pub(super) fn csn(&self) -> String {
        format!(
            "20260101000000.{:06}Z#000000#000#000000",
            self.change_number % 1_000_000
        )
    }

    /// Counts an answer to a search; returns whether it must be dropped.
    pub(super) fn drops_next_answer(&mut self) -> bool {
        self.search_answers += 1;
        let every = self.faults.drop_every;
        every > 0 && self.search_answers.is_multiple_of(every)
    }
}

/// The UUID of an entry. An entry that is deleted and added again gets another one, as in a real directory. Servers with
/// equal histories give equal UUIDs.
fn entry_uuid(inserted: u64, dn: &Dn) -> EntryUuid {
    let name_hash = dn
        .to_string()
        .bytes()
        .fold(7u64, |hash, byte| hash.wrapping_mul(31) + u64::from(byte));
    let mut uuid = [0; 16];
    uuid[..8].copy_from_slice(&inserted.to_be_bytes());
    uuid[8..].copy_from_slice(&name_hash.to_be_bytes());
    uuid
}

/// The current time as a generalized time (RFC 4517, 3.3.13).
fn timestamp() -> String {
    let millis = i64::try_from(pipithub_clock::wall_ms()).unwrap_or(i64::MAX);
    chrono::DateTime::from_timestamp_millis(millis)
        .unwrap_or_default()
        .format("%Y%m%d%H%M%SZ")
        .to_string()
}
