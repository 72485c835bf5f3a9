//! Compares many versions of the persistent map with those of a `BTreeMap`.

use std::collections::BTreeMap;

use proptest::prelude::{ProptestConfig, any, prop_assert, prop_assert_eq, proptest};

use super::PersistentMap;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Each version equals the `BTreeMap` that was cloned together with it.
    #[test]
    fn cloned_versions_do_not_see_later_changes(steps in proptest::collection::vec((0u16..300, any::<Option<u8>>()), 0..400)) {
        let (mut map, mut model) = (PersistentMap::new(), BTreeMap::new());
        let mut versions = Vec::new();
        for (number, (key, value)) in steps.into_iter().enumerate() {
            if number % 50 == 0 {
                versions.push((map.clone(), model.clone()));
            }
            if let Some(value) = value {
                map.insert(key, value);
                model.insert(key, value);
            } else {
                prop_assert_eq!(map.remove(&key), model.remove(&key));
            }
        }
        versions.push((map, model));
        for (map, model) in versions {
            prop_assert_eq!(map.len(), model.len());
            let entries: BTreeMap<u16, u8> = map.iter().map(|(key, value)| (*key, *value)).collect();
            prop_assert_eq!(&entries, &model);
            prop_assert!(model.iter().all(|(key, value)| map.get(key) == Some(value)));
        }
    }
}
