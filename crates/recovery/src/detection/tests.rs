//! Tests of findings: what counts as evidence, and when.

use super::*;

/// When the report of a case comes.
const REPORTED_AT: Micros = 10;

fn report(token: u64, recorded_token: u64, unknown_job: Option<&str>) -> ReportEvidence<'_> {
    ReportEvidence {
        machine: "m-1",
        token,
        recorded_token,
        unknown_job,
    }
}

/// A read that completes after the report.
struct Read {
    sent: Micros,
    recorded_token: u64,
    job_known: bool,
}

fn read(sent: Micros, recorded_token: u64, job_known: bool) -> Read {
    Read {
        sent,
        recorded_token,
        job_known,
    }
}

struct EvidenceCase {
    name: &'static str,
    reported: ReportEvidence<'static>,
    reads: Vec<Read>,
    /// Whether a read confirms the finding.
    found: bool,
}

fn case(
    name: &'static str,
    reported: ReportEvidence<'static>,
    reads: Vec<Read>,
    found: bool,
) -> EvidenceCase {
    EvidenceCase {
        name,
        reported,
        reads,
        found,
    }
}

fn evidence_cases() -> Vec<EvidenceCase> {
    let unchanged = || vec![read(20, 4, true)];
    let token_unknown = report(9, 4, None);
    let wiped = report(9, 0, None);
    let job_unknown = report(4, 4, Some("req-1"));
    let early_then_late = vec![read(10, 4, false), read(20, 4, false)];
    vec![
        case("nothing odd", report(4, 4, None), unchanged(), false),
        case(
            "a first start",
            report(0, 0, None),
            vec![read(20, 0, true)],
            false,
        ),
        case(
            "a token just handed out",
            report(5, 4, None),
            vec![read(20, 5, true)],
            false,
        ),
        case("a token never handed out", token_unknown, unchanged(), true),
        case("a wiped store", wiped, vec![read(20, 0, false)], true),
        case(
            "read begun before",
            token_unknown,
            vec![read(10, 4, true)],
            false,
        ),
        case("job just accepted", job_unknown, unchanged(), false),
        case("job without a record", job_unknown, early_then_late, true),
    ]
}

#[test]
fn evidence_counts_after_a_read_that_began_later() {
    for case in evidence_cases() {
        let (name, reported) = (case.name, case.reported);
        let mut detection = Detection::starting(0, SECOND);
        let suspicious = detection.check_report(reported, REPORTED_AT);
        assert_eq!(
            suspicious,
            reported.token > reported.recorded_token || reported.unknown_job.is_some(),
            "{name}"
        );
        let mut finding = None;
        for read in case.reads {
            let result = detection.on_read(read.sent, read.recorded_token, |_| read.job_known);
            finding = finding.or(result);
        }
        assert_eq!(finding.is_some(), case.found, "{name}: {finding:?}");
    }
}

#[test]
fn a_start_is_proven_when_workers_had_the_time_to_report() {
    let detection = Detection::starting(100, 3 * SECOND);
    assert!(!detection.is_proven(100 + 7 * SECOND));
    assert!(detection.is_proven(100 + 8 * SECOND));
}
