//! Checks that no crowd of clients takes a process beyond the memory and descriptors of
//! its host, or keeps it from answering others.

#[path = "../fleet/mod.rs"]
mod fleet;

mod crowd;
mod legal;
mod site;
mod usage;

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use crowd::Behaviour;
use crowd::Crowd;
use crowd::ReturningCrowd;
use site::Limits;
use site::Listener;
use usage::Usage;
use usage::UsageWatch;
use yare::parameterized;

/// Memory of the host in bytes: half of what a node may use for control.
const HOST_MEMORY_BYTES: usize = 64 * 1024 * 1024;
/// Descriptors of the host's process, without those that are reserved for files.
const HOST_DESCRIPTORS: usize = 312;

/// Time for which a crowd comes again before others ask.
const CROWD_TIME: Duration = Duration::from_secs(2);

/// Waits until no other test of this file runs, so that the processes of one test have the
/// machine for themselves.
fn take_turn() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

fn assert_bounded(usage: Usage, serves_beside_crowd: bool) {
    assert!(usage.memory_bytes <= HOST_MEMORY_BYTES, "{usage:?}");
    assert!(usage.descriptors <= HOST_DESCRIPTORS, "{usage:?}");
    assert!(serves_beside_crowd, "the crowd shuts out others");
}

#[parameterized(
    front_short_bodies = { Listener::Front, Behaviour::ShortBody },
    front_bodies_piece_by_piece = { Listener::Front, Behaviour::PieceByPiece },
    front_large_chunks = { Listener::Front, Behaviour::LargeChunks },
    front_small_chunks = { Listener::Front, Behaviour::SmallChunks },
    front_whole_bodies = { Listener::Front, Behaviour::WholeBody },
    front_long_heads = { Listener::Front, Behaviour::LongHead },
    front_empty_lines = { Listener::Front, Behaviour::EmptyLines },
    front_unread_bytes = { Listener::Front, Behaviour::Unread },
    front_many_steps = { Listener::Front, Behaviour::ManySteps },
    ready_small_chunks = { Listener::Ready, Behaviour::SmallChunks },
    ready_long_heads = { Listener::Ready, Behaviour::LongHead },
    ready_unread_bytes = { Listener::Ready, Behaviour::Unread },
    metrics_long_heads = { Listener::Metrics, Behaviour::LongHead },
    metrics_unread_bytes = { Listener::Metrics, Behaviour::Unread },
    control_short_bodies = { Listener::Control, Behaviour::ShortBody },
    control_small_chunks = { Listener::Control, Behaviour::SmallChunks },
    control_long_heads = { Listener::Control, Behaviour::LongHead },
    control_unread_bytes = { Listener::Control, Behaviour::Unread },
    agent_metrics_long_heads = { Listener::AgentMetrics, Behaviour::LongHead },
    link_short_frames = { Listener::Link, Behaviour::ShortFrame },
    own_node_short_frames = { Listener::OwnNode, Behaviour::ShortFrame },
    own_entry_short_bodies = { Listener::OwnEntry, Behaviour::ShortBody },
    own_entry_bodies_piece_by_piece = { Listener::OwnEntry, Behaviour::PieceByPiece },
    own_entry_large_chunks = { Listener::OwnEntry, Behaviour::LargeChunks },
    own_entry_small_chunks = { Listener::OwnEntry, Behaviour::SmallChunks },
    own_entry_whole_bodies = { Listener::OwnEntry, Behaviour::WholeBody },
    own_entry_long_heads = { Listener::OwnEntry, Behaviour::LongHead },
    own_entry_empty_lines = { Listener::OwnEntry, Behaviour::EmptyLines },
    own_entry_unread_bytes = { Listener::OwnEntry, Behaviour::Unread },
    own_agent_short_bodies = { Listener::OwnAgent, Behaviour::ShortBody },
    own_agent_long_heads = { Listener::OwnAgent, Behaviour::LongHead },
    own_agent_unread_bytes = { Listener::OwnAgent, Behaviour::Unread },
)]
fn crowd_is_bounded(listener: Listener, behaviour: Behaviour) {
    let _turn = take_turn();
    let site = site::start(listener, Limits::Lowered);
    let target = site.target();
    let watch = UsageWatch::start(site.pid(), vec![target.addr]);
    let crowd = Crowd::send(&target, behaviour);
    let serves_beside_crowd = site.serves();
    let usage = watch.finish();
    println!("{listener:?} {behaviour:?}: {usage:?}");
    assert_bounded(usage, serves_beside_crowd);
    drop(crowd);
    assert!(site.serves(), "the process answers nobody after the crowd");
}

#[parameterized(
    front = { Listener::Front },
    control = { Listener::Control },
    own_entry = { Listener::OwnEntry },
)]
fn crowd_that_comes_again_shuts_out_nobody(listener: Listener) {
    let _turn = take_turn();
    let site = site::start(listener, Limits::Lowered);
    let target = site.target();
    let watch = UsageWatch::start(site.pid(), vec![target.addr]);
    let crowd = ReturningCrowd::start(&target);
    thread::sleep(CROWD_TIME);
    let serves_beside_crowd = site.serves();
    let usage = watch.finish();
    println!("{listener:?}: {usage:?}");
    assert_bounded(usage, serves_beside_crowd);
    drop(crowd);
    assert!(site.serves(), "the process answers nobody after the crowd");
}
