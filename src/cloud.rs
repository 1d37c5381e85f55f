//! The cloud: its wire types, pacing of calls, what to rent, and returning.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::Deserialize;
use serde_json::json;

use crate::reactor::CallError;
use crate::settings::Settings;
use salttiller_protocol::http::Response;
use salttiller_records::model::MachineType;
use salttiller_records::units::{self, Micros, MILLISECOND, SECOND};

mod wire {
    use super::Deserialize;

    #[derive(Deserialize)]
    pub struct Flavors {
        pub plots: Vec<Plot>,
    }

    #[derive(Deserialize)]
    pub struct Plot {
        pub label: String,
        pub cores: f64,
        #[serde(default)]
        pub cards: f64,
        #[serde(rename = "memoryGb")]
        pub memory: f64,
        #[serde(default, rename = "pullGbPerS")]
        pub fetch: f64,
        pub price: f64,
        #[serde(default, rename = "lowPrice")]
        pub spot_price: f64,
        #[serde(default, rename = "startupS")]
        pub boot: f64,
        #[serde(default)]
        pub fields: Vec<String>,
    }

    #[derive(Deserialize)]
    pub struct Rented {
        pub tillers: Vec<String>,
    }

    #[derive(Deserialize)]
    pub struct List {
        pub tillers: Vec<ListedMachine>,
        #[serde(default)]
        pub more: bool,
    }

    #[derive(Deserialize)]
    pub struct ListedMachine {
        #[serde(rename = "nameId")]
        pub name: String,
        pub plot: String,
        pub field: String,
        #[serde(default)]
        pub fallow: bool,
        #[serde(default)]
        pub stage: String,
        #[serde(default, rename = "heldS")]
        pub held: f64,
    }
}

/// What can be rented: type, zone, spot or ordinary.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Offer {
    /// Type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedMachine {
    /// Name.
    pub name: String,
    /// What it is.
    pub offer: Offer,
    /// It has stopped by itself.
    pub failed: bool,
    /// Age since it was rented, as the list says.
    pub age: Micros,
}

/// What the cloud answered.
#[derive(Debug, PartialEq)]
pub enum CloudEvent {
    /// The machine types.
    MachineTypes(Vec<MachineType>),
    /// These were rented for this offer, of so many asked.
    Rented(Offer, String, Vec<String>, u32),
    /// None to be had.
    NoCapacity(Offer),
    /// These are gone for sure.
    Released(Vec<String>),
    /// The whole list.
    Inventory(Vec<ListedMachine>),
    /// The interface is down or silent.
    Unavailable,
}

/// A call to the cloud.
#[derive(Debug)]
pub struct CloudCall {
    /// Handed back with the response.
    pub call_id: u64,
    /// Request method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Body.
    pub body: Vec<u8>,
    /// Time it may take.
    pub timeout: Micros,
}

#[derive(Debug, Clone)]
enum Request {
    Flavors,
    Rent {
        offer: Offer,
        region: String,
        count: u32,
        tenancy: String,
    },
    Release(Vec<String>),
    List {
        from: Option<String>,
        got: Vec<ListedMachine>,
    },
}

/// Machines of one page of the cloud's list: the most that it gives.
const LIST_PAGE: usize = 500;
/// Most machines that are read of the list: beyond it machines that nobody knows are not
/// found. Some 100 bytes each, for as long as a list is read.
const MAX_LISTED: usize = 50_000;

/// Calls to the cloud, one at a time and paced under its rate. Renting and
/// returning are repeated unchanged until the answer is definite: a repeated
/// request name rents nothing more, and a machine once asked back never serves again.
pub struct CloudClient {
    queue: VecDeque<Request>,
    flight: Option<(u64, Request)>,
    next_op: u64,
    /// Between calls: while not leading, and while leading.
    gaps: [Micros; 2],
    leading: bool,
    next_at: Micros,
    /// Machines asked back and not yet proved gone.
    releasing: BTreeSet<String>,
    failures: u32,
}

impl CloudClient {
    /// A fleet client within this controller's share of the cloud's rate.
    pub fn new(s: &Settings) -> Self {
        CloudClient {
            queue: VecDeque::new(),
            flight: None,
            next_op: 1,
            gaps: [0.3 / (s.region_count() as f64 - 0.99).max(1.0), 0.6]
                .map(|share| (1e6 / (s.cloud_request_rate * share)) as Micros),
            leading: false,
            next_at: 0,
            releasing: BTreeSet::new(),
            failures: 0,
        }
    }

    /// Whether this controller leads: then the better part of the rate is its own.
    pub fn set_leading(&mut self, leading: bool) {
        self.leading = leading;
    }

    /// Whether the interface failed last time.
    pub fn is_unavailable(&self) -> bool {
        self.failures > 0
    }

    /// Asks for the machine types.
    pub fn request_machine_types(&mut self) {
        if !self.has(|a| matches!(a, Request::Flavors)) {
            self.queue.push_back(Request::Flavors);
        }
    }

    /// Asks for the list of machines.
    pub fn request_inventory(&mut self) {
        if !self.has(|a| matches!(a, Request::List { .. })) {
            self.queue.push_back(Request::List {
                from: None,
                got: Vec::new(),
            });
        }
    }

    fn has(&self, f: impl Fn(&Request) -> bool) -> bool {
        self.queue.iter().any(&f) || self.flight.as_ref().is_some_and(|(_, a)| f(a))
    }

    /// Rents; `tenancy` must never have been used by anyone.
    pub fn rent(&mut self, offer: Offer, region: String, count: u32, tenancy: String) {
        let rents = |a: &&Request| matches!(a, Request::Rent { .. });
        let at = self.queue.iter().take_while(rents).count();
        let ask = Request::Rent {
            offer,
            region,
            count: count.clamp(1, 50),
            tenancy,
        };
        self.queue.insert(at, ask);
    }

    /// The rentals under way: offer, region, how many.
    pub fn pending_rentals(&self) -> Vec<(Offer, String, u32)> {
        self.queue
            .iter()
            .chain(self.flight.as_ref().map(|(_, a)| a))
            .filter_map(|a| match a {
                Request::Rent {
                    offer,
                    count,
                    region,
                    ..
                } => Some((offer.clone(), region.clone(), *count)),
                _ => None,
            })
            .collect()
    }

    /// Drops rentals that have not been sent: their leader is one no more.
    pub fn cancel_unsent_rentals(&mut self) {
        self.queue.retain(|a| !matches!(a, Request::Rent { .. }));
    }

    /// Returns machines.
    pub fn release(&mut self, names: Vec<String>) {
        let fresh: Vec<String> = names
            .into_iter()
            .filter(|n| self.releasing.insert(n.clone()))
            .collect();
        // Guards against a call for every few machines: the rate of calls, not the
        // machines, would then say how fast they go back.
        for name in fresh {
            match self.queue.back_mut() {
                Some(Request::Release(names)) if names.len() < 100 => names.push(name),
                _ => self.queue.push_back(Request::Release(vec![name])),
            }
        }
    }

    /// The next call, if one is due, and when to look again.
    pub fn next_call(&mut self, now: Micros) -> (Option<CloudCall>, Micros) {
        if self.flight.is_some() || self.queue.is_empty() {
            return (None, now + SECOND);
        }
        if now < self.next_at {
            return (None, self.next_at);
        }
        let Some(ask) = self.queue.pop_front() else {
            return (None, now + SECOND);
        };
        let op = self.next_op;
        self.next_op += 1;
        self.next_at = now + self.gaps[usize::from(self.leading)];
        let body = |v: serde_json::Value| rmp_serde::to_vec(&v).unwrap_or_default();
        let (method, target, body) = match &ask {
            Request::Flavors => ("GET", "/flavors".to_owned(), Vec::new()),
            Request::Rent {
                offer,
                count,
                tenancy,
                ..
            } => (
                "POST",
                "/machines".to_owned(),
                body(
                    json!({"tenancy": tenancy, "plot": offer.machine_type, "field": offer.zone,
                    "fallow": offer.spot, "count": count}),
                ),
            ),
            Request::Release(names) => (
                "POST",
                "/machines/release".to_owned(),
                body(json!({ "tillers": names })),
            ),
            Request::List { from, .. } => (
                "GET",
                match from {
                    Some(f) => format!("/machines?from={f}&page={LIST_PAGE}"),
                    None => format!("/machines?page={LIST_PAGE}"),
                },
                Vec::new(),
            ),
        };
        self.flight = Some((op, ask));
        let call = CloudCall {
            call_id: op,
            method,
            target,
            body,
            timeout: 3 * SECOND,
        };
        (Some(call), now + SECOND)
    }

    /// Takes the end of a call.
    pub fn on_response(
        &mut self,
        op: u64,
        result: Result<Response, CallError>,
        now: Micros,
    ) -> Vec<CloudEvent> {
        let Some((_, ask)) = self.flight.take_if(|(o, _)| *o == op) else {
            return Vec::new();
        };
        let ok = match &result {
            Ok(r) if r.status == 200 => self.take(&ask, &r.body),
            Ok(r) if r.status == 503 && no_capacity(&r.body) => {
                if let Request::Rent { offer, .. } = ask {
                    self.failures = 0;
                    self.queue
                        .retain(|a| !matches!(a, Request::Rent { offer: o, .. } if *o == offer));
                    return vec![CloudEvent::NoCapacity(offer)];
                }
                None
            }
            Ok(r) if r.status == 400 => {
                log::error!("fleet: {ask:?}: refused as malformed");
                match ask {
                    Request::Rent { offer, .. } => return vec![CloudEvent::NoCapacity(offer)],
                    _ => return Vec::new(),
                }
            }
            _ => None,
        };
        if let Some(events) = ok {
            self.failures = 0;
            return events;
        }
        let why = match &result {
            Ok(r) => format!("status {}", r.status),
            Err(e) => e.to_string(),
        };
        self.failures = (self.failures + 1).min(6);
        log::info!("fleet: cloud: {why}, trying again");
        self.next_at = now + ((300 * MILLISECOND) << self.failures).min(5 * SECOND);
        // Refused for its rate or an outage, or unanswered: asked again as it was.
        match ask {
            Request::List { .. } | Request::Flavors => {}
            a => self.queue.push_front(a),
        }
        vec![CloudEvent::Unavailable]
    }

    fn take(&mut self, ask: &Request, body: &[u8]) -> Option<Vec<CloudEvent>> {
        fn read<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Option<T> {
            rmp_serde::from_slice(body)
                .map_err(|e| log::error!("fleet: answer can't be read: {e}"))
                .ok()
        }
        Some(match ask {
            Request::Flavors => {
                let f: wire::Flavors = read(body)?;
                vec![CloudEvent::MachineTypes(
                    f.plots.into_iter().map(machine_type).collect(),
                )]
            }
            Request::Rent {
                offer,
                region,
                count,
                ..
            } => {
                let r: wire::Rented = read(body)?;
                vec![CloudEvent::Rented(
                    offer.clone(),
                    region.clone(),
                    r.tillers,
                    *count,
                )]
            }
            Request::Release(names) => {
                for n in names {
                    self.releasing.remove(n);
                }
                vec![CloudEvent::Released(names.clone())]
            }
            Request::List { got, .. } => {
                let l: wire::List = read(body)?;
                let mut got = got.clone();
                got.extend(l.tillers.into_iter().map(|m| ListedMachine {
                    name: m.name,
                    offer: Offer {
                        machine_type: m.plot,
                        zone: m.field,
                        spot: m.fallow,
                    },
                    failed: m.stage == "failed",
                    age: units::secs(m.held),
                }));
                if l.more && got.len() >= MAX_LISTED {
                    log::error!("fleet: the cloud lists more than {MAX_LISTED} machines");
                }
                if l.more && got.len() < MAX_LISTED {
                    let from = got.last().map(|m| m.name.clone());
                    self.queue.push_front(Request::List { from, got });
                    return Some(Vec::new());
                }
                vec![CloudEvent::Inventory(got)]
            }
        })
    }
}

fn no_capacity(body: &[u8]) -> bool {
    #[derive(Deserialize)]
    struct E {
        error: String,
    }
    rmp_serde::from_slice::<E>(body).is_ok_and(|e| e.error == "no capacity")
}

fn machine_type(p: wire::Plot) -> MachineType {
    MachineType {
        name: p.label,
        cpus: units::room(p.cores),
        gpus: units::room(p.cards),
        memory: units::room(p.memory),
        fetch_rate: units::room(p.fetch),
        price: units::room(p.price),
        spot_price: units::room(p.spot_price),
        boot_time: units::secs(p.boot),
        zones: p.fields,
    }
}

/// Offers that were refused lately, and until when they are not asked for.
#[derive(Debug, Default)]
pub struct CapacityBackoff {
    until: BTreeMap<Offer, (Micros, u32)>,
}

impl CapacityBackoff {
    /// An offer was refused (or only partly filled).
    pub fn record_refusal(&mut self, o: &Offer, now: Micros) {
        let e = self.until.entry(o.clone()).or_insert((0, 0));
        e.1 = (e.1 + 1).min(4);
        e.0 = now + ((4 * SECOND) << e.1).min(30 * SECOND);
    }

    /// Whether any offer is left alone for now.
    pub fn any_backing_off(&self, now: Micros) -> bool {
        self.until.values().any(|(t, _)| now < *t)
    }

    /// An offer was filled.
    pub fn record_success(&mut self, o: &Offer) {
        self.until.remove(o);
    }

    /// Whether to leave it alone for now.
    pub fn is_backing_off(&self, o: &Offer, now: Micros) -> bool {
        self.until.get(o).is_some_and(|(t, _)| now < *t)
    }
}

/// All offers of the types, in order.
pub fn offers(
    machine_types: &BTreeMap<String, crate::state_store::replica::Versioned<MachineType>>,
) -> Vec<Offer> {
    let mut out = Vec::new();
    for f in machine_types.values() {
        for z in &f.value.zones {
            for spot in [true, false] {
                out.push(Offer {
                    machine_type: f.value.name.clone(),
                    zone: z.clone(),
                    spot,
                });
            }
        }
    }
    out
}

#[cfg(test)]
mod tests;
