//! The nodes of tenants, their directories and their quotas.

mod admission;
mod config;
mod directory;
mod secret;

use std::sync::Arc;

use pipithub_consumer::identity::{Keys, Rule};
use pipithub_directory::TenantBase;
use pipithub_engine::{Owner, Owners, Tenant};
use pipithub_ldap::Dn;

pub use self::config::{
    BindCredentials, DirectoryConfig, ServerConfig, SnapshotConfig, TenantConfig, TenantsConfig,
    Tls,
};
use crate::fault::start_of_file;
use crate::reader::Reader;
use crate::tenants::directory::ParsedDn;

/// The tenants, and what other nodes need to refer to them.
pub(crate) struct Tenants {
    pub(crate) config: Option<TenantsConfig>,
    pub(crate) scoped_keys_since_ms: Option<u64>,
    signing_keys: Option<Arc<Keys>>,
}

/// The choices for how a queue's messages prove which user they are from.
#[derive(Clone, Copy, PartialEq)]
enum IdentityKind {
    None,
    Broker,
    Signed,
}

impl Tenants {
    pub(crate) fn is_empty(&self) -> bool {
        self.config.is_none()
    }

    /// The tenant that a node refers to; `None` if it refers to none, or to an unknown tenant, which is a fault.
    pub(crate) fn read_reference(&self, node: &Reader<'_>) -> Option<Tenant> {
        let given = node.value("tenant")?;
        let tenants = self
            .config
            .as_ref()
            .map_or(&[][..], |config| &config.tenants);
        let number = given
            .value
            .as_string()
            .and_then(|name| tenants.iter().position(|tenant| tenant.name == name));
        if number.is_none() {
            let message = format!("there is no tenant {}", given.value);
            node.fault_at(given.span, message, None);
        }
        number.map(|number| Tenant(number as u16))
    }

    /// Reads how a queue's messages prove which user they are from.
    pub(crate) fn read_identity(&self, node: &Reader<'_>) -> Rule {
        let kinds = [
            ("none", IdentityKind::None),
            ("broker", IdentityKind::Broker),
            ("signed", IdentityKind::Signed),
        ];
        let kind = node.choice("identity", IdentityKind::None, &kinds);
        let has_tenant = node.has_property("tenant") || node.has_child("tenant");
        if !self.is_empty() && kind == IdentityKind::None && !has_tenant {
            let help =
                "identity \"broker\" or \"signed\", or 'tenant' if the queue belongs to one tenant";
            node.fault_with_help("the queue needs 'identity' or 'tenant'", help);
        }
        match (kind, &self.signing_keys) {
            (IdentityKind::None, _) => Rule::None,
            (IdentityKind::Broker, _) => Rule::Broker,
            (IdentityKind::Signed, Some(keys)) => Rule::Signed(keys.clone()),
            (IdentityKind::Signed, None) => {
                let help = "signatures { key \"desk\" file=\"desk.key\" }";
                node.fault_with_help("signed calls need 'signatures' with a key", help);
                Rule::None
            }
        }
    }
}

/// Reads all nodes that concern tenants. Returns the tenants and the owners of functions.
pub(crate) fn read(root: &Reader<'_>, class_weights: &[f64]) -> (Tenants, Owners) {
    let signing_keys = secret::read_signing_keys(root);
    let directories = root.children("directory");
    let directories: Vec<DirectoryConfig> = directories.iter().map(directory::read).collect();
    let mut owners = Owners::default();
    let mut tenants = Vec::new();
    let mut quotas = Vec::new();
    for node in root.children("tenant") {
        if let Some(tenant) = read_tenant(&node, &directories, &tenants, &mut owners) {
            tenants.push(tenant);
            quotas.push(admission::read_quota(&node));
            node.finish();
        }
    }
    read_shared_functions(root, &mut owners);
    let admission = admission::read(root, quotas, class_weights);
    if tenants.is_empty() && !directories.is_empty() {
        let message = "a directory is given, but no tenant";
        root.fault_at(start_of_file(), message, None);
    }
    let has_tenants = !tenants.is_empty();
    let config = has_tenants.then_some(TenantsConfig {
        tenants,
        directories,
        admission: admission.settings,
        max_users: admission.max_users,
        snapshot: admission.snapshot,
    });
    let tenants = Tenants {
        config,
        scoped_keys_since_ms: admission.scoped_keys_since_ms,
        signing_keys,
    };
    (tenants, owners)
}

/// Reads a tenant; `known` are the tenants before it. Returns `None` for a tenant without a directory, which is a fault.
fn read_tenant(
    node: &Reader<'_>,
    directories: &[DirectoryConfig],
    known: &[TenantConfig],
    owners: &mut Owners,
) -> Option<TenantConfig> {
    let name = node.name();
    if known.iter().any(|tenant| tenant.name == name) {
        node.fault(format!("tenant '{name}' is given twice"));
    }
    let Some(base_node) = node.child("directory") else {
        let help = "directory \"campus\" base=\"ou=north,dc=example\"";
        node.fault_with_help(format!("tenant '{name}' needs 'directory'"), help);
        return None;
    };
    let ParsedBase { search_base, text } = read_base(&base_node, directories, known);
    let functions: Vec<String> = node.children("function").iter().map(Reader::name).collect();
    let number = Tenant(known.len() as u16);
    for function in &functions {
        if owners.insert(function, Owner::Tenant(number)).is_some() {
            node.fault(format!(
                "function '{function}' belongs to another tenant already"
            ));
        }
    }
    Some(TenantConfig {
        name,
        functions,
        search_base,
        base: text,
    })
}

/// The base of a tenant's entries, as parsed and as written.
struct ParsedBase {
    search_base: TenantBase,
    text: String,
}

/// Reads the directory and the base of a tenant's entries.
fn read_base(
    node: &Reader<'_>,
    directories: &[DirectoryConfig],
    known: &[TenantConfig],
) -> ParsedBase {
    let found = directories
        .iter()
        .position(|known| known.name == node.name());
    if found.is_none() {
        node.fault(format!("there is no directory '{}'", node.name()));
    }
    let directory = found.unwrap_or(0);
    let ParsedDn { text, dn: base } = directory::read_dn(node, "base");
    node.finish();
    let directory_base = directories
        .get(directory)
        .and_then(|config| Dn::parse(&config.base).ok())
        .unwrap_or_default();
    if !base.is_within(&directory_base) {
        node.fault("this base is not within the directory's base");
    }
    let search_base = TenantBase { directory, base };
    if let Some(other) = known
        .iter()
        .find(|tenant| tenant.search_base == search_base)
    {
        node.fault(format!("tenant '{}' has this base already", other.name));
    }
    ParsedBase { search_base, text }
}

/// Reads the nodes `shared-function`, which name functions that every tenant may run.
fn read_shared_functions(root: &Reader<'_>, owners: &mut Owners) {
    for node in root.children("shared-function") {
        let name = node.name();
        if owners.insert(&name, Owner::Shared).is_some() {
            node.fault(format!("function '{name}' belongs to a tenant already"));
        }
    }
}
