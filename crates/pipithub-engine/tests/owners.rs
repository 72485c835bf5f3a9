//! Which tenant owns which function, by name and by prefix.

use pipithub_engine::{Owner, Owners, Tenant};

#[test]
fn longest_prefix_decides_and_functions_without_an_entry_have_no_owner() {
    let mut owners = Owners::default();
    assert!(owners.allow(None, "anything"));
    let (north, south) = (Tenant(0), Tenant(1));
    assert_eq!(owners.insert("north-*", Owner::Tenant(north)), None);
    assert_eq!(
        owners.insert("north-and-south-*", Owner::Tenant(south)),
        None
    );
    assert_eq!(owners.insert("holidays", Owner::Shared), None);
    assert_eq!(
        owners.insert("north-*", Owner::Tenant(south)),
        Some(Owner::Tenant(north))
    );
    owners.insert("north-*", Owner::Tenant(north));
    assert!(
        owners.allow(Some(north), "north-roster") && !owners.allow(Some(south), "north-roster")
    );
    assert!(
        owners.allow(Some(south), "north-and-south-map")
            && !owners.allow(Some(north), "north-and-south-map")
    );
    assert!(owners.allow(Some(south), "holidays") && !owners.allow(None, "holidays"));
    assert!(!owners.allow(Some(north), "unnamed"));
}
