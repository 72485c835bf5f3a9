//! Which tenant owns which function.

use std::collections::BTreeMap;

use crate::call::Tenant;

/// The owner of a function.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// The function belongs to one tenant.
    Tenant(Tenant),
    /// The function may be called by every tenant.
    Shared,
}

/// The owners of functions, by name and by name prefix. Without any entry there are no tenants, and every call may run
/// every function. As soon as there is an entry, functions that no entry covers cannot be called.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owners {
    by_name: BTreeMap<String, Owner>,
    by_prefix: BTreeMap<String, Owner>,
}

impl Owners {
    /// Adds an entry. A pattern that ends in `*` covers every name with that prefix. Returns the former owner of the
    /// pattern if it was a different one, else `None`.
    pub fn insert(&mut self, pattern: &str, owner: Owner) -> Option<Owner> {
        let before = match pattern.strip_suffix('*') {
            Some(prefix) => self.by_prefix.insert(prefix.to_string(), owner),
            None => self.by_name.insert(pattern.to_string(), owner),
        };
        before.filter(|former| *former != owner)
    }

    /// The owner of a function: by its name, else by the longest prefix that covers it; `None` if no entry covers it.
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

    /// Whether there is no entry, and so no tenant.
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
