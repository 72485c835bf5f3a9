//! The configuration of one front end, as the platform hands it over in a file.

use std::collections::HashSet;
use std::hash::Hash;
use std::num::ParseIntError;

use serde_json::Value;

use crate::client::METHODS;
use crate::list::{self, EndpointEvent, EndpointEventError};
use crate::settings::{self, Names, SettingsError, SiteSettings};

/// Memory that a node may take where the configuration does not say.
const DEFAULT_MEMORY_MB: u64 = 128;
/// Descriptors that a node may hold where the configuration does not say.
const DEFAULT_MAX_DESCRIPTORS: u64 = 256;

/// One front end's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeConfig {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: String,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// Memory that it may take, in MB.
    pub memory_mb: u64,
    /// File descriptors that it may hold.
    pub max_descriptors: usize,
    /// Address of the coordinator.
    pub coordinator: String,
    /// Changes of the worker list up to the start.
    pub known_updates: Vec<EndpointEvent>,
    /// What the module and the transport are told.
    pub site: SiteSettings,
}

/// The place of the first name that stands before it too. Each name is looked up once: a comparison with all that stand
/// before it would hold up the calls of a front end that reads a long configuration again.
pub fn first_duplicate<T: Eq + Hash>(names: &[T]) -> Option<usize> {
    let mut seen = HashSet::with_capacity(names.len());
    names.iter().position(|name| !seen.insert(name))
}

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It is no JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A text is missing or empty.
    #[error("{0}: missing")]
    Missing(&'static str),
    /// The seed is a text of other than hex digits.
    #[error("seed: {0}")]
    SeedDigits(#[from] ParseIntError),
    /// The seed is neither a text nor a number.
    #[error("seed: neither hex digits nor a number")]
    Seed,
    /// An update of the endpoint list up to the start cannot be used.
    #[error("known.updates[{index}]: {error}")]
    KnownUpdate {
        /// Its place.
        index: usize,
        /// What is wrong with it.
        error: EndpointEventError,
    },
    /// A limit is no positive number.
    #[error("limits.{0}: not a figure from 1 on")]
    Limit(&'static str),
    /// The settings cannot be read.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The settings have no class: every call would be turned away.
    #[error("settings.Grades: no class")]
    NoClass,
    /// A class has a name that no client can use.
    #[error("settings.Grades[{index}].Name: {name:?} cannot name a class")]
    ClassName {
        /// The class's place.
        index: usize,
        /// Its name.
        name: String,
    },
    /// Two classes have the same name.
    #[error("settings.Grades[{index}].Name: {name:?} names an earlier class too")]
    DuplicateClass {
        /// The later one's place.
        index: usize,
        /// Their name.
        name: String,
    },
    /// Clients of a class do not wait at all.
    #[error("settings.Grades[{index}].GiveUp: not above 0")]
    NoClientTimeout {
        /// The class's place.
        index: usize,
    },
}

/// Whether a node can serve by these settings: it must not be started and then turn every call away.
fn check_classes(site: &SiteSettings) -> Result<(), ConfigError> {
    let names = &site.names.classes;
    if names.is_empty() {
        return Err(ConfigError::NoClass);
    }
    let duplicate = first_duplicate(names);
    for (index, (name, class)) in names.iter().zip(&site.policy.classes).enumerate() {
        if name.is_empty() || METHODS.contains(&name.as_str()) {
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
    /// Reads it.
    ///
    /// # Errors
    /// [`ConfigError`] tells the place and the reason of the first thing that is wrong.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let all: Value = serde_json::from_str(text)?;
        let site = settings::read(&all["settings"])?;
        let seed = seed(&all["seed"])?;
        let known_updates = known_updates(&all["known"]["updates"], &site.names)?;
        check_classes(&site)?;
        let limits = &all["limits"];
        Ok(NodeConfig {
            name: required(&all, "name")?,
            listen: required(&all, "listen")?,
            seed,
            memory_mb: limit(limits, "memory_mb", DEFAULT_MEMORY_MB)?,
            max_descriptors: limit(limits, "sockets", DEFAULT_MAX_DESCRIPTORS)? as usize,
            coordinator: required(&all, "coordinator")?,
            known_updates,
            site,
        })
    }
}

fn required(all: &Value, field: &'static str) -> Result<String, ConfigError> {
    all[field]
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
