//! Parsing fleet scenarios and drawing their faults.

use pipithub_conformance::fleet::Disk;
use pipithub_scenario::fleet::FleetScenario;
use pipithub_scenario::fleet::scenario::FleetFault;

#[test]
fn fleet_scenario_is_parsed_and_invalid_ones_are_rejected() {
    let text = "fleet-day name=\"x\" members=5 zones=2\nkill at=\"2s\" member=1 disk=\"old\"\ncut at=\"1s\" from=0 to=4 both=#true\n";
    assert!(FleetScenario::is_fleet_scenario(text));
    let scenario = FleetScenario::parse("x", text).unwrap();
    assert_eq!(
        scenario.faults[0].fault,
        FleetFault::Cut {
            from: 0,
            to: 4,
            both: true
        }
    );
    assert_eq!(
        scenario.faults[1].fault,
        FleetFault::Kill {
            member: 1,
            disk: Disk::Stale
        }
    );
    for bad in [
        "kill at=\"2s\" member=5",
        "kill member=1",
        "burn at=\"1s\"",
        "kill at=\"1s\" member=1 disk=\"new\"",
    ] {
        assert!(
            FleetScenario::parse("x", &format!("fleet-day members=5\n{bad}\n")).is_err(),
            "{bad}"
        );
    }
}

#[test]
fn equal_seeds_draw_equal_faults() {
    let scenario =
        FleetScenario::parse("x", "fleet-day members=5 drawn=20 length=\"20s\"\n").unwrap();
    assert_eq!(scenario.faults_for_seed(3), scenario.faults_for_seed(3));
    assert_ne!(scenario.faults_for_seed(3), scenario.faults_for_seed(4));
    assert!(
        scenario
            .faults_for_seed(3)
            .iter()
            .all(|s| s.at + s.duration <= scenario.duration)
    );
}
