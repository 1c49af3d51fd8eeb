//! What one process knows of the others.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use gannetvane_wire::Member;
use gannetvane_wire::MemberState;
use gannetvane_wire::Name;
use gannetvane_wire::Needs;
use gannetvane_wire::NodeId;
use xxhash_rust::xxh3::xxh3_64;

use crate::Peer;

/// Longest chain of successors that is followed.
const MAX_SUCCESSORS: usize = 64;

/// Name that ranks the agents for reading the log.
const LOG_READERS: &str = "log-readers";

/// The members that a process has heard of.
#[derive(Clone, Debug, Default)]
pub struct View {
    members: BTreeMap<NodeId, KnownMember>,
    changes: u64,
}

#[derive(Clone, Debug)]
struct KnownMember {
    member: Member,
    started_at_ms: i64,
    change: u64,
    updated_at_ms: u64,
}

/// Where to send what concerns a submission of some home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeTarget {
    /// This process answers.
    Answers(Peer),
    /// The home is lost; its submissions have no known outcome.
    Lost,
    /// Nothing is known of the home.
    UnknownHome,
}

/// Members that changed after some point of a view's history.
#[derive(Clone, Debug)]
pub(crate) struct Delta {
    pub(crate) upto: u64,
    pub(crate) more: bool,
    pub(crate) members: Vec<Member>,
}

impl View {
    /// Takes in what another process says of a member; returns whether this
    /// was news.
    pub fn merge(&mut self, now_ms: u64, member: &Member) -> bool {
        let started_at_ms = now_ms.cast_signed() - member.uptime_ms.cast_signed();
        if let Some(known) = self.members.get_mut(&member.node) {
            // Delays only make a member look younger than it is.
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

    /// The member as it is known, with its uptime as of now.
    #[must_use]
    pub fn get(&self, now_ms: u64, node: NodeId) -> Option<Member> {
        self.members.get(&node).map(|known| known.as_of(now_ms))
    }

    /// State of a member, if it is known.
    #[must_use]
    pub fn state(&self, node: NodeId) -> Option<MemberState> {
        self.members.get(&node).map(|known| known.member.state)
    }

    /// Where a member receives, if it is known.
    #[must_use]
    pub fn peer(&self, node: NodeId) -> Option<Peer> {
        self.members
            .get(&node)
            .map(|known| Peer::known(node, known.member.addr))
    }

    /// The member that receives at an address and is not gone.
    #[must_use]
    pub fn at(&self, addr: SocketAddr) -> Option<NodeId> {
        self.iter()
            .find(|member| member.addr == addr && !member.state.is_gone())
            .map(|m| m.node)
    }

    /// All members, in the order of their nodes.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|known| &known.member)
    }

    /// All members with their uptime as of now.
    #[must_use]
    pub fn snapshot(&self, now_ms: u64) -> Vec<Member> {
        self.members
            .values()
            .map(|known| known.as_of(now_ms))
            .collect()
    }

    /// Number of members known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Live agents of a service.
    pub fn agents<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Member> {
        self.iter()
            .filter(move |member| member.state == MemberState::Alive && &*member.service == service)
    }

    /// Whether some live worker of the service could hold a task with `needs`.
    #[must_use]
    pub fn fits(&self, service: &str, needs: &Needs) -> bool {
        self.agents(service)
            .any(|member| member.capacity.covers(needs))
    }

    /// Whether a task with `needs` may be started on an agent.
    #[must_use]
    pub fn is_usable(&self, agent: NodeId, needs: &Needs) -> bool {
        self.members.get(&agent).is_some_and(|known| {
            known.member.state == MemberState::Alive && known.member.capacity.covers(needs)
        })
    }

    /// Homes for new submissions of a service: the agents of highest
    /// rendezvous hash, at most one in each availability zone.
    ///
    /// Processes with different views may differ; the id of a submission
    /// names its home, so this costs balance only.
    #[must_use]
    pub fn homes(&self, service: &str, count: usize) -> Vec<NodeId> {
        let mut ranked = best_of_zones(service, self.agents(service));
        ranked.truncate(count);
        ranked
    }

    /// The agent of each zone that reads the platform's log often, for all.
    #[must_use]
    pub fn log_readers(&self) -> Vec<NodeId> {
        best_of_zones(
            LOG_READERS,
            self.iter().filter(|m| m.state == MemberState::Alive),
        )
    }

    /// Who answers for the submissions of `home`.
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

    /// Milliseconds since a member started.
    #[must_use]
    pub fn uptime_ms(&self, now_ms: u64, node: NodeId) -> Option<u64> {
        self.members.get(&node).map(|known| known.uptime_ms(now_ms))
    }

    /// Forgets members that have been gone for longer than the retention.
    pub fn forget_gone(&mut self, now_ms: u64, retention_ms: u64) {
        self.members.retain(|_, known| {
            !known.member.state.is_gone()
                || now_ms.saturating_sub(known.updated_at_ms) < retention_ms
        });
    }

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

/// The member of highest rendezvous hash in each zone, best first.
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
