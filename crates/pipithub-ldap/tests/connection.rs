//! Tests of the client with a simulated server: the order of requests, unexpected responses and malformed bytes.

use pipithub_ldap::frame::{Framer, encode};
use pipithub_ldap::message::{
    AuthenticationChoice, BindResponse, ExtendedResponse, LdapMessage, LdapResult,
    PartialAttribute, ProtocolOp, ResultCode, SearchRequestScope, SearchResultDone,
    SearchResultEntry,
};
use pipithub_ldap::{Client, ClientSettings, Dn, Event, Search, SearchId, SimpleBind, filter};
use proptest::prelude::*;
use rasn::types::{OctetString, SetOf};

fn settings(start_tls: bool) -> ClientSettings {
    ClientSettings {
        start_tls,
        bind: Some(SimpleBind {
            name: "cn=gateway".into(),
            password: "swordfish".into(),
        }),
        ..ClientSettings::default()
    }
}

fn sent_messages(client: &mut Client) -> Vec<LdapMessage> {
    let mut framer = Framer::new(1 << 20);
    framer.push(&client.take_output());
    std::iter::from_fn(|| framer.take().expect("a well-formed message")).collect()
}

/// Passes a message from the server to the client.
fn respond(client: &mut Client, id: u32, op: ProtocolOp) {
    client.receive(&encode(&LdapMessage::new(id, op)));
}

fn bind_response(code: ResultCode) -> ProtocolOp {
    ProtocolOp::BindResponse(BindResponse::new(code, "".into(), "".into(), None, None))
}

fn search_done(code: ResultCode) -> ProtocolOp {
    ProtocolOp::SearchResDone(SearchResultDone(LdapResult::new(
        code,
        "".into(),
        "".into(),
    )))
}

fn search_entry(dn: &str) -> ProtocolOp {
    let values = SetOf::from_vec(vec![OctetString::from(b"mai".to_vec())]);
    let attributes = vec![PartialAttribute::new("UID".into(), values)];
    ProtocolOp::SearchResEntry(SearchResultEntry::new(dn.into(), attributes))
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

/// A client whose bind has succeeded.
fn ready_client() -> Client {
    let mut client = Client::new(settings(false));
    assert!(
        client.search(search("early")).is_none(),
        "a search was sent before the bind response"
    );
    let id = sent_messages(&mut client)[0].message_id;
    respond(&mut client, id, bind_response(ResultCode::Success));
    assert_eq!(client.poll(), Some(Event::Ready));
    client
}

#[test]
fn search_reports_its_entries_and_its_result() {
    let mut client = ready_client();
    let one = client.search(search("mai")).expect("ready");
    let two = client.search(search("lan")).expect("ready");
    respond(&mut client, two.0, search_done(ResultCode::Success));
    respond(&mut client, one.0, search_entry("uid=mai,dc=example"));
    respond(&mut client, one.0, search_done(ResultCode::Success));
    assert!(matches!(client.poll(), Some(Event::Done(id, _)) if id == two));
    let Some(Event::Entry(id, found)) = client.poll() else {
        panic!("not an entry")
    };
    assert_eq!((id, found.text("uid")), (one, Some("mai")));
    assert_eq!(Some(found.dn), Dn::parse("uid=mai,dc=example").ok());
    assert!(matches!(client.poll(), Some(Event::Done(id, _)) if id == one));
    assert_eq!((client.poll(), client.pending_searches()), (None, 0));
}

/// Results may still arrive after a search was cancelled.
#[test]
fn results_of_a_cancelled_search_are_ignored() {
    let mut client = ready_client();
    let id = client.search(search("mai")).expect("ready");
    client.abandon(id);
    let sent = sent_messages(&mut client);
    let last = sent.last().map(|message| &message.protocol_op);
    assert!(matches!(last, Some(ProtocolOp::AbandonRequest(request)) if request.0 == id.0));
    respond(&mut client, id.0, search_entry("uid=mai,dc=example"));
    respond(&mut client, id.0, search_done(ResultCode::Success));
    assert_eq!(client.poll(), None);
    assert!(client.is_ready());
}

/// The successful response to a `StartTLS` request with this message id.
fn start_tls_response(id: u32) -> Vec<u8> {
    // `ExtendedResponse` has no constructor, so it is decoded from its bytes (RFC 4511, 4.12).
    let bytes = [0x78, 7, 0x0a, 1, 0, 4, 0, 4, 0];
    let response: ExtendedResponse = rasn::ber::decode(&bytes).expect("an extended response");
    encode(&LdapMessage::new(id, ProtocolOp::ExtendedResp(response)))
}

/// An attacker on the path could insert bytes that the client would handle as if they had arrived over TLS (as in
/// CVE-2011-0411, the same fault in SMTP).
#[test]
fn bytes_between_start_tls_response_and_handshake_close_the_connection() {
    let mut client = Client::new(settings(true));
    let id = sent_messages(&mut client)[0].message_id;
    let mut bytes = start_tls_response(id);
    bytes.extend(encode(&LdapMessage::new(
        2,
        bind_response(ResultCode::Success),
    )));
    client.receive(&bytes);
    assert_eq!(client.poll(), Some(Event::BeginTls));
    assert!(matches!(client.poll(), Some(Event::Closed(_))));
}

#[test]
fn bind_is_sent_only_after_the_tls_handshake() {
    let mut client = Client::new(settings(true));
    let sent = sent_messages(&mut client);
    assert!(
        sent.iter()
            .all(|message| matches!(message.protocol_op, ProtocolOp::ExtendedReq(_))),
        "the password was sent without TLS"
    );
    client.receive(&start_tls_response(sent[0].message_id));
    assert_eq!(client.poll(), Some(Event::BeginTls));
    assert!(
        client.take_output().is_empty(),
        "the bind was sent before the handshake"
    );
    client.handshake_completed();
    assert!(matches!(
        sent_messages(&mut client)[0].protocol_op,
        ProtocolOp::BindRequest(_)
    ));
}

#[test]
fn debug_output_of_settings_and_client_does_not_show_the_password() {
    let settings = settings(false);
    let bind = settings.bind.clone();
    let client = Client::new(settings.clone());
    for text in [
        format!("{settings:?}"),
        format!("{bind:?}"),
        format!("{client:?}"),
    ] {
        assert!(text.contains("cn=gateway"), "{text}");
        assert!(!text.contains("swordfish"), "{text}");
    }
}

#[test]
fn bind_request_holds_name_and_password() {
    let mut client = Client::new(settings(false));
    let sent = sent_messages(&mut client);
    let Some(ProtocolOp::BindRequest(request)) = sent.first().map(|message| &message.protocol_op)
    else {
        panic!("not a bind request")
    };
    assert_eq!(request.name.0, "cn=gateway");
    let AuthenticationChoice::Simple(password) = &request.authentication else {
        panic!("not a simple bind")
    };
    assert_eq!(&password[..], b"swordfish");
}

#[test]
fn rejected_bind_closes_the_connection_with_the_result_code() {
    let mut client = Client::new(settings(false));
    respond(
        &mut client,
        1,
        bind_response(ResultCode::InvalidCredentials),
    );
    assert!(
        matches!(client.poll(), Some(Event::Closed(reason)) if reason.contains("InvalidCredentials"))
    );
}

#[test]
fn unexpected_response_closes_the_connection() {
    let mut client = ready_client();
    respond(&mut client, 9, bind_response(ResultCode::Success));
    assert!(matches!(client.poll(), Some(Event::Closed(_))));
    assert!(client.search(search("mai")).is_none());
}

#[test]
fn search_beyond_the_limit_of_pending_searches_is_rejected() {
    let mut client = ready_client();
    let accepted = (0..100)
        .filter(|user| client.search(search(&user.to_string())).is_some())
        .count();
    assert_eq!(accepted, ClientSettings::default().max_searches);
    client.abandon(SearchId(2));
    assert!(client.search(search("mai")).is_some());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn arbitrary_and_corrupted_bytes_do_not_panic(
        noise in proptest::collection::vec(any::<u8>(), 0..300),
        at in 0usize..200,
        byte: u8,
    ) {
        let mut framer = Framer::new(4096);
        framer.push(&noise);
        while let Ok(Some(_)) = framer.take() {}
        let mut client = ready_client();
        let id = client.search(search("mai")).expect("ready");
        let entry = search_entry("uid=mai,ou=north,dc=example");
        let mut messages = encode(&LdapMessage::new(id.0, entry));
        messages.extend(encode(&LdapMessage::new(id.0, search_done(ResultCode::Success))));
        let end = messages.len();
        messages[at % end] = byte;
        client.receive(&messages);
        client.receive(&noise);
        while client.poll().is_some() {}
    }

    #[test]
    fn any_user_name_is_sent_as_the_assertion_value_of_the_filter(name in "\\PC{0,40}") {
        let mut client = ready_client();
        client.search(search(&name)).expect("ready");
        let sent = sent_messages(&mut client);
        let last = sent.last().map(|message| &message.protocol_op);
        let Some(ProtocolOp::SearchRequest(request)) = last else {
            panic!("not a search request")
        };
        prop_assert_eq!(&request.filter, &filter::equal("uid", &name));
    }

    #[test]
    fn arbitrary_text_does_not_panic_and_parsed_names_round_trip(text in "[a-z=,+\\\\()&|!*# \"\\x00é]{0,60}") {
        if let Ok(dn) = Dn::parse(&text) {
            prop_assert_eq!(Dn::parse(&dn.to_string()), Ok(dn));
        }
        let _ = filter::parse(&text);
    }

    #[test]
    fn escaped_value_is_parsed_as_one_rdn(value in "\\PC{1,30}") {
        let text = format!("cn={},ou=north", pipithub_ldap::dn::escaped(&value));
        let dn = Dn::parse(&text).expect("a valid name");
        prop_assert_eq!(dn.depth(), 2);
        prop_assert!(dn.is_within(&Dn::parse("ou=north").expect("a valid name")));
    }
}
