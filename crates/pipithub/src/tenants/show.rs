//! `pipithub tenants show`: the configured tenants.

use pipithub_settings::TenantsConfig;

/// The settings use a limit this large for a tenant without a limit, which is shown as `-`.
const UNBOUNDED_IN_FLIGHT: usize = 1_000_000;

/// Prints tenants with their quotas, directories and functions.
pub(super) fn print(config: &TenantsConfig) {
    let quotas = &config.admission.quotas.tenants;
    let weights: f64 = quotas.iter().map(|quota| quota.weight).sum();
    println!(
        "{:<16} {:>6} {:>12} {:>13}  {:<12} functions",
        "tenant", "quota", "rate", "max in flight", "directory"
    );
    for (tenant, quota) in config.tenants.iter().zip(quotas) {
        let rate = quota.rate.map_or("-".to_string(), |rate| {
            format!("{}/s +{}", rate.per_second, rate.burst)
        });
        let max_in_flight = if quota.max_in_flight >= UNBOUNDED_IN_FLIGHT {
            "-".to_string()
        } else {
            quota.max_in_flight.to_string()
        };
        println!(
            "{:<16} {:>5.1}% {rate:>12} {max_in_flight:>13}  {:<12} {}",
            tenant.name,
            quota.weight / weights * 100.0,
            config.directories[tenant.search_base.directory].name,
            tenant.functions.join(" ")
        );
        println!("{:<16} {}", "", tenant.base);
    }
}
