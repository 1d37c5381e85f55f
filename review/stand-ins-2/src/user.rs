//! A user: submits, asks and cancels. Each call goes to one controller on a connection of its own.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use salttiller_protocol::client::Client;
use salttiller_protocol::state_service::{decode, encode};
use serde_json::{json, Value};

use crate::record::Record;
use crate::world::{JobInfo, RunTime, World};

/// What a user submits, with the values that the cases leave as they are.
pub fn job(
    id: &str,
    crop: &str,
    crew: &str,
    furrow: &str,
    sheaves: u32,
    cores: f64,
    memory: f64,
) -> Value {
    json!({"nameId": id, "crop": crop, "crew": crew, "furrow": furrow, "rank": "standard",
        "sheaves": sheaves, "cores": cores, "cards": 0.0, "memoryGb": memory,
        "seed": format!("img-{crop}"), "sizeGb": 0.2, "plots": null, "field": null,
        "samePlace": false, "spread": false, "fallow": false, "growthS": 30.0, "stookS": 0.0,
        "bindS": 0.0, "harvestS": null})
}

/// Submits a job and repeats until it is accepted. Returns the answers' stage, or the status that
/// refused it.
pub fn submit(
    world: &World,
    nodes: &[SocketAddr],
    job: &Value,
    run_time: RunTime,
) -> Result<(), u16> {
    let id = job["nameId"].as_str().unwrap_or("").to_owned();
    // Users upload the job's description for the workers.
    world.lock().jobs.insert(
        id.clone(),
        JobInfo {
            tasks: job["sheaves"].as_u64().unwrap_or(1) as u32,
            gang: job["furrow"] == "gang",
            cores: job["cores"].as_f64().unwrap_or(0.0),
            memory: job["memoryGb"].as_f64().unwrap_or(0.0),
            image: job["seed"].as_str().unwrap_or("").to_owned(),
            image_gb: job["sizeGb"].as_f64().unwrap_or(0.0),
            run_time,
            submitted: job.clone(),
        },
    );
    let record = &world.record;
    // The load balancer spreads users over the nodes.
    let first = id.bytes().map(usize::from).sum::<usize>() % nodes.len();
    for node in nodes.iter().cycle().skip(first).take(60) {
        let answer = call(
            record,
            *node,
            "POST",
            "/work",
            &encode(job),
            Duration::from_secs(5),
        );
        match answer {
            Some((200 | 201, _)) => return Ok(()),
            Some((status @ (400 | 422), _)) => return Err(status),
            _ => std::thread::sleep(Duration::from_secs(1)),
        }
    }
    Err(503)
}

/// Asks for a job's state. Returns the status and the body.
pub fn ask(record: &Record, node: SocketAddr, id: &str) -> Option<(u16, Value)> {
    call(
        record,
        node,
        "GET",
        &format!("/work/{id}"),
        &[],
        Duration::from_secs(2),
    )
}

/// Cancels a job at a node. Returns the status and the body.
pub fn cancel(record: &Record, node: SocketAddr, id: &str) -> Option<(u16, Value)> {
    call(
        record,
        node,
        "POST",
        &format!("/work/{id}/abort"),
        &[],
        Duration::from_secs(5),
    )
}

fn call(
    record: &Record,
    node: SocketAddr,
    method: &str,
    target: &str,
    body: &[u8],
    timeout: Duration,
) -> Option<(u16, Value)> {
    let began = Instant::now();
    let answer = Client::new(node).call(method, target, body, timeout);
    let took = began.elapsed().as_millis();
    match answer {
        Ok(answer) => {
            let content = decode::<Value>(&answer.body).unwrap_or(Value::Null);
            record.line(format!(
                "user: {method} {target} at {node}: {} {content} ({took} ms)",
                answer.status
            ));
            Some((answer.status, content))
        }
        Err(error) => {
            record.line(format!("user: {method} {target} at {node}: {error}"));
            None
        }
    }
}
