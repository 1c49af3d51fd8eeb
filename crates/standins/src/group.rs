//! Groups of the store: partitions divided evenly among the members, each of
//! which keeps what it lost until it joins with the generation that took it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// A member of a group.
#[derive(Debug)]
struct Member {
    /// When it counts as gone.
    expires_ms: u64,
    /// The last generation that it joined with.
    generation: u64,
    /// What it holds.
    held: BTreeSet<u32>,
    /// What it is to hold.
    target: BTreeSet<u32>,
}

/// One group over the partitions of one topic.
#[derive(Debug, Default)]
pub struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
}

impl Group {
    /// A member joins or stays; its generation and partitions.
    pub fn join(
        &mut self,
        now_ms: u64,
        name: &str,
        generation: u64,
        ttl_ms: u64,
        partitions: u32,
    ) -> (u64, Vec<u32>) {
        self.expire(now_ms, partitions);
        let is_new = !self.members.contains_key(name);
        let member = self.members.entry(name.to_owned()).or_insert(Member {
            expires_ms: now_ms,
            generation,
            held: BTreeSet::new(),
            target: BTreeSet::new(),
        });
        member.expires_ms = now_ms + ttl_ms;
        member.generation = generation;
        if is_new {
            self.assign_targets(partitions);
        }
        if let Some(member) = self.members.get_mut(name)
            && member.generation >= self.generation
        {
            // What is not to be held is let go with this join.
            let target = member.target.clone();
            member.held.retain(|part| target.contains(part));
        }
        self.assign_unheld();
        let served = self.members.get(name).map(|member| {
            let held_targets = member.held.intersection(&member.target);
            held_targets.copied().collect()
        });
        (self.generation, served.unwrap_or_default())
    }

    /// A member leaves.
    pub fn leave(&mut self, name: &str, partitions: u32) {
        if self.members.remove(name).is_some() {
            self.assign_targets(partitions);
        }
    }

    /// All partitions are dealt anew at once.
    pub fn rebalance(&mut self, partitions: u32) {
        let names: Vec<String> = self.members.keys().cloned().collect();
        self.generation += 1;
        for member in self.members.values_mut() {
            member.held.clear();
            member.target.clear();
        }
        // In the other order, so that most change their owner.
        for (part, name) in (0..partitions).zip(names.iter().rev().cycle()) {
            if let Some(member) = self.members.get_mut(name) {
                member.held.insert(part);
                member.target.insert(part);
            }
        }
    }

    /// Partitions with the members that hold them.
    pub fn owners(&mut self, now_ms: u64, partitions: u32) -> Vec<(u32, String)> {
        self.expire(now_ms, partitions);
        let members = self.members.iter();
        let owners = members.flat_map(|(name, member)| {
            let held = member.held.iter();
            held.map(move |part| (*part, name.clone()))
        });
        owners.collect()
    }

    fn expire(&mut self, now_ms: u64, partitions: u32) {
        let before = self.members.len();
        self.members.retain(|_, member| member.expires_ms > now_ms);
        if self.members.len() != before {
            self.assign_targets(partitions);
        }
        self.assign_unheld();
    }

    fn assign_targets(&mut self, partitions: u32) {
        self.generation += 1;
        let count = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        for (position, member) in (0..).zip(self.members.values_mut()) {
            let assigned = (0..partitions).filter(|part| part % count == position);
            member.target = assigned.collect();
        }
    }

    /// Gives members what nobody holds any more.
    fn assign_unheld(&mut self) {
        let held = self.members.values().flat_map(|member| &member.held);
        let held: BTreeSet<u32> = held.copied().collect();
        for member in self.members.values_mut() {
            let free = member.target.iter().filter(|part| !held.contains(part));
            let free: Vec<u32> = free.copied().collect();
            member.held.extend(free);
        }
    }
}
