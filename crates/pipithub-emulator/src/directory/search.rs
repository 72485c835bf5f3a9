//! Searches: scopes, paging, content synchronisation, and the entries in their results.

use std::collections::BTreeMap;

use bytes::Bytes;
use pipithub_ldap::message::{
    Control, IntermediateResponse, LdapMessage, LdapResult, PartialAttribute, ProtocolOp,
    ResultCode, SearchRequest, SearchRequestScope, SearchResultDone, SearchResultEntry,
};
use pipithub_ldap::{Dn, oid, sync};

use super::tree::{Entry, EntryUuid, Tree};

/// A search request that was received.
pub(super) struct Search<'a> {
    /// The id of the message with the request.
    pub(super) message_id: u32,
    pub(super) request: &'a SearchRequest,
    pub(super) controls: Option<&'a Vec<Control>>,
}

impl Search<'_> {
    fn entry_message(&self, entry: SearchResultEntry) -> LdapMessage {
        LdapMessage::new(self.message_id, ProtocolOp::SearchResEntry(entry))
    }

    fn done(&self, code: ResultCode) -> LdapMessage {
        search_done(self.message_id, code, "")
    }

    /// Whether the scope of the search includes a DN, if `base` is the base of the search.
    fn includes(&self, base: &Dn, dn: &Dn) -> bool {
        match self.request.scope {
            SearchRequestScope::SingleLevel => dn.parent().as_ref() == Some(base),
            _ => dn.is_within(base),
        }
    }
}

impl Tree {
    /// The answers to a search, without the changes that a persistent search is sent later.
    pub(super) fn search(&mut self, search: &Search) -> Vec<LdapMessage> {
        self.searches += 1;
        if self.faults.busy {
            return vec![search.done(ResultCode::Busy)];
        }
        let Ok(base) = Dn::parse(&search.request.base_object) else {
            return vec![search.done(ResultCode::InvalidDnSyntax)];
        };
        let base_exists = self.entries.contains_key(&base) || base == Dn::default();
        if self.faults.loading || !base_exists {
            return vec![search.done(ResultCode::NoSuchObject)];
        }
        if search.request.scope == SearchRequestScope::BaseObject {
            self.search_base(search, &base)
        } else {
            self.search_below(search, &base)
        }
    }

    fn search_base(&self, search: &Search, base: &Dn) -> Vec<LdapMessage> {
        let Some(entry) = self.entries.get(base) else {
            return vec![search.done(ResultCode::Success)];
        };
        let wanted = wanted_attributes(search.request);
        let mut found = entry.to_result(&wanted);
        if *base == self.base && is_named(&wanted, "contextCSN") {
            let csn = set(vec![self.csn().into_bytes().into()]);
            found
                .attributes
                .push(PartialAttribute::new("contextCSN".into(), csn));
        }
        vec![
            search.entry_message(found),
            search.done(ResultCode::Success),
        ]
    }

    fn search_below(&self, search: &Search, base: &Dn) -> Vec<LdapMessage> {
        let sync = sync::read_request(search.controls);
        let page = sync::read_paged(search.controls);
        let first = page.as_ref().map_or(0, |page| page_start(&page.cookie));
        let page_size = page.as_ref().map(|page| page.size as usize);
        let found = self.find(search, base);
        let wanted = wanted_attributes(search.request);
        let mut messages: Vec<LdapMessage> = Vec::new();
        for entry in found
            .iter()
            .skip(first)
            .take(page_size.unwrap_or(usize::MAX))
        {
            let mut message = search.entry_message(entry.to_result(&wanted));
            if sync.is_some() {
                message.controls = Some(vec![state_control(sync::State::Add, &entry.uuid)]);
            }
            messages.push(message);
        }
        if sync.is_some_and(|request| request.persist) {
            // No history is kept: each refresh sends everything (RFC 4533, 3.3.2).
            let cookie = Bytes::from(self.change_number.to_string());
            let refreshed = sync::refresh_present(Some(cookie));
            messages.push(sync_info(search.message_id, refreshed));
            return messages;
        }
        let mut done = search.done(ResultCode::Success);
        if let Some(page_size) = page_size {
            let next = first.saturating_add(page_size);
            let cookie = if next < found.len() {
                Bytes::from(next.to_string())
            } else {
                Bytes::new()
            };
            done.controls = Some(vec![sync::paged(found.len() as u32, cookie)]);
        }
        messages.push(done);
        messages
    }

    /// The entries that a search finds; with the fault `wrong`, only the last entry of the tree.
    fn find(&self, search: &Search, base: &Dn) -> Vec<&Entry> {
        if self.faults.wrong
            && let Some(last) = self.entries.values().next_back()
        {
            return vec![last];
        }
        self.entries
            .iter()
            .filter(|(dn, entry)| {
                search.includes(base, dn) && entry.matches(&search.request.filter)
            })
            .map(|(_, entry)| entry)
            .collect()
    }
}

impl Entry {
    /// The entry as a search result with the requested attributes.
    pub(super) fn to_result(&self, wanted: &[String]) -> SearchResultEntry {
        let mut attributes: BTreeMap<String, Vec<Vec<u8>>> = BTreeMap::new();
        let all = wanted.is_empty() || wanted.iter().any(|name| name == "*");
        for attribute in &self.attributes {
            if all || is_named(wanted, &attribute.name) {
                attributes
                    .entry(attribute.name.clone())
                    .or_default()
                    .push(attribute.value.clone());
            }
        }
        let operational = [
            ("entryUUID", uuid_text(&self.uuid)),
            ("modifyTimestamp", self.modified.clone()),
        ];
        for (name, value) in operational {
            if is_named(wanted, name) || wanted.iter().any(|wanted| wanted == "+") {
                attributes
                    .entry(name.to_string())
                    .or_default()
                    .push(value.into_bytes());
            }
        }
        let attribute = |(name, values): (String, Vec<Vec<u8>>)| {
            let values = values.into_iter().map(Into::into).collect();
            PartialAttribute::new(name.into(), set(values))
        };
        SearchResultEntry::new(
            self.written_dn.as_str().into(),
            attributes.into_iter().map(attribute).collect(),
        )
    }
}

/// The names of the attributes that a search requests.
pub(super) fn wanted_attributes(request: &SearchRequest) -> Vec<String> {
    request
        .attributes
        .iter()
        .map(|attribute| attribute.0.clone())
        .collect()
}

fn is_named(wanted: &[String], name: &str) -> bool {
    wanted
        .iter()
        .any(|wanted| wanted.eq_ignore_ascii_case(name))
}

/// The index of the first entry of a page. It is the cookie of the page; an empty or invalid cookie stands for 0.
fn page_start(cookie: &[u8]) -> usize {
    std::str::from_utf8(cookie)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

/// The message that ends a search.
pub(super) fn search_done(message_id: u32, code: ResultCode, text: &str) -> LdapMessage {
    let result = LdapResult::new(code, "".into(), text.into());
    LdapMessage::new(
        message_id,
        ProtocolOp::SearchResDone(SearchResultDone(result)),
    )
}

/// The control that states what happened to an entry (RFC 4533, 2.3).
pub(super) fn state_control(state: sync::State, uuid: &EntryUuid) -> Control {
    sync::state(state, Bytes::copy_from_slice(uuid), None)
}

fn sync_info(message_id: u32, value: Bytes) -> LdapMessage {
    let response = IntermediateResponse {
        response_name: Some(Bytes::from_static(oid::SYNC_INFO).into()),
        response_value: Some(value.into()),
    };
    LdapMessage::new(message_id, ProtocolOp::IntermediateResponse(response))
}

fn set<T: Clone + std::hash::Hash + Eq>(values: Vec<T>) -> rasn::types::SetOf<T> {
    rasn::types::SetOf::from_vec(values)
}

fn uuid_text(uuid: &EntryUuid) -> String {
    let hex: String = uuid.iter().map(|byte| format!("{byte:02x}")).collect();
    format!(
        "{}-{}-{}-{}-{}",
        &hex[..8],
        &hex[8..12],
        &hex[12..16],
        &hex[16..20],
        &hex[20..]
    )
}
