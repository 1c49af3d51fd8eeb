//! The connections that a process opens to the entries it knows.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gannetvane_dispatch::Directory;

use crate::Clock;

/// First and longest pause before an entry is tried again, in milliseconds.
const FIRST_PAUSE_MS: u64 = 25;
const MAX_PAUSE_MS: u64 = 100;

/// The directory of a process, shared by its tasks on one thread.
pub(crate) type SharedDirectory = Rc<RefCell<Directory>>;

/// Keeps one task that dials each entry of the directory.
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
    /// `dial` opens a connection, serves it to its end, and tells whether it
    /// was of use.
    pub(crate) fn new(directory: SharedDirectory, clock: Clock, dial: F) -> Self {
        Self {
            directory,
            clock,
            dial: Rc::new(dial),
            tasks: BTreeMap::new(),
        }
    }

    /// Starts a task for each entry that has none.
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
