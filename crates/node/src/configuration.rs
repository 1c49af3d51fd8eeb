//! Reads the store: the configuration as it changes, and the entries that
//! announced themselves.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gannetvane_dispatch::RoutingTable;
use slog::Logger;
use slog::info;
use slog::warn;

use crate::ports::Announced;
use crate::ports::StoreError;
use crate::ports::StorePort;

/// Time that a read waits for a change, in milliseconds. A read on a connection
/// that went silent is found that late; the platform counts a host as sound 3 s
/// after its connections were disturbed, and a change must then be in force.
const READ_WAIT_MS: u64 = 1_500;
/// First and longest pause after a failed call, in milliseconds.
const FIRST_PAUSE_MS: u64 = 100;
const LONGEST_PAUSE_MS: u64 = 800;
/// Failed waits for a change after which the whole is read anew.
const FAILURES_BEFORE_WHOLE: u32 = 2;

/// Talks to the store on behalf of a process.
#[derive(Clone)]
pub struct StoreKeeper {
    store: Rc<dyn StorePort>,
    log: Logger,
}

impl std::fmt::Debug for StoreKeeper {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StoreKeeper").finish_non_exhaustive()
    }
}

impl StoreKeeper {
    /// A keeper of `store`.
    #[must_use]
    pub fn new(store: Rc<dyn StorePort>, log: Logger) -> Self {
        Self { store, log }
    }

    /// Passes each configuration on, for ever.
    pub async fn watch(&self, mut found: impl FnMut(RoutingTable)) {
        loop {
            let mut offset = self.read_whole(&mut found).await;
            let mut failures = 0;
            while failures < FAILURES_BEFORE_WHOLE {
                match self.store.next_configuration(offset, READ_WAIT_MS).await {
                    Ok(page) => {
                        if failures > 0 {
                            info!(self.log, "store-regained"; "call" => "read");
                        }
                        failures = 0;
                        offset = page.next_offset;
                        page.table.into_iter().for_each(&mut found);
                    }
                    Err(StoreError::Gone) => break,
                    Err(error) => {
                        failures += 1;
                        warn!(self.log, "store-lost"; "call" => "read", "error" => %error);
                        pause(FIRST_PAUSE_MS).await;
                    }
                }
            }
        }
    }

    async fn read_whole(&self, found: &mut impl FnMut(RoutingTable)) -> u64 {
        let page = self
            .until_done("newest", || self.store.newest_configuration())
            .await;
        page.table.into_iter().for_each(found);
        page.next_offset
    }

    /// Announces an entry, until it is done.
    pub async fn announce(&self, entry: SocketAddr) {
        self.until_done("announce", || self.store.announce(entry))
            .await;
    }

    /// Announces that there are stored jobs, until it is done.
    pub async fn announce_stored_jobs(&self) {
        self.until_done("announce", || self.store.announce_stored_jobs())
            .await;
    }

    /// What entries announced, as soon as the store tells it.
    pub async fn announced(&self) -> Announced {
        self.until_done("announced", || self.store.announced())
            .await
    }

    async fn until_done<T, R>(&self, call: &'static str, attempt: impl Fn() -> R) -> T
    where
        R: Future<Output = Result<T, StoreError>>,
    {
        let mut pause_ms = FIRST_PAUSE_MS;
        let mut failures = 0_u32;
        loop {
            match attempt().await {
                Ok(value) => {
                    if failures > 0 {
                        info!(self.log, "store-regained"; "call" => call, "failures" => failures);
                    }
                    return value;
                }
                Err(error) => {
                    if failures == 0 {
                        warn!(self.log, "store-lost"; "call" => call, "error" => %error);
                    }
                    failures += 1;
                }
            }
            pause(pause_ms).await;
            pause_ms = (pause_ms * 2).min(LONGEST_PAUSE_MS);
        }
    }
}

async fn pause(pause_ms: u64) {
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}
