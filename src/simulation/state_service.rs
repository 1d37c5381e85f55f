//! The stand-in for the state service, written from the protocol.

use super::*;

impl World {
    pub(super) fn serve(&mut self, i: usize, life: u64, id: CallId, call: Call) {
        let (path, query) = call.target.split_once('?').unwrap_or((&call.target, ""));
        let path = path.to_owned();
        let query = query.to_owned();
        let body = read(&call.body);
        if call.destination == 1 {
            let r = self.cloud(&path, &body);
            return self.back(i, life, id, Ok(r));
        }
        self.expire_leases();
        if self.now < self.store.down || self.now < self.controllers[i].refused {
            return self.back(i, life, id, Ok(Response::new(503, Vec::new())));
        }
        let r = match path.as_str() {
            "/store" => {
                let from = query_value(&query, "from").unwrap_or("").to_owned();
                let all: Vec<Value> = self
                    .store
                    .data
                    .range(from.clone()..)
                    .filter(|(k, _)| **k != from)
                    .map(|(k, (v, m, _))| json!({"k": k, "value": v, "mark": m}))
                    .collect();
                let more = all.len() > 20;
                let pairs: Vec<Value> = all.into_iter().take(20).collect();
                reply(
                    200,
                    json!({"pairs": pairs, "more": more, "almanac": self.store.revision}),
                )
            }
            "/follow" => {
                let from: u64 = query_value(&query, "from").unwrap().parse().unwrap();
                let wait: u64 = query_value(&query, "waitMs").unwrap().parse().unwrap();
                let news = self.store.log.last().is_some_and(|(m, _, _)| *m > from);
                if wait > 0 && !news {
                    let n = self.store.next_watch;
                    self.store.next_watch += 1;
                    self.store.watches.insert(n, (i, life, id, from));
                    self.at(self.now + wait * MILLISECOND, Event::WatchEnds(n));
                    return;
                }
                self.changes(from)
            }
            "/commit" => self.commit(&body),
            "/grants" => {
                let g = self.store.next_lease;
                self.store.next_lease += 1;
                let life = body["lifeMs"].as_u64().unwrap() * MILLISECOND;
                self.store.leases.insert(g, (life, self.now + life));
                reply(200, json!({ "tenure": g }))
            }
            p => {
                let g: u64 = p.split('/').nth(2).unwrap().parse().unwrap();
                match self.store.leases.get_mut(&g) {
                    Some((life, until)) => {
                        *until = self.now + *life;
                        reply(200, json!({}))
                    }
                    None => reply(404, json!({})),
                }
            }
        };
        self.back(i, life, id, Ok(r));
    }

    pub(super) fn changes(&self, from: u64) -> Response {
        let events: Vec<Value> = self
            .store
            .log
            .iter()
            .filter(|(m, _, _)| *m > from)
            .map(|(m, k, v)| match v {
                Some(v) => json!({"put": k, "value": v, "mark": m}),
                None => json!({"delete": k, "mark": m}),
            })
            .collect();
        reply(
            200,
            json!({"almanac": self.store.revision, "events": events}),
        )
    }

    pub(super) fn wake_watches(&mut self) {
        let ready: Vec<u64> = self
            .store
            .watches
            .iter()
            .filter(|(_, w)| self.now >= self.controllers[w.0].refused)
            .map(|(n, _)| *n)
            .collect();
        for n in ready {
            if let Some((i, life, id, from)) = self.store.watches.remove(&n) {
                let r = self.changes(from);
                self.back(i, life, id, Ok(r));
            }
        }
    }

    pub(super) fn expire_leases(&mut self) {
        if self.now < self.store.down {
            return;
        }
        let now = self.now;
        let dead: Vec<u64> = self
            .store
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(g, _)| *g)
            .collect();
        for g in dead {
            self.store.leases.remove(&g);
            let keys: Vec<String> = self
                .store
                .data
                .iter()
                .filter(|(_, (_, _, l))| *l == Some(g))
                .map(|(k, _)| k.clone())
                .collect();
            if !keys.is_empty() {
                self.store.revision += 1;
                for k in keys {
                    self.store.data.remove(&k);
                    self.store.log.push((self.store.revision, k, None));
                }
                self.wake_watches();
            }
        }
    }

    pub(super) fn commit(&mut self, body: &Value) -> Response {
        let empty = Vec::new();
        for w in body["when"].as_array().unwrap_or(&empty) {
            let k = w["k"].as_str().unwrap();
            let have = self.store.data.get(k).map_or(0, |(_, m, _)| *m);
            if have != w["mark"].as_u64().unwrap() {
                return reply(409, json!({"failed": [k], "almanac": self.store.revision}));
            }
        }
        let apply = body["apply"].as_array().unwrap();
        let size = |a: &Value| a["value"].to_string().len();
        if apply.len() > self.ops_most || apply.iter().any(|a| size(a) > self.value_most) {
            self.seen.too_large += 1;
            return reply(400, json!({"error": "too large"}));
        }
        for a in apply {
            if let Some(l) = a["tenure"].as_u64() {
                if !self.store.leases.contains_key(&l) {
                    return reply(400, json!({"error": "no such lease"}));
                }
            }
        }
        self.store.revision += 1;
        let m = self.store.revision;
        for a in apply {
            if let Some(k) = a["put"].as_str() {
                let v = (a["value"].clone(), m, a["tenure"].as_u64());
                self.seen.takings += u32::from(k.starts_with("st/region/"));
                self.seen.leaders += u32::from(k == "st/leader");
                self.store.data.insert(k.into(), v);
                self.store.log.push((m, k.into(), Some(a["value"].clone())));
            } else if let Some(k) = a["delete"].as_str() {
                if let Some((was, ..)) = self.store.data.remove(k) {
                    let home = k.strip_prefix("st/region/");
                    let by_home = home.is_some_and(|home| was["owner"] == home);
                    self.seen.released += u32::from(by_home);
                    self.store.log.push((m, k.into(), None));
                }
            }
        }
        self.wake_watches();
        reply(200, json!({ "almanac": m }))
    }
}
