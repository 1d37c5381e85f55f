//! Tests of the cloud's client.

use serde_json::json;

use super::*;
use crate::reactor::CallError;
use crate::settings::Settings;
use salttiller_protocol::http::Response;
use salttiller_records::model::MachineType;
use salttiller_records::units::SECOND;

fn cloud_client() -> CloudClient {
    let s = Settings::parse("f", &crate::settings::tests::sample()).unwrap();
    CloudClient::new(&s)
}

fn reply(status: u16, v: serde_json::Value) -> Result<Response, CallError> {
    Ok(Response::new(status, rmp_serde::to_vec(&v).unwrap()))
}

/// An unanswered rental goes out again under the same request name, so that
/// it can't rent twice; a refusal ends it.
#[test]
fn rentals_repeat_until_definite() {
    let mut f = cloud_client();
    let offer = Offer {
        machine_type: "big".into(),
        zone: "a".into(),
        spot: false,
    };
    f.rent(offer.clone(), "t-0".into(), 2, "x-1".into());
    let mut now = 1;
    let mut bodies = Vec::new();
    for result in [
        Err(CallError::NoAnswer),
        reply(503, json!({"error": "trouble"})),
        reply(429, json!({})),
        reply(200, json!({"tillers": ["m-1"]})),
    ] {
        now += 10 * SECOND;
        let call = f.next_call(now).0.unwrap();
        bodies.push(call.body);
        let got = f.on_response(call.call_id, result.clone(), now);
        if result.is_ok_and(|r| r.status == 200) {
            let want = CloudEvent::Rented {
                offer: offer.clone(),
                region: "t-0".into(),
                machines: vec!["m-1".into()],
                requested: 2,
            };
            assert_eq!(got, [want]);
        } else {
            assert_eq!(got, [CloudEvent::Unavailable]);
        }
    }
    assert!(bodies.windows(2).all(|w| w[0] == w[1]));
    f.rent(offer.clone(), "t-0".into(), 1, "x-2".into());
    now += 10 * SECOND;
    let call = f.next_call(now).0.unwrap();
    let got = f.on_response(
        call.call_id,
        reply(503, json!({"error": "no capacity"})),
        now,
    );
    assert_eq!(got, [CloudEvent::NoCapacity(offer)]);
    assert!(f.next_call(now + 10 * SECOND).0.is_none());
}

#[test]
fn a_machine_is_released_once() {
    let mut f = cloud_client();
    f.release(vec!["m-1".into()]);
    f.release(vec!["m-1".into()]);
    let call = f.next_call(SECOND).0.unwrap();
    assert_eq!(
        f.on_response(call.call_id, Err(CallError::NotSent), SECOND),
        [CloudEvent::Unavailable]
    );
    let call = f.next_call(9 * SECOND).0.unwrap();
    let got = f.on_response(call.call_id, reply(200, json!({})), 9 * SECOND);
    assert_eq!(got, [CloudEvent::Released(vec!["m-1".into()])]);
    assert!(f.next_call(20 * SECOND).0.is_none());
}

/// Calls to the cloud as they are sent, and its answers, as bytes.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn calls_to_the_cloud_keep_their_bytes() {
    let files = crate::fixtures::read(include_str!("fixtures/cloud.hex"));
    let offer = |machine_type: &str, zone: &str, spot| Offer {
        machine_type: machine_type.into(),
        zone: zone.into(),
        spot,
    };
    let machine_type = |name: &str, cpus, mem, price| MachineType {
        name: name.into(),
        cpus,
        gpus: 0,
        memory: mem,
        fetch_rate: 0,
        price,
        spot_price: 0,
        boot_time: 0,
        zones: Vec::new(),
    };
    let machine_types = vec![
        MachineType {
            gpus: 1_000_000,
            fetch_rate: 500_000,
            spot_price: 750_000,
            boot_time: 40_500_000,
            zones: vec!["a".into(), "b".into()],
            ..machine_type("g8", 8_500_000, 64_250_000, 2_500_000)
        },
        machine_type("c4", 4_000_000, 16_000_000, 1_000_000),
    ];
    let listed = |name: &str, offer, failed, age| ListedMachine {
        name: name.into(),
        offer,
        failed,
        age,
    };
    let list = vec![
        listed("m-1", offer("g8", "a", true), true, 12_500_000),
        listed("m-2", offer("c4", "b", false), false, 0),
    ];
    let g8 = || offer("g8", "a", true);
    let names = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect::<Vec<_>>();
    let rent = |f: &mut CloudClient| f.rent(g8(), "t-0".into(), 50, "x-1".into());
    let rented = CloudEvent::Rented {
        offer: g8(),
        region: "t-0".into(),
        machines: names(&["m-1", "m-2"]),
        requested: 50,
    };
    type Request<'a> = &'a dyn Fn(&mut CloudClient);
    type Call = (&'static str, &'static str, Option<&'static str>);
    const RENT: Call = ("POST", "/machines", Some("rent"));
    const LIST: Call = ("GET", "/machines?page=500", None);
    const FLAVORS: Call = ("GET", "/flavors", None);
    const RELEASE: Call = ("POST", "/machines/release", Some("release"));
    const NEXT: Call = ("GET", "/machines?from=m-1&page=500", None);
    // What is asked for; the calls with the name of the body, each with the status and the
    // name of the answer's body; what comes of the last.
    type Case<'a> = (Request<'a>, &'a [(Call, u16, &'a str)], CloudEvent);
    let cases: [Case<'_>; 8] = [
        (
            &CloudClient::request_machine_types,
            &[(FLAVORS, 200, "flavors")],
            CloudEvent::MachineTypes(machine_types),
        ),
        (
            &CloudClient::request_machine_types,
            &[(FLAVORS, 200, "unreadable flavors")],
            CloudEvent::Unavailable,
        ),
        (&rent, &[(RENT, 200, "rented")], rented),
        (
            &rent,
            &[(RENT, 503, "no capacity")],
            CloudEvent::NoCapacity(g8()),
        ),
        (
            &rent,
            &[(RENT, 503, "trouble"), (RENT, 200, "unreadable rented")],
            CloudEvent::Unavailable,
        ),
        (
            &|f| f.release(names(&["m-1", "m-22"])),
            &[(RELEASE, 200, "rented")],
            CloudEvent::Released(names(&["m-1", "m-22"])),
        ),
        (
            &CloudClient::request_inventory,
            &[
                (LIST, 200, "list, first page"),
                (NEXT, 200, "list, last page"),
            ],
            CloudEvent::Inventory(list),
        ),
        (
            &CloudClient::request_inventory,
            &[(LIST, 200, "unreadable list")],
            CloudEvent::Unavailable,
        ),
    ];
    for (ask, calls, want) in cases {
        let mut f = cloud_client();
        ask(&mut f);
        let mut now = 0;
        let mut got = Vec::new();
        for ((method, target, body), status, answer) in calls {
            now += 10 * SECOND;
            let call = f.next_call(now).0.unwrap();
            assert_eq!((call.method, &*call.target), (*method, *target));
            let body = body.map_or(&[][..], |name| &files[name]);
            assert_eq!(call.body, body, "{target}");
            let answer = Response::new(*status, files[answer].clone());
            got = f.on_response(call.call_id, Ok(answer), now);
        }
        assert_eq!(got, [want]);
    }
}
