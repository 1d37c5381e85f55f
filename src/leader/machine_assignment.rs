//! Which region rented machines are assigned to, and what the cloud says of them.

use super::*;

impl Leader {
    /// The region that machines of an offer are dealt to. A type that some jobs
    /// depend on is kept together by zone as far as the largest gang asks; all
    /// others go where there is least, near home first, so that a zone that is cut
    /// off still has an owner inside.
    pub(super) fn region_for(&self, offer: &Offer, context: &SchedulingContext<'_>) -> String {
        let regions = context.settings.regions();
        let machine_type = |name: &str| context.replica.machine_types.get(name).map(|f| &f.value);
        let scarce = !offer.spot
            && (self
                .narrow
                .reserved_on(&offer.machine_type, context.now)
                .is_some()
                || machine_type(&offer.machine_type).is_some_and(|f| {
                    context.replica.machine_types.len() > 1
                        && context.replica.machine_types.values().all(|o| {
                            o.value.name == f.name
                                || (o.value.cpus < f.cpus
                                    || o.value.memory < f.memory
                                    || o.value.gpus < f.gpus)
                        })
                }));
        let mut load: BTreeMap<&str, f64> = regions.iter().map(|r| (r.as_str(), 0.0)).collect();
        let mut same: BTreeMap<&str, u32> = BTreeMap::new();
        let mut all = 0;
        let mut add = |region: &str, kind: (&str, &str, bool), n: u32| {
            let Some((r, l)) = load.iter_mut().find(|(r, _)| **r == region) else {
                return;
            };
            all += n;
            if let Some(f) = machine_type(kind.0) {
                let kept = self
                    .narrow
                    .reserved_on(kind.0, context.now)
                    .filter(|_| !kind.2);
                let cpus = f.cpus.saturating_sub(kept.map_or(0, |k| k.cpus));
                *l += cpus as f64 * n as f64;
            }
            if kind.0 == offer.machine_type && kind.1 == offer.zone && kind.2 == offer.spot {
                *same.entry(r).or_default() += n;
            }
        };
        for (region, kinds) in &context.replica.stock {
            for ((f, z, spot), n) in kinds {
                add(region, (f, z, *spot), *n);
            }
        }
        for c in self.coming.values().filter(|c| c.recorded.is_none()) {
            let o = &c.offer;
            add(
                &c.region,
                (&o.machine_type, &o.zone, o.spot),
                c.count as u32,
            );
        }
        if scarce {
            let most = (4 * self.narrow.largest_gang(&offer.machine_type))
                .max(all / regions.len() as u32)
                .max(8);
            let together = same
                .iter()
                .filter(|(r, n)| **n < most && context.replica.regions.contains_key(**r))
                .max_by_key(|(_, n)| **n);
            if let Some((r, _)) = together {
                return (*r).to_owned();
            }
        }
        let zone_of = |r: &str| {
            if r == context.settings.name {
                return context.settings.zone.as_str();
            }
            let peer = context.settings.peers.iter().find(|p| p.name == r);
            peer.map_or("", |p| p.zone.as_str())
        };
        let least = |near: bool| {
            load.iter()
                .filter(|(r, _)| !near || zone_of(r) == offer.zone)
                .min_by(|a, b| a.1.total_cmp(b.1))
                .map(|(r, l)| ((*r).to_owned(), *l))
        };
        let mean = load.values().sum::<f64>() / load.len().max(1) as f64;
        let lot = machine_type(&offer.machine_type).map_or(0.0, |f| f.cpus as f64) * 10.0;
        match (least(true), least(false)) {
            (Some((r, l)), _) if scarce || l <= mean * 1.25 + lot => r,
            (_, Some((r, _))) => r,
            _ => context.settings.name.clone(),
        }
    }

    /// Gives machines of one offer a record, in lots.
    pub(super) fn assign_machines(
        &mut self,
        offer: &Offer,
        names: &[String],
        region: &str,
        context: &SchedulingContext<'_>,
    ) {
        let mut changes = Vec::new();
        for (i, chunk) in names.chunks(MAX_BATCH).enumerate() {
            self.counter += 1;
            let id = format!(
                "{}-{}-{}",
                context.settings.name, self.version, self.counter
            );
            log::info!(
                "leader: lot {id}: {} {} in {}{} dealt to {region}, from {}",
                chunk.len(),
                offer.machine_type,
                offer.zone,
                if offer.spot { ", spot" } else { "" },
                chunk[0]
            );
            let rec = MachineBatchRecord {
                region: region.to_owned(),
                machine_type: offer.machine_type.clone(),
                zone: offer.zone.clone(),
                spot: offer.spot,
                machines: chunk.to_vec(),
            };
            self.coming.insert(
                id.clone(),
                ProvisioningBatch {
                    offer: offer.clone(),
                    region: region.to_owned(),
                    count: chunk.len(),
                    names: chunk.to_vec(),
                    since: context.now + i as Micros,
                    recorded: None,
                },
            );
            changes.push((Key::MachineBatch(id), 0, value(&rec)));
        }
        self.commit(changes, CommitPriority::Normal, context);
    }

    /// A machine that has no record reports. That alone brings nothing into being:
    /// it may be a late copy from a machine that is long gone. The cloud's list
    /// says, and is asked for soon.
    pub fn on_unknown_machine(&mut self, context: &SchedulingContext<'_>) {
        let wait = if context.replica.machines.is_empty() {
            1
        } else {
            4
        };
        self.next_list = self
            .next_list
            .min((self.last_list + wait * SECOND).max(context.now));
    }

    /// Takes what the cloud answered.
    pub fn on_cloud_event(&mut self, ev: &CloudEvent, context: &SchedulingContext<'_>) {
        match ev {
            CloudEvent::MachineTypes(list) => {
                let changes = list
                    .iter()
                    .filter_map(|f| {
                        let known = context.replica.machine_types.get(&f.name);
                        known.is_none_or(|k| differs(k, f)).then(|| {
                            let version = known.map_or(0, |k| k.version);
                            (Key::MachineType(f.name.clone()), version, value(f))
                        })
                    })
                    .collect();
                self.commit(changes, CommitPriority::Normal, context);
            }
            CloudEvent::Rented {
                offer,
                region,
                machines: names,
                requested: asked,
            } => {
                log::info!(
                    "leader: rented {} of {asked} {} in {}{} for {region}",
                    names.len(),
                    offer.machine_type,
                    offer.zone,
                    if offer.spot { ", spot" } else { "" }
                );
                if (names.len() as u32) < *asked {
                    self.refusals.record_refusal(offer, context.now);
                } else {
                    self.refusals.record_success(offer);
                }
                self.assign_machines(offer, names, region, context);
            }
            CloudEvent::NoCapacity(offer) => {
                log::info!(
                    "leader: no capacity for {} in {}{}",
                    offer.machine_type,
                    offer.zone,
                    if offer.spot { ", spot" } else { "" }
                );
                self.refusals.record_refusal(offer, context.now);
            }
            CloudEvent::Inventory(list) => self.on_list(list, context),
            CloudEvent::Unavailable | CloudEvent::Released(_) => {}
        }
    }

    /// Machines that nobody knows: there before us, or rented by a request that was
    /// carried out late. They are dealt like any other and used, or returned when
    /// idle.
    pub(super) fn on_list(&mut self, list: &[ListedMachine], context: &SchedulingContext<'_>) {
        // Records that can't be read may name them.
        if !context.replica.unreadable.is_empty() {
            return;
        }
        let keep = (4 * context.settings.cloud_list_lag).max(120 * SECOND);
        self.gone.retain(|_, at| context.now < *at + keep);
        let cold = context.replica.machines.is_empty() && context.replica.opened.is_empty();
        let pending: BTreeSet<&String> = self.coming.values().flat_map(|c| &c.names).collect();
        let mut odd = BTreeMap::new();
        let mut todo: BTreeMap<Offer, Vec<String>> = BTreeMap::new();
        for m in list {
            if m.failed
                || context.replica.machines.contains_key(&m.name)
                || pending.contains(&m.name)
                || self.gone.contains_key(&m.name)
            {
                continue;
            }
            let since = self.odd.get(&m.name).copied().unwrap_or(context.now);
            odd.insert(m.name.clone(), since);
            // The list is late: only what stays odd is odd. When there never was a
            // record of any machine, there is none that could be gone.
            let sure = context.now > since + 2 * context.settings.cloud_list_lag
                && m.age > 2 * context.settings.cloud_list_lag;
            if sure || cold {
                todo.entry(m.offer.clone())
                    .or_default()
                    .push(m.name.clone());
            }
        }
        self.odd = odd;
        for (offer, names) in todo {
            // Some at a time, so that those of a type that nothing depends on are
            // spread over the regions.
            for some in names.chunks(8) {
                let region = self.region_for(&offer, context);
                self.assign_machines(&offer, some, &region, context);
            }
        }
        if !self.odd.is_empty() {
            self.next_list = self
                .next_list
                .min(context.now + context.settings.cloud_list_lag);
        }
    }
}
