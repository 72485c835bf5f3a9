//! The subtrees of the directories that belong to tenants.

use pipithub_ldap::Dn;

use crate::record::{LookupResult, TenantId};
use crate::settings::TenantBase;

/// The bases of all tenants, indexed by [`TenantId`].
pub(super) struct TenantBases {
    bases: Vec<TenantBase>,
}

impl TenantBases {
    pub(super) fn new(bases: Vec<TenantBase>) -> Self {
        TenantBases { bases }
    }

    /// The tenant of an entry: of all tenants whose base contains the entry, the one with the innermost base. The result is
    /// [`LookupResult::Absent`] if there is none.
    pub(super) fn find(&self, directory: usize, dn: &Dn) -> LookupResult {
        let innermost = self
            .bases
            .iter()
            .enumerate()
            .filter(|(_, tenant)| tenant.directory == directory && dn.is_within(&tenant.base))
            .max_by_key(|(_, tenant)| tenant.base.depth());
        match innermost {
            Some((index, _)) => LookupResult::Tenant(TenantId(index as u16)),
            None => LookupResult::Absent,
        }
    }
}
