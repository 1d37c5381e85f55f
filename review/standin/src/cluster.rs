//! The controllers, each a process of its own, and the users' requests to them.

use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Client};
use crate::msgpack::V;
use crate::record::Record;
use crate::state::{Limits, State};
use crate::world::{self, lock, Config, Job, Shared, World};

const POLL_TIMEOUT: Duration = Duration::from_secs(2);
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// A deployment as the platform describes it.
pub struct Deployment {
    pub zones: Vec<&'static str>,
    /// Zone of each controller.
    pub areas: Vec<&'static str>,
    /// Name, guaranteed and largest number of processors of each team.
    pub teams: Vec<(&'static str, f64, f64)>,
    pub objectives: &'static str,
    pub gang_peer_s: f64,
    pub latency_ms: f64,
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub cores: f64,
    pub ram_mb: f64,
    pub fd_limit: u32,
    pub world: Config,
}

struct Node {
    name: String,
    settings: PathBuf,
    process: Option<Child>,
    stopped: bool,
}

pub struct Cluster {
    pub record: Arc<Record>,
    pub world: Shared,
    pub state: Arc<State>,
    nodes: Vec<Node>,
    pub fronts: Vec<SocketAddr>,
    program: PathBuf,
    folder: PathBuf,
    keep_logs: bool,
}

/// First port and number of ports that are tried. They are below those that systems usually give to
/// outgoing connections, which could take a port between the search and the controller's start.
const PORTS: (u32, u32) = (20_000, 12_000);

/// Finds ports that are free now, beginning at a place that differs from run to run.
fn free_ports(count: usize) -> Vec<u16> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = now.map_or(0, |d| d.subsec_nanos());
    let first = std::process::id().wrapping_mul(7919).wrapping_add(nanos);
    let candidates = (0..PORTS.1).map(|n| PORTS.0 + first.wrapping_add(n * 101) % PORTS.1);
    // All are held until the last one is found, so that they differ.
    let held: Vec<TcpListener> = candidates
        .filter_map(|port| TcpListener::bind(("127.0.0.1", port as u16)).ok())
        .take(count)
        .collect();
    held.iter()
        .map(|l| l.local_addr().expect("an address").port())
        .collect()
}

impl Cluster {
    pub fn new(d: Deployment, record: Arc<Record>, folder: PathBuf, program: PathBuf) -> Self {
        let count = d.areas.len();
        let ports = free_ports(2 * count);
        let addr = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let fronts: Vec<SocketAddr> = (0..count).map(|i| addr(ports[2 * i])).collect();
        let names: Vec<String> = (0..count).map(|i| format!("tiller-{i}")).collect();
        let limits = Limits {
            latency_ms: d.latency_ms,
            rps: d.rps,
            write_rps: d.write_rps,
            value_bytes: (d.value_kb * 1024.0) as usize,
            txn_ops: d.txn_ops,
        };
        let state = State::new(&limits);
        let worker_nodes = names.iter().cloned().zip(fronts.iter().copied()).collect();
        let w = &d.world;
        let teams: Vec<String> = d
            .teams
            .iter()
            .map(|(name, cpus, max)| {
                format!("{{\"name\":\"{name}\",\"cpus\":{cpus:?},\"cpus_max\":{max:?},\"gpus\":0.0,\"gpus_max\":0.0}}")
            })
            .collect();
        let zones: Vec<String> = d.zones.iter().map(|z| format!("{z:?}")).collect();
        let facts = format!(
            "{{\"size\":{count},\"zones\":[{}],\"teams\":[{}],\"objectives\":{},\
             \"workers\":{{\"report_s\":{:?},\"lease_s\":{:?},\"gang_wait_s\":{:?},\"gang_peer_s\":{:?},\"cancel_s\":{:?}}},\
             \"state\":{{\"rps\":{:?},\"write_rps\":{:?},\"value_kb\":{:?},\"txn_ops\":{}}},\
             \"cloud\":{{\"rps\":{:?},\"list_lag_s\":{:?}}},\
             \"quota\":{{\"cores\":{:?},\"ram_mb\":{:?},\"fd_limit\":{}}},\"clock_off_ms\":5.0}}",
            zones.join(","), teams.join(","), d.objectives,
            w.report_s, w.lease_s, w.gang_wait_s, d.gang_peer_s, w.cancel_s,
            d.rps, d.write_rps, d.value_kb, d.txn_ops,
            d.cloud_rps, w.list_lag_s, d.cores, d.ram_mb, d.fd_limit,
        );
        let world = Arc::new(std::sync::Mutex::new(World::new(
            d.world,
            worker_nodes,
            record.clone(),
        )));
        let cloud = {
            let world = world.clone();
            http::serve(Arc::new(move |request| Some(lock(&world).cloud(request))))
        };
        let mut nodes = Vec::new();
        for (i, name) in names.iter().enumerate() {
            let service = state.clone();
            let state_addr = http::serve(Arc::new(move |request| service.handle(i, request)));
            let others: Vec<String> = (0..count)
                .filter(|j| *j != i)
                .map(|j| {
                    format!(
                        "{{\"host_name\":\"{}\",\"area\":\"{}\",\"addr\":\"{}\"}}",
                        names[j],
                        d.areas[j],
                        addr(ports[2 * j + 1])
                    )
                })
                .collect();
            let settings = folder.join(format!("{name}.json"));
            let text = format!(
                "{{\"host_name\":\"{name}\",\"area\":\"{}\",\"front\":\"{}\",\"mesh_addr\":\"{}\",\
                 \"others\":[{}],\"outside\":{{\"cloud\":\"{cloud}\",\"state\":\"{state_addr}\"}},\"facts\":{facts}}}",
                d.areas[i], fronts[i], addr(ports[2 * i + 1]), others.join(",")
            );
            fs::write(&settings, text).expect("the settings can be written");
            nodes.push(Node {
                name: name.clone(),
                settings,
                process: None,
                stopped: false,
            });
        }
        world::run(&world);
        Cluster {
            record,
            world,
            state,
            nodes,
            fronts,
            program,
            folder,
            keep_logs: std::env::var("REVIEW_LOGS").is_ok(),
        }
    }

    /// Starts a controller with its settings.
    pub fn start(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        let mut command = Command::new(&self.program);
        command
            .arg("--config")
            .arg(&node.settings)
            .stdin(Stdio::null());
        let stderr = if self.keep_logs {
            command.env("LOG_LEVEL", "debug");
            let log = format!("{}.log", node.name);
            let file = fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.folder.join(log));
            Stdio::from(file.expect("a log file"))
        } else {
            command.env("LOG_LEVEL", "error");
            Stdio::null()
        };
        command.stdout(Stdio::null()).stderr(stderr);
        let child = command.spawn().expect("the controller can be started");
        // The script ends these processes if this one is ended.
        let pids = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join("pids"));
        let _ = writeln!(pids.expect("the list of processes"), "{}", child.id());
        self.record
            .line(&format!("{} starts, process {}", node.name, child.id()));
        node.process = Some(child);
        node.stopped = false;
    }

    pub fn start_all(&mut self) {
        for i in 0..self.nodes.len() {
            self.start(i);
        }
    }

    /// Ends a controller without a signal that it could handle.
    pub fn kill(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        if let Some(mut child) = node.process.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("{} is killed", node.name));
        }
    }

    fn signal(&self, i: usize, signal: &str) {
        if let Some(child) = &self.nodes[i].process {
            let command = format!("kill -{signal} {}", child.id());
            let _ = Command::new("sh").arg("-c").arg(command).status();
            self.record
                .line(&format!("{}: signal {signal}", self.nodes[i].name));
        }
    }

    /// Stops a controller: it stands still while its clocks run on.
    pub fn stop(&mut self, i: usize) {
        self.signal(i, "STOP");
        self.nodes[i].stopped = true;
    }

    pub fn cont(&mut self, i: usize) {
        self.signal(i, "CONT");
        self.nodes[i].stopped = false;
    }

    /// Names of the controllers that ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for node in &mut self.nodes {
            if let Some(child) = &mut node.process {
                if let Ok(Some(status)) = child.try_wait() {
                    ended.push(format!("{} ended by itself: {status}", node.name));
                }
            }
        }
        ended
    }

    pub fn is_ready(&self, i: usize) -> bool {
        let answer =
            Client::default().call(self.fronts[i], "GET", "/ready", &[], Duration::from_secs(1));
        answer.is_some_and(|a| a.status == 200)
    }

    /// Waits until a condition holds. Returns whether it held in time.
    pub fn wait(&self, seconds: f64, mut condition: impl FnMut(&Self) -> bool) -> bool {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < until {
            if condition(self) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Adds a job to the users' jobs and submits it, like a user: with retries for up to 60 s,
    /// beginning at the node `first`.
    pub fn submit(&self, job: &Job, first: usize) -> bool {
        lock(&self.world).jobs.insert(job.id.clone(), job.clone());
        submit(&self.record, &self.fronts, job, first)
    }

    /// Asks for a job's state at one node. Returns the status and the stage.
    pub fn poll(&self, job: &str, node: usize) -> (u16, String, u64, u64) {
        let target = format!("/work/{job}");
        let answer = Client::default().call(self.fronts[node], "GET", &target, &[], POLL_TIMEOUT);
        let Some(answer) = answer else {
            return (0, String::new(), 0, 0);
        };
        let body = V::decode(&answer.body).unwrap_or(V::Nil);
        let stage = body.get("stage").str().unwrap_or_default().to_owned();
        let (done, running) = (body.get("done").u64(), body.get("running").u64());
        let (done, running) = (done.unwrap_or(0), running.unwrap_or(0));
        self.record.line(&format!(
            "user asks tiller-{node} for {job}: {} {stage} done {done} running {running}",
            answer.status
        ));
        (answer.status, stage, done, running)
    }
}

/// Submits a job with retries.
pub fn submit(record: &Record, fronts: &[SocketAddr], job: &Job, first: usize) -> bool {
    let body = job.body().encode();
    let until = Instant::now() + Duration::from_secs(60);
    let mut node = first;
    loop {
        let mut client = Client::default();
        let answer = client.call(fronts[node], "POST", "/work", &body, CHANGE_TIMEOUT);
        let status = answer.as_ref().map_or(0, |a| a.status);
        record.line(&format!(
            "user submits {} at tiller-{node}: {status}",
            job.id
        ));
        match status {
            200 | 201 => return true,
            400 | 422 => return false,
            _ => {}
        }
        let pause = answer.and_then(|a| a.retry_after).unwrap_or(1).clamp(1, 30);
        if Instant::now() + Duration::from_secs(pause) > until {
            return false;
        }
        thread::sleep(Duration::from_secs(pause));
        node = (node + 1) % fronts.len();
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for i in 0..self.nodes.len() {
            if self.nodes[i].stopped {
                self.cont(i);
            }
            self.kill(i);
        }
    }
}
