//! Reads: the first one page by page, then watches and barriers.

use super::*;

impl StateStore {
    pub(super) fn pump_load(&mut self, now: Micros, next: &mut Micros) {
        if let Loading::Needed { not_before } = self.load {
            if now < not_before {
                *next = (*next).min(not_before);
                return;
            }
            self.load = Loading::Reading {
                fresh: Box::default(),
                from: None,
                start: None,
                sent: None,
                waiting: false,
                known: self.replica.revision,
            };
        }
        if let Loading::Reading {
            from,
            waiting,
            sent,
            ..
        } = &mut self.load
        {
            if *waiting {
                return;
            }
            *waiting = true;
            sent.get_or_insert(now);
            let mut target = format!("/store?under={PREFIX}&page=500");
            if let Some(f) = from {
                target.push_str("&from=");
                target.push_str(f);
            }
            self.send(
                Operation::Page { sent: now },
                "GET",
                target,
                Vec::new(),
                4 * SECOND,
            );
        }
    }

    pub(super) fn pump_reads(&mut self, now: Micros, next: &mut Micros) {
        let from = self.replica.revision;
        if !self.barrier_busy {
            let due = if self.barrier_wanted {
                self.barrier_next
            } else {
                (self.fresh_at.unwrap_or(0) + SYNC_EVERY).max(self.barrier_next)
            };
            if now >= due && self.requests.has(1.0) {
                self.barrier_busy = true;
                self.barrier_wanted = false;
                self.barrier_next = now + self.barrier_gap;
                let watch = self.barrier_watch();
                let target = format!("/follow?under={PREFIX}&from={}&waitMs=0", watch.from);
                self.send(
                    Operation::Barrier { sent: now, watch },
                    "GET",
                    target,
                    Vec::new(),
                    SECOND,
                );
            } else {
                *next = (*next).min(due.max(now + self.requests.wait(1.0)));
            }
        }
        if !self.follow_busy {
            if now >= self.follow_next && self.requests.has(1.0) {
                self.follow_busy = true;
                let target = format!(
                    "/follow?under={PREFIX}&from={from}&waitMs={}",
                    FOLLOW_WAIT / MILLISECOND
                );
                let timeout = FOLLOW_WAIT + 3 * SECOND;
                self.send(
                    Operation::Follow { from },
                    "GET",
                    target,
                    Vec::new(),
                    timeout,
                );
            } else {
                *next = (*next).min(self.follow_next.max(now + self.requests.wait(1.0)));
            }
        }
    }

    pub(super) fn on_page(
        &mut self,
        _sent: Micros,
        result: Result<Response, CallError>,
        now: Micros,
        events: &mut Vec<StateStoreEvent>,
    ) {
        let page: Option<Page> = match result {
            Ok(r) if r.status == 200 => decode(&r.body),
            Ok(r) => {
                log::debug!("registry: page: status {}", r.status);
                None
            }
            Err(e) => {
                log::debug!("registry: page: {e}");
                None
            }
        };
        let Loading::Reading {
            fresh,
            from,
            start,
            sent,
            waiting,
            known,
        } = &mut self.load
        else {
            return;
        };
        let Some(page) = page else {
            let not_before = now + 300 * MILLISECOND + fastrand::u64(0..200 * MILLISECOND);
            self.load = Loading::Needed { not_before };
            return;
        };
        *waiting = false;
        start.get_or_insert(page.revision);
        let last = page.pairs.last().map(|p| p.key.clone());
        for p in page.pairs {
            fresh.event(&p.key, Some(p.value), p.version);
        }
        if page.more && last.is_some() {
            *from = last;
            return;
        }
        // Changes made while the pages were read come again by watching from the
        // first page's revision; the versions tell which are known.
        fresh.reached(start.unwrap_or(0));
        let began = *sent;
        let known = *known;
        let fresh = std::mem::take(fresh);
        let missing = self.missing_since(known, &fresh);
        self.replica = *fresh;
        self.load = Loading::Done;
        if self.recent.is_some() {
            self.recent = Some(RecentChanges::starting_at(self.replica.revision));
        }
        log::info!(
            "registry: replica: read, revision {}, {} jobs, {} machines",
            self.replica.revision,
            self.replica.jobs.len(),
            self.replica.machines.len()
        );
        if let Some(b) = began {
            self.fresh_at = Some(self.fresh_at.unwrap_or(0).max(b));
        }
        self.failing = false;
        events.push(StateStoreEvent::Loaded);
        events.extend(missing.map(StateStoreEvent::RecordsLost));
    }

    pub(super) fn on_follow(
        &mut self,
        watch: Watch,
        result: Result<Response, CallError>,
        now: Micros,
        events: &mut Vec<StateStoreEvent>,
    ) -> bool {
        let r = match result {
            Ok(r) => r,
            Err(CallError::TooLarge) => {
                // Guards against a controller that was away while so much changed that the
                // answer is never read: pages are bounded.
                log::info!("registry: watch: too many changes at once, reading all again");
                self.load = Loading::Needed { not_before: now };
                return false;
            }
            Err(e) => {
                log::debug!("registry: watch: {e}");
                return false;
            }
        };
        if r.status == 410 {
            log::info!("registry: watch: revision too old, reading all again");
            if self.loaded() {
                self.load = Loading::Needed { not_before: now };
            }
            return false;
        }
        if r.status != 200 {
            log::debug!("registry: watch: status {}", r.status);
            return false;
        }
        let Some(f) = decode::<Changes>(&r.body) else {
            return false;
        };
        if let Some(finding) = self.recognise(&watch, &f) {
            events.push(StateStoreEvent::RecordsLost(finding));
            return false;
        }
        let mut changed = Vec::new();
        for e in f.events {
            if let Some(k) = &e.put {
                changed.extend(self.replica.event(k, e.value, e.version));
            } else if let Some(k) = &e.delete {
                changed.extend(self.replica.event(k, None, e.version));
            }
        }
        self.replica.reached(f.revision);
        if !changed.is_empty() {
            events.push(StateStoreEvent::Changed(changed));
        }
        true
    }
}
