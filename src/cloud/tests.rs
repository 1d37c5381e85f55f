//! Tests of fleet.

use super::*;

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
        let call = f.pump(now).0.unwrap();
        bodies.push(call.body);
        let got = f.on_response(call.op, result.clone(), now);
        if result.is_ok_and(|r| r.status == 200) {
            let want = CloudEvent::Rented(offer.clone(), "t-0".into(), vec!["m-1".into()], 2);
            assert_eq!(got, [want]);
        } else {
            assert_eq!(got, [CloudEvent::Down]);
        }
    }
    assert!(bodies.windows(2).all(|w| w[0] == w[1]));
    f.rent(offer.clone(), "t-0".into(), 1, "x-2".into());
    now += 10 * SECOND;
    let call = f.pump(now).0.unwrap();
    let got = f.on_response(call.op, reply(503, json!({"error": "no capacity"})), now);
    assert_eq!(got, [CloudEvent::NoCapacity(offer)]);
    assert!(f.pump(now + 10 * SECOND).0.is_none());
}

#[test]
fn a_return_is_asked_once_until_gone() {
    let mut f = cloud_client();
    f.release(vec!["m-1".into()]);
    f.release(vec!["m-1".into()]);
    let call = f.pump(SECOND).0.unwrap();
    assert_eq!(
        f.on_response(call.op, Err(CallError::NotSent), SECOND),
        [CloudEvent::Down]
    );
    let call = f.pump(9 * SECOND).0.unwrap();
    let got = f.on_response(call.op, reply(200, json!({})), 9 * SECOND);
    assert_eq!(got, [CloudEvent::Released(vec!["m-1".into()])]);
    assert!(f.pump(20 * SECOND).0.is_none());
}
