//! The directories that contain the users of each realm.

use std::collections::HashMap;

use crate::settings::DirectorySettings;

/// The directories, by the realms of the users that they contain.
#[derive(Debug)]
pub(crate) struct Realms {
    directories: HashMap<Box<str>, Vec<u16>>,
    /// The directories for names without a realm.
    without_realm: Vec<u16>,
}

impl Realms {
    pub(crate) fn new(settings: &[DirectorySettings]) -> Self {
        let mut directories: HashMap<Box<str>, Vec<u16>> = HashMap::new();
        let mut without_realm = Vec::new();
        for (index, directory) in settings.iter().enumerate() {
            let index = index as u16;
            if directory.realms.is_empty() {
                without_realm.push(index);
            }
            for realm in &directory.realms {
                let realm = pipithub_ldap::dn::fold(realm);
                directories.entry(realm.into()).or_default().push(index);
            }
        }
        Realms {
            directories,
            without_realm,
        }
    }

    /// The directories that may contain a user, by their indexes in the settings.
    pub(crate) fn directories_for(&self, user: &str) -> &[u16] {
        let Some((_, realm)) = user.rsplit_once('@') else {
            return &self.without_realm;
        };
        self.directories.get(realm).map_or(&[], Vec::as_slice)
    }
}
