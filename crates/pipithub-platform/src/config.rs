//! The configuration of one front end, as the platform hands it over in a file.

use std::collections::HashSet;
use std::hash::Hash;

use serde_json::Value;

use crate::client::METHODS;
use crate::list::{self, EndpointEvent};
use crate::settings::{self, SiteSettings};

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

/// Whether a front end can serve by these settings: it must not be taken in and then turn every call away.
fn usable(site: &SiteSettings) -> Result<(), String> {
    let names = &site.names.classes;
    if names.is_empty() {
        return Err("settings.Grades: no class".to_string());
    }
    let repeat = first_duplicate(names);
    for (i, (name, class)) in names.iter().zip(&site.policy.classes).enumerate() {
        let place = format!("settings.Grades[{i}]");
        if name.is_empty() || METHODS.contains(&name.as_str()) {
            return Err(format!("{place}.Name: {name:?} cannot name a class"));
        }
        if repeat == Some(i) {
            return Err(format!("{place}.Name: {name:?} names an earlier class too"));
        }
        if class.client_timeout == 0 {
            return Err(format!("{place}.GiveUp: not above 0"));
        }
    }
    Ok(())
}

impl NodeConfig {
    /// Reads it.
    ///
    /// # Errors
    /// Place and reason of the first thing that is wrong.
    pub fn parse(text: &str) -> Result<Self, String> {
        let all: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let string = |field: &str| {
            let text = all[field].as_str().filter(|t| !t.is_empty());
            text.map(str::to_string)
                .ok_or_else(|| format!("{field}: missing"))
        };
        let site = settings::read(&all["settings"])?;
        let seed = match &all["seed"] {
            Value::String(hex) => u64::from_str_radix(hex, 16).map_err(|e| format!("seed: {e}"))?,
            other => other
                .as_u64()
                .ok_or("seed: neither hex digits nor a number")?,
        };
        let mut known = Vec::new();
        for (i, update) in all["known"]["updates"]
            .as_array()
            .into_iter()
            .flatten()
            .enumerate()
        {
            known.push(
                list::read(update, &site.names).map_err(|e| format!("known.updates[{i}]: {e}"))?,
            );
        }
        let limit = |field: &str, unless: u64| match &all["limits"][field] {
            Value::Null => Ok(unless),
            figure => {
                let figure = figure.as_f64().filter(|f| *f >= 1.0);
                figure
                    .map(|f| f as u64)
                    .ok_or_else(|| format!("limits.{field}: not a figure from 1 on"))
            }
        };
        usable(&site)?;
        Ok(NodeConfig {
            name: string("name")?,
            listen: string("listen")?,
            seed,
            memory_mb: limit("memory_mb", 128)?,
            max_descriptors: limit("sockets", 256)? as usize,
            coordinator: string("coordinator")?,
            known_updates: known,
            site,
        })
    }
}
