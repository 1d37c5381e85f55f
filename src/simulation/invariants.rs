//! Action must hold in the simulated world beyond what each event is checked for.

use super::*;

impl World {
    /// All that is looked at every few seconds of a day.
    pub(super) fn check_invariants(&mut self) {
        self.check_cancelled();
        self.check_known();
        self.check_waiting();
    }

    /// Whether users asked to cancel a job that this one needs, through others too, and
    /// when the first was told that it is.
    pub(super) fn ancestors_told(&self, id: &str) -> Option<Option<Micros>> {
        let mut todo = self.jobs[id].needs.clone();
        let mut found: Option<Option<Micros>> = None;
        while let Some(n) = todo.pop() {
            let j = &self.jobs[&n];
            if j.cancel_asked {
                let first = [found.flatten(), j.cancel_told].into_iter().flatten().min();
                found = Some(first);
            }
            todo.extend(j.needs.iter().cloned());
        }
        found
    }

    /// Jobs that are not over, or not even accepted.
    pub(super) fn left_open(&self) -> Vec<&String> {
        let open = |j: &Job| !j.accepted || !(j.done_told || j.cancel_told.is_some());
        let left = self.jobs.iter().filter(|(_, j)| open(j));
        left.map(|(id, _)| id).collect()
    }

    /// Who is on record as the leader.
    pub(super) fn leads(&self) -> usize {
        let holder = self.store.data.get("st/leader");
        let name = holder.and_then(|(v, ..)| v["holder"].as_str().map(str::to_owned));
        let mut names = self.settings.iter();
        names
            .position(|s| Some(&s.name) == name.as_ref())
            .unwrap_or(0)
    }

    /// Once all troubles are over, no accepted job is left without an answer for
    /// 75 s, however the others fare, and whether it is over or not.
    pub(super) fn check_known(&mut self) {
        let now = self.now;
        let left: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.accepted)
            .filter(|(_, j)| now > j.answered.max(self.troubles_end) + 75 * SECOND)
            .map(|(id, _)| id.clone())
            .collect();
        for id in left {
            self.breaks("forgotten", format!("{id}: no answer for 75 s"));
        }
    }

    /// Once all troubles are over, no job waits for 90 s while machines have room for
    /// what it lacks and its team is under its limit.
    pub(super) fn check_waiting(&mut self) {
        let now = self.now;
        let mut used: BTreeMap<String, f64> = BTreeMap::new();
        let mut free: Vec<(bool, f64, f64)> = Vec::new();
        let mut on: BTreeMap<String, u32> = BTreeMap::new();
        for w in self.workers.values() {
            if self.lapsed(w) || w.token == 0 {
                continue;
            }
            let (mut cpus, mut mem) = if w.machine_type == "box" {
                (4.0, 16.0)
            } else {
                (8.0, 64.0)
            };
            for (t, s) in w.tasks.iter().filter(|(_, s)| s.stage != "ended") {
                let id = salttiller_records::model::parse_task(t).unwrap().0;
                let j = &self.jobs[id];
                cpus -= j.cpus;
                mem -= 1.0;
                let team = j.spec["crew"].as_str().unwrap().to_owned();
                *used.entry(team).or_default() += j.cpus;
                *on.entry(id.to_owned()).or_default() += u32::from(s.stage != "ended");
            }
            free.push((w.spot, cpus, mem));
        }
        let mut stuck = Vec::new();
        for (id, j) in &self.jobs {
            let over = j.done_told || j.cancel_told.is_some() || j.cancel_asked;
            let have = on.get(id).copied().unwrap_or(0) + j.done.len() as u32;
            let undone = |n: &String| (self.jobs[n].done.len() as u32) < self.jobs[n].tasks;
            let held = j.needs.iter().any(undone);
            if !j.accepted || over || held || have >= j.tasks {
                self.waits.remove(id);
                continue;
            }
            let gang = j.spec["furrow"] != "batch";
            let lack = if gang { j.tasks - have } else { 1 };
            let fits = |(spot, cpus, mem): &(bool, f64, f64)| {
                if *spot && !j.spec["fallow"].as_bool().unwrap() {
                    return 0;
                }
                (cpus / j.cpus + 1e-6).min(*mem).max(0.0) as u32
            };
            let room: u32 = free.iter().map(fits).sum();
            let team = j.spec["crew"].as_str().unwrap();
            let limit = self.settings[0].team(team).unwrap().limit;
            let limit = limit.map_or(f64::INFINITY, |l| l.cpus as f64 / 1e6);
            let use_ = used.get(team).copied().unwrap_or(0.0);
            self.seen.crowded += u32::from(room < lack);
            if room < lack || use_ + lack as f64 * j.cpus > limit + 1e-6 {
                self.waits.remove(id);
                continue;
            }
            let begun = j.starts;
            let e = self.waits.entry(id.clone()).or_insert((now, begun));
            if e.1 != begun {
                *e = (now, begun);
            }
            let since = e.0;
            if now > since.max(self.troubles_end) + 90 * SECOND {
                stuck.push(format!(
                    "{id}: {} of {have} there, room for {room}, team uses {use_} of {limit}, {}",
                    j.tasks, j.spec
                ));
            }
        }
        for what in stuck {
            self.breaks("waits", what);
        }
    }

    /// Every cancelled job's tasks are gone in time, hanging machines included.
    pub(super) fn check_cancelled(&mut self) {
        let late: Vec<String> = self
            .workers
            .values()
            .filter(|w| !self.lapsed(w))
            .flat_map(|w| {
                w.tasks
                    .iter()
                    .filter(|(_, s)| s.stage != "ended")
                    .map(|(t, _)| t.clone())
            })
            .filter(|t| {
                self.jobs[salttiller_records::model::parse_task(t).unwrap().0]
                    .cancel_told
                    .is_some_and(|c| self.now > c + 41 * SECOND)
            })
            .collect();
        for t in late {
            self.breaks("ran_cancelled", t);
        }
    }
}
