//! A worker as an `EndpointSlice` of its own.

use std::collections::BTreeMap;

use pipithub_endpoints::object::{
    Conditions, EndpointPort, EndpointSlice, ObjectMeta, SliceEndpoint, TargetRef,
};
use pipithub_endpoints::{MEMORY_ANNOTATION, STARTED_ANNOTATION};
use serde::{Deserialize, Serialize};

/// A worker as the list's owner sees it.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Listed {
    /// IP address.
    pub ip: String,
    /// Port; each port has a slice of its own.
    pub port: u16,
    /// Names the process.
    pub uid: String,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// `live`, `draining` or `gone`.
    pub state: String,
    /// Its memory.
    #[serde(default)]
    pub memory_mb: f64,
    /// When it started, in Unix milliseconds; 0: long ago.
    #[serde(default)]
    pub started_ms: u64,
}

impl Listed {
    /// The name of its slice.
    pub(super) fn slice_name(&self) -> String {
        format!("workers-{}-{}", self.ip.replace(['.', ':'], "-"), self.port)
    }

    pub(super) fn is_removed(&self) -> bool {
        self.state == "gone"
    }

    /// Its slice at this version of the list.
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
