//! The node `cron`: a cron timer.

use croner::parser::{CronParser, Seconds};

use crate::config::CronConfig;
use crate::reader::Reader;
use crate::route::{self, RouteContext};

pub(crate) fn read(node: &Reader<'_>, context: &RouteContext<'_>) -> CronConfig {
    let name = node.name();
    let schedule = read_schedule(node);
    if schedule.is_none() {
        node.fault(format!("cron '{name}' needs a 'schedule'"));
    }
    let mut route = route::read(node, context);
    route.tenant = context.tenants.read_reference(node);
    if !context.tenants.is_empty() && route.tenant.is_none() {
        let message = format!("cron '{name}' needs 'tenant'");
        node.fault_with_help(message, "a timer has no user, so its tenant must be given");
    }
    if route.class.is_none() || route.function.is_none() {
        node.fault(format!("cron '{name}' needs 'class' and 'function'"));
    }
    let body = node.text("body").unwrap_or_default();
    node.finish();
    CronConfig {
        name,
        schedule: schedule.unwrap_or_default(),
        route,
        body,
    }
}

fn read_schedule(node: &Reader<'_>) -> Option<String> {
    let given = node.value("schedule")?;
    let schedule = given.text();
    let parser = CronParser::builder().seconds(Seconds::Optional).build();
    if let Err(error) = parser.parse(schedule) {
        let message = format!("{} is no schedule: {error}", given.value);
        node.fault_at(given.span, message, Some("as \"*/5 * * * *\""));
    }
    Some(schedule.to_string())
}
