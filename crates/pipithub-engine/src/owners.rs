//! Which tenant owns which function.

use std::collections::BTreeMap;

use crate::call::Tenant;

/// The owner of a function.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// One tenant.
    Tenant(Tenant),
    /// All tenants.
    Shared,
}

/// The owners of functions, by name and by prefix of names. Without any entry there are no tenants, and every call may
/// run every function. With one, a function that no entry covers may not be called by anybody.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owners {
    by_name: BTreeMap<String, Owner>,
    by_prefix: BTreeMap<String, Owner>,
}

impl Owners {
    /// Adds an entry; a pattern that ends in `*` covers every name with that prefix. Returns the owner that the pattern
    /// had before, if it was another one.
    pub fn insert(&mut self, pattern: &str, owner: Owner) -> Option<Owner> {
        let before = match pattern.strip_suffix('*') {
            Some(prefix) => self.by_prefix.insert(prefix.to_string(), owner),
            None => self.by_name.insert(pattern.to_string(), owner),
        };
        before.filter(|former| *former != owner)
    }

    /// The owner of a function: by its name, else by the longest prefix that covers it.
    pub fn of(&self, function: &str) -> Option<Owner> {
        if let Some(owner) = self.by_name.get(function) {
            return Some(*owner);
        }
        self.by_prefix
            .iter()
            .filter(|(prefix, _)| function.starts_with(prefix.as_str()))
            .max_by_key(|(prefix, _)| prefix.len())
            .map(|(_, owner)| *owner)
    }

    /// Whether there are tenants at all.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty() && self.by_prefix.is_empty()
    }

    /// Whether a call of this tenant may run the function.
    pub fn allow(&self, tenant: Option<Tenant>, function: &str) -> bool {
        if self.is_empty() {
            return true;
        }
        match (self.of(function), tenant) {
            (Some(Owner::Tenant(owner)), Some(tenant)) => owner == tenant,
            (Some(Owner::Shared), Some(_)) => true,
            _ => false,
        }
    }
}
