//! A simulated world in which whole controllers are tested.
//!
//! Three controllers, as they are in production, run against stand-ins written from the
//! protocol: a state service, a cloud, workers and users. Time is simulated, so a day of
//! several minutes takes as long as its computing. Everything left to chance is drawn from the
//! day's seed, so the same seed gives the same day, event by event.
//!
//! # How a day is made and played
//!
//! A [`days::Plan`] says what is set before a day begins: its seed, its faults and when they
//! happen, how many jobs users submit, and of which [`workload::Workload`]. A table of days
//! ([`days::Day`]) draws plans from seeds: `days::compound_failures`, `days::partial_failures`;
//! `days::seeded` has days without a table, `days::record_losses` those of lost records.
//!
//! [`runner::play`] makes a [`world::World`] of a plan and plays it to its end: the world takes
//! one [`events::Event`] after the other from its queue and hands it to the part that it is for.
//! Every five simulated seconds the invariants are checked. A day stops at the first violation.
//!
//! | part | where |
//! | --- | --- |
//! | processes, clocks, restarts and pauses of the controllers | `controllers` |
//! | latency, partitions, lost and delayed messages | `network` |
//! | records, leases, transactions, watches | `state_service` |
//! | machine types, rentals, releases | `cloud` |
//! | heartbeats, leases, commands, tasks | `workers` |
//! | jobs, requests, accepted responses | `users`, `workload` |
//! | what may go wrong, and how it is brought about | `faults`, `faults::injection` |
//! | the protocol's rules | `invariants` |
//! | counts of what was seen | `observations` |
//!
//! To look at one day: `SALTTILLER_SEED=16 SALTTILLER_LOG=debug cargo test --lib one_day --
//! --nocapture`, with `SALTTILLER_HARDER=1` for the day with more faults; for a day of a table
//! `SALTTILLER_SCENARIO="the gap" SALTTILLER_SEED=3 cargo test --lib days_of_failures`.
//! `SALTTILLER_SEEDS=1000` plays more seeds of each day.
//!
//! # How to add a fault
//!
//! 1. Add a variant to [`faults::Fault`], with the time that it lasts, and its
//!    [`faults::Fault::duration`].
//! 2. Add its line to `World::inject` in `faults/injection.rs`: most faults only set until when
//!    a part of the world behaves otherwise.
//! 3. Let that part behave so. Draw from `World::rng` only while the fault lasts: a draw more on
//!    other days changes all of them.
//! 4. Count what it does in [`observations::Observations`], so that a day can tell that it
//!    happened.
//!
//! # How to add a day
//!
//! Add a [`days::Day`] to a table: a name, a function that draws its faults, and a condition on
//! the observations that shows that the day brought about what it is for. The tests in
//! `tests::failures` play every day of the tables on several seeds, and fail if a rule is
//! violated, a job does not end, or the condition holds on no seed.
//!
//! # Safeguards and their tests
//!
//! Every part of the safety argument in docs/safety.md is a [`Safeguard`] in
//! `src/fault_injection.rs`. A test disables one ([`runner::play_without`]) and asserts that some
//! day then violates a rule: without such a test nobody would notice if the code for it were
//! lost. A new safeguard needs the variant, the `is_disabled` check in its code, a day on which
//! it matters, and a line in a table of such tests (`tests::failures::SAFEGUARDS_OF_DAYS`).
//!
//! # Unchanged behaviour
//!
//! [`trace_digest`] prints a digest of everything that the controllers send on each day: equal
//! digests before and after a change show that behaviour stayed as it was.
//!
//! [`Safeguard`]: crate::fault_injection::Safeguard

mod cloud;
mod controllers;
mod days;
mod events;
mod faults;
mod invariants;
mod network;
mod observations;
mod runner;
mod state_service;
mod tests;
mod trace_digest;
mod users;
mod workers;
mod workload;
mod world;

use salttiller_records::units::{Micros, SECOND};

/// How many controllers there are.
const CONTROLLERS: usize = 3;

/// Within this time after a cancellation was confirmed nothing of the job runs any more, and all
/// jobs that need it are cancelled too: `cancel_s` of the settings and a second of tolerance.
const CANCEL_DEADLINE: Micros = 41 * SECOND;
