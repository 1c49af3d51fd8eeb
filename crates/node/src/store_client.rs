//! A client of the store that retries failed calls. It watches the configuration and
//! the evacuated zones, and reads and writes the announcements of entries.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gannetvane_dispatch::Evacuations;
use gannetvane_dispatch::RoutingTable;
use slog::Logger;
use slog::info;
use slog::warn;

use crate::HedgeContext;
use crate::hedging;
use crate::ports::Announced;
use crate::ports::StoreError;
use crate::ports::StorePage;
use crate::ports::StorePort;

/// Time that a read waits for a change, in milliseconds. A read on a connection that
/// passes no more data is only noticed after this time; the platform considers a host
/// healthy 3 s after its connections were disturbed, and a change must be in force by
/// then.
const READ_WAIT_MS: u64 = 1_500;
/// Pause after the first failed call, in milliseconds. It doubles with each further
/// failure, except while the client reads changes.
const FIRST_PAUSE_MS: u64 = 100;
/// Longest pause after a failed call, in milliseconds.
const MAX_PAUSE_MS: u64 = 800;
/// Number of consecutive failed reads of changes after which the newest records are
/// read as a whole again.
const FAILURES_BEFORE_FULL_READ: u32 = 2;

/// The configuration in one answer of the store, and the evacuations up to it.
#[derive(Clone, Debug)]
pub struct OperatorUpdate {
    /// The configuration, if the answer contained one.
    pub table: Option<RoutingTable>,
    /// All zones that are evacuated.
    pub evacuations: Evacuations,
}

impl OperatorUpdate {
    fn new(page: StorePage, evacuations: &Evacuations) -> Self {
        Self {
            table: page.table,
            evacuations: evacuations.clone(),
        }
    }
}

/// A client of the store that retries failed calls.
#[derive(Clone)]
pub struct StoreClient {
    store: Rc<dyn StorePort>,
    log: Logger,
}

impl std::fmt::Debug for StoreClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StoreKeeper").finish_non_exhaustive()
    }
}

impl StoreClient {
    /// Creates a client of `store`.
    #[must_use]
    pub fn new(store: Rc<dyn StorePort>, log: Logger) -> Self {
        Self { store, log }
    }

    /// Watches the operators' records and passes each answer of the store to
    /// `on_update`; never returns. `hedge_context` decides on hedged calls.
    pub async fn watch(
        &self,
        hedge_context: impl Fn() -> HedgeContext,
        mut on_update: impl FnMut(OperatorUpdate),
    ) {
        loop {
            let page = self.newest(&hedge_context).await;
            let mut offset = page.next_offset;
            let mut evacuations = Evacuations::default();
            apply_zone_records(&mut evacuations, &page);
            // The offset is set even if no zone is evacuated, so that this state
            // replaces an older one from another entry that has evacuated zones.
            evacuations.log_offset = offset;
            on_update(OperatorUpdate::new(page, &evacuations));
            let mut failures = 0;
            while failures < FAILURES_BEFORE_FULL_READ {
                match self.store.next_operators(offset, READ_WAIT_MS).await {
                    Ok(page) => {
                        if failures > 0 {
                            info!(self.log, "store-regained"; "call" => "read");
                        }
                        failures = 0;
                        offset = page.next_offset;
                        apply_zone_records(&mut evacuations, &page);
                        on_update(OperatorUpdate::new(page, &evacuations));
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

    /// Announces the address of an entry; retries until the store confirms it.
    pub async fn announce(&self, entry: SocketAddr) {
        self.retry_until_done("announce", || self.store.announce(entry))
            .await;
    }

    /// Announces that there are stored jobs; retries until the store confirms it.
    pub async fn announce_stored_jobs(&self) {
        self.retry_until_done("announce", || self.store.announce_stored_jobs())
            .await;
    }

    /// Reads what entries announced; retries until the store answers.
    pub async fn announced(&self) -> Announced {
        self.retry_until_done("announced", || self.store.announced())
            .await
    }

    /// Reads the newest records; returns the first answer to any of the hedged calls.
    async fn newest(&self, hedge_context: impl Fn() -> HedgeContext) -> StorePage {
        let newest = || self.store.newest_operators();
        tokio::select! {
            page = self.retry_until_done("newest", newest) => page,
            page = hedging::first_answer(hedge_context, newest) => {
                info!(self.log, "store-regained"; "call" => "newest, repeated");
                page
            }
        }
    }

    /// Repeats a call with increasing pauses until it succeeds.
    async fn retry_until_done<T, R>(&self, call: &'static str, attempt: impl Fn() -> R) -> T
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
            pause_ms = (pause_ms * 2).min(MAX_PAUSE_MS);
        }
    }
}

/// Applies the zone records of a page to the set of evacuated zones.
fn apply_zone_records(evacuations: &mut Evacuations, page: &StorePage) {
    for record in &page.evacuations {
        evacuations.log_offset = page.next_offset;
        if record.is_evacuated {
            evacuations.zones.insert(record.zone.clone());
        } else {
            evacuations.zones.remove(&record.zone);
        }
    }
}

async fn pause(pause_ms: u64) {
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
}
