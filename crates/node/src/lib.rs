//! Entry and agent processes around the decision core in `gannetvane-dispatch`.
//!
//! Each process runs on one thread. Its event loop passes inputs from
//! connections and calls to the core, executes the actions that the core asks
//! for, and sleeps until the core's next deadline. A deployment connects its
//! minions and its store by implementing the traits in [`ports`].

mod agent_links;
mod agent_node;
mod body_buffer;
mod client_limits;
mod client_request;
mod client_stream;
mod clock;
mod close_reason;
mod connection_phase;
mod connection_table;
mod dialers;
mod entry_handle;
mod entry_node;
mod entry_stored;
mod hedging;
mod http_client;
mod http_server;
mod job_log;
mod links;
mod logging;
mod metrics;
mod peer_links;
pub mod ports;
mod store_client;
mod stored_calls;
mod tunables;

pub use agent_node::AgentHandle;
pub use agent_node::AgentNode;
pub use agent_node::AgentNodeSettings;
pub use client_limits::ClientLimitError;
pub use client_limits::ClientLimits;
pub use client_limits::ClientSettings;
pub use client_request::BodyError;
pub use client_request::ClientBody;
pub use client_request::ClientRequest;
pub use clock::BootTime;
pub use clock::Clock;
pub use clock::TimeSource;
pub use close_reason::CloseReason;
pub use connection_phase::RequestCounts;
pub use connection_table::ClientMemoryExhausted;
pub use connection_table::HeldBytes;
pub use entry_handle::EntryHandle;
pub use entry_node::EntryNode;
pub use entry_node::EntryNodeSettings;
pub use hedging::HedgeContext;
pub use http_client::CallError;
pub use http_client::HttpClient;
pub use http_client::Reply;
pub use http_server::HttpResponse;
pub use http_server::HttpServer;
pub use http_server::OpenConnections;
pub use http_server::bind_clients;
pub use logging::logger;
pub use metrics::Metrics;
pub use metrics::exported_provider;
pub use metrics::exported_text;
pub use store_client::OperatorUpdate;
pub use store_client::StoreClient;
pub use tunables::Tunables;
