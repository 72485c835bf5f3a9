//! Runs a plan.

use std::net::{Ipv4Addr, SocketAddr, TcpListener as StdListener};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::Relaxed};
use std::time::Duration;

use pipithub_clock::wall_ns;
use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::client::{Clients, Load, function_name};
use super::discovery::{DiscoveryAddress, DiscoveryService, EndpointList};
use super::history::{EndpointChange, History, Recorder};
use super::node::{Node, NodeSetup};
use super::plan::{EndpointState, OutageKind, Plan, Step};
use super::worker::Worker;
use crate::error::RunError;
use crate::units::MILLISECOND;

/// How long front ends may take to start before the first step. The load already runs.
const STARTUP_TIME: Duration = Duration::from_millis(1_500);
/// How long after the end of the load answers are still awaited.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(2_500);
/// The number of addresses at which each front end can reach discovery.
const DISCOVERY_ADDRESSES: usize = 2;
/// The second byte of the loopback addresses of front ends; the constants below are those of discovery and workers.
const NODE_NETWORK: u8 = 78;
const DISCOVERY_NETWORK: u8 = 79;
const WORKER_NETWORK: u8 = 80;
const ZONES: [&str; 2] = ["building-a", "building-b"];

/// Runs a plan with front ends that are processes of the program `binary`; their configurations and logs are written into
/// `folder`.
///
/// # Errors
/// Fails if an address is not free, a file or a process fails, or a front end has ended by itself.
pub fn run(plan: &Plan, binary: &Path, folder: &Path) -> Result<History, RunError> {
    // The run has a runtime of its own: when it is dropped, all tasks of the run end and their addresses are free again.
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(run_plan(plan, binary, folder))
}

async fn run_plan(plan: &Plan, binary: &Path, folder: &Path) -> Result<History, RunError> {
    std::fs::create_dir_all(folder)?;
    // While this listener holds the port, the port is free on all other loopback addresses.
    let port_holder = StdListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let port = port_holder.local_addr()?.port();
    let mut cluster = Cluster::start(plan, binary, folder, port).await?;
    cluster.start_load(plan);
    tokio::time::sleep(STARTUP_TIME).await;
    let begin = Instant::now();
    for timed in &plan.steps {
        cluster.sleep_until_time(begin + timed.at).await?;
        cluster.execute(&timed.step)?;
    }
    cluster.sleep_until_time(begin + plan.duration).await?;
    cluster.load.ended.store(true, Relaxed);
    cluster
        .sleep_until_time(Instant::now() + LAST_ANSWERS_TIME)
        .await?;
    cluster.finish().await
}

fn address(network: u8, high: usize, low: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([127, network, high as u8, low as u8 + 1], port))
}

/// A front end that is being restarted.
struct Restart {
    node: usize,
    /// When the front end is killed and started again.
    kill_at: Instant,
}

struct Cluster {
    port: u16,
    nodes: Vec<Node>,
    workers: Vec<Arc<Worker>>,
    /// The endpoint list of each front end. They differ, because each front end reaches the workers at addresses of its own.
    lists: Vec<Arc<EndpointList>>,
    /// The tasks of all clients.
    clients: Vec<JoinHandle<()>>,
    load: Arc<Load>,
    recorder: Arc<Recorder>,
    restarts: Vec<Restart>,
}

impl Cluster {
    async fn start(plan: &Plan, binary: &Path, folder: &Path, port: u16) -> Result<Self, RunError> {
        let recorder = Arc::new(Recorder::new());
        let load = Load {
            rates: plan.rates,
            timeout: plan.settings.client_timeout,
            percent: AtomicU32::new(100),
            ended: AtomicBool::new(false),
        };
        let mut cluster = Cluster {
            port,
            nodes: Vec::new(),
            workers: Vec::new(),
            lists: Vec::new(),
            clients: Vec::new(),
            load: Arc::new(load),
            recorder,
            restarts: Vec::new(),
        };
        cluster.start_workers(plan).await?;
        for index in 0..plan.nodes {
            let setup = NodeSetup {
                index,
                nodes: plan.nodes,
                listen: address(NODE_NETWORK, 0, index, port),
                settings: plan.settings,
                binary: binary.to_path_buf(),
                folder: folder.to_path_buf(),
            };
            cluster.start_node(plan, setup).await?;
        }
        Ok(cluster)
    }

    async fn start_workers(&mut self, plan: &Plan) -> Result<(), RunError> {
        let functions: Vec<String> = (0..plan.rates.functions).map(function_name).collect();
        for worker in 0..plan.workers {
            let addresses: Vec<SocketAddr> = (0..plan.nodes)
                .map(|node| address(WORKER_NETWORK, node, worker, self.port))
                .collect();
            let recorder = self.recorder.clone();
            let started = Worker::start(worker, &addresses, &functions, recorder).await?;
            self.workers.push(started);
        }
        Ok(())
    }

    async fn start_node(&mut self, plan: &Plan, setup: NodeSetup) -> Result<(), RunError> {
        let (index, port) = (setup.index, self.port);
        let hosts = (0..plan.workers)
            .map(|worker| host(index, worker, port))
            .collect();
        let list = EndpointList::new(hosts);
        let mut discovery = Vec::new();
        for number in 0..DISCOVERY_ADDRESSES {
            let at = address(DISCOVERY_NETWORK, index, number, port);
            let service = DiscoveryService {
                node: index,
                list: list.clone(),
                recorder: self.recorder.clone(),
            };
            discovery.push(DiscoveryAddress::start(at, service).await?);
        }
        let unreachable = address(DISCOVERY_NETWORK, index, DISCOVERY_ADDRESSES, port);
        let recorder = self.recorder.clone();
        let mut node = Node::new(setup, discovery, unreachable, list.clone(), recorder);
        node.start()?;
        self.lists.push(list);
        self.nodes.push(node);
        Ok(())
    }

    fn start_load(&mut self, plan: &Plan) {
        for node in 0..plan.nodes {
            let at = address(NODE_NETWORK, 0, node, self.port);
            let clients = Clients::start(
                node,
                at,
                plan.seed,
                self.load.clone(),
                self.recorder.clone(),
            );
            self.clients.extend(clients);
        }
    }

    /// Waits until a time. Front ends whose time to be killed comes meanwhile are killed and started again.
    async fn sleep_until_time(&mut self, time: Instant) -> Result<(), RunError> {
        loop {
            self.restarts.sort_by_key(|restart| restart.kill_at);
            let next = self.restarts.first().map(|restart| restart.kill_at);
            let Some(kill_at) = next.filter(|kill_at| *kill_at <= time) else {
                tokio::time::sleep_until(time).await;
                return Ok(());
            };
            tokio::time::sleep_until(kill_at).await;
            let restart = self.restarts.remove(0);
            self.restart(restart.node).await?;
        }
    }

    async fn restart(&mut self, node: usize) -> Result<(), RunError> {
        let node = &mut self.nodes[node];
        node.kill().await;
        node.start()?;
        Ok(())
    }

    fn execute(&mut self, step: &Step) -> Result<(), RunError> {
        match step {
            Step::BeginOutage { nodes, kind } => self.set_outage(nodes, Some(*kind)),
            Step::EndOutage { nodes } => self.set_outage(nodes, None),
            Step::Drain(workers) => {
                self.each_worker(workers, |worker| worker.set_draining(true));
                self.publish(workers, EndpointState::Draining);
            }
            Step::Undrain(workers) => {
                self.each_worker(workers, |worker| worker.set_draining(false));
                self.publish(workers, EndpointState::Serving);
            }
            Step::End(workers) => {
                self.each_worker(workers, Worker::end);
                self.publish(workers, EndpointState::Deleted);
            }
            Step::Start(workers) => {
                self.each_worker(workers, Worker::restart);
                self.publish_start(workers);
            }
            Step::Hang(workers) => self.each_worker(workers, |worker| worker.set_hung(true)),
            Step::Resume(workers) => self.each_worker(workers, |worker| worker.set_hung(false)),
            Step::Reset(workers) => self.each_worker(workers, Worker::reset),
            Step::MigrateDiscovery { nodes, reachable } => {
                for node in nodes {
                    self.nodes[*node].migrate_discovery(*reachable)?;
                }
            }
            Step::Restart(nodes) => self.begin_restarts(nodes),
            Step::Kill(nodes) => self.restart_at_once(nodes),
            Step::ScaleLoad(percent) => self.load.percent.store(*percent, Relaxed),
        }
        Ok(())
    }

    fn set_outage(&mut self, nodes: &[usize], outage: Option<OutageKind>) {
        for node in nodes {
            self.nodes[*node].set_outage(outage);
        }
    }

    fn begin_restarts(&mut self, nodes: &[usize]) {
        for node in nodes {
            let delay = self.nodes[*node].terminate();
            let kill_at = Instant::now() + delay;
            let node = *node;
            self.restarts.push(Restart { node, kill_at });
        }
    }

    fn restart_at_once(&mut self, nodes: &[usize]) {
        let kill_at = Instant::now();
        for node in nodes {
            let node = *node;
            self.restarts.push(Restart { node, kill_at });
        }
    }

    fn each_worker(&self, workers: &[usize], change: impl Fn(&Worker)) {
        workers
            .iter()
            .for_each(|worker| change(&self.workers[*worker]));
    }

    fn publish(&self, workers: &[usize], state: EndpointState) {
        self.change_lists(workers, state, |host| host["health"] = health(state).into());
    }

    fn publish_start(&self, workers: &[usize]) {
        let born = wall_ns() / MILLISECOND;
        self.change_lists(workers, EndpointState::Serving, |host| {
            host["health"] = health(EndpointState::Serving).into();
            host["born_ms"] = born.into();
        });
    }

    fn change_lists(&self, workers: &[usize], state: EndpointState, change: impl Fn(&mut Value)) {
        let at = self.recorder.now();
        let changes = workers.iter().map(|worker| EndpointChange {
            at,
            worker: *worker,
            state,
        });
        self.recorder
            .record(|history| history.changes.extend(changes));
        for list in &self.lists {
            list.change(workers, &change);
        }
    }

    /// Ends the front ends and takes the history.
    async fn finish(mut self) -> Result<History, RunError> {
        let crashed: Vec<usize> = (0..self.nodes.len())
            .filter(|node| !self.restarts.iter().any(|restart| restart.node == *node))
            .filter(|node| self.nodes[*node].has_crashed())
            .collect();
        for node in &mut self.nodes {
            node.kill().await;
        }
        if !crashed.is_empty() {
            return Err(RunError::FrontEndsEnded(crashed));
        }
        // Clients record the calls of a connection when it is closed, which the end of the front ends causes.
        for client in self.clients {
            client.await.map_err(std::io::Error::from)?;
        }
        Ok(self.recorder.take())
    }
}

fn health(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Serving => "SERVING",
        EndpointState::Draining => "DRAINING",
        EndpointState::Deleted => "DELETED",
    }
}

fn host(node: usize, worker: usize, port: u16) -> Value {
    let dial = address(WORKER_NETWORK, node, worker, port);
    json!({"host": format!("w{worker}"), "dial": dial.to_string(), "site": ZONES[worker % ZONES.len()],
        "class": "std", "block": 0, "health": "SERVING", "share": 1, "born_ms": 0})
}
