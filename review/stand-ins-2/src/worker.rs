//! A worker's reports: one node at a time, one report in flight, as the protocol's page says.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use salttiller_protocol::client::Client;
use salttiller_protocol::state_service::{decode, encode};
use serde_json::Value;

use crate::world::{Power, World};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
const RETRY_DELAY: Duration = Duration::from_secs(1);
const MIN_INTERVAL: Duration = Duration::from_millis(500);

/// A controller as the workers know it.
#[derive(Clone)]
pub struct Node {
    pub name: String,
    pub address: SocketAddr,
}

/// Starts the thread of a machine's worker.
pub fn spawn(world: Arc<World>, machine: String, nodes: Vec<Node>, first: usize) {
    std::thread::spawn(move || run(&world, &machine, &nodes, first));
}

fn run(world: &World, machine: &str, nodes: &[Node], first: usize) {
    let mut at = first % nodes.len();
    let mut client = Client::new(nodes[at].address);
    let mut count = first as u64;
    loop {
        let muted = world.lock().muted.get(machine).copied();
        if muted.is_some_and(|until| Instant::now() < until) {
            std::thread::sleep(Duration::from_millis(50));
            continue;
        }
        let Some((season, reported, report)) = world.report(machine) else {
            return;
        };
        let sent = Instant::now();
        let answer = client.call("POST", "/v1/report", &encode(&report), ANSWER_TIMEOUT);
        // 4 s count from sending; the client's own limits may be a little longer.
        let in_time = sent.elapsed() < ANSWER_TIMEOUT;
        match answer {
            Ok(answer) if answer.status == 200 && in_time => {
                if let Ok(body) = decode::<Value>(&answer.body) {
                    world.carry_out(machine, season, sent, &body);
                }
                count += 1;
                wait_for_next(world, machine, reported, sent, count);
            }
            Ok(answer) if answer.status == 421 && in_time => {
                let steward = decode::<Value>(&answer.body).ok();
                let steward = steward.as_ref().and_then(|b| b["steward"].as_str());
                let next = nodes.iter().position(|n| Some(n.name.as_str()) == steward);
                match next.filter(|next| *next != at) {
                    Some(next) => at = next,
                    None => {
                        std::thread::sleep(RETRY_DELAY);
                        at = (at + 1) % nodes.len();
                    }
                }
                client = Client::new(nodes[at].address);
            }
            _ => {
                std::thread::sleep(RETRY_DELAY);
                at = (at + 1) % nodes.len();
                client = Client::new(nodes[at].address);
            }
        }
    }
}

/// Waits until the next report is due: after the interval, give or take a quarter, or after a
/// change, though not sooner than half a second after the last report.
fn wait_for_next(world: &World, machine: &str, reported: u64, sent: Instant, count: u64) {
    let share = 0.75 + 0.5 * ((count * 7919) % 100) as f64 / 100.0;
    let due = sent + Duration::from_secs_f64(world.timing.report * share);
    loop {
        let now = Instant::now();
        let state = world.lock();
        let Some(known) = state.machines.get(machine) else {
            return;
        };
        let changed = known.changes != reported;
        let up = known.power == Power::Up;
        drop(state);
        if !up || now >= due || (changed && now >= sent + MIN_INTERVAL) {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}
