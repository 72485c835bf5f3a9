//! The client against a scripted server: the order of its steps, unexpected responses, malformed bytes.

use bytes::Bytes;
use pipithub_ldap::frame::{Framer, encode};
use pipithub_ldap::message::{
    BindResponse, ExtendedResponse, LdapMessage, LdapResult, PartialAttribute, ProtocolOp,
    ResultCode, SearchRequestScope, SearchResultDone, SearchResultEntry,
};
use pipithub_ldap::{Client, ClientSettings, Dn, Event, Search, SearchId, SimpleBind, filter};
use proptest::prelude::*;

fn settings(start_tls: bool) -> ClientSettings {
    ClientSettings {
        start_tls,
        bind: Some(SimpleBind {
            name: "cn=gateway".into(),
            password: Bytes::from_static(b"secret"),
        }),
        ..ClientSettings::default()
    }
}

fn sent_messages(client: &mut Client) -> Vec<LdapMessage> {
    let mut framer = Framer::new(1 << 20);
    framer.push(&client.take_output());
    std::iter::from_fn(|| framer.take().expect("what a client writes is well formed")).collect()
}

fn answer(client: &mut Client, id: u32, op: ProtocolOp) {
    client.receive(&encode(&LdapMessage::new(id, op)));
}

fn bound(code: ResultCode) -> ProtocolOp {
    ProtocolOp::BindResponse(BindResponse::new(code, "".into(), "".into(), None, None))
}

fn done(code: ResultCode) -> ProtocolOp {
    ProtocolOp::SearchResDone(SearchResultDone(LdapResult::new(
        code,
        "".into(),
        "".into(),
    )))
}

fn entry(dn: &str) -> ProtocolOp {
    let values = rasn_set(vec![b"mai".to_vec()]);
    let attributes = vec![PartialAttribute::new("UID".into(), values)];
    ProtocolOp::SearchResEntry(SearchResultEntry::new(dn.into(), attributes))
}

fn rasn_set(values: Vec<Vec<u8>>) -> rasn::types::SetOf<rasn::types::OctetString> {
    rasn::types::SetOf::from_vec(values.into_iter().map(Into::into).collect())
}

fn search(name: &str) -> Search {
    Search {
        base: "dc=example".into(),
        scope: SearchRequestScope::WholeSubtree,
        filter: filter::equal("uid", name),
        attributes: vec!["uid".into()],
        size_limit: 0,
        time_limit: 0,
        controls: Vec::new(),
    }
}

fn ready() -> Client {
    let mut client = Client::new(settings(false));
    assert!(
        client.search(search("early")).is_none(),
        "nothing is asked before the bind is over"
    );
    let id = sent_messages(&mut client)[0].message_id;
    answer(&mut client, id, bound(ResultCode::Success));
    assert_eq!(client.poll(), Some(Event::Ready));
    client
}

#[test]
fn a_search_gets_its_entries_and_its_result() {
    let mut client = ready();
    let one = client.search(search("mai")).expect("ready");
    let two = client.search(search("lan")).expect("ready");
    answer(&mut client, two.0, done(ResultCode::Success));
    answer(&mut client, one.0, entry("uid=mai,dc=example"));
    answer(&mut client, one.0, done(ResultCode::Success));
    assert!(matches!(client.poll(), Some(Event::Done(id, _)) if id == two));
    let Some(Event::Entry(id, found)) = client.poll() else {
        panic!("an entry")
    };
    assert_eq!((id, found.text("uid")), (one, Some("mai")));
    assert_eq!(Some(found.dn), Dn::parse("uid=mai,dc=example").ok());
    assert!(matches!(client.poll(), Some(Event::Done(id, _)) if id == one));
    assert_eq!((client.poll(), client.pending_searches()), (None, 0));
}

/// A result that was under way when its search was abandoned is not reported; it must not end the connection either.
#[test]
fn results_of_an_abandoned_search_are_ignored() {
    let mut client = ready();
    let id = client.search(search("mai")).expect("ready");
    client.abandon(id);
    assert!(
        matches!(sent_messages(&mut client).last().map(|m| &m.protocol_op), Some(ProtocolOp::AbandonRequest(a)) if a.0 == id.0)
    );
    answer(&mut client, id.0, entry("uid=mai,dc=example"));
    answer(&mut client, id.0, done(ResultCode::Success));
    assert_eq!(client.poll(), None);
    assert!(client.is_ready());
}

/// An attacker on the path could insert bytes in the clear that would be read as if they had come over TLS (CVE-2011-0411
/// is the same fault in another protocol).
#[test]
fn bytes_before_the_handshake_close_the_connection() {
    let ok = |id| {
        let response = ExtendedResponseOk(id);
        encode(&response.message())
    };
    let mut client = Client::new(settings(true));
    let sent = sent_messages(&mut client);
    assert!(
        sent.iter()
            .all(|m| matches!(m.protocol_op, ProtocolOp::ExtendedReq(_))),
        "no password in the clear"
    );
    let mut bytes = ok(sent[0].message_id);
    bytes.extend(encode(&LdapMessage::new(2, bound(ResultCode::Success))));
    client.receive(&bytes);
    assert_eq!(client.poll(), Some(Event::BeginTls));
    assert!(matches!(client.poll(), Some(Event::Closed(_))));
    let mut client = Client::new(settings(true));
    let id = sent_messages(&mut client)[0].message_id;
    client.receive(&ok(id));
    assert_eq!(client.poll(), Some(Event::BeginTls));
    assert!(
        client.take_output().is_empty(),
        "the bind waits for the handshake"
    );
    client.secured();
    assert!(matches!(
        sent_messages(&mut client)[0].protocol_op,
        ProtocolOp::BindRequest(_)
    ));
}

/// A plain answer to `StartTLS`, built as a server would.
struct ExtendedResponseOk(u32);

impl ExtendedResponseOk {
    fn message(&self) -> LdapMessage {
        // The response has no constructor of its own: it is read from its bytes (RFC 4511, 4.12).
        let bytes = [0x78, 7, 0x0a, 1, 0, 4, 0, 4, 0];
        let response: ExtendedResponse = rasn::ber::decode(&bytes).expect("an extended response");
        LdapMessage::new(self.0, ProtocolOp::ExtendedResp(response))
    }
}

#[test]
fn a_rejected_bind_and_unexpected_responses_close_the_connection() {
    let mut client = Client::new(settings(false));
    answer(&mut client, 1, bound(ResultCode::InvalidCredentials));
    assert!(
        matches!(client.poll(), Some(Event::Closed(reason)) if reason.contains("InvalidCredentials"))
    );
    let mut client = ready();
    answer(&mut client, 9, bound(ResultCode::Success));
    assert!(matches!(client.poll(), Some(Event::Closed(_))));
    assert!(client.search(search("mai")).is_none());
}

#[test]
fn searches_are_bounded() {
    let mut client = ready();
    let begun = (0..100)
        .filter(|n| client.search(search(&n.to_string())).is_some())
        .count();
    assert_eq!(begun, ClientSettings::default().max_searches);
    client.abandon(SearchId(2));
    assert!(client.search(search("one more")).is_some());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Any bytes, and any damage to valid ones, end in messages or in an error; nothing panics or buffers more than the
    /// limit.
    #[test]
    fn any_bytes_are_tolerated(noise in proptest::collection::vec(any::<u8>(), 0..300), at in 0usize..200, byte: u8) {
        let mut framer = Framer::new(4096);
        framer.push(&noise);
        while let Ok(Some(_)) = framer.take() {}
        let mut client = ready();
        let id = client.search(search("mai")).expect("ready");
        let mut good = encode(&LdapMessage::new(id.0, entry("uid=mai,ou=north,dc=example")));
        good.extend(encode(&LdapMessage::new(id.0, done(ResultCode::Success))));
        let end = good.len();
        good[at % end] = byte;
        client.receive(&good);
        client.receive(&noise);
        while client.poll().is_some() {}
    }

    /// Whatever a user is called, the filter compares that name and nothing else, and survives its encoding.
    #[test]
    fn names_stay_values(name in "\\PC{0,40}") {
        let mut client = ready();
        client.search(search(&name)).expect("ready");
        let sent_messages = sent_messages(&mut client);
        let Some(ProtocolOp::SearchRequest(request)) = sent_messages.last().map(|m| &m.protocol_op) else { panic!("a search") };
        prop_assert_eq!(&request.filter, &filter::equal("uid", &name));
    }

    #[test]
    fn any_text_is_tolerated_as_name_and_filter(text in "[a-z=,+\\\\()&|!*# \"\\x00é]{0,60}") {
        if let Ok(dn) = Dn::parse(&text) {
            // The text of a name parses to the same name.
            prop_assert_eq!(Dn::parse(&dn.to_string()), Ok(dn));
        }
        let _ = filter::parse(&text);
    }

    #[test]
    fn escaped_values_round_trip(value in "\\PC{1,30}") {
        let text = format!("cn={},ou=north", pipithub_ldap::dn::escaped(&value));
        let dn = Dn::parse(&text).expect("an escaped value");
        prop_assert_eq!(dn.depth(), 2);
        prop_assert!(dn.is_within(&Dn::parse("ou=north").expect("a name")));
    }
}
