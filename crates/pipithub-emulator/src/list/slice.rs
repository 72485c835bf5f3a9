//! A worker as an `EndpointSlice` of its own.

use std::collections::BTreeMap;

use pipithub_endpoints::object::{
    Conditions, EndpointPort, EndpointSlice, ObjectMeta, SliceEndpoint, TargetRef,
};
use pipithub_endpoints::{MEMORY_ANNOTATION, STARTED_ANNOTATION};
use serde::{Deserialize, Serialize};

/// A worker of the endpoint list.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
// `POST /control/worker` answers with this name in the text of a parse error.
#[serde(rename = "Listed")]
pub struct ListedWorker {
    /// The worker's IP address.
    pub ip: String,
    /// The worker's port. Each address and port has a slice of its own.
    pub port: u16,
    /// Identifies the worker's process; a restarted worker has another `uid`.
    pub uid: String,
    /// The worker's zone; empty if unknown.
    #[serde(default)]
    pub zone: String,
    /// `live`, `draining` or `gone`.
    pub state: String,
    /// The worker's memory in megabytes; 0 if unknown.
    #[serde(default)]
    pub memory_mb: f64,
    /// When the process started, in Unix milliseconds; 0 for a worker that has long warmed up.
    #[serde(default)]
    pub started_ms: u64,
}

impl ListedWorker {
    /// The name of the worker's slice.
    pub(super) fn slice_name(&self) -> String {
        format!("workers-{}-{}", self.ip.replace(['.', ':'], "-"), self.port)
    }

    pub(super) fn is_removed(&self) -> bool {
        self.state == "gone"
    }

    /// The worker's slice at a version of the list.
    pub(super) fn slice(&self, version: u64) -> EndpointSlice {
        let ready = self.state == "live";
        let conditions = Conditions {
            ready: Some(ready),
            serving: Some(true),
            terminating: Some(!ready),
        };
        EndpointSlice {
            metadata: self.metadata(version),
            address_type: "IPv4".into(),
            endpoints: vec![SliceEndpoint {
                addresses: vec![self.ip.clone()],
                conditions,
                zone: Some(self.zone.clone()).filter(|zone| !zone.is_empty()),
                target_ref: Some(TargetRef {
                    name: format!("worker-{}", self.port),
                    uid: self.uid.clone(),
                }),
            }],
            ports: vec![EndpointPort {
                name: Some("http".into()),
                port: Some(self.port),
            }],
        }
    }

    fn metadata(&self, version: u64) -> ObjectMeta {
        let by_uid = |value: f64| serde_json::json!({ self.uid.clone(): value }).to_string();
        let mut annotations =
            BTreeMap::from([(MEMORY_ANNOTATION.to_string(), by_uid(self.memory_mb))]);
        if self.started_ms > 0 {
            annotations.insert(
                STARTED_ANNOTATION.to_string(),
                by_uid(self.started_ms as f64),
            );
        }
        let service = (
            "kubernetes.io/service-name".to_string(),
            "workers".to_string(),
        );
        ObjectMeta {
            name: self.slice_name(),
            resource_version: version.to_string(),
            labels: Some(BTreeMap::from([service])),
            annotations: Some(annotations),
        }
    }
}
