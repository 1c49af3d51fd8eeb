//! Tests of the entries to which an agent keeps links, and of how it retires other links.

mod session;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use gannetvane_dispatch::Directory;
use gannetvane_dispatch::JobOutcome;
use gannetvane_dispatch::MAX_LINKED_ENTRIES;
use session::Session;

const NOW_MS: u64 = 1_000;

/// Returns the address of an entry.
fn entry(number: usize) -> SocketAddr {
    let [.., high, low] = number.to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 1, high, low), 7_720))
}

fn entries(count: usize) -> Vec<SocketAddr> {
    (0..count).map(entry).collect()
}

/// Returns the entries that an agent links to when it knows `entries` and one seed.
fn chosen(agent: usize, entries: &[SocketAddr]) -> BTreeSet<SocketAddr> {
    let seed = SocketAddr::from((Ipv4Addr::new(10, 9, 9, 9), 7_720));
    let name = format!("side-{agent}");
    let mut directory =
        Directory::new(None, [seed]).with_max_targets(name.into(), MAX_LINKED_ENTRIES);
    directory.add_mentioned(NOW_MS, entries);
    directory.targets(NOW_MS)
}

#[test]
fn all_entries_and_seeds_are_chosen_while_entries_are_few() {
    let few = entries(MAX_LINKED_ENTRIES - 1);
    assert_eq!(chosen(1, &few).len(), MAX_LINKED_ENTRIES);
}

#[test]
fn at_the_target_size_entries_are_chosen_by_similar_numbers_of_agents() {
    const AGENTS: usize = 671;
    let entries = entries(183);
    let mut counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for agent in 0..AGENTS {
        let chosen = chosen(agent, &entries);
        assert_eq!(chosen.len(), MAX_LINKED_ENTRIES);
        for entry in chosen {
            *counts.entry(entry).or_default() += 1;
        }
    }
    let mean = AGENTS * MAX_LINKED_ENTRIES / entries.len();
    let fewest = entries.iter().map(|entry| counts.get(entry).copied());
    let fewest = fewest.map(Option::unwrap_or_default).min();
    let most = counts.values().max().copied();
    assert!(fewest >= Some(mean / 2), "{fewest:?} of {mean}");
    assert!(most <= Some(mean * 2), "{most:?} of {mean}");
}

#[test]
fn removing_an_entry_moves_one_link_of_each_agent_that_chose_it() {
    let before = entries(60);
    let after = &before[1..];
    for agent in 0..50 {
        let (old, new) = (chosen(agent, &before), chosen(agent, after));
        let moved = new.difference(&old).count();
        assert_eq!(moved, usize::from(old.contains(&before[0])));
    }
}

#[test]
fn a_link_that_is_not_chosen_closes_after_its_last_run() {
    let mut session = Session::new(2, 1);
    let job = session.submit(0, "a", 4, 400);
    session.run(100);
    let kept = session.entry_addr(1);
    session.agent_mut(0).keep_links(&BTreeSet::from([kept]));
    session.run(100);
    assert_eq!(session.dials, 2);
    session.run_until_answered(job, 1_000);
    assert_eq!(session.outcome(job), Some(JobOutcome::Completed));
    session.run(100);
    // The link stays open for some time after its last run, so that the entry gets the end.
    assert_eq!(
        session.dials, 2,
        "the link is open until the entry has the end"
    );
    session.run(250);
    assert_eq!(session.dials, 3);
    let violations = &session.violations;
    assert!(violations.is_empty(), "{violations:?}");
}

#[test]
fn a_retired_link_delivers_the_ends_of_its_runs() {
    let mut session = Session::new(2, 1);
    let job = session.submit(0, "a", 4, 400);
    session.run(100);
    let kept = session.entry_addr(1);
    session.agent_mut(0).keep_links(&BTreeSet::from([kept]));
    session.run_until_answered(job, 1_000);
    let caller = &session.callers[job];
    let took_ms = caller.answered_ms.unwrap() - caller.sent_ms;
    assert!(took_ms < 500, "{took_ms} ms");
    assert_eq!(session.starts_on("minion-0-1"), 4);
}

#[test]
fn no_link_is_retired_while_a_chosen_entry_has_none() {
    let mut session = Session::new(2, 1);
    session.agent_mut(0).keep_links(&BTreeSet::from([entry(7)]));
    session.run(200);
    assert_eq!(session.dials, 2);
}
