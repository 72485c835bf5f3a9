//! A directory core with many tenants and users, for the benchmarks of directories.

use pipithub_directory::{Directory, DirectorySettings, Settings, TenantBase, User};
use pipithub_ldap::Dn;

/// The number of tenants, to which users belong in turn.
pub(crate) const TENANTS: usize = 50;
/// The maximum number of pending look-ups.
const MAX_QUEUE: usize = 65_536;

/// The DN below which the entries of a tenant's users are.
pub(crate) fn tenant_base(tenant: usize) -> Dn {
    Dn::parse(&format!("ou=t{tenant},dc=example")).unwrap_or_default()
}

/// The name of a user.
pub(crate) fn user_name(number: usize) -> User {
    format!("caregiver{number:07}").into()
}

/// The DN of a user below a base.
pub(crate) fn user_dn(user: &str, base: &Dn) -> Dn {
    let rdn = Dn::parse(&format!("uid={user}")).ok();
    base.moved(rdn.as_ref(), Some(base))
}

/// A core for all tenants, with one directory.
pub(crate) fn new_core(directory: DirectorySettings, max_users: usize, seed: u64) -> Directory {
    let tenants = (0..TENANTS).map(|tenant| TenantBase {
        directory: 0,
        base: tenant_base(tenant),
    });
    Directory::new(Settings {
        directories: vec![directory],
        tenants: tenants.collect(),
        max_users,
        max_queue: MAX_QUEUE,
        seed,
        wall_clock_offset_ms: 0,
    })
}
