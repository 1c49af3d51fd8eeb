//! Memory, unread bytes and descriptors of a process, read from `/proc`.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// State of a listening socket in `/proc/net/tcp`. Its receive queue counts connections.
const LISTENING: &str = "0A";

/// The highest values seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Resident memory together with the unread bytes in the sockets.
    pub memory_bytes: usize,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Watches a process on a separate thread.
pub struct UsageWatch {
    should_stop: Arc<AtomicBool>,
    thread: JoinHandle<Usage>,
}

impl UsageWatch {
    /// Watches a process that listens on these addresses.
    pub fn start(pid: u32, listeners: Vec<SocketAddr>) -> Self {
        let should_stop = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&should_stop);
        let thread = thread::spawn(move || {
            let mut highest = Usage::default();
            while !stop.load(Ordering::SeqCst) {
                let memory_bytes = status_bytes(pid, "VmRSS:") + unread_bytes(&listeners);
                highest.memory_bytes = highest.memory_bytes.max(memory_bytes);
                highest.descriptors = highest.descriptors.max(descriptors(pid));
                thread::sleep(SAMPLE_INTERVAL);
            }
            // Includes peaks between two samples.
            highest.memory_bytes = highest.memory_bytes.max(status_bytes(pid, "VmHWM:"));
            highest
        });
        Self {
            should_stop,
            thread,
        }
    }

    /// Stops watching and returns the highest values.
    pub fn finish(self) -> Usage {
        self.should_stop.store(true, Ordering::SeqCst);
        self.thread.join().expect("the watch does not panic")
    }
}

/// Returns a size from the status of a process; 0 if the process has ended.
fn status_bytes(pid: u32, field: &str) -> usize {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kilobytes = line.and_then(|rest| rest.split_whitespace().next());
    kilobytes.map_or(0, |text| text.parse::<usize>().unwrap_or(0) * 1024)
}

fn descriptors(pid: u32) -> usize {
    fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Returns the bytes that were received on connections to these addresses and not read.
fn unread_bytes(listeners: &[SocketAddr]) -> usize {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = table.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let local = fields.next()?;
        let state = fields.nth(1)?;
        let (_, receive_queue) = fields.next()?.split_once(':')?;
        let is_counted = state != LISTENING && listeners.contains(&parse_addr(local)?);
        is_counted.then(|| usize::from_str_radix(receive_queue, 16).ok())?
    });
    unread.sum()
}

/// Parses an address of `/proc/net/tcp`, whose IP is in the byte order of the host.
fn parse_addr(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?;
    let port = u16::from_str_radix(port, 16).ok()?;
    Some((Ipv4Addr::from(ip.to_ne_bytes()), port).into())
}
