//! How commands change the replicated state.

use pipithub_consensus::{
    Command, Request, Response, SettingsVersion, State, Time, TimestampedRequest,
};

fn apply(state: &mut State, at: Time, client: &str, sequence: u64, command: Command) -> Response {
    state.apply(&TimestampedRequest {
        at,
        request: Request {
            client: client.into(),
            boot_id: 1,
            sequence,
            command,
        },
    })
}

fn acquire(epoch: u64) -> Command {
    Command::AcquireLease {
        lease: "lease".into(),
        epoch,
        duration: 10,
    }
}

#[test]
fn lease_has_one_holder_until_it_expires_or_is_released() {
    let mut state = State::default();
    assert_eq!(
        apply(&mut state, 1, "a", 1, Command::NewEpoch),
        Response::Epoch(1)
    );
    assert_eq!(
        apply(&mut state, 1, "b", 1, Command::NewEpoch),
        Response::Epoch(2)
    );
    assert_eq!(apply(&mut state, 5, "a", 2, acquire(1)), Response::Granted);
    assert_eq!(
        apply(&mut state, 14, "b", 2, acquire(2)),
        Response::HeldByOther {
            holder: "a".into(),
            remaining: 1
        }
    );
    assert_eq!(apply(&mut state, 15, "b", 3, acquire(2)), Response::Granted);
    assert_eq!(
        apply(&mut state, 16, "a", 3, acquire(1)),
        Response::HeldByOther {
            holder: "b".into(),
            remaining: 9
        }
    );
    apply(
        &mut state,
        16,
        "b",
        4,
        Command::ReleaseLease {
            lease: "lease".into(),
            epoch: 2,
        },
    );
    assert_eq!(apply(&mut state, 16, "a", 4, acquire(1)), Response::Granted);
}

#[test]
fn new_epoch_fences_the_former_one_whose_lease_stays_until_it_expires() {
    let mut state = State::default();
    apply(&mut state, 1, "a", 1, Command::NewEpoch);
    apply(&mut state, 1, "a", 2, acquire(1));
    assert_eq!(
        apply(&mut state, 2, "a", 3, Command::NewEpoch),
        Response::Epoch(2)
    );
    assert_eq!(
        apply(&mut state, 3, "a", 4, acquire(1)),
        Response::Fenced { epoch: 2 }
    );
    assert_eq!(
        apply(&mut state, 3, "a", 5, acquire(2)),
        Response::HeldByOther {
            holder: "a".into(),
            remaining: 8
        }
    );
    assert_eq!(apply(&mut state, 11, "a", 6, acquire(2)), Response::Granted);
}

#[test]
fn retry_changes_nothing_and_gets_the_first_response() {
    let mut state = State::default();
    assert_eq!(
        apply(&mut state, 1, "a", 1, Command::NewEpoch),
        Response::Epoch(1)
    );
    assert_eq!(
        apply(&mut state, 9, "a", 1, Command::NewEpoch),
        Response::Epoch(1)
    );
    assert_eq!(
        apply(&mut state, 9, "a", 2, Command::NewEpoch),
        Response::Epoch(2)
    );
    assert_eq!(
        apply(&mut state, 9, "a", 1, Command::NewEpoch),
        Response::Superseded
    );
}

#[test]
fn clock_and_settings_version_never_decrease() {
    let mut state = State::default();
    apply(
        &mut state,
        100,
        "a",
        1,
        Command::SetSettings {
            version: 3,
            digest: 7,
        },
    );
    assert_eq!(
        apply(
            &mut state,
            50,
            "b",
            1,
            Command::SetSettings {
                version: 3,
                digest: 8
            }
        ),
        Response::NotNewer { version: 3 }
    );
    assert_eq!(
        (state.clock(), state.settings()),
        (
            100,
            SettingsVersion {
                version: 3,
                digest: 7,
            },
        )
    );
}
