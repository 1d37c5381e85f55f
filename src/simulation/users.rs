//! The users: submissions, questions, cancellations, and what answers they accept.

use super::*;

impl World {
    pub(super) fn user(&mut self, id: String, what: Action) {
        let j = &self.jobs[&id];
        if j.is_over || (what != Action::Submit && !j.accepted) {
            if what == Action::Abort && !j.is_over {
                self.at(self.now + SECOND, Event::User(id, what));
            }
            return;
        }
        // Users name only what was accepted.
        let early = |n: &String| !self.jobs[n].accepted;
        if what == Action::Submit && j.needs.iter().any(early) {
            return self.at(self.now + SECOND, Event::User(id, what));
        }
        let (method, path, body) = match what {
            Action::Submit => (
                "POST",
                "/work".to_owned(),
                rmp_serde::to_vec(&j.spec).unwrap(),
            ),
            Action::Poll => ("GET", format!("/work/{id}"), Vec::new()),
            Action::Abort => ("POST", format!("/work/{id}/abort"), Vec::new()),
        };
        if what == Action::Abort {
            if let Some(j) = self.jobs.get_mut(&id) {
                j.cancel_asked = true;
            }
        }
        let req = request(method, &path, body);
        let mut to = self.rng.usize(0..3);
        while self.now < self.controllers[to].cut_users {
            to = (to + 1) % 3;
        }
        let lag = self.lag();
        self.at(
            self.now + lag,
            Event::Ask(
                to,
                req,
                Requester::User {
                    job: id,
                    what,
                    sent: self.now,
                },
            ),
        );
    }

    pub(super) fn answer_user(&mut self, id: String, what: Action, sent: Micros, r: Response) {
        let again = self.now + SECOND * if what == Action::Poll { 5 } else { 1 };
        let refused = matches!(r.status, 429 | 503);
        if refused && r.retry_after.is_none() {
            self.breaks("no_retry_after", format!("{id}: {what:?}"));
        }
        if !matches!(r.status, 200 | 201) {
            let accepted = self.jobs[&id].accepted;
            if matches!(r.status, 400 | 422) || (accepted && r.status == 404) {
                self.breaks("forgotten", format!("{id}: {what:?} got {}", r.status));
            }
            return self.at(again, Event::User(id, what));
        }
        let stage = read(&r.body)["stage"].as_str().unwrap_or("").to_owned();
        let now = self.now;
        let told = self.ancestors_told(&id);
        let Some(j) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut wrong = None;
        // A question asked before the last word was out may cross it.
        let after = sent >= j.told_at;
        if after
            && ((j.done_told && stage != "done")
                || (j.cancel_told.is_some() && stage != "cancelled"))
        {
            wrong = Some("went_back");
        }
        let along = told.is_some();
        if matches!(stage.as_str(), "queued" | "running")
            && told.flatten().is_some_and(|t| sent > t + 41 * SECOND)
        {
            wrong = Some("orphaned");
        }
        if stage == "cancelled" && !j.cancel_asked && along && j.cancel_told.is_none() {
            self.seen.along += 1;
        }
        if stage == "cancelled" && !j.cancel_asked && !along {
            wrong = Some("went_back");
        }
        if stage == "done" && (j.done.len() as u32) < j.tasks {
            wrong = Some("not_done");
        }
        let first = !j.accepted;
        if first {
            j.accepted_at = now;
        }
        j.accepted = true;
        j.answered = now;
        if matches!(stage.as_str(), "done" | "cancelled") && j.told_at == 0 {
            j.told_at = now;
        }
        if what == Action::Abort && (j.done.len() as u32) == j.tasks {
            self.seen.at_end.0 += u32::from(stage == "done");
            self.seen.at_end.1 += u32::from(stage == "cancelled");
        }
        match stage.as_str() {
            "done" => j.done_told = true,
            "cancelled" => {
                if j.cancel_told.is_none() {
                    let refused = self.controllers.iter().any(|c| now < c.refused);
                    self.seen.cancels_refused += u32::from(refused);
                    let prefix = format!("{id}/");
                    let on = self.workers.values().flat_map(|w| w.tasks.iter());
                    let on = on.filter(|(t, s)| t.starts_with(&prefix) && s.stage != "ended");
                    self.seen.cancelled_running += on.count() as u32;
                }
                j.cancel_told.get_or_insert(now);
            }
            _ => {}
        }
        if let Some(rule) = wrong {
            return self.breaks(rule, format!("{id}: {what:?} says {stage}"));
        }
        if what != Action::Abort && (first || what == Action::Poll) {
            let storm = self.now < self.storm;
            self.seen.storm_questions += u32::from(storm);
            let next = if storm {
                self.now + 5 * SECOND / 30
            } else {
                again + 4 * SECOND
            };
            self.at(next, Event::User(id, Action::Poll));
        }
    }
}
