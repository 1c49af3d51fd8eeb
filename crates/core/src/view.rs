//! The view that one process has of the members.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use gannetvane_wire::Member;
use gannetvane_wire::MemberState;
use gannetvane_wire::Name;
use gannetvane_wire::Needs;
use gannetvane_wire::NodeId;
use xxhash_rust::xxh3::xxh3_64;

use crate::Peer;

/// Maximum number of successors that are followed from a home.
const MAX_SUCCESSORS: usize = 64;

/// Hash key that ranks the agents for reading the log.
const LOG_READERS: &str = "log-readers";

/// The members that a process knows, with their states.
#[derive(Clone, Debug, Default)]
pub struct View {
    members: BTreeMap<NodeId, KnownMember>,
    changes: u64,
}

/// A member and when its state was received.
#[derive(Clone, Debug)]
struct KnownMember {
    member: Member,
    started_at_ms: i64,
    /// Number of the member's latest change in this view.
    change: u64,
    updated_at_ms: u64,
}

/// The process that answers for the submissions of a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeTarget {
    /// This process answers for them.
    Answers(Peer),
    /// The home is lost, and the outcome of its submissions is unknown.
    Lost,
    /// The view has no record of the home.
    UnknownHome,
}

/// The members that changed after a given change of a view.
#[derive(Clone, Debug)]
pub(crate) struct Delta {
    pub(crate) upto: u64,
    pub(crate) more: bool,
    pub(crate) members: Vec<Member>,
}

impl View {
    /// Merges another process's record of a member; returns whether the member
    /// was unknown or the record newer than the known one.
    pub fn merge(&mut self, now_ms: u64, member: &Member) -> bool {
        let started_at_ms = now_ms.cast_signed() - member.uptime_ms.cast_signed();
        if let Some(known) = self.members.get_mut(&member.node) {
            // Transmission delays only make the member's uptime look shorter,
            // so the earliest start time is the most accurate.
            known.started_at_ms = known.started_at_ms.min(started_at_ms);
            if !member.supersedes(&known.member) {
                return false;
            }
            self.changes += 1;
            known.member = member.clone();
            known.change = self.changes;
            known.updated_at_ms = now_ms;
            return true;
        }
        self.changes += 1;
        let known = KnownMember {
            member: member.clone(),
            started_at_ms,
            change: self.changes,
            updated_at_ms: now_ms,
        };
        self.members.insert(member.node, known);
        true
    }

    /// Returns the member's record with its current uptime.
    #[must_use]
    pub fn get(&self, now_ms: u64, node: NodeId) -> Option<Member> {
        self.members.get(&node).map(|known| known.as_of(now_ms))
    }

    /// Returns the state of a member, if it is known.
    #[must_use]
    pub fn state(&self, node: NodeId) -> Option<MemberState> {
        self.members.get(&node).map(|known| known.member.state)
    }

    /// Returns a member with its address, if it is known.
    #[must_use]
    pub fn peer(&self, node: NodeId) -> Option<Peer> {
        self.members
            .get(&node)
            .map(|known| Peer::known(node, known.member.addr))
    }

    /// Returns the member at an address, unless it is dead or has left.
    #[must_use]
    pub fn at(&self, addr: SocketAddr) -> Option<NodeId> {
        self.iter()
            .find(|member| member.addr == addr && !member.state.is_gone())
            .map(|m| m.node)
    }

    /// Returns all members in the order of their nodes.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|known| &known.member)
    }

    /// Returns all members with their current uptimes.
    #[must_use]
    pub fn snapshot(&self, now_ms: u64) -> Vec<Member> {
        self.members
            .values()
            .map(|known| known.as_of(now_ms))
            .collect()
    }

    /// Returns the number of known members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no member is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the live agents of a service.
    pub fn agents<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Member> {
        self.iter()
            .filter(move |member| member.state == MemberState::Alive && &*member.service == service)
    }

    /// Returns whether any live worker of the service has the capacity for a
    /// task with `needs`.
    #[must_use]
    pub fn fits(&self, service: &str, needs: &Needs) -> bool {
        self.agents(service)
            .any(|member| member.capacity.covers(needs))
    }

    /// Returns whether a task with `needs` may be started on an agent.
    #[must_use]
    pub fn is_usable(&self, agent: NodeId, needs: &Needs) -> bool {
        self.members.get(&agent).is_some_and(|known| {
            known.member.state == MemberState::Alive && known.member.capacity.covers(needs)
        })
    }

    /// Returns the homes for new submissions of a service: the agents with the
    /// highest rendezvous hashes, at most one in each availability zone.
    ///
    /// Processes with different views may choose different homes. The id of a
    /// submission names its home, so this only affects the balance of load.
    #[must_use]
    pub fn homes(&self, service: &str, count: usize) -> Vec<NodeId> {
        let mut ranked = best_of_zones(service, self.agents(service));
        ranked.truncate(count);
        ranked
    }

    /// Returns the agent of each availability zone that reads the platform's
    /// log frequently on behalf of all others.
    #[must_use]
    pub fn log_readers(&self) -> Vec<NodeId> {
        best_of_zones(
            LOG_READERS,
            self.iter().filter(|m| m.state == MemberState::Alive),
        )
    }

    /// Returns the process that answers for the submissions of `home`,
    /// following the successors of agents that left.
    #[must_use]
    pub fn resolve(&self, home: NodeId) -> HomeTarget {
        let mut node = home;
        for _ in 0..MAX_SUCCESSORS {
            let Some(known) = self.members.get(&node) else {
                return if node == home {
                    HomeTarget::UnknownHome
                } else {
                    HomeTarget::Lost
                };
            };
            match known.member.state {
                MemberState::Left {
                    successor: Some(next),
                } => node = next,
                MemberState::Left { successor: None } | MemberState::Dead => {
                    return HomeTarget::Lost;
                }
                _ => return HomeTarget::Answers(Peer::known(node, known.member.addr)),
            }
        }
        HomeTarget::Lost
    }

    /// Returns the milliseconds since a member started.
    #[must_use]
    pub fn uptime_ms(&self, now_ms: u64, node: NodeId) -> Option<u64> {
        self.members.get(&node).map(|known| known.uptime_ms(now_ms))
    }

    /// Removes members that have been dead or left for longer than the
    /// retention.
    pub fn forget_gone(&mut self, now_ms: u64, retention_ms: u64) {
        self.members.retain(|_, known| {
            !known.member.state.is_gone()
                || now_ms.saturating_sub(known.updated_at_ms) < retention_ms
        });
    }

    /// Returns up to `limit` members that changed after change number `since`,
    /// in the order of their changes.
    pub(crate) fn delta(&self, now_ms: u64, since: u64, limit: usize) -> Delta {
        let mut changed: Vec<&KnownMember> = self
            .members
            .values()
            .filter(|known| known.change > since)
            .collect();
        changed.sort_unstable_by_key(|known| known.change);
        let more = changed.len() > limit;
        changed.truncate(limit);
        let upto = if more {
            changed.last().map_or(since, |k| k.change)
        } else {
            self.changes
        };
        Delta {
            upto,
            more,
            members: changed.iter().map(|known| known.as_of(now_ms)).collect(),
        }
    }
}

impl KnownMember {
    fn uptime_ms(&self, now_ms: u64) -> u64 {
        (now_ms.cast_signed() - self.started_at_ms)
            .max(0)
            .cast_unsigned()
    }

    fn as_of(&self, now_ms: u64) -> Member {
        Member {
            uptime_ms: self.uptime_ms(now_ms),
            ..self.member.clone()
        }
    }
}

/// Returns the member with the highest rendezvous hash in each availability
/// zone, highest first.
fn best_of_zones<'a>(key: &str, members: impl Iterator<Item = &'a Member>) -> Vec<NodeId> {
    let mut best_of_zone: BTreeMap<&Name, (u64, NodeId)> = BTreeMap::new();
    for member in members {
        let rank = (rendezvous_hash(key, member.node), member.node);
        let best = best_of_zone.entry(&member.zone).or_insert(rank);
        *best = (*best).max(rank);
    }
    let mut ranked: Vec<(u64, NodeId)> = best_of_zone.into_values().collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, node)| node).collect()
}

fn rendezvous_hash(service: &str, node: NodeId) -> u64 {
    let mut bytes = service.as_bytes().to_vec();
    bytes.extend_from_slice(&node.0.to_le_bytes());
    xxh3_64(&bytes)
}
