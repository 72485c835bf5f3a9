//! The fields of Kubernetes objects that are used here. All other fields are ignored.

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

/// The response to a list request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EndpointSliceList {
    /// The metadata of the list, with the version to watch from.
    #[serde(default)]
    pub metadata: ListMeta,
    /// All slices that match the request.
    pub items: Vec<EndpointSlice>,
}

/// `metadata` of a slice.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ObjectMeta {
    /// The name, which is unique within the namespace.
    pub name: String,
    /// The version of the slice's latest change; empty if it is missing.
    pub resource_version: String,
    /// The labels, by which requests select the slices of a service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub labels: Option<BTreeMap<String, String>>,
    /// The annotations, such as [`crate::STARTED_ANNOTATION`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub annotations: Option<BTreeMap<String, String>>,
}

/// A port of all endpoints of a slice.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct EndpointPort {
    /// The name of the port; `None` or empty if the service has one unnamed port.
    pub name: Option<String>,
    /// The port number; `None` if the port is not restricted.
    pub port: Option<u16>,
}

/// A slice, which contains some of a service's endpoints.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EndpointSlice {
    /// The metadata of the slice.
    pub metadata: ObjectMeta,
    /// `IPv4`, `IPv6` or `FQDN`.
    #[serde(default)]
    pub address_type: String,
    /// The endpoints. The API server may send `null` if there are none.
    #[serde(default, deserialize_with = "null_is_empty")]
    pub endpoints: Vec<SliceEndpoint>,
    /// The ports of all endpoints. The API server may send `null` if there are none.
    #[serde(default, deserialize_with = "null_is_empty")]
    pub ports: Vec<EndpointPort>,
}

fn null_is_empty<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: serde::Deserializer<'de>,
    T: Deserialize<'de>,
{
    Ok(Option::<Vec<T>>::deserialize(deserializer)?.unwrap_or_default())
}

impl EndpointSlice {
    /// The number of the port with this name, or of the first port if there is no name. Returns `None` if the slice has
    /// no such port, or the port has no number.
    pub fn port(&self, name: Option<&str>) -> Option<u16> {
        let mut ports = self.ports.iter();
        let port = match name {
            Some(name) => ports.find(|port| port.name.as_deref() == Some(name)),
            None => ports.next(),
        };
        port.and_then(|port| port.port)
    }
}

/// The conditions of an endpoint. A condition that the API server omits is `None`, which means unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Conditions {
    /// Whether the endpoint passes its readiness checks and is not terminating. `None` is to be interpreted as true.
    pub ready: Option<bool>,
    /// Whether the endpoint passes its readiness checks, even if it is terminating.
    pub serving: Option<bool>,
    /// Whether the endpoint is terminating.
    pub terminating: Option<bool>,
}

/// A reference to the object that an endpoint represents, which is a pod here.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct TargetRef {
    /// The name of the pod.
    pub name: String,
    /// The uid of the pod. A different uid at the same address is a different process.
    pub uid: String,
}

/// An endpoint of a slice.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct SliceEndpoint {
    /// The addresses of the endpoint. They are alternatives, and the first one is used.
    pub addresses: Vec<String>,
    /// The conditions, from which the endpoint's state is derived.
    #[serde(default)]
    pub conditions: Conditions,
    /// The zone in which the endpoint runs; `None` if it is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// The pod behind the endpoint; `None` if it is not stated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_ref: Option<TargetRef>,
}

impl SliceEndpoint {
    /// The state of the endpoint: one that is terminating or not ready is draining.
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

    /// The endpoint's address with a port, as `host:port`; `None` if the endpoint has no address.
    pub fn address(&self, port: u16) -> Option<String> {
        let address = self
            .addresses
            .first()
            .filter(|address| !address.is_empty())?;
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
    /// The slice that was changed; for `ERROR` a `Status` object.
    pub object: serde_json::Value,
}
