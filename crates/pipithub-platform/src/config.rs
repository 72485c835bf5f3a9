//! The configuration file of one front end.

use std::collections::HashSet;
use std::hash::Hash;
use std::num::ParseIntError;

use serde_json::Value;

use crate::client::RESERVED_METHODS;
use crate::list::{self, EndpointEvent, EndpointEventError};
use crate::settings::{self, Names, SettingsError, SiteSettings};

/// The memory that a node may use if the configuration does not state it, in MB.
const DEFAULT_MEMORY_MB: u64 = 128;
/// The number of file descriptors that a node may use if the configuration does not state it.
const DEFAULT_MAX_DESCRIPTORS: u64 = 256;

/// The configuration of one front end.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeConfig {
    /// The name of the front end, which stays the same after a restart.
    pub name: String,
    /// The address at which the front end listens for clients.
    pub listen: String,
    /// The seed of the random numbers, which differs at each start.
    pub seed: u64,
    /// The memory that the front end may use, in MB.
    pub memory_mb: u64,
    /// The number of file descriptors that the front end may use.
    pub max_descriptors: usize,
    /// The address of the coordinator.
    pub coordinator: String,
    /// The events of the endpoint list up to the start of the front end, in order.
    pub known_updates: Vec<EndpointEvent>,
    /// The settings of the decision module and the transport.
    pub site: SiteSettings,
}

/// The index of the first name that also occurs at a lower index; `None` if all names differ. It takes linear time:
/// comparing each name with all names before it would delay the calls of a front end that reloads a long configuration.
pub fn first_duplicate<T: Eq + Hash>(names: &[T]) -> Option<usize> {
    let mut seen = HashSet::with_capacity(names.len());
    names.iter().position(|name| !seen.insert(name))
}

/// The reason why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The text is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A required text field is missing or empty.
    #[error("{0}: missing")]
    Missing(&'static str),
    /// The seed is a text but not a hexadecimal number of 64 bits.
    #[error("seed: {0}")]
    SeedDigits(#[from] ParseIntError),
    /// The seed is neither a text nor a number.
    #[error("seed: neither hex digits nor a number")]
    Seed,
    /// An event of the endpoint list up to the start cannot be used.
    #[error("known.updates[{index}]: {error}")]
    KnownUpdate {
        /// The index of the event in the configuration.
        index: usize,
        /// The reason why the event cannot be used.
        error: EndpointEventError,
    },
    /// A limit is not a number of at least 1.
    #[error("limits.{0}: not a number of at least 1")]
    Limit(&'static str),
    /// The settings cannot be read.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The settings have no class, so every call would be rejected.
    #[error("settings.Grades: no class")]
    NoClass,
    /// A class has a name that no client can use.
    #[error("settings.Grades[{index}].Name: {name:?} cannot name a class")]
    ClassName {
        /// The index of the class.
        index: usize,
        /// The name of the class.
        name: String,
    },
    /// Two classes have the same name.
    #[error("settings.Grades[{index}].Name: {name:?} names an earlier class too")]
    DuplicateClass {
        /// The index of the second class with that name.
        index: usize,
        /// The name of both classes.
        name: String,
    },
    /// The client timeout of a class is 0.
    #[error("settings.Grades[{index}].GiveUp: not above 0")]
    NoClientTimeout {
        /// The index of the class.
        index: usize,
    },
}

/// Checks that the classes can be used, so that a node does not start and then reject every call.
fn check_classes(site: &SiteSettings) -> Result<(), ConfigError> {
    let names = &site.names.classes;
    if names.is_empty() {
        return Err(ConfigError::NoClass);
    }
    let duplicate = first_duplicate(names);
    for (index, (name, class)) in names.iter().zip(&site.policy.classes).enumerate() {
        if name.is_empty() || RESERVED_METHODS.contains(&name.as_str()) {
            let name = name.clone();
            return Err(ConfigError::ClassName { index, name });
        }
        if duplicate == Some(index) {
            let name = name.clone();
            return Err(ConfigError::DuplicateClass { index, name });
        }
        if class.client_timeout == 0 {
            return Err(ConfigError::NoClientTimeout { index });
        }
    }
    Ok(())
}

impl NodeConfig {
    /// Parses the text of a configuration.
    ///
    /// # Errors
    /// Returns a [`ConfigError`] with the place and the reason of the first error found.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let root: Value = serde_json::from_str(text)?;
        let site = settings::read(&root["settings"])?;
        let seed = seed(&root["seed"])?;
        let known_updates = known_updates(&root["known"]["updates"], &site.names)?;
        check_classes(&site)?;
        let limits = &root["limits"];
        Ok(NodeConfig {
            name: required(&root, "name")?,
            listen: required(&root, "listen")?,
            seed,
            memory_mb: limit(limits, "memory_mb", DEFAULT_MEMORY_MB)?,
            max_descriptors: limit(limits, "sockets", DEFAULT_MAX_DESCRIPTORS)? as usize,
            coordinator: required(&root, "coordinator")?,
            known_updates,
            site,
        })
    }
}

fn required(root: &Value, field: &'static str) -> Result<String, ConfigError> {
    root[field]
        .as_str()
        .filter(|text| !text.is_empty())
        .map(str::to_string)
        .ok_or(ConfigError::Missing(field))
}

fn seed(value: &Value) -> Result<u64, ConfigError> {
    match value {
        Value::String(hex) => Ok(u64::from_str_radix(hex, 16)?),
        other => other.as_u64().ok_or(ConfigError::Seed),
    }
}

fn known_updates(updates: &Value, names: &Names) -> Result<Vec<EndpointEvent>, ConfigError> {
    let mut known = Vec::new();
    for (index, update) in updates.as_array().into_iter().flatten().enumerate() {
        let event =
            list::read(update, names).map_err(|error| ConfigError::KnownUpdate { index, error })?;
        known.push(event);
    }
    Ok(known)
}

fn limit(limits: &Value, field: &'static str, default: u64) -> Result<u64, ConfigError> {
    match &limits[field] {
        Value::Null => Ok(default),
        value => value
            .as_f64()
            .filter(|number| *number >= 1.0)
            .map(|number| number as u64)
            .ok_or(ConfigError::Limit(field)),
    }
}
