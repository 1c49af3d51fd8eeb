//! Connections that a process opens to the target entries of its directory.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gannetvane_dispatch::Directory;

use crate::Clock;

/// Pause before an entry is dialed again, in milliseconds. It doubles after each
/// attempt in which the entry sent nothing.
const FIRST_PAUSE_MS: u64 = 25;
/// Longest pause before an entry is dialed again, in milliseconds.
const MAX_PAUSE_MS: u64 = 100;

/// The directory of a process, shared by its asynchronous tasks on one thread.
pub(crate) type SharedDirectory = Rc<RefCell<Directory>>;

/// Keeps one asynchronous task for each target entry of the directory, which dials
/// the entry again whenever its connection ends.
pub(crate) struct Dialers<F> {
    directory: SharedDirectory,
    clock: Clock,
    dial: Rc<F>,
    tasks: BTreeMap<SocketAddr, tokio::task::JoinHandle<()>>,
}

impl<F, R> Dialers<F>
where
    F: Fn(SocketAddr) -> R + 'static,
    R: Future<Output = bool> + 'static,
{
    /// Creates dialers without tasks. `dial` opens a connection, serves it to its
    /// end, and returns whether the entry sent anything.
    pub(crate) fn new(directory: SharedDirectory, clock: Clock, dial: F) -> Self {
        Self {
            directory,
            clock,
            dial: Rc::new(dial),
            tasks: BTreeMap::new(),
        }
    }

    /// Starts a task for each target entry that has none.
    pub(crate) fn refresh(&mut self) {
        self.tasks.retain(|_, task| !task.is_finished());
        let targets = self.directory.borrow_mut().targets(self.clock.now_ms());
        for entry in targets {
            let task = || {
                let directory = Rc::clone(&self.directory);
                let dial = Rc::clone(&self.dial);
                tokio::task::spawn_local(keep_dialing(entry, directory, self.clock.clone(), dial))
            };
            self.tasks.entry(entry).or_insert_with(task);
        }
    }
}

/// Dials an entry repeatedly while it is a target.
async fn keep_dialing<F, R>(
    entry: SocketAddr,
    directory: SharedDirectory,
    clock: Clock,
    dial: Rc<F>,
) where
    F: Fn(SocketAddr) -> R,
    R: Future<Output = bool>,
{
    let mut pause_ms = FIRST_PAUSE_MS;
    while directory
        .borrow_mut()
        .targets(clock.now_ms())
        .contains(&entry)
    {
        let was_answered = dial(entry).await;
        pause_ms = if was_answered {
            FIRST_PAUSE_MS
        } else {
            (pause_ms * 2).min(MAX_PAUSE_MS)
        };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}
