//! Which functions are whose.

use std::collections::BTreeMap;

use crate::call::Tenant;

/// Whose a function is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// One tenant's.
    Tenant(Tenant),
    /// Everybody's.
    Shared,
}

/// Owners of functions, by whole names and by beginnings of names. Without any entry there are no tenants, and every call
/// may run every function; with one, a function that no entry names is nobody's to call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owners {
    whole: BTreeMap<String, Owner>,
    beginnings: BTreeMap<String, Owner>,
}

impl Owners {
    /// Notes an owner; a pattern that ends in `*` stands for every name that begins so. The earlier owner, where there is
    /// another one.
    pub fn insert(&mut self, pattern: &str, owner: Owner) -> Option<Owner> {
        let before = match pattern.strip_suffix('*') {
            Some(beginning) => self.beginnings.insert(beginning.to_string(), owner),
            None => self.whole.insert(pattern.to_string(), owner),
        };
        before.filter(|b| *b != owner)
    }

    /// Whose a function is: by its whole name, else by the longest beginning.
    pub fn of(&self, function: &str) -> Option<Owner> {
        if let Some(owner) = self.whole.get(function) {
            return Some(*owner);
        }
        let longest = self
            .beginnings
            .iter()
            .filter(|(b, _)| function.starts_with(b.as_str()));
        longest
            .max_by_key(|(b, _)| b.len())
            .map(|(_, owner)| *owner)
    }

    /// Whether there are tenants at all.
    pub fn is_empty(&self) -> bool {
        self.whole.is_empty() && self.beginnings.is_empty()
    }

    /// Whether a call of this tenant may run the function.
    pub fn allow(&self, tenant: Option<Tenant>, function: &str) -> bool {
        match (self.is_empty(), self.of(function), tenant) {
            (true, ..) => true,
            (_, Some(Owner::Tenant(owner)), Some(tenant)) => owner == tenant,
            (_, Some(Owner::Shared), Some(_)) => true,
            _ => false,
        }
    }
}
