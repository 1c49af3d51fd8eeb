//! Reads the store: the configuration and the zones that are being emptied, as
//! they change, and the entries that announced themselves.

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

/// Time that a read waits for a change, in milliseconds. A read on a connection
/// that went silent is found that late; the platform counts a host as sound 3 s
/// after its connections were disturbed, and a change must then be in force.
const READ_WAIT_MS: u64 = 1_500;
/// First and longest pause after a failed call, in milliseconds.
const FIRST_PAUSE_MS: u64 = 100;
const MAX_PAUSE_MS: u64 = 800;
/// Failed waits for a change after which the whole is read anew.
const FAILURES_BEFORE_FULL_READ: u32 = 2;

/// What operators want, as far as the store told it.
#[derive(Clone, Debug)]
pub struct OperatorUpdate {
    /// A configuration, if there is one that was not told before.
    pub table: Option<RoutingTable>,
    /// The zones that are being emptied.
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

/// Talks to the store on behalf of a process.
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
    /// A keeper of `store`.
    #[must_use]
    pub fn new(store: Rc<dyn StorePort>, log: Logger) -> Self {
        Self { store, log }
    }

    /// Passes on what operators write, for ever; `hedge_context` tells what is known
    /// without the store.
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
            // Also without a zone: an older picture, from elsewhere, may have some.
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

    /// Announces an entry, until it is done.
    pub async fn announce(&self, entry: SocketAddr) {
        self.retry_until_done("announce", || self.store.announce(entry))
            .await;
    }

    /// Announces that there are stored jobs, until it is done.
    pub async fn announce_stored_jobs(&self) {
        self.retry_until_done("announce", || self.store.announce_stored_jobs())
            .await;
    }

    /// What entries announced, as soon as the store tells it.
    pub async fn announced(&self) -> Announced {
        self.retry_until_done("announced", || self.store.announced())
            .await
    }

    /// The newest records, from the first call that is answered.
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

/// Takes over the zones of a page.
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
