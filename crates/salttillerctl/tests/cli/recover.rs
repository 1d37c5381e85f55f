//! `salttillerctl recover` as a process, against a stand-in state service on loopback.

use salttiller_testkit::StateService;
use serde_json::{json, Value};

use crate::common::{ctl, good, output, text, Folder};

fn held() -> Value {
    json!({"incident": 7, "by": "t-1", "at": 5, "seen": "revision 0 after 308 had been seen"})
}

#[test]
fn a_decision_is_put_on_record_once() {
    let folder = Folder::new("recover");
    let service = StateService::start().unwrap();
    let config = folder.settings(service.address());
    let command = |words: &[&str]| {
        let mut command = ctl(words);
        command.args(["--config", text(&config)]);
        command
    };
    let decide = ["recover", "accept-loss", "--by", "yard", "--why", "a test"];
    let status = || good(&mut command(&["recover", "status"]));
    assert!(status().contains("no records are known to be lost"));
    assert_eq!(output(&mut command(&decide)).status.code(), Some(20));
    service.commit(&[("st/hold", Some(held()))]);
    assert!(status().contains("controllers hold"));
    assert!(good(&mut command(&decide)).contains("--yes does it"));
    assert_eq!(
        service.contents().records["st/hold"].1,
        held(),
        "nothing was written"
    );
    good(command(&decide).arg("--yes"));
    let record = service.contents().records["st/hold"].1.clone();
    assert_eq!(record["accepted"]["by"], json!("yard"));
    assert_eq!(record["incident"], json!(7));
    let document = good(command(&["recover", "status", "--json"]).env("LOG_LEVEL", "off"));
    let document: Value = serde_json::from_str(&document).unwrap();
    assert_eq!(document["held"], json!(false));
    // A second operator comes too late.
    assert_eq!(
        output(command(&decide).arg("--yes")).status.code(),
        Some(20)
    );
    service.commit(&[("st/hold", Some(json!("nonsense")))]);
    let odd = output(&mut command(&["recover", "status"]));
    assert_eq!(odd.status.code(), Some(18));
    assert_eq!(String::from_utf8_lossy(&odd.stderr).lines().count(), 1);
    service.set_trouble(Some(503));
    let refused = output(&mut command(&["recover", "status"]));
    assert_eq!(refused.status.code(), Some(18));
}
