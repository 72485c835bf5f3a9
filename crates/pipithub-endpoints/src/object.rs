//! The parts of the Kubernetes objects that are read; all others are passed over.

use std::collections::BTreeMap;

use pipithub_engine::policy::EndpointState;
use serde::{Deserialize, Serialize};

/// `metadata` of a list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ListMeta {
    /// The version to watch from.
    pub resource_version: String,
}

/// A list of slices.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EndpointSliceList {
    /// Its version.
    #[serde(default)]
    pub metadata: ListMeta,
    /// The slices.
    pub items: Vec<EndpointSlice>,
}

/// `metadata` of a slice.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ObjectMeta {
    /// Its name.
    pub name: String,
    /// Its version.
    pub resource_version: String,
    /// Its labels.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub labels: Option<BTreeMap<String, String>>,
    /// Its annotations.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub annotations: Option<BTreeMap<String, String>>,
}

/// A port of all endpoints of a slice.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct EndpointPort {
    /// Its name.
    pub name: Option<String>,
    /// Its number.
    pub port: Option<u16>,
}

/// A slice: some of a service's endpoints.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EndpointSlice {
    /// Name, version, annotations.
    pub metadata: ObjectMeta,
    /// `IPv4`, `IPv6` or `FQDN`.
    #[serde(default)]
    pub address_type: String,
    /// The endpoints; the API server may send `null` for none.
    #[serde(default, deserialize_with = "null_is_empty")]
    pub endpoints: Vec<SliceEndpoint>,
    /// The ports; likewise.
    #[serde(default, deserialize_with = "null_is_empty")]
    pub ports: Vec<EndpointPort>,
}

fn null_is_empty<'de, D, T>(d: D) -> Result<Vec<T>, D::Error>
where
    D: serde::Deserializer<'de>,
    T: Deserialize<'de>,
{
    Ok(Option::<Vec<T>>::deserialize(d)?.unwrap_or_default())
}

impl EndpointSlice {
    /// The number of the port of this name, or of the first.
    pub fn port(&self, name: Option<&str>) -> Option<u16> {
        let mut ports = self.ports.iter();
        let port = match name {
            Some(name) => ports.find(|p| p.name.as_deref() == Some(name)),
            None => ports.next(),
        };
        port.and_then(|p| p.port)
    }
}

/// What Kubernetes says of an endpoint; a part that is not told is unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Conditions {
    /// Passes its readiness checks and is not terminating; not told: to be taken as true.
    pub ready: Option<bool>,
    /// Passes its readiness checks, terminating or not.
    pub serving: Option<bool>,
    /// Is being stopped.
    pub terminating: Option<bool>,
}

/// The object behind an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct TargetRef {
    /// The pod's name.
    pub name: String,
    /// Its uid: another one at the same address is another process.
    pub uid: String,
}

/// An endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct SliceEndpoint {
    /// Its addresses; they are alternatives, the first is taken.
    pub addresses: Vec<String>,
    /// How it stands.
    #[serde(default)]
    pub conditions: Conditions,
    /// Its zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// The pod.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_ref: Option<TargetRef>,
}

impl SliceEndpoint {
    /// Whether it takes new work: what is terminating, or not ready, does not.
    pub fn state(&self) -> EndpointState {
        let Conditions {
            ready, terminating, ..
        } = self.conditions;
        if terminating == Some(true) || ready == Some(false) {
            EndpointState::Draining
        } else {
            EndpointState::Ready
        }
    }

    /// Where it is reached.
    pub fn address(&self, port: u16) -> Option<String> {
        let address = self.addresses.first().filter(|a| !a.is_empty())?;
        Some(if address.contains(':') {
            format!("[{address}]:{port}")
        } else {
            format!("{address}:{port}")
        })
    }
}

/// A line of a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// `ADDED`, `MODIFIED`, `DELETED`, `BOOKMARK` or `ERROR`.
    #[serde(rename = "type")]
    pub kind: String,
    /// The slice, or a status.
    pub object: serde_json::Value,
}
