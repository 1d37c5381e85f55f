//! Three controllers as separate processes, started with the command of the deploy file, beside the
//! stand-ins. Each controller reaches the state service and the others through proxies of its own.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use salttiller_protocol::client::Client;
use salttiller_testkit::server::Server;
use salttiller_testkit::{StateService, TempFolder};
use serde_json::{json, Value};

use crate::cloud::Cloud;
use crate::proxy::{Link, Proxy};
use crate::worker::{self, Node};
use crate::world::World;

/// What a case sets of the deployment.
pub struct Layout {
    /// Zone of each controller.
    pub areas: [&'static str; 3],
    pub zones: &'static [&'static str],
    /// Requests a second of the state service, changes a second.
    pub rates: (f64, f64),
}

pub struct Controller {
    pub name: String,
    pub front: SocketAddr,
    /// To the state service.
    pub state_proxy: Proxy,
    /// To the others, in the order of their numbers.
    pub peer_proxies: Vec<(usize, Proxy)>,
    settings: PathBuf,
    child: Option<Child>,
}

pub struct Cluster {
    pub controllers: Vec<Controller>,
    pub world: Arc<World>,
    pub state: StateService,
    command: Vec<String>,
    root: PathBuf,
    folder: TempFolder,
    _cloud: Server,
}

/// Free ports for a controller. The listeners keep them from all others until it is started.
struct Ports {
    front: TcpListener,
    mesh: TcpListener,
}

impl Ports {
    fn reserve() -> std::io::Result<Self> {
        let listen = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
        Ok(Ports {
            front: listen()?,
            mesh: listen()?,
        })
    }
}

/// The program and its arguments in the deploy file.
fn run_command(root: &Path) -> std::io::Result<Vec<String>> {
    let text = std::fs::read_to_string(root.join("deploy/service.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = "));
    let line = line.ok_or_else(|| std::io::Error::other("no run command in the deploy file"))?;
    Ok(line
        .trim()
        .trim_matches('"')
        .split(' ')
        .map(str::to_owned)
        .collect())
}

impl Cluster {
    pub fn start(
        root: &Path,
        name: &str,
        world: Arc<World>,
        layout: &Layout,
    ) -> std::io::Result<Self> {
        let state = StateService::start()?;
        let zones: Vec<String> = layout.zones.iter().map(|z| (*z).to_owned()).collect();
        let cloud = Server::start(Arc::new(Cloud {
            world: world.clone(),
            zones,
        }))?;
        let folder = TempFolder::new(name)?;
        let mut controllers = Vec::new();
        let ports = [Ports::reserve()?, Ports::reserve()?, Ports::reserve()?];
        let mut fronts = Vec::new();
        for (number, ports) in ports.iter().enumerate() {
            let (front, mesh) = (ports.front.local_addr()?, ports.mesh.local_addr()?);
            fronts.push((format!("tiller-{number}"), front, mesh));
        }
        for (number, (name, front, mesh)) in fronts.iter().enumerate() {
            let state_proxy = Proxy::start(state.address())?;
            let mut peer_proxies = Vec::new();
            let mut others = Vec::new();
            for (other, (other_name, _, other_mesh)) in fronts.iter().enumerate() {
                if other != number {
                    let proxy = Proxy::start(*other_mesh)?;
                    others.push(json!({"host_name": other_name, "area": layout.areas[other],
                        "addr": proxy.address.to_string()}));
                    peer_proxies.push((other, proxy));
                }
            }
            let settings = settings(
                name,
                layout,
                number,
                *front,
                *mesh,
                others,
                cloud.address(),
                state_proxy.address,
                &world,
            );
            let file = folder.write(&format!("{name}.json"), settings.to_string())?;
            controllers.push(Controller {
                name: name.clone(),
                front: *front,
                state_proxy,
                peer_proxies,
                settings: file,
                child: None,
            });
        }
        let mut cluster = Cluster {
            controllers,
            world,
            state,
            command: run_command(root)?,
            root: root.to_owned(),
            folder,
            _cloud: cloud,
        };
        drop(ports);
        for number in 0..3 {
            cluster.start_controller(number)?;
        }
        Ok(cluster)
    }

    /// Starts a controller with the command of the deploy file and its settings file.
    pub fn start_controller(&mut self, number: usize) -> std::io::Result<()> {
        let log = File::options()
            .append(true)
            .create(true)
            .open(self.folder.file(&format!("tiller-{number}.log")))?;
        let controller = &mut self.controllers[number];
        let child = Command::new(self.root.join(&self.command[0]))
            .args(&self.command[1..])
            .arg(&controller.settings)
            .current_dir(&self.root)
            .env("LOG_LEVEL", "debug")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.world
            .record
            .line(format!("controller {} started", controller.name));
        controller.child = Some(child);
        Ok(())
    }

    /// Ends a controller without a signal that it could handle.
    #[allow(dead_code)]
    pub fn kill_controller(&mut self, number: usize) {
        if let Some(mut child) = self.controllers[number].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.world
                .record
                .say(format!("controller tiller-{number} killed"));
        }
    }

    /// Stops or continues a controller.
    pub fn signal_controller(&self, number: usize, signal: &str) {
        if let Some(child) = &self.controllers[number].child {
            let _ = Command::new("kill")
                .arg(signal)
                .arg(child.id().to_string())
                .status();
            self.world
                .record
                .line(format!("controller tiller-{number}: signal {signal}"));
        }
    }

    /// Whether every controller still runs.
    pub fn all_run(&mut self) -> bool {
        self.controllers.iter_mut().all(|controller| {
            controller
                .child
                .as_mut()
                .is_some_and(|c| matches!(c.try_wait(), Ok(None)))
        })
    }

    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.controllers.iter().map(|c| c.front).collect()
    }

    pub fn nodes(&self) -> Vec<Node> {
        let node = |c: &Controller| Node {
            name: c.name.clone(),
            address: c.front,
        };
        self.controllers.iter().map(node).collect()
    }

    /// Waits until every controller is ready.
    pub fn wait_ready(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        self.fronts().into_iter().all(|front| loop {
            if !self.all_run() {
                return false;
            }
            let answer = Client::new(front).call("GET", "/ready", &[], Duration::from_secs(1));
            if answer.is_ok_and(|a| a.status == 200) {
                return true;
            }
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        })
    }

    /// Starts the workers of all machines.
    pub fn start_workers(&self) {
        let names: Vec<String> = self.world.lock().machines.keys().cloned().collect();
        for (first, name) in names.into_iter().enumerate() {
            worker::spawn(self.world.clone(), name, self.nodes(), first);
        }
    }

    /// Sets the link of a controller to the state service.
    pub fn link_state(&self, number: usize, link: Link) {
        self.controllers[number].state_proxy.set(link);
    }

    /// Sets the links between a controller and the others, in both directions.
    pub fn link_peers(&self, number: usize, link: Link) {
        for (at, controller) in self.controllers.iter().enumerate() {
            for (to, proxy) in &controller.peer_proxies {
                if at == number || *to == number {
                    proxy.set(link);
                }
            }
        }
    }

    /// Copies the controllers' logs to a folder, for those who look into a case.
    pub fn keep_logs(&self) {
        if let Ok(to) = std::env::var("KEEP_LOGS") {
            let _ = std::fs::create_dir_all(&to);
            let records = self.state.contents().records.into_iter();
            let records: serde_json::Map<String, Value> =
                records.map(|(k, r)| (k, r.value)).collect();
            let _ = std::fs::write(
                Path::new(&to).join("records.json"),
                Value::from(records).to_string(),
            );
            for number in 0..3 {
                let name = format!("tiller-{number}.log");
                let _ = std::fs::copy(self.folder.file(&name), Path::new(&to).join(&name));
            }
        }
    }

    /// The value of a record of the state service.
    pub fn stored(&self, key: &str) -> Option<Value> {
        self.state
            .contents()
            .records
            .get(key)
            .map(|r| r.value.clone())
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.keep_logs();
        for controller in &mut self.controllers {
            if let Some(mut child) = controller.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

#[allow(clippy::too_many_arguments)]
fn settings(
    name: &str,
    layout: &Layout,
    number: usize,
    front: SocketAddr,
    mesh: SocketAddr,
    others: Vec<Value>,
    cloud: SocketAddr,
    state: SocketAddr,
    world: &World,
) -> Value {
    let teams = [
        "availability",
        "messaging",
        "payments",
        "insights",
        "partners",
        "search",
    ];
    let teams: Vec<Value> = teams
        .iter()
        .map(|team| {
            json!({"name": team, "cpus": 60.0,
        "cpus_max": 180.0, "gpus": 0.0, "gpus_max": 0.0})
        })
        .collect();
    let timing = world.timing;
    json!({"host_name": name, "area": layout.areas[number], "front": front.to_string(),
        "mesh_addr": mesh.to_string(), "others": others,
        "outside": {"cloud": cloud.to_string(), "state": state.to_string()},
        "facts": {"size": 3, "zones": layout.zones, "teams": teams,
            "objectives": [
                {"kind": "wait", "class": "seat-sync", "within_s": 200.0, "share": 0.75},
                {"kind": "guarantee", "within_s": 10.0, "share": 0.8}],
            "workers": {"report_s": timing.report, "lease_s": timing.lease,
                "gang_wait_s": timing.gang_wait, "gang_peer_s": timing.gang_peer,
                "cancel_s": timing.cancel},
            "state": {"rps": layout.rates.0, "write_rps": layout.rates.1, "value_kb": 8.0,
                "txn_ops": 40},
            "cloud": {"rps": 3.0, "list_lag_s": 8.0},
            "quota": {"cores": 0.04, "ram_mb": 56.0, "fd_limit": 500},
            "clock_off_ms": 5.0}})
}
