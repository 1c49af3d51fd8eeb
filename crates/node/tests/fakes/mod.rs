//! A fake store, and helpers for tests that act as the other end of a connection
//! between processes.

#![allow(dead_code, reason = "each test file uses a part")]

use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use gannetvane_dispatch::RoutingTable;
use gannetvane_dispatch::encode;
use gannetvane_node::ports::Announced;
use gannetvane_node::ports::StoreError;
use gannetvane_node::ports::StorePage;
use gannetvane_node::ports::StorePort;
use gannetvane_node::ports::ZoneRecord;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;

/// Longest time that a test waits for the other end of a connection.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// A store that serves all calls, or refuses all of them.
#[derive(Default)]
pub struct FakeStore {
    pub table: RefCell<Option<RoutingTable>>,
    pub zones: Vec<ZoneRecord>,
    pub entries: RefCell<Vec<SocketAddr>>,
    pub is_down: bool,
}

#[async_trait(?Send)]
impl StorePort for FakeStore {
    async fn newest_operators(&self) -> Result<StorePage, StoreError> {
        self.check()?;
        Ok(StorePage {
            table: self.table.borrow().clone(),
            evacuations: self.zones.clone(),
            next_offset: self.zones.len() as u64,
        })
    }

    async fn next_operators(&self, offset: u64, _: u64) -> Result<StorePage, StoreError> {
        self.check()?;
        tokio::time::sleep(Duration::from_millis(20)).await;
        Ok(StorePage {
            table: self.table.borrow().clone(),
            evacuations: Vec::new(),
            next_offset: offset,
        })
    }

    async fn announced(&self) -> Result<Announced, StoreError> {
        self.check()?;
        Ok(Announced {
            entries: self.entries.borrow().clone(),
            has_stored_jobs: false,
        })
    }

    async fn announce_stored_jobs(&self) -> Result<(), StoreError> {
        self.check()
    }

    async fn announce(&self, entry: SocketAddr) -> Result<(), StoreError> {
        self.check()?;
        self.entries.borrow_mut().push(entry);
        Ok(())
    }
}

impl FakeStore {
    fn check(&self) -> Result<(), StoreError> {
        if self.is_down {
            return Err(StoreError::Refused(503));
        }
        Ok(())
    }
}

/// Returns a loopback address and port that no other test uses.
pub fn free_addr() -> SocketAddr {
    static CALLS: AtomicU16 = AtomicU16::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let port = 7_900 + CALLS.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from((Ipv4Addr::new(127, 100 + high % 100, low, 2), port))
}

pub fn log() -> Logger {
    Logger::root(Discard, o!())
}

/// Waits until a condition holds, and panics if it does not within 10 s.
pub async fn until(what: &str, mut is_true: impl FnMut() -> bool) {
    for _ in 0..2_000 {
        if is_true() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("timed out waiting for {what}");
}

pub async fn on_one_thread(test: impl Future<Output = ()>) {
    LocalSet::new().run_until(test).await;
}

/// Reads one length-delimited frame.
pub async fn read_frame(stream: &mut TcpStream) -> Vec<u8> {
    let read = async {
        let length = stream.read_u32().await.expect("a frame");
        let mut frame = vec![0; length as usize];
        stream.read_exact(&mut frame).await.expect("a whole frame");
        frame
    };
    let read = tokio::time::timeout(WAIT_LIMIT, read).await;
    read.expect("a frame in time")
}

/// Encodes and writes one length-delimited frame.
pub async fn write_frame<T: serde::Serialize>(stream: &mut TcpStream, frame: &T) {
    let bytes = encode(frame).expect("it can be encoded");
    let length = u32::try_from(bytes.len()).expect("a short frame");
    stream.write_u32(length).await.expect("an open stream");
    stream.write_all(&bytes).await.expect("an open stream");
}

pub async fn accept(listener: &TcpListener) -> TcpStream {
    let accepted = tokio::time::timeout(WAIT_LIMIT, listener.accept());
    let (stream, _) = accepted.await.expect("a connection").expect("a stream");
    stream
}
