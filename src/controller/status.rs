//! What operators are told.

use super::*;
use crate::alerts::conditions::Condition;
use crate::slo::ObservedJob;

impl<N: Net> Controller<N> {
    /// What is wrong just now, the gravest first.
    pub(super) fn cause(&self) -> &'static str {
        let unsettled = |(r, _): &(peer_protocol::RegionReport, Micros)| !r.reconciled;
        if self.held.is_some() {
            "state service lost records"
        } else if self.registry.failing() {
            "state service down"
        } else if self.reports.len() < self.settings.region_count()
            || self.reports.values().any(unsettled)
        {
            "takeover under way"
        } else if self.cloud_client.is_unavailable() {
            "cloud down"
        } else if self.leader.as_ref().is_some_and(|l| l.refused(self.now)) {
            "no capacity"
        } else if self
            .leader
            .as_ref()
            .is_some_and(|l| !l.boots.in_trouble().is_empty())
        {
            "machines come up late or not at all"
        } else if self.regions.values().any(Region::is_quota_blocked) {
            "quota"
        } else {
            "backlog"
        }
    }

    /// Looks at how the aims are met; the leader tells the operators.
    pub(super) fn look_at_aims(&mut self) {
        let replica = &self.registry.replica;
        let last: BTreeMap<&str, (u64, String)> = replica
            .teams
            .keys()
            .filter_map(|t| {
                let last = quota::last_guaranteed(replica, &self.settings, t)?;
                Some((t.as_str(), last))
            })
            .collect();
        let running: BTreeSet<&str> = self
            .reports
            .values()
            .flat_map(|(r, _)| r.running_tasks.iter().map(|c| c.job.as_str()))
            .collect();
        let replica = &self.registry.replica;
        let open = replica.open_jobs().map(|(id, _, spec)| ObservedJob {
            id,
            spec,
            guaranteed: last
                .get(spec.team.as_str())
                .is_some_and(|l| (spec.submitted_at, id) <= (l.0, &l.1)),
            started: running.contains(id.as_str()) || replica.progress.contains_key(id),
            pipeline: replica.pipeline_end(id),
        });
        let done = |id: &str| replica.stage(id) == Some(JobStage::Done);
        let is_open = |id: &str| replica.stage(id) == Some(JobStage::Open);
        let wall = self.reactor.wall();
        let mut signals = self
            .aims
            .observe_jobs(open, done, is_open, wall, self.cause());
        let conditions = self.conditions();
        signals.extend(self.aims.observe_conditions(conditions, self.now));
        if self.leader.is_some() || self.held.is_some() {
            for s in signals {
                let level = if s.is_warning() {
                    log::Level::Warn
                } else {
                    log::Level::Info
                };
                log::log!(level, "status: {s}");
            }
        }
        self.look_at_missing_needs();
    }

    /// What operators should know of just now, as far as this controller sees it.
    fn conditions(&mut self) -> Vec<Condition> {
        let mut found: Vec<Condition> = self.question_rate.sample(self.now).into_iter().collect();
        found.extend(self.records_lost());
        if let Some(l) = &self.leader {
            found.extend(l.boots.in_trouble().into_iter().map(|(offer, boots)| {
                Condition::ProvisioningFailing {
                    machine_type: offer.machine_type,
                    zone: offer.zone,
                    spot: offer.spot,
                    overdue: boots.overdue,
                    since: boots.since,
                }
            }));
        }
        found.extend(self.unreached_owners());
        let waits = self.reports.values().flat_map(|(r, _)| &r.pending_jobs);
        for w in waits.filter(|w| w.needs_new_attempt) {
            let record = self.registry.replica.jobs.get(&w.job).map(|r| &r.value);
            let Some(record) = record.filter(|r| r.multi_region.is_none()) else {
                continue;
            };
            if let Some(spec) = record.open_spec() {
                found.push(Condition::JobFailing {
                    job: w.job.clone(),
                    team: spec.team.clone(),
                    class: spec.class.clone(),
                });
            }
        }
        found
    }

    /// Says once when jobs wait for others that have no record, as only a damaged state
    /// service could bring about. They wait on, and nothing of them starts.
    pub(super) fn look_at_missing_needs(&mut self) {
        let missing = self.registry.replica.waiting_for_unknown();
        let count = missing.len();
        if count > self.missing_needs {
            let first = missing.first().map_or("", |id| id.as_str());
            log::warn!("status: {count} jobs wait for jobs without a record, {first} first");
        }
        self.missing_needs = count;
    }

    pub(super) fn status(&mut self) -> peer_protocol::Status {
        let r = &self.registry.replica;
        let mut waiting: BTreeMap<String, u32> = BTreeMap::new();
        for (rep, _) in self.reports.values() {
            for w in &rep.pending_jobs {
                if let Some(s) = r.jobs.get(&w.job).and_then(|j| j.value.open_spec()) {
                    *waiting.entry(s.class.clone()).or_default() += w.pending_tasks;
                }
            }
        }
        let held = r.pipelines.waiting().len() as u32;
        if held > 0 {
            waiting.insert("(jobs that wait for others)".to_owned(), held);
        }
        let missing = r.waiting_for_unknown().len() as u32;
        if missing > 0 {
            waiting.insert(
                "(jobs that wait for jobs without a record)".to_owned(),
                missing,
            );
        }
        let regions = self.settings.regions().into_iter().map(|name| {
            let rep = self.reports.get(&name).map(|(r, _)| r);
            let rec = r.regions.get(&name).map(|r| &r.value);
            peer_protocol::RegionStatus {
                owner: rec.map(|r| r.owner.clone()),
                token: rec.map_or(0, |r| r.token),
                reconciled: rep.is_some_and(|r| r.reconciled),
                machines: r.stock.get(&name).map_or(0, |kinds| kinds.values().sum()),
                ready_machines: rep.map_or(0, |r| {
                    let live = r.capacity.iter().filter(|l| l.available);
                    live.map(|l| l.machines).sum()
                }),
                pending_tasks: rep
                    .map_or(0, |r| r.pending_jobs.iter().map(|w| w.pending_tasks).sum()),
                region: name,
            }
        });
        let mut page = peer_protocol::Status {
            name: self.settings.name.clone(),
            incarnation: self.run,
            leader: r.leader.as_ref().map(|l| l.value.holder.clone()),
            authority_remaining_us: self.registry.authority_until().saturating_sub(self.now),
            reads_recent: self.fresh(),
            regions: regions.collect(),
            pending_tasks: waiting.into_iter().collect(),
            ..Default::default()
        };
        self.aims.fill_status(&mut page, self.reactor.wall());
        page
    }
}
