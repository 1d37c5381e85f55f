//! The workers: reports, commands, leases, gangs.

use super::*;

impl World {
    pub(super) fn report(&mut self, name: &str, timer: u64) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        if w.timer != timer || w.dead {
            return;
        }
        if now < w.hangs {
            let at = w.hangs;
            return self.at(at, Event::Report(name.into(), timer));
        }
        if now > w.answered + 16 * SECOND {
            w.season += 1;
            self.seen.lapsed += u32::from(!w.tasks.is_empty());
            w.tasks.clear();
            w.answered = now;
        }
        w.tally += 1;
        let tasks: Vec<Value> = w
            .tasks
            .iter()
            .map(|(t, s)| {
                let mut v = json!({"sheaf": t, "sowing": s.attempt, "stage": s.stage});
                if s.stage == "ended" {
                    v["blight"] = json!(s.why);
                }
                v
            })
            .collect();
        let body = json!({"tiller": name, "address": "x", "plot": w.machine_type, "field": "a", "fallow": w.spot,
            "season": w.season, "tally": w.tally, "brand": w.token, "reclaimS": null, "sheaves": tasks});
        let requester = Requester::Worker {
            machine: name.into(),
            season: w.season,
            sent: now,
            tally: w.tally,
        };
        let req = request("POST", "/v1/report", rmp_serde::to_vec(&body).unwrap());
        if now < w.zone.1 {
            w.at = w.zone.0;
        }
        let to = w.at;
        w.timer += 1;
        let t = w.timer;
        if now < self.copies {
            let late = now + SECOND * self.rng.u64(1..48);
            let to = self.rng.usize(0..3);
            self.at(late, Event::Ask(to, req.clone(), Requester::Nobody));
        }
        // Without an answer for 4 s the worker turns to the next node.
        self.at(now + 4 * SECOND, Event::Report(name.into(), t));
        let lag = self.lag();
        if self.workers.get(name).is_some_and(|w| now < w.mute) {
            // No connection to anyone: it tries the next a second later.
            if let Some(w) = self.workers.get_mut(name) {
                w.at = (to + 1) % 3;
                w.timer += 1;
                let t = w.timer;
                self.at(now + SECOND, Event::Report(name.into(), t));
            }
        } else if now < self.controllers[to].cut_workers {
            // Half of what a cut holds back comes late, the rest never.
            if self.rng.bool() {
                let at = self.controllers[to].cut_workers + lag;
                self.at(at, Event::Ask(to, req, requester));
            }
            if let Some(w) = self.workers.get_mut(name) {
                w.at = (to + 1) % 3;
            }
        } else {
            self.at(now + lag, Event::Ask(to, req, requester));
        }
    }

    pub(super) fn answer(&mut self, requester: Requester, r: Response) {
        match requester {
            Requester::Worker {
                machine,
                season,
                sent,
                tally,
            } => self.answer_worker(&machine, season, sent, tally, r),
            Requester::User { job, what, sent } => self.answer_user(job, what, sent, r),
            Requester::Nobody => {}
            Requester::Probe(number) => {
                self.probes.insert(number, (r.status, read(&r.body)));
            }
        }
    }

    pub(super) fn answer_worker(
        &mut self,
        name: &str,
        season: u64,
        sent: Micros,
        tally: u64,
        r: Response,
    ) {
        let now = self.now;
        let next = now + SECOND * 3;
        let hosts: Vec<String> = self.settings.iter().map(|s| s.name.clone()).collect();
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        self.seen.late_answers += u32::from(now > sent + 4 * SECOND);
        if w.dead
            || w.season != season
            || w.tally != tally
            || now > sent + 4 * SECOND
            || now < w.hangs
            || now < w.deaf
        {
            return;
        }
        w.timer += 1;
        let t = w.timer;
        let v = read(&r.body);
        if r.status != 200 {
            let to = v["steward"]
                .as_str()
                .and_then(|s| hosts.iter().position(|h| h == s));
            let wait = match to {
                Some(i) if r.status == 421 && i != w.at => {
                    w.at = i;
                    100 * MILLISECOND
                }
                _ => {
                    w.at = (w.at + 1) % 3;
                    SECOND
                }
            };
            return self.at(now + wait, Event::Report(name.into(), t));
        }
        let token = v["brand"].as_u64().unwrap_or(0);
        if token < w.token {
            return self.at(next, Event::Report(name.into(), t));
        }
        let soon = token > w.token || v["calls"].as_array().is_some_and(|c| !c.is_empty());
        w.token = token;
        w.answered = sent;
        let at = w.at;
        let blind = now < self.store.down || now < self.controllers[at].refused;
        self.seen.answered_blind += u32::from(blind);
        for c in v["calls"].as_array().cloned().unwrap_or_default() {
            let task = c["sheaf"].as_str().unwrap().to_owned();
            let attempt = c["sowing"].as_u64().unwrap();
            self.command(name, c["call"].as_str().unwrap(), task, attempt);
        }
        let at = if soon { now + SECOND / 2 } else { next };
        self.at(at, Event::Report(name.into(), t));
    }

    pub(super) fn command(&mut self, name: &str, call: &str, task: String, attempt: u64) {
        let (job, n) = salttiller_records::model::parse_task(&task).unwrap();
        let (job, n) = (job.to_owned(), n);
        match call {
            "start" => {
                if !self.jobs.contains_key(&job) {
                    return;
                }
                let known = self.workers[name].tasks.get(&task);
                if known.is_some_and(|t| t.attempt == attempt) {
                    return;
                }
                self.starts += 1;
                if let Some(j) = self.jobs.get_mut(&job) {
                    j.starts += 1;
                }
                let j = &self.jobs[&job];
                // On a machine already, whatever that machine is doing?
                let elsewhere: Vec<String> = self
                    .workers
                    .iter()
                    .filter(|(m, w)| {
                        *m != name
                            && !self.lapsed(w)
                            && w.tasks.get(&task).is_some_and(|t| t.stage != "ended")
                    })
                    .map(|(m, _)| m.clone())
                    .collect();
                if let Some(m) = elsewhere.first() {
                    let what = format!("{task} starts on {name} while on {m}");
                    return self.breaks("ran_twice", what);
                }
                let at = self.workers[name].at;
                let blind = self.now < self.store.down || self.now < self.controllers[at].refused;
                self.seen.started_blind += u32::from(blind);
                if let Some(t) = j.cancel_told {
                    // One that was on its way is carried out for up to 4 s.
                    let held = self.now < self.held_answers + 6 * SECOND;
                    // A controller that hears nobody may know of it 3 s later.
                    let deaf = self.now < self.controllers[at].cut_mesh;
                    let way = match (held, deaf) {
                        (true, _) => 4 * SECOND,
                        (_, true) => crate::state_store::FRESH_FOR + 100 * MILLISECOND,
                        _ => 100 * MILLISECOND,
                    };
                    self.seen.starts_after_cancel += u32::from(self.now > t + way);
                    if self.now > t + 41 * SECOND {
                        return self.breaks("ran_cancelled", task);
                    }
                }
                let undone = |n: &&String| (self.jobs[*n].done.len() as u32) < self.jobs[*n].tasks;
                if let Some(n) = j.needs.iter().find(undone) {
                    let what = format!("{task} starts, {n} isn't done");
                    return self.breaks("too_early", what);
                }
                self.seen.after_others += u32::from(!j.needs.is_empty());
                if self.workers[name].spot && !j.spec["fallow"].as_bool().unwrap() {
                    return self.breaks("wrong_place", task);
                }
                let gang = j.spec["furrow"] == "gang";
                let service = j.spec["furrow"] == "standing";
                let long = self.load == Load::Apart && n == 0;
                let run = match (gang, service) {
                    _ if long && !service => 4 * j.run,
                    (true, _) => 30 * SECOND, // waits so long for the others
                    (_, true) => 100_000 * SECOND,
                    _ => j.run,
                };
                let done = j.done.contains(&n);
                let ends = if done { self.now } else { self.now + run };
                let stage = if gang && !done {
                    "gathering"
                } else {
                    "running"
                };
                let t = Task {
                    attempt,
                    stage,
                    why: "done",
                    ends,
                };
                let season = self.workers[name].season;
                if let Some(w) = self.workers.get_mut(name) {
                    w.tasks.insert(task, t);
                }
                self.check_quota();
                self.at(ends, Event::Progress(name.into(), season));
                if gang {
                    self.gather(&job, attempt);
                }
            }
            "stop" => {
                if let Some(w) = self.workers.get_mut(name) {
                    if let Some(t) = w.tasks.get_mut(&task) {
                        if t.attempt == attempt && t.stage != "ended" {
                            t.stage = "ended";
                            t.why = "stopped";
                        }
                    }
                }
            }
            _ => {
                if let Some(w) = self.workers.get_mut(name) {
                    if w.tasks
                        .get(&task)
                        .is_some_and(|t| t.attempt == attempt && t.stage == "ended")
                    {
                        w.tasks.remove(&task);
                    }
                }
            }
        }
    }

    pub(super) fn gather(&mut self, job: &str, attempt: u64) {
        let want = self.jobs[job].tasks;
        let run = self.jobs[job].run;
        let prefix = format!("{job}/");
        let here: Vec<(String, String, u64)> = self
            .workers
            .iter()
            .filter(|(_, w)| !w.dead)
            .flat_map(|(m, w)| {
                w.tasks
                    .iter()
                    .filter(|(t, s)| {
                        t.starts_with(&prefix) && s.attempt == attempt && s.stage == "gathering"
                    })
                    .map(|(t, _)| (m.clone(), t.clone(), w.season))
            })
            .collect();
        if here.len() as u32 == want {
            let ends = self.now + run;
            for (m, t, season) in here {
                if let Some(s) = self.workers.get_mut(&m).and_then(|w| w.tasks.get_mut(&t)) {
                    s.stage = "running";
                    s.ends = ends;
                }
                self.at(ends, Event::Progress(m, season));
            }
        }
    }

    /// Whether a worker is gone or has lost its lease, and with it its tasks.
    pub(super) fn lapsed(&self, w: &Worker) -> bool {
        w.dead || self.now > w.answered + 16 * SECOND
    }

    /// Whether every task of a gang's attempt is there and running.
    pub(super) fn together(&self, job: &str, attempt: u64) -> bool {
        (0..self.jobs[job].tasks).all(|n| {
            let t = format!("{job}/{n}");
            self.workers.values().any(|w| {
                !self.lapsed(w)
                    && w.tasks
                        .get(&t)
                        .is_some_and(|s| s.attempt == attempt && s.stage == "running")
            })
        })
    }

    pub(super) fn progress(&mut self, name: &str, season: u64) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        // A worker whose lease ran out has killed its tasks.
        if w.season != season || w.dead || now > w.answered + 16 * SECOND {
            return;
        }
        if now < w.hangs {
            let at = w.hangs;
            return self.at(at, Event::Progress(name.into(), season));
        }
        w.timer += 1;
        let timer = w.timer;
        let due: Vec<(String, u64, &str)> = w
            .tasks
            .iter()
            .filter(|(_, s)| s.stage != "ended" && s.ends <= now)
            .map(|(t, s)| (t.clone(), s.attempt, s.stage))
            .collect();
        for (t, attempt, stage) in due {
            let (job, n) = salttiller_records::model::parse_task(&t).unwrap();
            let gang = self.jobs[job].spec["furrow"] == "gang";
            let known = self.jobs[job].done.contains(&n);
            // A gang is done together, or not at all.
            let whole = !gang || known || self.together(job, attempt);
            let fails = self.jobs[job].fails && stage == "running";
            self.seen.failures += u32::from(fails);
            let why = match (stage, whole) {
                _ if fails => "error",
                ("gathering", _) => "incomplete",
                (_, true) => "done",
                _ => "mates_gone",
            };
            if let Some(s) = self.workers.get_mut(name).and_then(|w| w.tasks.get_mut(&t)) {
                s.stage = "ended";
                s.why = why;
            }
            if why == "done" {
                if let Some(j) = self.jobs.get_mut(job) {
                    if gang {
                        j.done.extend(0..j.tasks);
                    } else {
                        j.done.insert(n);
                    }
                    if j.done.len() == 1 {
                        j.first_end = self.seen.leaders;
                    } else if j.first_end < self.seen.leaders {
                        self.seen.split_ends += 1;
                    }
                    let last = j.done.len() as u32 == j.tasks;
                    if last && now < self.cancel_at_end && !j.cancel_asked {
                        let soon = now + self.rng.u64(0..200) * MILLISECOND;
                        let id = job.to_owned();
                        self.at(soon, Event::User(id, Action::Abort));
                    }
                }
            }
        }
        self.at(now + 10 * MILLISECOND, Event::Report(name.into(), timer));
    }

    pub(super) fn check_quota(&mut self) {
        let mut used: BTreeMap<String, f64> = BTreeMap::new();
        for w in self.workers.values().filter(|w| !self.lapsed(w)) {
            for (t, s) in &w.tasks {
                if s.stage != "ended" {
                    let j = &self.jobs[salttiller_records::model::parse_task(t).unwrap().0];
                    *used
                        .entry(j.spec["crew"].as_str().unwrap().into())
                        .or_default() += j.cpus;
                }
            }
        }
        for (team, u) in used {
            let limit = self.settings[0].team(&team).unwrap().limit;
            let limit = limit.map_or(f64::INFINITY, |l| l.cpus as f64 / 1e6);
            self.seen.peak_use = self.seen.peak_use.max(u / limit);
            if u > limit + 1e-6 {
                self.breaks("quota", format!("{team} uses {u} of {limit}"));
            }
        }
    }
}
