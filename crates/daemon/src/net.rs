//! Messages between processes: datagrams for small control messages, such as
//! those of the membership, and TCP for the rest.
//!
//! One thread serves all sockets and closes idle connections, so more peers
//! need no more threads, and idle peers hold no connections.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::unbounded;
use gannetvane_core::Peer;
use gannetvane_wire::Envelope;
use gannetvane_wire::MAX_FRAME_BYTES;
use gannetvane_wire::Message;
use gannetvane_wire::NodeId;
use gannetvane_wire::decode;
use gannetvane_wire::encode;
use mio::Events;
use mio::Interest;
use mio::Poll;
use mio::Token;
use mio::Waker;
use mio::event::Event;
use mio::net::TcpListener;
use mio::net::TcpStream;
use mio::net::UdpSocket;
use socket2::Domain;
use socket2::Protocol;
use socket2::SockRef;
use socket2::Socket;
use socket2::Type;

use crate::clock::Clock;
use crate::connection::Connection;
use crate::connection::READ_BYTES;
use crate::input::Input;
use crate::metrics::Metrics;

const LISTENER: Token = Token(0);
const DATAGRAMS: Token = Token(1);
const WAKER: Token = Token(2);
const FIRST_CONNECTION: usize = 3;

/// Largest size of a message that is sent as a datagram.
const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Size of the receive buffer that is requested for the datagram socket.
const DATAGRAM_BUFFER_BYTES: usize = 2 * 1024 * 1024;
/// Idle time after which a connection is closed.
const IDLE_TIMEOUT_MS: u64 = 60_000;
/// Time within which a connection must be established.
const CONNECT_TIMEOUT_MS: u64 = 2_000;
/// Time without acknowledgement of sent data after which TCP breaks a connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between searches for idle and unestablished connections.
const SWEEP_INTERVAL_MS: u64 = 500;
/// Largest size of the incomplete messages of processes that have not named themselves, in
/// bytes; one of the largest size fits.
const MAX_UNKNOWN_PEER_BYTES: usize = 2 * MAX_FRAME_BYTES;
/// Receive buffer that is requested for each connection, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
/// Largest number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Sends messages to other processes.
pub(crate) trait Transport: Debug + Send + Sync {
    /// Sends a message without confirmation that it arrives.
    fn send(&self, to: Peer, message: Message);
}

/// The sockets of one process.
#[derive(Debug)]
pub(crate) struct Network {
    outgoing: Sender<Outgoing>,
    waker: Arc<Waker>,
}

#[derive(Debug)]
struct Outgoing {
    to: Peer,
    message: Message,
}

/// The process that the sockets belong to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Identity {
    /// Identity of this run of the process.
    pub node: NodeId,
    /// Address at which the process receives.
    pub addr: SocketAddr,
}

impl Network {
    /// Binds the sockets and starts the thread that serves them.
    ///
    /// # Errors
    ///
    /// An I/O error when the address cannot be bound or the thread cannot start.
    pub fn start(
        identity: Identity,
        inputs: Sender<Input>,
        metrics: Arc<Metrics>,
        clock: Arc<dyn Clock>,
        max_unknown_peers: usize,
    ) -> io::Result<Self> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
        let (outgoing, outgoing_queue) = unbounded();
        let mut network = NetworkThread {
            listener: listen(identity.addr)?,
            datagrams: bind_datagrams(identity.addr)?,
            identity,
            poll,
            connections: BTreeMap::new(),
            by_peer: BTreeMap::new(),
            next_token: FIRST_CONNECTION,
            next_sweep_at_ms: 0,
            read_buffer: vec![0; READ_BYTES],
            inputs,
            outgoing_queue,
            metrics,
            clock,
            max_unknown_peers,
        };
        network.register()?;
        thread::Builder::new()
            .name("network".into())
            .spawn(move || network.run())?;
        Ok(Self { outgoing, waker })
    }
}

impl Transport for Network {
    fn send(&self, to: Peer, message: Message) {
        // Both fail only when the thread has ended together with the process.
        if self.outgoing.send(Outgoing { to, message }).is_ok() {
            let _ = self.waker.wake();
        }
    }
}

struct NetworkThread {
    identity: Identity,
    poll: Poll,
    listener: TcpListener,
    datagrams: UdpSocket,
    connections: BTreeMap<Token, Connection>,
    by_peer: BTreeMap<SocketAddr, Token>,
    next_token: usize,
    next_sweep_at_ms: u64,
    /// Buffer for reads, reused to avoid an allocation for each read.
    read_buffer: Vec<u8>,
    inputs: Sender<Input>,
    outgoing_queue: Receiver<Outgoing>,
    metrics: Arc<Metrics>,
    clock: Arc<dyn Clock>,
    /// Largest number of connections that others opened and on which no message has
    /// arrived.
    max_unknown_peers: usize,
}

impl NetworkThread {
    fn register(&mut self) -> io::Result<()> {
        let registry = self.poll.registry();
        registry.register(&mut self.listener, LISTENER, Interest::READABLE)?;
        registry.register(&mut self.datagrams, DATAGRAMS, Interest::READABLE)
    }

    fn run(mut self) {
        let mut events = Events::with_capacity(1_024);
        loop {
            let timeout = Duration::from_millis(SWEEP_INTERVAL_MS);
            if let Err(error) = self.poll.poll(&mut events, Some(timeout)) {
                if error.kind() == io::ErrorKind::Interrupted {
                    continue;
                }
                self.deliver(Input::NetworkError(error.to_string()));
                return;
            }
            for event in &events {
                match event.token() {
                    LISTENER => self.accept(),
                    DATAGRAMS => self.read_datagrams(),
                    WAKER => {}
                    token => self.handle_event(token, event),
                }
            }
            while let Ok(outgoing) = self.outgoing_queue.try_recv() {
                self.send(&outgoing);
            }
            self.sweep();
        }
    }

    fn accept(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            let now_ms = self.clock.now_ms();
            if let Err(error) = self.add_connection(Connection::new(stream, None, now_ms)) {
                self.deliver(Input::NetworkError(error.to_string()));
            }
            self.limit_unknown_peers();
        }
    }

    /// Closes connections on which no message has arrived, the oldest first, while there
    /// are too many of them or they hold too much.
    fn limit_unknown_peers(&mut self) {
        let unknown = self.connections.iter().filter(|(_, c)| c.peer.is_none());
        let sizes: Vec<(Token, usize)> = unknown
            .map(|(token, c)| (*token, c.received_bytes()))
            .collect();
        let mut count = sizes.len();
        let mut total_bytes: usize = sizes.iter().map(|(_, bytes)| bytes).sum();
        for (token, bytes) in sizes {
            let is_over_bytes = total_bytes > MAX_UNKNOWN_PEER_BYTES && bytes > 0;
            if count <= self.max_unknown_peers && !is_over_bytes {
                continue;
            }
            count -= 1;
            total_bytes -= bytes;
            self.remove_connection(token);
            self.metrics.count_event("connection-closed-unknown-peer");
        }
    }

    fn add_connection(&mut self, mut connection: Connection) -> io::Result<Token> {
        let token = Token(self.next_token);
        self.next_token += 1;
        let _ = connection.stream.set_nodelay(true);
        let socket = SockRef::from(&connection.stream);
        let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll
            .registry()
            .register(&mut connection.stream, token, interest)?;
        if let Some(peer) = connection.peer {
            self.by_peer.insert(peer, token);
        }
        self.connections.insert(token, connection);
        Ok(token)
    }

    fn read_datagrams(&mut self) {
        loop {
            match self.datagrams.recv_from(&mut self.read_buffer) {
                Ok((read, _)) => {
                    self.deliver_frame(&self.read_buffer[..read]);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // An earlier datagram was sent to a closed port.
                Err(_) => {}
            }
        }
    }

    fn deliver_frame(&self, bytes: &[u8]) -> Option<SocketAddr> {
        match decode(bytes) {
            Ok(envelope) => {
                let from = envelope.from_addr;
                self.deliver(Input::Message(envelope));
                Some(from)
            }
            Err(error) => {
                self.deliver(Input::NetworkError(error.to_string()));
                None
            }
        }
    }

    fn handle_event(&mut self, token: Token, event: &Event) {
        let now_ms = self.clock.now_ms();
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        if event.is_writable() && !connection.is_established {
            match is_connected(&connection.stream) {
                Ok(true) => connection.is_established = true,
                Ok(false) => {}
                Err(_) => return self.close_broken(token),
            }
        }
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        if event.is_writable() && connection.flush().is_err() {
            return self.close_broken(token);
        }
        if !event.is_readable() || !connection.is_established {
            return;
        }
        connection.last_used_at_ms = now_ms;
        let received = connection.receive(&mut self.read_buffer);
        let is_unknown = connection.peer.is_none();
        let mut is_broken = received.is_broken;
        for frame in &received.frames {
            match self.deliver_frame(frame) {
                Some(from) => self.set_peer(token, from),
                None => is_broken |= is_unknown,
            }
        }
        if received.is_closed_by_peer {
            self.remove_connection(token);
        } else if is_broken {
            self.close_broken(token);
        } else if received.may_have_more {
            self.await_readable(token);
        }
        if is_unknown {
            self.limit_unknown_peers();
        }
    }

    /// Makes the next poll report a connection again that was not read to its end.
    fn await_readable(&mut self, token: Token) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registry = self.poll.registry();
        if registry
            .reregister(&mut connection.stream, token, interest)
            .is_err()
        {
            self.close_broken(token);
        }
    }

    /// Assigns a peer to the connection that it opened, so that answers are sent
    /// over the same connection.
    fn set_peer(&mut self, token: Token, from: SocketAddr) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        if connection.peer.is_none() {
            connection.peer = Some(from);
            self.by_peer.entry(from).or_insert(token);
        }
    }

    fn send(&mut self, outgoing: &Outgoing) {
        let envelope = Envelope {
            from: self.identity.node,
            from_addr: self.identity.addr,
            to: outgoing.to.node,
            message: outgoing.message.clone(),
        };
        let bytes = match encode(&envelope) {
            Ok(bytes) => bytes,
            Err(error) => return self.deliver(Input::NetworkError(error.to_string())),
        };
        self.metrics
            .count_sent(outgoing.message.name(), bytes.len());
        let to = outgoing.to.addr;
        if outgoing.message.is_control() && bytes.len() <= MAX_DATAGRAM_BYTES {
            // The next probe or pull compensates for a lost datagram.
            let _ = self.datagrams.send_to(&bytes, to);
            return;
        }
        self.send_over_connection(to, &bytes);
    }

    fn send_over_connection(&mut self, to: SocketAddr, bytes: &[u8]) {
        let now_ms = self.clock.now_ms();
        let token = match self.by_peer.get(&to) {
            Some(token) => *token,
            None => {
                match connect(to)
                    .and_then(|s| self.add_connection(Connection::new(s, Some(to), now_ms)))
                {
                    Ok(token) => token,
                    Err(_) => return self.report_undelivered(to, std::iter::once(bytes.to_vec())),
                }
            }
        };
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        connection.last_used_at_ms = now_ms;
        let is_within_limit = connection.queue(bytes);
        if !is_within_limit || connection.flush().is_err() {
            self.close_broken(token);
        }
    }

    fn close_broken(&mut self, token: Token) {
        let Some(connection) = self.remove_connection(token) else {
            return;
        };
        if let Some(peer) = connection.peer {
            let unsent: Vec<Vec<u8>> = connection.unsent().collect();
            self.report_undelivered(peer, unsent.into_iter());
        }
    }

    fn report_undelivered(&self, peer: SocketAddr, frames: impl Iterator<Item = Vec<u8>>) {
        for frame in frames {
            if let Ok(envelope) = decode(&frame) {
                self.deliver(Input::Undelivered(envelope.message));
            }
        }
        self.deliver(Input::PeerDown(peer));
    }

    fn remove_connection(&mut self, token: Token) -> Option<Connection> {
        let mut connection = self.connections.remove(&token)?;
        let _ = self.poll.registry().deregister(&mut connection.stream);
        if let Some(peer) = connection.peer
            && self.by_peer.get(&peer) == Some(&token)
        {
            self.by_peer.remove(&peer);
        }
        Some(connection)
    }

    fn sweep(&mut self) {
        let now_ms = self.clock.now_ms();
        if now_ms < self.next_sweep_at_ms {
            return;
        }
        self.next_sweep_at_ms = now_ms + SWEEP_INTERVAL_MS;
        let is_stuck = |c: &Connection| {
            !c.is_established && now_ms.saturating_sub(c.opened_at_ms) > CONNECT_TIMEOUT_MS
        };
        let is_idle = |c: &Connection| now_ms.saturating_sub(c.last_used_at_ms) > IDLE_TIMEOUT_MS;
        let tokens_of = |connections: &BTreeMap<Token, Connection>,
                         predicate: &dyn Fn(&Connection) -> bool| {
            connections
                .iter()
                .filter(|(_, c)| predicate(c))
                .map(|(t, _)| *t)
                .collect::<Vec<_>>()
        };
        for token in tokens_of(&self.connections, &is_stuck) {
            self.close_broken(token);
        }
        for token in tokens_of(&self.connections, &is_idle) {
            if let Some(mut connection) = self.remove_connection(token) {
                connection.queue(&[]);
                let _ = connection.flush();
            }
        }
    }

    fn deliver(&self, input: Input) {
        // Fails only when the event loop has ended.
        let _ = self.inputs.send(input);
    }
}

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}

fn bind_datagrams(addr: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(addr), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_nonblocking(true)?;
    // The system may grant a smaller buffer.
    let _ = socket.set_recv_buffer_size(DATAGRAM_BUFFER_BYTES);
    socket.bind(&addr.into())?;
    Ok(UdpSocket::from_std(socket.into()))
}

fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    TcpStream::connect(to)
}

fn is_connected(stream: &TcpStream) -> io::Result<bool> {
    if let Some(error) = stream.take_error()? {
        return Err(error);
    }
    match stream.peer_addr() {
        Ok(_) => Ok(true),
        Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(false),
        Err(error) => Err(error),
    }
}
