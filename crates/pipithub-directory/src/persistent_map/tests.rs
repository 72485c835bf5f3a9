//! The map against a plain one, over many versions.

use std::collections::BTreeMap;

use proptest::prelude::{ProptestConfig, any, prop_assert, prop_assert_eq, proptest};

use super::PersistentMap;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// As a plain map; and what was shared before a change never shows it.
    #[test]
    fn versions_stay_as_they_were(steps in proptest::collection::vec((0u16..300, any::<Option<u8>>()), 0..400)) {
        let (mut map, mut model) = (PersistentMap::new(), BTreeMap::new());
        let mut versions = Vec::new();
        for (n, (key, value)) in steps.into_iter().enumerate() {
            if n % 50 == 0 {
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
            let seen: BTreeMap<u16, u8> = map.iter().map(|(k, v)| (*k, *v)).collect();
            prop_assert_eq!(&seen, &model);
            prop_assert!(model.iter().all(|(k, v)| map.get(k) == Some(v)));
        }
    }
}
