//! The properties that queues and timers have in common.

use pipithub_consumer::message::{ClassName, Route};

use crate::duration::{HOUR, MS};
use crate::reader::Reader;
use crate::tenants::Tenants;

/// The parts of the settings that queues and timers refer to, which are read before them.
pub(crate) struct RouteContext<'a> {
    pub(crate) classes: &'a [ClassName],
    pub(crate) tenants: &'a Tenants,
    /// The maximum number of pending requests of the engine.
    pub(crate) max_pending: usize,
}

/// Reads all properties except the tenant.
pub(crate) fn read(node: &Reader<'_>, context: &RouteContext<'_>) -> Route {
    Route {
        class: read_class_reference(node, context.classes),
        function: node.text("function").map(Into::into),
        memory_mb: node.number("memory-mb", 0.0, 0.0..=1e9),
        replica_concurrency: node.integer("lanes", 1, 1..=65_536) as u32,
        load_time: node.optional_duration("load-time", MS..=HOUR),
        expected_work: node.optional_duration("expected", MS / 1_000..=HOUR),
        client_timeout: node.optional_duration("budget", MS..=HOUR),
        tenant: None,
    }
}

fn read_class_reference(node: &Reader<'_>, classes: &[ClassName]) -> Option<usize> {
    let given = node.value("class")?;
    let class = given
        .value
        .as_string()
        .and_then(|name| classes.iter().position(|class| class.name == name));
    if class.is_none() {
        let known: Vec<&str> = classes.iter().map(|class| class.name.as_str()).collect();
        let help = format!("classes are {}", known.join(", "));
        let message = format!("there is no class {}", given.value);
        node.fault_at(given.span, message, Some(&help));
    }
    class
}
