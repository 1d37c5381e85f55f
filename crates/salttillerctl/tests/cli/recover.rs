//! `salttillerctl recover`.

use std::process::Command;

use salttiller_testkit::state_service::RequestFault;
use serde_json::{json, Value};

use crate::common::{ctl, fail, output, succeed};
use crate::deployment::Deployment;

const DECIDE: [&str; 6] = ["recover", "accept-loss", "--by", "yard", "--why", "a test"];

/// The record of a hold as controllers write it.
fn hold() -> Value {
    json!({"incident": 7, "by": "t-1", "at": 5, "seen": "revision 0 after 308 had been seen"})
}

fn command(deployment: &Deployment, args: &[&str]) -> Command {
    deployment.with_config(ctl(args))
}

fn status(deployment: &Deployment) -> Command {
    command(deployment, &["recover", "status"])
}

fn hold_record(deployment: &Deployment) -> Value {
    let records = deployment.service.contents().records;
    records["st/hold"].value.clone()
}

#[test]
fn a_decision_is_put_on_record_once() {
    let deployment = Deployment::new("recover", 0);
    let without_hold = succeed(&mut status(&deployment));
    assert!(without_hold.contains("no records are known to be lost"));
    fail("no hold", &mut command(&deployment, &DECIDE), 20);
    deployment.service.commit(&[("st/hold", Some(hold()))]);
    assert!(succeed(&mut status(&deployment)).contains("controllers hold"));
    let shown = succeed(&mut command(&deployment, &DECIDE));
    assert!(shown.contains("--yes does it"));
    assert_eq!(hold_record(&deployment), hold(), "nothing was written");
    succeed(command(&deployment, &DECIDE).arg("--yes"));
    let record = hold_record(&deployment);
    assert_eq!(record["accepted"]["by"], json!("yard"));
    assert_eq!(record["incident"], json!(7));
    let document = succeed(status(&deployment).arg("--json").env("LOG_LEVEL", "off"));
    let document: Value = serde_json::from_str(&document).unwrap();
    assert_eq!(document["held"], json!(false));
    let mut second = command(&deployment, &DECIDE);
    fail("a second operator", second.arg("--yes"), 20);
}

#[test]
fn a_state_service_without_a_usable_answer_is_named() {
    let deployment = Deployment::new("recover-unusable", 0);
    let nonsense = Some(json!("nonsense"));
    deployment.service.commit(&[("st/hold", nonsense)]);
    let odd = output(&mut status(&deployment));
    assert_eq!(odd.status.code(), Some(18));
    assert_eq!(String::from_utf8_lossy(&odd.stderr).lines().count(), 1);
    let fault = Some(RequestFault::Status(503));
    deployment.service.inject_fault(fault);
    let refused = output(&mut status(&deployment));
    assert_eq!(refused.status.code(), Some(18));
}
