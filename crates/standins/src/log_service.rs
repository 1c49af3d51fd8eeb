//! Stand-in for the platform's log service: streams of records with offsets.
//!
//! - `POST /streams/{name}/records` appends the body as a record.
//! - `GET /streams/{name}/records?from=N&limit=N` reads records.
//! - `GET /counts` returns the numbers of appends and reads.
//! - `PUT /fault` with `none`, `down`, `lose-answers` or `slow N` (milliseconds)
//!   sets the fault that the service shows.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::serve::Answer;
use crate::serve::Call;
use crate::serve::serve;

/// Maximum number of connections that are served at one time.
const MAX_CONNECTIONS: usize = 512;
/// Number of records in a page when the reader gives no limit.
const DEFAULT_PAGE_RECORDS: u64 = 256;

/// A fault that the log shows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFault {
    /// The log works.
    #[default]
    None,
    /// The log answers appends and reads with an error, and appends nothing.
    Down,
    /// The log appends records, but answers appends with an error.
    LoseAnswers,
    /// The log delays its answers.
    Slow {
        /// Delay of each answer in milliseconds.
        delay_ms: u64,
    },
}

/// The log service, shared by its HTTP threads and the test.
#[derive(Clone, Debug)]
pub struct LogService {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug)]
struct Shared {
    retention: Duration,
    fault: LogFault,
    streams: BTreeMap<String, Stream>,
    appends: u64,
    reads: u64,
}

#[derive(Debug, Default)]
struct Stream {
    oldest_offset: u64,
    records: VecDeque<Record>,
}

#[derive(Debug)]
struct Record {
    appended_at: Instant,
    data: String,
}

#[derive(Debug, Serialize)]
struct Page {
    oldest_offset: u64,
    next_offset: u64,
    end_offset: u64,
    records: Vec<PageRecord>,
}

#[derive(Debug, Serialize)]
struct PageRecord {
    offset: u64,
    data: String,
}

impl LogService {
    /// Creates a log that retains records for `retention`.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        let shared = Shared {
            retention,
            fault: LogFault::None,
            streams: BTreeMap::new(),
            appends: 0,
            reads: 0,
        };
        Self {
            shared: Arc::new(Mutex::new(shared)),
        }
    }

    /// Serves the log at an address.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn serve(&self, addr: SocketAddr) -> std::io::Result<()> {
        let log = self.clone();
        serve(addr, MAX_CONNECTIONS, move |call| log.answer(call))
    }

    /// Sets the fault that the log shows; [`LogFault::None`] ends it.
    pub fn set_fault(&self, fault: LogFault) {
        self.lock().fault = fault;
    }

    /// Returns the records of a stream that the log still holds. Records whose
    /// retention has passed are dropped only by the next read.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<String> {
        let shared = self.lock();
        let records = shared
            .streams
            .get(stream)
            .into_iter()
            .flat_map(|stream| &stream.records);
        records.map(|record| record.data.clone()).collect()
    }

    /// Drops all but the newest `keep` records of a stream, as if their retention
    /// had passed.
    pub fn forget(&self, stream: &str, keep: usize) {
        if let Some(stream) = self.lock().streams.get_mut(stream) {
            while stream.records.len() > keep {
                stream.drop_oldest();
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, call: &Call) -> Answer {
        let parts: Vec<&str> = call.path.trim_matches('/').split('/').collect();
        match (call.method.as_str(), parts.as_slice()) {
            ("PUT", ["fault"]) => self.put_fault(&call.body),
            ("GET", ["counts"]) => {
                let shared = self.lock();
                Answer::new(
                    200,
                    format!(
                        "{{\"appends\":{},\"reads\":{}}}",
                        shared.appends, shared.reads
                    ),
                )
            }
            ("POST", ["streams", name, "records"]) => self.append(name, &call.body),
            ("GET", ["streams", name, "records"]) => self.read(name, call),
            _ => Answer::new(404, "no such path"),
        }
    }

    fn put_fault(&self, text: &str) -> Answer {
        let Some(fault) = parse_fault(text) else {
            return Answer::new(400, "none, down, lose-answers or slow N expected");
        };
        self.set_fault(fault);
        Answer::new(200, "")
    }

    fn append(&self, name: &str, data: &str) -> Answer {
        let fault = self.lock().fault;
        if fault == LogFault::Down {
            return Answer::new(503, "down");
        }
        let offset = {
            let mut shared = self.lock();
            shared.appends += 1;
            let stream = shared.streams.entry(name.to_owned()).or_default();
            stream.records.push_back(Record {
                appended_at: Instant::now(),
                data: data.to_owned(),
            });
            stream.end_offset() - 1
        };
        delay(fault);
        if fault == LogFault::LoseAnswers {
            return Answer::new(503, "answer lost");
        }
        Answer::new(200, format!("{{\"offset\":{offset}}}"))
    }

    fn read(&self, name: &str, call: &Call) -> Answer {
        let fault = self.lock().fault;
        if fault == LogFault::Down {
            return Answer::new(503, "down");
        }
        delay(fault);
        let from = call.number("from").unwrap_or(0);
        let limit = call.number("limit").unwrap_or(DEFAULT_PAGE_RECORDS);
        let mut shared = self.lock();
        shared.reads += 1;
        let retention = shared.retention;
        let stream = shared.streams.entry(name.to_owned()).or_default();
        stream.expire(retention);
        let page = stream.page(from, limit);
        Answer::new(200, serde_json::to_string(&page).unwrap_or_default())
    }
}

impl Stream {
    fn end_offset(&self) -> u64 {
        self.oldest_offset + self.records.len() as u64
    }

    fn drop_oldest(&mut self) {
        self.records.pop_front();
        self.oldest_offset += 1;
    }

    fn expire(&mut self, retention: Duration) {
        while self
            .records
            .front()
            .is_some_and(|record| record.appended_at.elapsed() > retention)
        {
            self.drop_oldest();
        }
    }

    fn page(&self, from: u64, limit: u64) -> Page {
        let first = from.clamp(self.oldest_offset, self.end_offset());
        let end = (first + limit).min(self.end_offset());
        let records = (first..end).filter_map(|offset| {
            let index = usize::try_from(offset - self.oldest_offset).ok()?;
            Some(PageRecord {
                offset,
                data: self.records.get(index)?.data.clone(),
            })
        });
        Page {
            oldest_offset: self.oldest_offset,
            next_offset: end,
            end_offset: self.end_offset(),
            records: records.collect(),
        }
    }
}

fn parse_fault(text: &str) -> Option<LogFault> {
    let mut words = text.split_whitespace();
    let fault = match words.next()? {
        "none" => LogFault::None,
        "down" => LogFault::Down,
        "lose-answers" => LogFault::LoseAnswers,
        "slow" => LogFault::Slow {
            delay_ms: words.next()?.parse().ok()?,
        },
        _ => return None,
    };
    Some(fault)
}

fn delay(fault: LogFault) {
    if let LogFault::Slow { delay_ms } = fault {
        sleep(Duration::from_millis(delay_ms));
    }
}
