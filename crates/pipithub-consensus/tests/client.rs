//! When a client holds a lease, and how it retries requests.

use pipithub_consensus::{Client, Command, HeldLease, Notification, Response, Time, WireMessage};

fn respond(
    client: &mut Client,
    now: Time,
    sequence: u64,
    response: Response,
) -> Option<Notification> {
    client.handle_message(
        now,
        WireMessage::Response {
            client: "a".into(),
            boot_id: 7,
            sequence,
            response,
        },
    )
}

fn client_with_epoch() -> Client {
    let mut client = Client::new("a", 7, vec![1, 2, 3], 100);
    client.submit(Command::NewEpoch);
    client.next_message(0);
    respond(&mut client, 5, 1, Response::Epoch(4));
    client
}

fn acquire() -> Command {
    Command::AcquireLease {
        lease: "lease".into(),
        epoch: 4,
        duration: 6_400,
    }
}

#[test]
fn lease_is_held_from_its_first_request_for_its_duration_less_the_clock_drift() {
    let mut client = client_with_epoch();
    let sequence = client.submit(acquire()).unwrap();
    assert_eq!(client.next_message(1_000).unwrap().voter, 1);
    assert!(client.next_message(1_050).is_none());
    assert_eq!(
        client.next_message(1_100).unwrap().voter,
        2,
        "without a response, the request is sent to the next voter"
    );
    assert!(client.held_lease("lease", 1_100).is_none());
    respond(&mut client, 2_000, sequence, Response::Granted);
    assert_eq!(
        client.held_lease("lease", 7_299),
        Some(HeldLease {
            epoch: 4,
            expires_at: 7_300
        })
    );
    assert!(client.held_lease("lease", 7_300).is_none());
}

/// Found by seed 1593 of the random scenarios: the lease was released while a request to extend it was in flight.
#[test]
fn lease_with_a_pending_release_is_not_held() {
    let mut client = client_with_epoch();
    let first = client.submit(acquire()).unwrap();
    client.next_message(0);
    respond(&mut client, 10, first, Response::Granted);
    let extension = client.submit(acquire()).unwrap();
    client.next_message(20);
    client.release("lease");
    respond(&mut client, 30, extension, Response::Granted);
    assert!(client.held_lease("lease", 40).is_none());
}

#[test]
fn fenced_run_holds_no_lease_and_has_no_epoch() {
    let mut client = client_with_epoch();
    let first = client.submit(acquire()).unwrap();
    client.next_message(0);
    respond(&mut client, 10, first, Response::Granted);
    let extension = client.submit(acquire()).unwrap();
    client.next_message(20);
    assert_eq!(
        respond(&mut client, 30, extension, Response::Fenced { epoch: 9 }),
        Some(Notification::Fenced)
    );
    assert!(client.held_lease("lease", 40).is_none() && client.epoch().is_none());
}

#[test]
fn response_to_another_run_or_request_is_ignored() {
    let mut client = client_with_epoch();
    let sequence = client.submit(acquire()).unwrap();
    client.next_message(0);
    assert!(respond(&mut client, 5, sequence + 1, Response::Granted).is_none());
    let message = WireMessage::Response {
        client: "a".into(),
        boot_id: 6,
        sequence,
        response: Response::Granted,
    };
    assert!(client.handle_message(5, message).is_none());
    assert!(client.held_lease("lease", 6).is_none());
}
