//! The processes of gannetvane: they run the cores of `gannetvane-core` and
//! provide their threads, sockets and HTTP interface.

mod clock;
mod connection;
mod event_loop;
mod http;
mod input;
mod metrics;
mod minion;
mod net;
mod platform;
mod problem;
mod process;
mod role;
mod routes;
pub mod settings;

pub use process::ProcessError;
pub use process::run_agent;
pub use process::run_entry;
pub use settings::Settings;
pub use settings::SettingsError;
