//! Tests of hedged calls: entries start while the store gives no answers, up to as
//! many as a deployment can have.

mod fakes;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use fakes::log;
use fakes::on_one_thread;
use gannetvane_dispatch::RoutingTable;
use gannetvane_node::HedgeContext;
use gannetvane_node::StoreClient;
use gannetvane_node::ports::Announced;
use gannetvane_node::ports::StoreError;
use gannetvane_node::ports::StorePage;
use gannetvane_node::ports::StorePort;
use tokio::time::Instant;
use tokio::time::sleep;

/// Time after which an unanswered call fails. It is longer than a test, so no entry
/// retries its first call, and all further calls are hedged ones.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that the store takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Longest time that is allowed from the end of the store's outage until an entry has
/// the configuration.
const MAX_LEARN_TIME: Duration = Duration::from_millis(700);

/// A store that never answers calls that are made before `available_at`.
struct UnavailableStore {
    available_at: Instant,
    calls: Rc<Cell<usize>>,
}

#[async_trait(?Send)]
impl StorePort for UnavailableStore {
    async fn newest_operators(&self) -> Result<StorePage, StoreError> {
        self.calls.set(self.calls.get() + 1);
        if Instant::now() < self.available_at {
            sleep(CALL_TIMEOUT).await;
            return Err(StoreError::Unreachable("no answer".to_owned()));
        }
        sleep(ANSWER_TIME).await;
        Ok(StorePage {
            table: Some(RoutingTable {
                version: 7,
                ..RoutingTable::default()
            }),
            ..StorePage::default()
        })
    }

    async fn next_operators(&self, _: u64, _: u64) -> Result<StorePage, StoreError> {
        std::future::pending().await
    }

    async fn announced(&self) -> Result<Announced, StoreError> {
        Ok(Announced::default())
    }

    async fn announce(&self, _: SocketAddr) -> Result<(), StoreError> {
        Ok(())
    }

    async fn announce_stored_jobs(&self) -> Result<(), StoreError> {
        Ok(())
    }
}

/// Starts entries that know each other during an outage of the store. Returns the
/// time from the end of the outage to the first answer, and the number of calls up to
/// then.
async fn start(entries: usize, outage: Duration) -> (Duration, usize) {
    let available_at = Instant::now() + outage;
    let calls = Rc::new(Cell::new(0));
    let learned_at = Rc::new(Cell::new(None));
    for _ in 0..entries {
        let store = UnavailableStore {
            available_at,
            calls: Rc::clone(&calls),
        };
        let store_client = StoreClient::new(Rc::new(store), log());
        let learned_at = Rc::clone(&learned_at);
        tokio::task::spawn_local(async move {
            let hedge_context = || HedgeContext {
                is_configured: learned_at.get().is_some(),
                entries,
            };
            let on_update = |_| {
                if learned_at.get().is_none() {
                    learned_at.set(Some(Instant::now()));
                }
            };
            store_client.watch(hedge_context, on_update).await;
        });
    }
    loop {
        if let Some(learned_at) = learned_at.get() {
            return (learned_at - available_at, calls.get());
        }
        sleep(Duration::from_millis(1)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_configuration_is_read_soon_after_the_store_is_back_for_any_number_of_entries() {
    on_one_thread(async {
        for entries in [1, 2, 10, 20, 1_000, 2_000] {
            let (took, _) = start(entries, Duration::from_millis(200)).await;
            assert!(took < MAX_LEARN_TIME, "{entries} entries: {took:?}");
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn all_entries_together_send_a_limited_number_of_hedged_calls() {
    on_one_thread(async {
        for entries in [10, 1_000, 2_000] {
            let (_, calls) = start(entries, Duration::from_millis(1_400)).await;
            let hedged_calls = calls - entries;
            assert!(hedged_calls < 70, "{entries} entries: {hedged_calls} calls");
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_single_entry_sends_a_few_hedged_calls_a_second() {
    on_one_thread(async {
        let (_, calls) = start(1, Duration::from_millis(1_400)).await;
        assert!((3..12).contains(&calls), "{calls} calls");
    })
    .await;
}
