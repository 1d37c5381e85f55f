//! Records, settings and heartbeats for the tests of the region.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use salttiller_records::units::Micros;
use serde_json::json;

use crate::region::{HeartbeatOutcome, Region, SchedulingContext};
use crate::settings::Settings;
use crate::state_store::replica::Replica;
use crate::worker_protocol::{CommandKind, Heartbeat, HeartbeatId, ReportedState, ReportedTask};

/// Records and settings that the tested region reads.
pub(in crate::region) struct Fixture {
    pub(in crate::region) replica: Replica,
    pub(in crate::region) settings: Settings,
    /// The revision of the last change.
    pub(in crate::region) revision: u64,
    /// Teams whose quota blocks jobs in other regions, with the scheduling rank of the first
    /// blocked job.
    pub(in crate::region) quota_blocked_teams: BTreeMap<String, u64>,
    pub(in crate::region) may_start: bool,
    pub(in crate::region) reported_cancelled: BTreeSet<String>,
}

impl Fixture {
    /// Creates a fixture with the sample settings and a record of one machine type, `box`.
    pub(in crate::region) fn new() -> Self {
        let mut fixture = Fixture {
            replica: Replica::default(),
            settings: Settings::parse("f", &crate::settings::tests::sample()).unwrap(),
            revision: 0,
            quota_blocked_teams: BTreeMap::new(),
            may_start: true,
            reported_cancelled: BTreeSet::new(),
        };
        fixture.put(
            "st/flavor/box",
            json!({"name":"box","cpus":4_000_000,"gpus":0,"mem":9_000_000,"fetch":1,
            "price":1,"spot_price":1,"boot":10_000_000,"zones":["a"]}),
        );
        fixture
    }

    /// Puts a record into the replica.
    pub(in crate::region) fn put(&mut self, key: &str, value: serde_json::Value) {
        self.revision += 1;
        self.replica
            .apply_event(key, Some(value), self.revision)
            .unwrap();
        self.replica.complete_up_to(self.revision);
    }

    /// Adds an activated machine of the region.
    pub(in crate::region) fn add_machine(&mut self, name: &str) {
        let record = json!({"region":"t-0","flavor":"box","zone":"a","spot":false,"opened":true});
        self.put(&format!("st/machine/{name}"), record);
    }

    /// Adds an array whose tasks take half a machine each, submitted at `at`.
    pub(in crate::region) fn add_job(
        &mut self,
        id: &str,
        team: &str,
        class: &str,
        priority: &str,
        tasks: u32,
        at: u64,
    ) {
        let record = json!({"st":"o","b":[[0,tasks,"t-0"]],"j":{"c":class,"t":team,"k":"a","r":priority,"n":tasks,
            "u":2_000_000,"m":1_000_000,"i":"img","e":5_000_000,"a":at}});
        self.put(&format!("st/job/{id}"), record);
    }

    /// Records the region's share of a team's quota.
    pub(in crate::region) fn set_share(&mut self, team: &str, cpus: u64) {
        self.put(&format!("st/quota/{team}"), json!({"t-0":[cpus,0]}));
    }

    /// Returns the scheduling context of the region at this time.
    pub(in crate::region) fn context(&self, now: Micros) -> SchedulingContext<'_> {
        SchedulingContext {
            replica: &self.replica,
            settings: &self.settings,
            now,
            wall: now,
            quota_blocked_teams: &self.quota_blocked_teams,
            may_start: self.may_start,
            are_records_verified: true,
            reported_cancelled: &self.reported_cancelled,
        }
    }

    /// Acquires the region with this fencing token.
    pub(in crate::region) fn acquire(&self, token: u64, now: Micros) -> Region {
        Region::new("t-0", token, 1, &self.context(now))
    }
}

/// Returns a heartbeat with these running tasks (job, task, attempt).
pub(in crate::region) fn heartbeat(
    machine: &str,
    sequence: u64,
    token: u64,
    tasks: &[(&str, u32, u64)],
) -> Heartbeat {
    Heartbeat {
        machine: machine.into(),
        machine_type: "box".into(),
        zone: "a".into(),
        spot: false,
        id: HeartbeatId {
            incarnation: 1,
            sequence,
        },
        token,
        interruption_in: None,
        tasks: tasks
            .iter()
            .map(|(job, task, attempt)| ReportedTask {
                job: Rc::from(*job),
                task: *task,
                attempt: *attempt,
                state: ReportedState::Running,
            })
            .collect(),
    }
}

/// Returns the number of start commands in an answer to a heartbeat.
pub(in crate::region) fn count_starts(outcome: &HeartbeatOutcome) -> usize {
    match outcome {
        HeartbeatOutcome::Accepted(commands) => commands
            .iter()
            .filter(|command| command.kind == CommandKind::Start)
            .count(),
        _ => 0,
    }
}
