//! A digest of all that the controllers of simulated days send, to show that a change of
//! the code leaves behaviour as it was: equal digests mean equal answers, calls and messages,
//! byte by byte, at equal simulated times and in equal order. Log texts are not part of it.

use super::*;
use std::cell::Cell;

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
    fn record(&mut self, now: Micros, controller: usize, out: &Out) {
        self.number(now);
        self.number(controller as u64);
        match out {
            Out::Respond(id, r) => {
                self.number(1);
                self.number(id.slot as u64);
                self.number(id.generation.into());
                self.number(r.status.into());
                self.number(r.retry_after.map_or(u64::MAX, u64::from));
                self.number(r.close.into());
                self.bytes(&r.body);
            }
            Out::Call(id, call) => {
                self.number(2);
                self.number(*id);
                self.number(call.destination as u64);
                self.bytes(call.method.as_bytes());
                self.bytes(call.target.as_bytes());
                self.bytes(&call.body);
                self.number(call.timeout);
            }
            Out::Send(peer, payload) => {
                self.number(3);
                self.number(*peer as u64);
                self.bytes(payload);
            }
            Out::Reply(id, payload) => {
                self.number(4);
                self.number(id.slot as u64);
                self.number(id.generation.into());
                self.bytes(payload);
            }
            Out::ResetDest(dest) => {
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
pub(super) fn record(now: Micros, controller: usize, outs: &[Out]) {
    if let Some(mut digest) = CURRENT.get() {
        for out in outs {
            digest.record(now, controller, out);
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
    let asked = std::env::var("SALTTILLER_DIGEST_SEEDS").ok();
    asked.and_then(|n| n.parse().ok()).unwrap_or(8)
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

    fn seeds(&mut self, suite: &str, day: &str, play: impl Fn(u64)) {
        for seed in 1..=seeds() {
            self.line(suite, day, &seed.to_string(), digest_of(|| play(seed)));
        }
    }
}

macro_rules! tests_with_own_seeds {
    ($($suite:ident::$test:ident,)*) => {
        [$((stringify!($suite), stringify!($test), $suite::$test as fn())),*]
    };
}

/// Tests that play days and seeds of their own, by suite and name; one digest each.
const TESTS_WITH_OWN_SEEDS: [(&str, &str, fn()); 12] = tests_with_own_seeds![
    partial_failures::nothing_is_released_without_need,
    partial_failures::a_one_task_job_costs_three_changes,
    pipelines::a_needed_job_ends_in_a_takeover,
    pipelines::a_dependent_submitted_as_its_need_is_cancelled,
    pipelines::a_cancellation_that_loses_to_the_end,
    pipelines::submissions_that_need_others,
    pipelines::readiness_in_an_outage,
    pipelines::a_waiting_job_holds_nothing,
    lost_records::troubles_without_a_loss_are_not_taken_for_one,
    lost_records::a_decision_ends_the_hold,
    scenarios::records_of_an_earlier_version,
    scenarios::days_that_once_failed,
];

/// Prints the digest of every day, and one of all. To compare two versions of the code, diff
/// the lines that this prints in each:
///
/// `cargo test --locked -p salttiller --lib trace_digests -- --ignored --nocapture`
#[test]
#[ignore = "plays hundreds of days, for comparing versions of the code"]
fn trace_digests() {
    let mut report = Report(TraceDigest(TraceDigest::OFFSET_BASIS));
    for (suite, days) in [
        ("compound failures", compound_failures::compound_failures()),
        ("partial failures", partial_failures::days()),
    ] {
        for day in days {
            report.seeds(suite, day.name, |seed| {
                play(&compound_failures::day(&day, seed), None);
            });
        }
    }
    for (name, moment, after) in pipelines::AFTER_A_CANCELLATION {
        report.seeds("pipelines", name, |seed| {
            drop(pipelines::cancellation(seed, moment, after))
        });
    }
    for day in lost_records::days() {
        report.seeds("lost records", day.name, |seed| {
            drop(lost_records::play_loss(&day, seed))
        });
    }
    for day in lost_records::set_back_days() {
        let name = format!("{}, decided", day.name);
        report.seeds("lost records", &name, |seed| {
            let _ = lost_records::play_decision(&day, seed, lost_records::CancelAgain::Yes);
        });
    }
    report.seeds("scenarios", "plain", |seed| {
        drop(play(&scenarios::plan(seed), None))
    });
    report.seeds("scenarios", "harder", |seed| {
        drop(play(&scenarios::harder(seed), None))
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
    let day = |seed| digest_of(|| drop(play(&scenarios::harder(seed), None)));
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
