//! A digest of all that the controllers of simulated days send, to show that a change of
//! the code leaves behaviour as it was: equal digests mean equal answers, calls and messages,
//! byte by byte, at equal simulated times and in equal order. Log texts are not part of it.

use std::cell::Cell;
use std::collections::BTreeSet;

use salttiller_records::units::Micros;

use super::days::{compound_failures, partial_failures, record_losses, seeded, Day};
use super::network::Outgoing;
use super::runner::{environment_number, play};
use super::tests;
use super::tests::lost_records::{play_decision, play_loss, CancelAgain};
use super::tests::pipelines::{cancellation, DISTURBANCES};

/// 64-bit FNV-1a over the records that it is fed. Written out here because the digests must
/// not depend on the release of the compiler, as `DefaultHasher` does.
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

    /// Bytes after their length, so that neighbouring fields can't run into each other.
    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.write(bytes);
    }

    /// One record: when and by which controller it was sent, its kind, its fields.
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
            Outgoing::ResetDest(dest) => {
                self.number(5);
                self.number(*dest as u64);
            }
        }
    }
}

thread_local! {
    /// The digest of the day that this thread plays, if one is asked for.
    static CURRENT: Cell<Option<TraceDigest>> = const { Cell::new(None) };
}

/// Takes what a controller sends into the current digest, if there is one.
pub(super) fn record(now: Micros, controller: usize, outgoing: &[Outgoing]) {
    if let Some(mut digest) = CURRENT.get() {
        for item in outgoing {
            digest.record(now, controller, item);
        }
        CURRENT.set(Some(digest));
    }
}

/// The digest of what the controllers send while `play` runs.
fn digest_of(play: impl FnOnce()) -> u64 {
    CURRENT.set(Some(TraceDigest(TraceDigest::OFFSET_BASIS)));
    play();
    let digest = CURRENT.take().expect("set above");
    assert_ne!(digest.0, TraceDigest::OFFSET_BASIS, "nothing was sent");
    digest.0
}

/// How many seeds of each day are played; fewer with `SALTTILLER_DIGEST_SEEDS=1`.
fn seeds() -> u64 {
    environment_number("SALTTILLER_DIGEST_SEEDS").unwrap_or(8)
}

/// Prints the digests, and takes the lines into one of all.
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
            self.seeds(suite, day.name, |seed| drop(play(&day.plan(seed))));
        }
    }

    fn seeds(&mut self, suite: &str, day: &str, play: impl Fn(u64)) {
        for seed in 1..=seeds() {
            self.line(suite, day, &seed.to_string(), digest_of(|| play(seed)));
        }
    }
}

/// Tests that play days and seeds of their own, by the suite and the name in the digest; one
/// digest each.
const TESTS_WITH_OWN_SEEDS: [(&str, &str, fn()); 12] = [
    (
        "partial_failures",
        "nothing_is_released_without_need",
        tests::partial_failures::nothing_is_released_without_need,
    ),
    (
        "partial_failures",
        "a_one_task_job_costs_three_changes",
        tests::partial_failures::a_one_task_job_costs_three_changes,
    ),
    (
        "pipelines",
        "a_needed_job_ends_in_a_takeover",
        tests::pipelines::a_needed_job_ends_in_a_takeover,
    ),
    (
        "pipelines",
        "a_dependent_submitted_as_its_need_is_cancelled",
        tests::pipelines::a_dependent_submitted_as_its_need_is_cancelled,
    ),
    (
        "pipelines",
        "a_cancellation_that_loses_to_the_end",
        tests::pipelines::a_cancellation_that_loses_to_the_end,
    ),
    (
        "pipelines",
        "submissions_that_need_others",
        tests::pipelines::submissions_that_need_others,
    ),
    (
        "pipelines",
        "readiness_in_an_outage",
        tests::pipelines::readiness_in_an_outage,
    ),
    (
        "pipelines",
        "a_waiting_job_holds_nothing",
        tests::pipelines::a_waiting_job_holds_nothing,
    ),
    (
        "lost_records",
        "troubles_without_a_loss_are_not_taken_for_one",
        tests::lost_records::faults_without_a_loss_are_not_taken_for_one,
    ),
    (
        "lost_records",
        "a_decision_ends_the_hold",
        tests::lost_records::a_decision_ends_the_hold,
    ),
    (
        "scenarios",
        "records_of_an_earlier_version",
        tests::seeded::records_of_an_earlier_version,
    ),
    (
        "scenarios",
        "days_that_once_failed",
        tests::seeded::days_that_once_failed,
    ),
];

/// Prints the digest of every day, and one of all. To compare two versions of the code, diff
/// the lines that this prints in each:
///
/// `cargo test --locked -p salttiller --lib trace_digests -- --ignored --nocapture`
///
/// The names of suites, days and tests in these lines are those under which digests were
/// printed before: they stay when code is renamed.
#[test]
#[ignore = "plays hundreds of days, for comparing versions of the code"]
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
        report.seeds("lost records", day.name, |seed| drop(play_loss(day, seed)));
    }
    for day in record_losses::set_back_days() {
        let name = format!("{}, decided", day.name);
        report.seeds("lost records", &name, |seed| {
            drop(play_decision(day, seed, CancelAgain::Yes));
        });
    }
    report.seeds("scenarios", "plain", |seed| {
        drop(play(&seeded::with_faults(seed)));
    });
    report.seeds("scenarios", "harder", |seed| {
        drop(play(&seeded::with_more_faults(seed)));
    });
    for (suite, name, test) in TESTS_WITH_OWN_SEEDS {
        report.line(suite, name, "own seeds", digest_of(test));
    }
    println!("digest: all {:016x}", report.0 .0);
}

/// A day gives the same digest whenever it is played, after other days and on other threads;
/// days of other seeds give others.
#[test]
fn a_day_has_one_digest() {
    let day = |seed| digest_of(|| drop(play(&seeded::with_more_faults(seed))));
    let first: Vec<u64> = (1..=4).map(day).collect();
    let threads: Vec<_> = (1..=4)
        .map(|seed| std::thread::spawn(move || day(seed)))
        .collect();
    let again: Vec<u64> = threads.into_iter().map(|t| t.join().unwrap()).collect();
    assert_eq!(first, again);
    assert_eq!(first[0], day(1));
    let different: BTreeSet<u64> = first.iter().copied().collect();
    assert_eq!(different.len(), first.len(), "{first:x?}");
}
