//! The load of a scenario depends on its seed alone.

use pipithub_scenario::load::{ScheduledRequest, migrations, requests};
use pipithub_scenario::scenario::Scenario;

/// A scenario with every kind of fault that changes the load.
const SCENARIO: &str = r#"
day name="x" length="6s" rate=80 fronts=2 workers=5 zones=2 functions=9 list-lag="200ms" drain-grace="900ms" slack="250ms"
class "a" effect="safe" aim="300ms" give-up="900ms" worth=2 share=2 work="20ms"
class "b" effect="keyed" aim="1s" give-up="4s" dedup-window="3s"
class "c" effect="unsafe" share=0.5
worker "--ramp" "3s"
tenants users=20 servers=3 spies=0.2 bound="700ms" { max-age "400ms"; }
settings { drain "1s"; }
crash at="1s" for="1s" worker=1
deploy at="2s" every="300ms" count=9
late-list at="1s" by="300ms"
silent at="1s" worker=2
slow-store at="1s" factor=2.5
halt-store at="2s" for="1s"
kill-front at="3s" front=1
cut-broker at="2500ms"
lose-zone at="1s" for="100ms" zone=1
little-time at="1s" for="2s" share=0.3
one-off at="2s" for="2s" share=0.4
hot at="1s" for="3s" share=0.5
directory at="1s" server=1 fault="silent on"
stale-directory at="1s" for="2s" server=2
move-users at="1s" for="4s" every="100ms"
storm at="2s" for="2s" times=6
"#;

fn scenario() -> Scenario {
    Scenario::parse("load", SCENARIO).expect("a valid scenario")
}

fn line(scheduled: &ScheduledRequest) -> String {
    let request = &scheduled.publish;
    format!(
        "{} {} {} {} {:?} {} {}\n",
        scheduled.at,
        request.id,
        request.class,
        request.function,
        request.budget_ms,
        String::from_utf8_lossy(&request.body),
        request.signed.as_ref().map_or("", |signed| &signed.user),
    )
}

/// The FNV-1a hash of a text.
fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// The requests of a seed must not change, so that figures that were measured with it stay comparable.
#[test]
fn requests_of_a_seed_never_change() {
    let requests = requests(&scenario(), 1, "calls");
    assert_eq!(requests.len(), 916);
    let text: String = requests.iter().map(line).collect();
    assert_eq!(fnv1a(&text), 0x13ed_740a_92e6_19f5);
}

#[test]
fn users_migrate_between_the_two_tenants() {
    let migrations = migrations(&scenario(), 1);
    assert_eq!(migrations.len(), 40);
    let first: Vec<(u64, usize, usize)> = migrations[..3]
        .iter()
        .map(|migration| (migration.at / 1_000_000, migration.user, migration.tenant))
        .collect();
    assert_eq!(first, [(1_000, 6, 1), (1_100, 5, 0), (1_200, 2, 1)]);
}
