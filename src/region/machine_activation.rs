//! The records of machines: which were opened, and which are gone.

use super::*;
use salttiller_records::record::MachineBatchRecord;

impl Region {
    /// Puts machines on the roll before their first starts, and takes machines
    /// that are proved gone off the records; the changes of a moment go together.
    pub(super) fn write_machines(&mut self, context: &SchedulingContext<'_>) {
        let n = context.settings.size() as f64;
        self.open_ahead(context);
        if !self.rolling && !self.to_open.is_empty() && context.now >= self.roll_next {
            self.roll_next =
                context.now + (n / (context.settings.store_writes * 0.4) * 1e6) as Micros;
            self.write_roll(context);
        }
        if !self.forgetting && !self.to_forget.is_empty() && context.now >= self.forget_next {
            self.forget_next =
                context.now + (n / (context.settings.store_writes * 0.1) * 1e6) as Micros;
            self.write_gone(context);
        }
    }

    /// Puts machines on the roll before they are up, when so many are coming that
    /// opening each as it reports would cost more changes than there are. The price
    /// is that a taker waits for them all, so it isn't done for a few.
    pub(super) fn open_ahead(&mut self, context: &SchedulingContext<'_>) {
        const MANY: usize = 40;
        let booting: usize = self.list.groups.values().map(|g| g.booting.len()).sum();
        if booting < MANY || self.rolling {
            return;
        }
        for g in self.list.groups.values() {
            for name in &g.booting {
                let Some(m) = self.machines.get(name) else {
                    continue;
                };
                if !m.rec.opened && context.now > m.dealt_at + m.boot * 2 / 5 {
                    self.to_open.insert(name.clone());
                }
            }
        }
    }

    pub(super) fn write_roll(&mut self, context: &SchedulingContext<'_>) {
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
        let mut when = self.when();
        let most = context.settings.txn_ops.saturating_sub(1).max(1);
        for name in &self.to_open {
            let Some(m) = self.machines.get(name) else {
                continue;
            };
            let Some((lot, place)) = &m.rec.lot else {
                // As an earlier version kept it.
                if apply.len() + rolls.len() < most {
                    let mut rec = m.rec.clone();
                    rec.opened = true;
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
        self.rolling = true;
        self.commit(
            when,
            apply,
            CommitPriority::Normal,
            CommitKind::ActivateMachines(names),
        );
    }

    pub(super) fn write_gone(&mut self, context: &SchedulingContext<'_>) {
        let mut lots: BTreeMap<Rc<str>, MachineBatchRecord> = BTreeMap::new();
        let mut when = self.when();
        let mut apply = Vec::new();
        let mut names = Vec::new();
        let most = context.settings.txn_ops.saturating_sub(1).max(1);
        for name in &self.to_forget {
            let Some(m) = self.machines.get(name) else {
                continue;
            };
            match &m.rec.lot {
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
        self.forgetting = true;
        self.commit(
            when,
            apply,
            CommitPriority::Background,
            CommitKind::RemoveMachines(names),
        );
    }
}
