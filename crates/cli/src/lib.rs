//! The parts of the `gannetvane` command: calls to an entry, the load tool with
//! its plots, and the history of a job from log files.

mod client;
mod explain;
mod ids;
mod load;
mod model;
mod plot;
mod report;
mod scrape;
mod workload;

pub use client::CallError;
pub use client::Client;
pub use client::Response;
pub use explain::ExplainError;
pub use explain::JobHistory;
pub use explain::explain;
pub use load::Load;
pub use load::LoadBuilder;
pub use load::LoadError;
pub use model::Discipline;
pub use model::model_responses;
pub use plot::PlotError;
pub use plot::draw;
pub use report::Comparison;
pub use report::Outcomes;
pub use report::Quantiles;
pub use report::Report;
pub use report::Violations;
pub use report::Window;
pub use workload::Arrival;
pub use workload::Workload;
