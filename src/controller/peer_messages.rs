//! Messages between controllers.

use super::*;

impl<N: Net> Controller<N> {
    /// Tells the other controllers how we are: the leader all and often, since it
    /// plans by it, the others just that we are here, and all of it now and then.
    pub(super) fn send_state(&mut self) {
        let regions: Vec<peer_protocol::RegionReport> = if self.authority() {
            let context = context!(self);
            self.regions.values().map(|r| r.report(&context)).collect()
        } else {
            Vec::new()
        };
        for r in &regions {
            self.reports.insert(r.region.clone(), (r.clone(), self.now));
        }
        let now = self.now;
        self.reports.retain(|_, (_, at)| now < *at + 6 * SECOND);
        self.short.clear();
        for (name, (r, _)) in &self.reports {
            if !self.regions.contains_key(name) {
                for (team, at) in &r.quota_blocked_teams {
                    let e = self.short.entry(team.clone()).or_insert(*at);
                    *e = (*e).min(*at);
                }
            }
        }
        self.send_boots();
        self.mesh_count += 1;
        let all = self.mesh_count.is_multiple_of(ALL_TOLD);
        let state = |regions: Vec<peer_protocol::RegionReport>| {
            peer_protocol::encode(&Message::ControllerState {
                from: self.settings.name.clone(),
                incarnation: self.run | peer_protocol::UNDERSTANDS_EXTENSIONS,
                reads_recent: self.fresh(),
                regions,
            })
        };
        let leader = self.registry.replica.leader.as_ref();
        let leader = leader.map(|l| l.value.holder.clone());
        let brief = state(Vec::new());
        let full = state(regions);
        for i in 0..self.settings.peers.len() {
            let leads = leader.as_deref() == Some(&*self.settings.peers[i].name);
            self.reactor
                .send(i, if all || leads { &full } else { &brief });
        }
    }

    /// Tells the leader how machines of our regions come up, if some are overdue.
    fn send_boots(&mut self) {
        if !self.authority() {
            return;
        }
        let now = self.now;
        let told: Vec<Message> = self
            .regions
            .values_mut()
            .map(|r| Message::ProvisioningHealth {
                region: r.name.clone(),
                pools: r.provisioning_health(now),
            })
            .filter(|m| matches!(m, Message::ProvisioningHealth { pools, .. } if !pools.is_empty()))
            .collect();
        let leader = self.registry.replica.leader.as_ref();
        let leader = leader.map(|l| l.value.holder.clone()).unwrap_or_default();
        let peer = self.peer_with_extensions(&leader);
        for m in told {
            match peer {
                Some(i) => self.reactor.send(i, &peer_protocol::encode(&m)),
                None if self.leader.is_some() => self.on_message(m),
                None => {}
            }
        }
    }

    /// A peer's place among the reactor's.
    pub(super) fn peer_index(&self, name: &str) -> Option<usize> {
        self.settings.peers.iter().position(|p| p.name == name)
    }

    /// The same for one that understands the messages that came with 0.5.
    pub(super) fn peer_with_extensions(&self, name: &str) -> Option<usize> {
        let peer = self.peers.get(name)?;
        self.peer_index(name)
            .filter(|_| peer.understands_extensions)
    }

    pub(super) fn on_message(&mut self, m: Message) {
        match m {
            Message::ControllerState {
                from,
                incarnation: run,
                reads_recent: fresh,
                regions,
            } => {
                let now = self.now;
                let Some(p) = self.peers.get_mut(&from) else {
                    log::info!("node: mesh: state from unknown {from}");
                    return;
                };
                let gap = p.heard.is_none_or(|h| now > h + 3 * SECOND);
                p.heard = Some(now);
                p.understands_extensions = run & peer_protocol::UNDERSTANDS_EXTENSIONS != 0;
                p.fresh = fresh;
                p.stale_since = (!fresh).then(|| p.stale_since.unwrap_or(now));
                if !fresh || gap {
                    p.well_since = None;
                }
                if fresh {
                    p.well_since.get_or_insert(now);
                }
                // One with other settings may name regions that we don't have.
                let known = self.settings.regions();
                for r in regions.into_iter().filter(|r| known.contains(&r.region)) {
                    let newer = self
                        .reports
                        .get(&r.region)
                        .is_none_or(|(old, _)| r.token >= old.token);
                    if newer && !self.regions.contains_key(&r.region) {
                        self.reports.insert(r.region.clone(), (r, now));
                    }
                }
            }
            Message::RebindTasks {
                job,
                from,
                to,
                count,
            } => {
                let known = to.is_empty() || self.settings.regions().contains(&to);
                if !self.authority() || !known {
                    return;
                }
                let context = context!(self);
                if let Some(r) = self.regions.get_mut(&from) {
                    r.hand_over_tasks(&job, &to, count, &context);
                }
            }
            Message::StatusRequest | Message::StatusResponse(_) => {}
            Message::OwnerUnreachable {
                region,
                token,
                machines,
            } => self.on_unreached(region, token, machines),
            Message::ProvisioningHealth { region, pools } => {
                if let Some(l) = &mut self.leader {
                    l.boots.note(region, pools, self.now);
                }
            }
            Message::JobsCancelled { .. }
                if is_disabled(Safeguard::StartDeadline)
                    || is_disabled(Safeguard::AuthorityDeadline) => {}
            Message::JobsCancelled { jobs } => {
                for id in jobs {
                    let rec = self.registry.replica.jobs.get(&id);
                    let shown = rec.is_some_and(|r| r.value.stage != JobStage::Open);
                    if shown
                        || !is_job_id(&id)
                        || self.reported_cancelled.len() >= MAX_REPORTED_CANCELLED
                    {
                        continue;
                    }
                    self.reported_cancelled.insert(id.clone());
                    let context = context!(self);
                    for r in self.regions.values_mut() {
                        r.on_reported_cancelled(&id, &context);
                    }
                }
            }
            Message::CordonMachines {
                region,
                machine_type,
                zone,
                spot,
                count,
            } => {
                let context = context!(self);
                if let Some(r) = self.regions.get_mut(&region) {
                    r.cordon_surplus((&machine_type, &zone, spot), count, &context);
                }
            }
            Message::StartGang {
                job,
                attempt,
                region,
            } => {
                let context = context!(self);
                if let Some(r) = self.regions.get_mut(&region) {
                    r.start_gang_part(&job, attempt, &context);
                }
            }
        }
    }
}
