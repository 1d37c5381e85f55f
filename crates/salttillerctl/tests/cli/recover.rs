//! Tests of `salttillerctl recover`.

use std::process::Command;

use salttiller_testkit::state_service::RequestFault;
use serde_json::{json, Value};

use crate::common::{ctl, fail, output, succeed};
use crate::deployment::Deployment;

const ACCEPT_LOSS_ARGS: [&str; 6] = ["recover", "accept-loss", "--by", "yard", "--why", "a test"];

/// Returns the record of a hold in the form that controllers write.
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

/// Guards against a decision without `--yes`, without a hold, or after another decision.
#[test]
fn decision_is_recorded_once() {
    let deployment = Deployment::new("recover", 0);
    let without_hold = succeed(&mut status(&deployment));
    assert!(without_hold.contains("no records are known to be lost"));
    fail("no hold", &mut command(&deployment, &ACCEPT_LOSS_ARGS), 20);
    deployment.service.commit(&[("st/hold", Some(hold()))]);
    assert!(succeed(&mut status(&deployment)).contains("controllers hold"));
    let shown = succeed(&mut command(&deployment, &ACCEPT_LOSS_ARGS));
    assert!(shown.contains("--yes does it"));
    assert_eq!(
        hold_record(&deployment),
        hold(),
        "without --yes the record must stay unchanged"
    );
    succeed(command(&deployment, &ACCEPT_LOSS_ARGS).arg("--yes"));
    let record = hold_record(&deployment);
    assert_eq!(record["accepted"]["by"], json!("yard"));
    assert_eq!(record["incident"], json!(7));
    let document = succeed(status(&deployment).arg("--json").env("LOG_LEVEL", "off"));
    let document: Value = serde_json::from_str(&document).unwrap();
    assert_eq!(document["held"], json!(false));
    let mut second = command(&deployment, &ACCEPT_LOSS_ARGS);
    fail("second decision", second.arg("--yes"), 20);
}

/// Guards against a wrong exit code when the record of the hold can't be decoded or when the state
/// service refuses the request.
#[test]
fn unusable_response_of_the_state_service_has_its_exit_code() {
    let deployment = Deployment::new("recover-unusable", 0);
    let nonsense = Some(json!("nonsense"));
    deployment.service.commit(&[("st/hold", nonsense)]);
    let invalid = output(&mut status(&deployment));
    assert_eq!(invalid.status.code(), Some(18));
    assert_eq!(String::from_utf8_lossy(&invalid.stderr).lines().count(), 1);
    let fault = Some(RequestFault::Status(503));
    deployment.service.inject_fault(fault);
    let refused = output(&mut status(&deployment));
    assert_eq!(refused.status.code(), Some(18));
}
