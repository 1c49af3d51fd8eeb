//! Groups of the store, which divide partitions evenly among their members.
//!
//! Each new assignment has a new generation. A member that loses a partition holds
//! it until the member joins with that generation, or is removed; only then can
//! another member get it. [`Group::rebalance`] is the exception: it assigns
//! and moves all partitions at once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// A member of a group.
#[derive(Debug)]
struct Member {
    /// Time at which the member is removed unless it joins again, in milliseconds.
    expires_ms: u64,
    /// The generation with which it joined last.
    generation: u64,
    /// Partitions that it holds.
    held: BTreeSet<u32>,
    /// Partitions that it is to hold under the present assignment.
    target: BTreeSet<u32>,
}

/// One group over the partitions of one topic.
#[derive(Debug, Default)]
pub struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
}

impl Group {
    /// Adds a member, or renews its membership for `ttl_ms`. `generation` is the
    /// last one that the member knows. Returns the present generation, and the
    /// partitions that the member holds and is to keep.
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
            // With this join the member releases what it is not to hold.
            let target = member.target.clone();
            member.held.retain(|partition| target.contains(partition));
        }
        self.assign_unheld();
        let served = self.members.get(name).map(|member| {
            let held_targets = member.held.intersection(&member.target);
            held_targets.copied().collect()
        });
        (self.generation, served.unwrap_or_default())
    }

    /// Removes a member and assigns all partitions again.
    pub fn leave(&mut self, name: &str, partitions: u32) {
        if self.members.remove(name).is_some() {
            self.assign_targets(partitions);
        }
    }

    /// Assigns all partitions again, and moves them without waiting for the members
    /// to release them.
    pub fn rebalance(&mut self, partitions: u32) {
        let names: Vec<String> = self.members.keys().cloned().collect();
        self.generation += 1;
        for member in self.members.values_mut() {
            member.held.clear();
            member.target.clear();
        }
        // The order of the members is reversed, so that most partitions change
        // their owner.
        for (partition, name) in (0..partitions).zip(names.iter().rev().cycle()) {
            if let Some(member) = self.members.get_mut(name) {
                member.held.insert(partition);
                member.target.insert(partition);
            }
        }
    }

    /// Returns the held partitions, each with the member that holds it.
    pub fn owners(&mut self, now_ms: u64, partitions: u32) -> Vec<(u32, String)> {
        self.expire(now_ms, partitions);
        let members = self.members.iter();
        let owners = members.flat_map(|(name, member)| {
            let held = member.held.iter();
            held.map(move |partition| (*partition, name.clone()))
        });
        owners.collect()
    }

    /// Removes the members whose time has passed, and assigns again if there were any.
    fn expire(&mut self, now_ms: u64, partitions: u32) {
        let before = self.members.len();
        self.members.retain(|_, member| member.expires_ms > now_ms);
        if self.members.len() != before {
            self.assign_targets(partitions);
        }
        self.assign_unheld();
    }

    /// Starts a new generation, with the partitions divided evenly among the members.
    fn assign_targets(&mut self, partitions: u32) {
        self.generation += 1;
        let count = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        for (position, member) in (0..).zip(self.members.values_mut()) {
            let assigned = (0..partitions).filter(|partition| partition % count == position);
            member.target = assigned.collect();
        }
    }

    /// Gives each member the partitions that it is to hold and that no member holds.
    fn assign_unheld(&mut self) {
        let held = self.members.values().flat_map(|member| &member.held);
        let held: BTreeSet<u32> = held.copied().collect();
        for member in self.members.values_mut() {
            let free = member
                .target
                .iter()
                .filter(|partition| !held.contains(partition));
            let free: Vec<u32> = free.copied().collect();
            member.held.extend(free);
        }
    }
}
