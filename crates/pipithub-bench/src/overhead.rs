//! The overhead of the gateway: direct calls to workers, compared with calls through a pass-through and the gateway.

use std::time::Duration;

use hdrhistogram::Histogram;
use pipithub_amqp::Login;
use pipithub_scenario::client::QueueClient;

use crate::load::{Arrivals, Load, LoadResult};
use crate::process_usage::ProcessUsage;
use crate::testbed::{REPLY_QUEUE, Testbed, wait_for_consumer};
use crate::{Result, baseline, latency};

/// Calls per second while latencies are compared.
const RATE: f64 = 200.0;
const WARM_UP_RATE: f64 = 100.0;
const WARM_UP_SECONDS: u64 = 2;
/// Concurrent calls while CPU and throughput are compared.
const CONCURRENCY: usize = 64;
/// Calls in flight while memory is measured.
const LONG_CALLS: usize = 1_250;
/// When memory is measured: in the middle of the three seconds that these calls run.
const MEMORY_DELAY: Duration = Duration::from_millis(1_800);

/// The path of calls from client to worker.
#[derive(Clone, Copy, Debug)]
enum Route {
    PassThrough,
    Gateway,
}

impl Route {
    fn name(self) -> &'static str {
        match self {
            Route::PassThrough => "pass-through",
            Route::Gateway => "gateway",
        }
    }
}

/// The cost of calls by one route.
struct Cost {
    cpu_seconds_per_call: f64,
    calls_per_second: f64,
}

/// Measures all three paths, one after the other, with the same workers.
pub(crate) async fn measure(testbed: &Testbed) -> Result<()> {
    let workers = testbed.start_workers().await?;
    let addresses: Vec<String> = workers.iter().map(|w| w.address.clone()).collect();
    println!(
        "{} workers that run each call for 2 ms; {} s per measurement",
        testbed.workers, testbed.seconds
    );
    let direct = baseline::direct(&addresses, RATE, testbed.seconds).await?;
    latency::print("direct, 200 per second", &direct);
    let pass_through = measure_route(testbed, Route::PassThrough, &addresses, &direct).await?;
    let gateway = measure_route(testbed, Route::Gateway, &addresses, &direct).await?;
    println!(
        "gateway relative to pass-through: CPU per call {:.2}, calls per second {:.2}",
        gateway.cpu_seconds_per_call / pass_through.cpu_seconds_per_call,
        gateway.calls_per_second / pass_through.calls_per_second
    );
    Ok(())
}

async fn measure_route(
    testbed: &Testbed,
    route: Route,
    workers: &[String],
    direct: &Histogram<u64>,
) -> Result<Cost> {
    let broker = testbed.start_broker().await?;
    let process = match route {
        Route::PassThrough => testbed.start_pass_through(&broker.address, workers)?,
        Route::Gateway => testbed.start_gateway(&gateway_settings(&broker.address, workers))?,
    };
    let name = route.name();
    wait_for_consumer(&broker.address).await;
    let pid = process.id().ok_or("the process has ended")?;
    let mut client = QueueClient::start(&broker.address, Login::default(), REPLY_QUEUE);
    compare_latency(&mut client, name, testbed.seconds, direct).await?;
    let cost = measure_cost(&mut client, name, testbed.seconds, pid).await?;
    measure_memory(&mut client, pid).await?;
    process.kill().await;
    broker.kill().await;
    Ok(cost)
}

fn gateway_settings(broker: &str, workers: &[String]) -> String {
    let workers: String = workers
        .iter()
        .map(|address| format!("worker \"{address}\"; "))
        .collect();
    format!(
        "class \"view\" effect=\"safe\" aim=\"5s\" give-up=\"20s\" late-worth=0.5\n\
         class \"long\" effect=\"unsafe\" aim=\"10s\" give-up=\"30s\" late-worth=0.5\n\
         amqp \"b\" {{ address \"{broker}\"; queue \"calls\" {{ prefetch 2000; lanes 64 }} }}\n\
         workers {{ {workers} }}\nlog level=\"warn\"\n"
    )
}

/// Runs a load of unsigned calls.
async fn run_load(
    client: &mut QueueClient,
    arrivals: Arrivals,
    seconds: u64,
    part: usize,
) -> Result<LoadResult> {
    let load = Load {
        arrivals,
        seconds,
        part,
        users: None,
    };
    load.run(client).await
}

async fn compare_latency(
    client: &mut QueueClient,
    name: &str,
    seconds: u64,
    direct: &Histogram<u64>,
) -> Result<()> {
    run_load(client, Arrivals::Rate(WARM_UP_RATE), WARM_UP_SECONDS, 0).await?;
    let paced = run_load(client, Arrivals::Rate(RATE), seconds, 2).await?;
    latency::print(&format!("{name}, 200 per second"), &paced.latency);
    let added = |quantile: f64| {
        (paced.latency.value_at_quantile(quantile) as f64
            - direct.value_at_quantile(quantile) as f64)
            / 1000.0
    };
    println!(
        "{:<28} p50 {:>8.3} ms  p99 {:>8.3} ms  p99.9 {:>8.3} ms",
        "  added to direct",
        added(0.5),
        added(0.99),
        added(0.999)
    );
    Ok(())
}

async fn measure_cost(
    client: &mut QueueClient,
    name: &str,
    seconds: u64,
    pid: u32,
) -> Result<Cost> {
    let before = ProcessUsage::of(pid).cpu_seconds;
    let full = run_load(client, Arrivals::Concurrency(CONCURRENCY), seconds, 3).await?;
    let cpu_seconds = ProcessUsage::of(pid).cpu_seconds - before;
    let calls = full.latency.len() as f64;
    latency::print(&format!("{name}, 64 concurrent"), &full.latency);
    println!(
        "  {:.0} calls per second, {:.0} us of CPU per call, {} not served",
        calls / full.seconds,
        cpu_seconds / calls * 1e6,
        full.not_served
    );
    Ok(Cost {
        cpu_seconds_per_call: cpu_seconds / calls,
        calls_per_second: calls / full.seconds,
    })
}

/// Prints the memory of a process before and during a load of long calls.
async fn measure_memory(client: &mut QueueClient, pid: u32) -> Result<()> {
    let before = ProcessUsage::of(pid).resident_mib;
    let load = run_load(client, Arrivals::LongCalls(LONG_CALLS), 2, 4);
    let memory_reading = async {
        tokio::time::sleep(MEMORY_DELAY).await;
        ProcessUsage::of(pid).resident_mib
    };
    let (result, under_load) = tokio::join!(load, memory_reading);
    // Calls that are not served are rejected at once, so they are not in flight.
    let in_flight = LONG_CALLS - result?.not_served;
    println!("  {before:.1} MiB before, {under_load:.1} MiB with {in_flight} calls in flight");
    Ok(())
}
