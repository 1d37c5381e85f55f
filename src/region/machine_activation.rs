//! The records of machines: which were opened, and which are gone.

use super::*;
use salttiller_records::record::MachineBatchRecord;

/// Changes of machines' records that are to be committed, and those in flight.
#[derive(Debug, Default)]
pub(super) struct MachineRecordChanges {
    /// Machines to be recorded as activated before their first start.
    pub(super) to_activate: BTreeSet<Rc<str>>,
    pub(super) activation_in_flight: bool,
    pub(super) next_activation_at: Micros,
    /// Machines that are proven gone and whose record is to be removed.
    pub(super) to_remove: BTreeSet<Rc<str>>,
    pub(super) removal_in_flight: bool,
    pub(super) next_removal_at: Micros,
}

impl Region {
    /// Puts machines on the roll before their first starts, and takes machines
    /// that are proved gone off the records; the changes of a moment go together.
    pub(super) fn commit_machine_records(&mut self, context: &SchedulingContext<'_>) {
        let n = context.settings.region_count() as f64;
        self.activate_ahead(context);
        if !self.machine_records.activation_in_flight
            && !self.machine_records.to_activate.is_empty()
            && context.now >= self.machine_records.next_activation_at
        {
            self.machine_records.next_activation_at =
                context.now + (n / (context.settings.store_write_rate * 0.4) * 1e6) as Micros;
            self.commit_activations(context);
        }
        if !self.machine_records.removal_in_flight
            && !self.machine_records.to_remove.is_empty()
            && context.now >= self.machine_records.next_removal_at
        {
            self.machine_records.next_removal_at =
                context.now + (n / (context.settings.store_write_rate * 0.1) * 1e6) as Micros;
            self.commit_removals(context);
        }
    }

    /// Puts machines on the roll before they are up, when so many are coming that
    /// opening each as it reports would cost more changes than there are. The price
    /// is that a taker waits for them all, so it isn't done for a few.
    pub(super) fn activate_ahead(&mut self, context: &SchedulingContext<'_>) {
        const MANY: usize = 40;
        let booting: usize = self
            .inventory
            .index
            .pools
            .values()
            .map(|g| g.provisioning.len())
            .sum();
        if booting < MANY || self.machine_records.activation_in_flight {
            return;
        }
        for g in self.inventory.index.pools.values() {
            for name in &g.provisioning {
                let Some(m) = self.inventory.machines.get(name) else {
                    continue;
                };
                if !m.record.activated && context.now > m.assigned_at + m.boot_time * 2 / 5 {
                    self.machine_records.to_activate.insert(name.clone());
                }
            }
        }
    }

    pub(super) fn commit_activations(&mut self, context: &SchedulingContext<'_>) {
        let mut rolls: BTreeMap<u32, ActivationRecord> = BTreeMap::new();
        let mine = (self.name.clone(), 0)..=(self.name.clone(), u32::MAX);
        let mut on_record: BTreeMap<u32, ActivationRecord> = context
            .replica
            .opened
            .range(mine)
            .map(|((_, n), r)| (*n, r.value.clone()))
            .collect();
        let mut names = Vec::new();
        let mut apply = Vec::new();
        let mut when = self.ownership_condition();
        let most = context.settings.max_txn_ops.saturating_sub(1).max(1);
        for name in &self.machine_records.to_activate {
            let Some(m) = self.inventory.machines.get(name) else {
                continue;
            };
            let Some((lot, place)) = &m.record.batch_position else {
                // As an earlier version kept it.
                if apply.len() + rolls.len() < most {
                    let mut rec = m.record.clone();
                    rec.activated = true;
                    let key = Key::Machine(name.to_string());
                    when.push((key.clone(), context.replica.version(&key)));
                    apply.push((key, Some(value(&rec))));
                    names.push(name.clone());
                }
                continue;
            };
            let found = on_record
                .iter()
                .find(|(_, r)| r.0.contains_key(&**lot))
                .or_else(|| {
                    on_record
                        .iter()
                        .find(|(_, r)| r.0.len() < MAX_ACTIVATION_BATCHES)
                })
                .map(|(n, _)| *n);
            let n = found.unwrap_or_else(|| on_record.keys().next_back().map_or(0, |n| n + 1));
            if !rolls.contains_key(&n) && apply.len() + rolls.len() >= most {
                continue;
            }
            let roll = on_record.entry(n).or_default();
            if !rolls.contains_key(&n) {
                // Lots that are gone leave their places.
                roll.0
                    .retain(|l, _| context.replica.batches.contains_key(l));
            }
            let mut set = RangeSet::default();
            if let Some(bits) = roll.0.get(&**lot) {
                read_bitmap(bits, 0, &mut set);
            }
            set.insert(*place as u32);
            roll.0.insert(lot.to_string(), bitmap(&set, 0));
            rolls.insert(n, roll.clone());
            names.push(name.clone());
        }
        for (n, roll) in rolls {
            let key = Key::Activation(self.name.clone(), n);
            when.push((key.clone(), context.replica.version(&key)));
            apply.push((key, Some(value(&roll))));
        }
        if names.is_empty() {
            return;
        }
        self.machine_records.activation_in_flight = true;
        self.commit(
            when,
            apply,
            CommitPriority::Normal,
            CommitKind::ActivateMachines(names),
        );
    }

    pub(super) fn commit_removals(&mut self, context: &SchedulingContext<'_>) {
        let mut lots: BTreeMap<Rc<str>, MachineBatchRecord> = BTreeMap::new();
        let mut when = self.ownership_condition();
        let mut apply = Vec::new();
        let mut names = Vec::new();
        let most = context.settings.max_txn_ops.saturating_sub(1).max(1);
        for name in &self.machine_records.to_remove {
            let Some(m) = self.inventory.machines.get(name) else {
                continue;
            };
            match &m.record.batch_position {
                None if apply.len() + lots.len() < most => {
                    let key = Key::Machine(name.to_string());
                    when.push((key.clone(), context.replica.version(&key)));
                    apply.push((key, None));
                    names.push(name.clone());
                }
                Some((lot, place)) => {
                    if !lots.contains_key(lot) {
                        let known = context.replica.batches.get(&**lot);
                        if let (Some(l), true) = (known, apply.len() + lots.len() < most) {
                            lots.insert(lot.clone(), l.value.clone());
                        }
                    }
                    if let Some(n) = lots.get_mut(lot).and_then(|l| l.machines.get_mut(*place)) {
                        n.clear();
                        names.push(name.clone());
                    }
                }
                None => {}
            }
        }
        for (lot, rec) in lots {
            let key = Key::MachineBatch(lot.to_string());
            when.push((key.clone(), context.replica.version(&key)));
            let empty = rec.machines.iter().all(String::is_empty);
            apply.push((key, (!empty).then(|| value(&rec))));
        }
        if names.is_empty() {
            return;
        }
        self.machine_records.removal_in_flight = true;
        self.commit(
            when,
            apply,
            CommitPriority::Background,
            CommitKind::RemoveMachines(names),
        );
    }
}
