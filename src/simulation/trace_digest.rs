//! Digests of everything that the controllers send on simulated days. Equal digests before and
//! after a change of the code show that its behaviour is unchanged: the responses, calls and
//! messages are equal byte by byte, at equal simulated times and in equal order. Log texts are not
//! part of a digest.

use std::cell::Cell;
use std::collections::BTreeSet;

use salttiller_records::units::Micros;

use super::days::{compound_failures, partial_failures, record_losses, seeded, Day};
use super::network::Outgoing;
use super::runner::{environment_number, run_day};
use super::tests;
use super::tests::lost_records::{run_decision_day, run_loss_day, CancelAgain};
use super::tests::pipelines::{cancellation, DISTURBANCES};

/// 64-bit FNV-1a hash of the output of the controllers. The hash is implemented here because
/// digests must not depend on the release of the compiler, as those of `DefaultHasher` do.
#[derive(Clone, Copy)]
struct TraceDigest(u64);

impl TraceDigest {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;

    fn write(&mut self, bytes: &[u8]) {
        for b in bytes {
            self.0 = (self.0 ^ u64::from(*b)).wrapping_mul(Self::PRIME);
        }
    }

    fn number(&mut self, n: u64) {
        self.write(&n.to_le_bytes());
    }

    /// Hashes the length before the bytes, so that adjacent fields stay distinct.
    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.write(bytes);
    }

    /// Hashes one output: the time at which it was sent, the controller that sent it, its kind and
    /// its fields.
    fn record(&mut self, now: Micros, controller: usize, outgoing: &Outgoing) {
        self.number(now);
        self.number(controller as u64);
        match outgoing {
            Outgoing::Respond(id, response) => {
                self.number(1);
                self.number(id.slot as u64);
                self.number(id.generation.into());
                self.number(response.status.into());
                self.number(response.retry_after.map_or(u64::MAX, u64::from));
                self.number(response.close.into());
                self.bytes(&response.body);
            }
            Outgoing::Call(id, call) => {
                self.number(2);
                self.number(*id);
                self.number(call.destination as u64);
                self.bytes(call.method.as_bytes());
                self.bytes(call.target.as_bytes());
                self.bytes(&call.body);
                self.number(call.timeout);
            }
            Outgoing::Send(peer, payload) => {
                self.number(3);
                self.number(*peer as u64);
                self.bytes(payload);
            }
            Outgoing::Reply(id, payload) => {
                self.number(4);
                self.number(id.slot as u64);
                self.number(id.generation.into());
                self.bytes(payload);
            }
            Outgoing::CloseIdleConnections(dest) => {
                self.number(5);
                self.number(*dest as u64);
            }
        }
    }
}

thread_local! {
    /// Digest of the day that this thread runs, if a digest was requested.
    static CURRENT: Cell<Option<TraceDigest>> = const { Cell::new(None) };
}

/// Adds what a controller sends to the current digest, if there is one.
pub(super) fn record(now: Micros, controller: usize, outgoing: &[Outgoing]) {
    if let Some(mut digest) = CURRENT.get() {
        for item in outgoing {
            digest.record(now, controller, item);
        }
        CURRENT.set(Some(digest));
    }
}

/// Returns the digest of everything that the controllers send while `day` runs.
fn digest_of(day: impl FnOnce()) -> u64 {
    CURRENT.set(Some(TraceDigest(TraceDigest::OFFSET_BASIS)));
    day();
    let digest = CURRENT.take().expect("expected the digest set above");
    assert_ne!(
        digest.0,
        TraceDigest::OFFSET_BASIS,
        "expected the controllers to send something"
    );
    digest.0
}

/// Number of seeds of each day: 8, or the value of `SALTTILLER_DIGEST_SEEDS`.
fn seeds() -> u64 {
    environment_number("SALTTILLER_DIGEST_SEEDS").unwrap_or(8)
}

/// Prints the digests and computes the digest of all printed lines.
struct Report(TraceDigest);

impl Report {
    fn line(&mut self, suite: &str, day: &str, seed: &str, digest: u64) {
        let name = format!("{suite}/{day}/{seed}");
        println!("digest: {name} {digest:016x}");
        self.0.bytes(name.as_bytes());
        self.0.number(digest);
    }

    fn days(&mut self, suite: &str, days: impl Iterator<Item = &'static Day>) {
        for day in days {
            self.seeds(suite, day.name, |seed| drop(run_day(&day.plan(seed))));
        }
    }

    fn seeds(&mut self, suite: &str, day: &str, run_seed: impl Fn(u64)) {
        for seed in 1..=seeds() {
            self.line(suite, day, &seed.to_string(), digest_of(|| run_seed(seed)));
        }
    }
}

/// Tests that run their own days and seeds, each with its suite and its name in the digest lines.
/// Each test has one digest.
const TESTS_WITH_OWN_SEEDS: [(&str, &str, fn()); 12] = [
    (
        "partial_failures",
        "nothing_is_released_without_need",
        tests::partial_failures::no_region_is_released_needlessly,
    ),
    (
        "partial_failures",
        "a_one_task_job_costs_three_changes",
        tests::partial_failures::one_task_job_costs_three_record_changes,
    ),
    (
        "pipelines",
        "a_needed_job_ends_in_a_takeover",
        tests::pipelines::dependency_ends_during_takeover,
    ),
    (
        "pipelines",
        "a_dependent_submitted_as_its_need_is_cancelled",
        tests::pipelines::dependent_submitted_as_its_dependency_is_cancelled,
    ),
    (
        "pipelines",
        "a_cancellation_that_loses_to_the_end",
        tests::pipelines::cancellation_races_with_completion,
    ),
    (
        "pipelines",
        "submissions_that_need_others",
        tests::pipelines::submissions_with_dependencies,
    ),
    (
        "pipelines",
        "readiness_in_an_outage",
        tests::pipelines::job_becomes_ready_during_outage,
    ),
    (
        "pipelines",
        "a_waiting_job_holds_nothing",
        tests::pipelines::waiting_job_uses_no_resources,
    ),
    (
        "lost_records",
        "troubles_without_a_loss_are_not_taken_for_one",
        tests::lost_records::faults_without_record_loss_cause_no_hold,
    ),
    (
        "lost_records",
        "a_decision_ends_the_hold",
        tests::lost_records::operator_decision_ends_the_hold,
    ),
    (
        "scenarios",
        "records_of_an_earlier_version",
        tests::seeded::records_of_an_earlier_version,
    ),
    (
        "scenarios",
        "days_that_once_failed",
        tests::seeded::previously_failing_seeds,
    ),
];

/// Prints the digest of every day, and the digest of all days. To compare two versions of the code,
/// diff the lines that this test prints in each:
///
/// `cargo test --locked -p salttiller --lib trace_digests -- --ignored --nocapture`
///
/// The names of suites, days and tests in these lines stay unchanged when code is renamed, so that
/// digests stay comparable.
#[test]
#[ignore = "runs hundreds of days, for comparing versions of the code"]
fn trace_digests() {
    let mut report = Report(TraceDigest(TraceDigest::OFFSET_BASIS));
    report.days("compound failures", compound_failures::days());
    report.days("partial failures", partial_failures::days());
    for disturbance in &DISTURBANCES {
        report.seeds("pipelines", disturbance.name, |seed| {
            drop(cancellation(seed, disturbance));
        });
    }
    for day in record_losses::days() {
        report.seeds("lost records", day.name, |seed| {
            drop(run_loss_day(day, seed));
        });
    }
    for day in record_losses::backup_restore_days() {
        let name = format!("{}, decided", day.name);
        report.seeds("lost records", &name, |seed| {
            drop(run_decision_day(day, seed, CancelAgain::Yes));
        });
    }
    report.seeds("scenarios", "plain", |seed| {
        drop(run_day(&seeded::with_faults(seed)));
    });
    report.seeds("scenarios", "harder", |seed| {
        drop(run_day(&seeded::with_more_faults(seed)));
    });
    for (suite, name, test) in TESTS_WITH_OWN_SEEDS {
        report.line(suite, name, "own seeds", digest_of(test));
    }
    println!("digest: all {:016x}", report.0 .0);
}

/// Guards against digests that depend on anything other than the day and its seed. A day has the
/// same digest each time it runs, also after other days and on other threads, and days of different
/// seeds have different digests.
#[test]
fn digest_of_a_day_is_reproducible() {
    let day = |seed| digest_of(|| drop(run_day(&seeded::with_more_faults(seed))));
    let first: Vec<u64> = (1..=4).map(day).collect();
    let threads: Vec<_> = (1..=4)
        .map(|seed| std::thread::spawn(move || day(seed)))
        .collect();
    let again: Vec<u64> = threads.into_iter().map(|t| t.join().unwrap()).collect();
    assert_eq!(first, again, "expected equal digests on other threads");
    assert_eq!(
        first[0],
        day(1),
        "expected an equal digest after other days"
    );
    let different: BTreeSet<u64> = first.iter().copied().collect();
    assert_eq!(
        different.len(),
        first.len(),
        "expected different digests for different seeds: {first:x?}"
    );
}
