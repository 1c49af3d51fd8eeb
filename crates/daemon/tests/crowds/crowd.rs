//! Clients that send much, stop before they are done, and keep their connections open.

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use gannetvane_platform_standins::TIMEOUT_HEADER;
use gannetvane_platform_standins::job_of_many_steps;

/// Number of clients in a crowd.
const CLIENTS: usize = 400;
/// Number of threads of a crowd that comes again.
const RETURNING_THREADS: usize = 4;
/// Time without progress of any client after which a crowd is complete.
const QUIET_TIME: Duration = Duration::from_millis(500);
/// Clients that cannot connect for this long stay away: the server's backlog is full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
const PAUSE: Duration = Duration::from_millis(2);
/// Bytes that a client hands to its socket at a time.
const WRITE_BYTES: usize = 64 * 1024;
/// The same for a client that sends piece by piece.
const PIECE_BYTES: usize = 512;
/// Bytes of a client's head or empty lines, and of what follows a whole request.
const ENDLESS_BYTES: usize = 2 * 1024 * 1024;

/// Size of a message between processes.
const FRAME_BYTES: usize = 1_000_000;

/// Id of the job in the requests of a target.
pub const JOB_ID: &str = "00000000000000aa";

/// What the clients of a crowd send.
#[derive(Clone, Copy, Debug)]
pub enum Behaviour {
    /// A body of the largest legal size, without its last byte.
    ShortBody,
    /// The same in small pieces.
    PieceByPiece,
    /// A chunked body in large chunks, without its end.
    LargeChunks,
    /// A chunked body with one byte in each chunk, without its end.
    SmallChunks,
    /// A whole request with a body of the largest legal size.
    WholeBody,
    /// A head without end.
    LongHead,
    /// Empty lines without end in place of a request.
    EmptyLines,
    /// A whole request, and bytes without end after it.
    Unread,
    /// A message between processes without its last byte.
    ShortFrame,
    /// A whole request for a job of its own, with very many steps without tasks.
    ManySteps,
}

/// A request that takes a body, as the crowd sends it.
#[derive(Clone, Debug)]
pub struct Target {
    pub addr: SocketAddr,
    /// Method and path.
    pub request: String,
    pub host: &'static str,
    /// First part of a valid body; spaces follow.
    pub body_start: String,
    /// Last part of a valid body.
    pub body_end: &'static str,
    /// Largest legal size of a body.
    pub max_body_bytes: usize,
    /// Encodes the length before a message between processes.
    pub frame_length: fn(u32) -> Vec<u8>,
}

/// Bytes to send: a start, a part that is repeated, and an end.
#[derive(Debug)]
struct Script {
    start: Vec<u8>,
    repeated: Vec<u8>,
    times: usize,
    end: Vec<u8>,
    write_bytes: usize,
}

impl Script {
    fn new(target: &Target, behaviour: Behaviour) -> Self {
        let head = format!("{} HTTP/1.1\r\nHost: {}\r\n", target.request, target.host);
        let body_bytes = target.body_start.len() + target.body_end.len();
        let padding = target.max_body_bytes - body_bytes;
        let sized = format!(
            "{head}Content-Length: {}\r\n\r\n{}",
            target.max_body_bytes, target.body_start
        );
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        let padded = |times, end: &str| Self::repeat(&sized, " ", times, end);
        let without_last = &target.body_end[..target.body_end.len() - 1];
        match behaviour {
            Behaviour::ShortBody => padded(padding, without_last),
            Behaviour::PieceByPiece => Self {
                write_bytes: PIECE_BYTES,
                ..padded(padding, without_last)
            },
            Behaviour::WholeBody => padded(padding, target.body_end),
            Behaviour::LargeChunks => {
                let chunk = format!("4000\r\n{}\r\n", " ".repeat(0x4000));
                Self::repeat(&chunked, &chunk, target.max_body_bytes / 0x4000 - 1, "")
            }
            Behaviour::SmallChunks => {
                Self::repeat(&chunked, "1\r\n \r\n", target.max_body_bytes / 4, "")
            }
            Behaviour::LongHead => Self::endless(&format!("{head}Cookie: "), "0123456789abcdef"),
            Behaviour::EmptyLines => Self::endless("", "\r\n"),
            Behaviour::ManySteps => {
                let body = job_of_many_steps(target.max_body_bytes);
                let length = body.len();
                let head = format!("{head}{TIMEOUT_HEADER}: 60000\r\nContent-Length: {length}");
                Self::repeat(&format!("{head}\r\n\r\n{body}"), "", 0, "")
            }
            Behaviour::ShortFrame => {
                let length = u32::try_from(FRAME_BYTES).expect("a short frame");
                Self {
                    start: (target.frame_length)(length),
                    ..Self::repeat("", " ", FRAME_BYTES - 1, "")
                }
            }
            Behaviour::Unread => {
                let whole = sized + &" ".repeat(padding) + target.body_end;
                Self::endless(&whole, " ")
            }
        }
    }

    fn repeat(start: &str, repeated: &str, times: usize, end: &str) -> Self {
        Self {
            start: start.as_bytes().to_vec(),
            repeated: repeated.as_bytes().to_vec(),
            times,
            end: end.as_bytes().to_vec(),
            write_bytes: WRITE_BYTES,
        }
    }

    fn endless(start: &str, repeated: &str) -> Self {
        Self::repeat(start, repeated, ENDLESS_BYTES / repeated.len(), "")
    }

    /// Returns all bytes.
    fn bytes(&self) -> Vec<u8> {
        let repeated = self.repeated.repeat(self.times);
        [self.start.as_slice(), &repeated, &self.end].concat()
    }
}

impl Target {
    /// Returns the target of the client with this number, whose job is its own.
    fn of_client(&self, number: usize) -> Self {
        Self {
            request: self.request.replace(JOB_ID, &format!("{number:016x}")),
            ..self.clone()
        }
    }

    /// Returns what a client of this behaviour sends.
    pub fn bytes(&self, behaviour: Behaviour) -> Vec<u8> {
        Script::new(self, behaviour).bytes()
    }
}

/// A crowd of clients, whose connections are open until it is dropped.
#[derive(Debug)]
pub struct Crowd {
    clients: Vec<Client>,
}

#[derive(Debug)]
struct Client {
    stream: TcpStream,
    bytes: Rc<Vec<u8>>,
    sent_bytes: usize,
    is_closed: bool,
}

impl Crowd {
    /// Connects the clients and sends until all of them are done, refused or stuck.
    pub fn send(target: &Target, behaviour: Behaviour) -> Self {
        let script = Script::new(target, behaviour);
        let shared = Rc::new(script.bytes());
        let mut crowd = Self {
            clients: Vec::with_capacity(CLIENTS),
        };
        for number in 0..CLIENTS {
            let bytes = match behaviour {
                Behaviour::ManySteps => Rc::new(target.of_client(number).bytes(behaviour)),
                _ => Rc::clone(&shared),
            };
            crowd.clients.extend(Client::connect(target.addr, bytes));
            crowd.send_once(script.write_bytes);
        }
        let mut progress_at = Instant::now();
        while progress_at.elapsed() < QUIET_TIME {
            if crowd.send_once(script.write_bytes) {
                progress_at = Instant::now();
            } else {
                thread::sleep(PAUSE);
            }
        }
        crowd
    }

    /// Lets each client write once. Returns whether one of them could.
    fn send_once(&mut self, write_bytes: usize) -> bool {
        let clients = self.clients.iter_mut();
        let progress = clients.map(|client| client.send(write_bytes));
        progress.fold(false, |any, one| any | one)
    }
}

impl Client {
    /// Connects; `None` if the server refuses.
    fn connect(addr: SocketAddr, bytes: Rc<Vec<u8>>) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(Self {
            stream,
            bytes,
            sent_bytes: 0,
            is_closed: false,
        })
    }

    fn send(&mut self, write_bytes: usize) -> bool {
        let rest = &self.bytes[self.sent_bytes..];
        if self.is_closed || rest.is_empty() {
            return false;
        }
        match self.stream.write(&rest[..rest.len().min(write_bytes)]) {
            Ok(written) => {
                self.sent_bytes += written;
                true
            }
            Err(error) => {
                self.is_closed = error.kind() != ErrorKind::WouldBlock;
                false
            }
        }
    }
}

/// A crowd whose clients come again and again with bodies that they do not end, until it
/// is dropped.
#[derive(Debug)]
pub struct ReturningCrowd {
    should_stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl ReturningCrowd {
    /// Starts the crowd.
    pub fn start(target: &Target) -> Self {
        let should_stop = Arc::new(AtomicBool::new(false));
        let threads = (0..RETURNING_THREADS).map(|_| {
            let target = target.clone();
            let stop = Arc::clone(&should_stop);
            thread::spawn(move || return_until(&target, &stop))
        });
        Self {
            threads: threads.collect(),
            should_stop,
        }
    }
}

impl Drop for ReturningCrowd {
    fn drop(&mut self) {
        self.should_stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            // A client that panics has said so itself.
            let _ = thread.join();
        }
    }
}

/// Connects client after client, of which the last ones stay, until `stop` is set.
fn return_until(target: &Target, stop: &AtomicBool) {
    let bytes = Rc::new(target.bytes(Behaviour::ShortBody));
    let mut clients = VecDeque::new();
    while !stop.load(Ordering::SeqCst) {
        if clients.len() >= CLIENTS / RETURNING_THREADS {
            clients.pop_front();
        }
        clients.extend(Client::connect(target.addr, Rc::clone(&bytes)));
        clients.iter_mut().for_each(|client| {
            client.send(WRITE_BYTES);
        });
    }
}
