//! Tests of the client of the cloud's API.

use serde_json::json;

use super::*;
use crate::reactor::CallError;
use crate::settings::Settings;
use salttiller_protocol::http::Response;
use salttiller_records::model::MachineType;
use salttiller_records::units::SECOND;

fn cloud_client() -> CloudClient {
    let settings = Settings::parse("f", &crate::settings::tests::sample()).unwrap();
    CloudClient::new(&settings)
}

fn response(status: u16, body: serde_json::Value) -> Result<Response, CallError> {
    Ok(Response::new(status, rmp_serde::to_vec(&body).unwrap()))
}

/// A rental whose response is lost or not definite is retried with the same idempotency key.
/// Guards against renting machines twice if the cloud executed the lost request. A refusal for
/// lack of capacity is definite and ends the retries.
#[test]
fn rentals_are_retried_until_the_response_is_definite() {
    let mut client = cloud_client();
    let offer = Offer {
        machine_type: "big".into(),
        zone: "a".into(),
        spot: false,
    };
    client.rent(offer.clone(), "t-0".into(), 2, "x-1".into());
    let mut now = 1;
    let mut bodies = Vec::new();
    for result in [
        Err(CallError::NoResponse),
        response(503, json!({"error": "trouble"})),
        response(429, json!({})),
        response(200, json!({"tillers": ["m-1"]})),
    ] {
        now += 10 * SECOND;
        let call = client.next_call(now).0.unwrap();
        bodies.push(call.body);
        let events = client.on_response(call.call_id, result.clone(), now);
        if result.is_ok_and(|response| response.status == 200) {
            let expected = CloudEvent::Rented {
                offer: offer.clone(),
                region: "t-0".into(),
                machines: vec!["m-1".into()],
                requested: 2,
            };
            assert_eq!(events, [expected]);
        } else {
            assert_eq!(events, [CloudEvent::Unavailable]);
        }
    }
    assert!(bodies.windows(2).all(|pair| pair[0] == pair[1]));
    client.rent(offer.clone(), "t-0".into(), 1, "x-2".into());
    now += 10 * SECOND;
    let call = client.next_call(now).0.unwrap();
    let events = client.on_response(
        call.call_id,
        response(503, json!({"error": "no capacity"})),
        now,
    );
    assert_eq!(events, [CloudEvent::NoCapacity(offer)]);
    assert!(client.next_call(now + 10 * SECOND).0.is_none());
}

/// A machine that is released again before its release is confirmed is not sent to the cloud
/// twice, but a failed release is retried.
#[test]
fn a_machine_is_released_once() {
    let mut client = cloud_client();
    client.release(vec!["m-1".into()]);
    client.release(vec!["m-1".into()]);
    let call = client.next_call(SECOND).0.unwrap();
    assert_eq!(
        client.on_response(call.call_id, Err(CallError::NotSent), SECOND),
        [CloudEvent::Unavailable]
    );
    let call = client.next_call(9 * SECOND).0.unwrap();
    let events = client.on_response(call.call_id, response(200, json!({})), 9 * SECOND);
    assert_eq!(events, [CloudEvent::Released(vec!["m-1".into()])]);
    assert!(client.next_call(20 * SECOND).0.is_none());
}

/// Compares the bytes of all requests with a fixture, and decodes the fixture's responses.
/// Guards against unintended changes of the wire format.
#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn requests_and_responses_match_the_fixture() {
    let fixtures = crate::fixtures::read(include_str!("fixtures/cloud.hex"));
    let offer = |machine_type: &str, zone: &str, spot| Offer {
        machine_type: machine_type.into(),
        zone: zone.into(),
        spot,
    };
    let machine_type = |name: &str, cpus, memory, price| MachineType {
        name: name.into(),
        cpus,
        gpus: 0,
        memory,
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
    let inventory = vec![
        listed("m-1", offer("g8", "a", true), true, 12_500_000),
        listed("m-2", offer("c4", "b", false), false, 0),
    ];
    let g8 = || offer("g8", "a", true);
    let names = |names: &[&str]| {
        names
            .iter()
            .map(|name| (*name).to_owned())
            .collect::<Vec<_>>()
    };
    let rent = |client: &mut CloudClient| client.rent(g8(), "t-0".into(), 50, "x-1".into());
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
    // A case is a request, the expected calls, and the expected event of the last response. A
    // call has the name of its body's fixture; its response has a status and the name of its
    // body's fixture.
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
            &|client| client.release(names(&["m-1", "m-22"])),
            &[(RELEASE, 200, "rented")],
            CloudEvent::Released(names(&["m-1", "m-22"])),
        ),
        (
            &CloudClient::request_inventory,
            &[
                (LIST, 200, "list, first page"),
                (NEXT, 200, "list, last page"),
            ],
            CloudEvent::Inventory(Inventory {
                machines: inventory,
                read_since: 10 * SECOND,
            }),
        ),
        (
            &CloudClient::request_inventory,
            &[(LIST, 200, "unreadable list")],
            CloudEvent::Unavailable,
        ),
    ];
    for (request, calls, expected) in cases {
        let mut client = cloud_client();
        request(&mut client);
        let mut now = 0;
        let mut events = Vec::new();
        for ((method, target, body), status, response) in calls {
            now += 10 * SECOND;
            let call = client.next_call(now).0.unwrap();
            assert_eq!((call.method, &*call.target), (*method, *target));
            let body = body.map_or(&[][..], |name| &fixtures[name]);
            assert_eq!(call.body, body, "{target}");
            let response = Response::new(*status, fixtures[response].clone());
            events = client.on_response(call.call_id, Ok(response), now);
        }
        assert_eq!(events, [expected]);
    }
}

/// Guards against an inventory of many pages that is never complete while the cloud refuses a part
/// of the calls: a failed page is read again from the last machine. A read that takes too long
/// begins again, and a failed first page is left to the caller's next request.
#[test]
fn a_failed_inventory_page_is_read_again_from_the_last_machine() {
    let page = |name: &str, more: bool| {
        let machine = json!({"nameId": name, "address": "127.0.0.1:1", "plot": "c4", "field": "a",
            "fallow": false, "stage": "running", "heldS": 90.0});
        response(200, json!({"tillers": [machine], "more": more}))
    };
    let first = "/machines?page=500";
    let second = "/machines?from=m-1&page=500";
    for failure in [
        Err(CallError::NoResponse),
        Err(CallError::NotSent),
        response(429, json!({})),
        response(503, json!({"error": "trouble"})),
    ] {
        let mut client = cloud_client();
        client.request_inventory();
        let mut now = SECOND;
        let mut events = Vec::new();
        for (target, result) in [
            (first, page("m-1", true)),
            (second, failure.clone()),
            (second, failure.clone()),
            (second, page("m-2", false)),
        ] {
            let call = client.next_call(now).0.unwrap();
            assert_eq!(call.target, target, "{failure:?}");
            events = client.on_response(call.call_id, result, now);
            now += 6 * SECOND;
        }
        let [CloudEvent::Inventory(inventory)] = &events[..] else {
            panic!("{failure:?}: expected the inventory, got {events:?}");
        };
        let names: Vec<&str> = inventory.machines.iter().map(|m| m.name.as_str()).collect();
        assert_eq!(
            (names.as_slice(), inventory.read_since),
            (&["m-1", "m-2"][..], SECOND)
        );
    }
    for pages_before_failure in [0, 1] {
        let mut client = cloud_client();
        client.request_inventory();
        let mut now = SECOND;
        for _ in 0..pages_before_failure {
            let call = client.next_call(now).0.unwrap();
            client.on_response(call.call_id, page("m-1", true), now);
            now += 60 * SECOND;
        }
        let call = client.next_call(now).0.unwrap();
        client.on_response(call.call_id, Err(CallError::NoResponse), now);
        now += 60 * SECOND;
        assert!(client.next_call(now).0.is_none());
        client.request_inventory();
        assert_eq!(client.next_call(now).0.unwrap().target, first);
    }
}
