//! Simulated environment in which complete controllers are tested.
//!
//! Three controllers run their production code against simulated services that implement the
//! protocol: a state service, a cloud, workers and users. Time is simulated, so a scenario of
//! several minutes takes only its computing time. Every random choice is drawn from the scenario's
//! seed, so the same seed reproduces the same events in the same order. The code calls one run of a
//! scenario a *day*.
//!
//! # How a day is defined and run
//!
//! A [`days::Plan`] holds what is fixed before a day begins: the seed, the faults and their times,
//! the number of jobs that users submit, and the [`workload::Workload`]. A [`days::Day`] draws a
//! plan from a seed. The tables of days are in `days::compound_failures` and
//! `days::partial_failures`; `days::seeded` has days whose faults are all drawn from the seed, and
//! `days::record_losses` has days on which the state service loses records.
//!
//! [`runner::run_day`] creates a [`world::World`] from a plan and runs it to its end: the world
//! takes the [`events::Event`]s from its queue in order and dispatches each to the component that
//! handles it. The invariants on starts and on responses are checked as these occur, all others
//! every five simulated seconds. A day stops at the first violation.
//!
//! | component | module |
//! | --- | --- |
//! | processes, clocks, restarts and pauses of the controllers | `controllers` |
//! | latency, partitions, lost and delayed messages | `network` |
//! | records, leases, transactions, watches | `state_service` |
//! | machine types, rentals, releases | `cloud` |
//! | heartbeats, leases, commands, tasks | `workers` |
//! | jobs, requests, checks of responses | `users`, `workload` |
//! | faults and their injection | `faults`, `faults::injection` |
//! | invariants of the protocol | `invariants` |
//! | counters of observed events | `observations` |
//!
//! To debug one day, run `SALTTILLER_SEED=16 SALTTILLER_LOG=debug cargo test --lib one_day --
//! --nocapture`; `SALTTILLER_HARDER=1` selects the day with more faults. For a day from a table,
//! run `SALTTILLER_SCENARIO="the gap" SALTTILLER_SEED=3 cargo test --lib days_of_failures`.
//! `SALTTILLER_SEEDS=1000` runs more seeds of each day.
//!
//! # How to add a fault
//!
//! 1. Add a variant with its duration to [`faults::Fault`], and a case to
//!    [`faults::Fault::duration`].
//! 2. Add a case to `World::inject` in `faults/injection.rs`. Most faults only set the time until
//!    which a component behaves differently.
//! 3. Implement the different behaviour in that component. Draw from `World::rng` only while the
//!    fault lasts: any other additional draw changes all later draws of days without the fault.
//! 4. Count the effects in [`observations::Observations`], so that a day can verify that the fault
//!    took effect.
//!
//! # How to add a day
//!
//! Add a [`days::Day`] to a table: a name, a function that draws the faults, and a condition on the
//! observations that shows that the intended situation occurred. The tests in `tests::failures` run
//! every day of the tables on several seeds. A test fails if an invariant is violated, a job does
//! not end, a task starts too late after a cancellation, a transaction exceeds the size limits, or
//! the condition holds on no seed.
//!
//! # Safeguards and their tests
//!
//! Every part of the safety argument in docs/safety.md is a [`Safeguard`] in
//! `src/fault_injection.rs`. For each safeguard a test disables it ([`runner::run_day_without`])
//! and asserts that some day then violates an invariant; without such a test, nobody would notice
//! if the safeguard's code were lost. A new safeguard needs a variant, an `is_disabled` check in
//! its code, a day that violates an invariant without the safeguard, and an entry in a table of
//! such tests (`tests::failures::SAFEGUARDS_OF_DAYS`).
//!
//! # Verifying unchanged behaviour
//!
//! [`trace_digest`] prints a digest of everything that the controllers send on each day. Equal
//! digests before and after a change show that the change did not affect behaviour.
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

/// Number of controllers.
const CONTROLLERS: usize = 3;

/// Time after a confirmed cancellation by which no task of the job runs and all dependent jobs are
/// cancelled too: `cancel_s` of the settings plus one second of tolerance.
const CANCEL_DEADLINE: Micros = 41 * SECOND;
