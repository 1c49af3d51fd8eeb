//! The start of an entry or agent process: it builds the core, the event loop
//! and the HTTP server from the settings and runs them.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use async_trait::async_trait;
use crossbeam::channel::unbounded;
use gannetvane_core::Agent;
use gannetvane_core::AgentSettings;
use gannetvane_core::Entry;
use gannetvane_core::EntrySettings;
use gannetvane_core::GENERATION_MS;
use gannetvane_core::MembershipSettings;
use gannetvane_core::TableSettings;
use gannetvane_node::ClientLimits;
use gannetvane_node::HttpResponse;
use gannetvane_wire::Member;
use gannetvane_wire::MemberState;
use gannetvane_wire::Name;
use gannetvane_wire::Needs;
use gannetvane_wire::NodeId;
use slog::Logger;
use slog::info;
use thiserror::Error;

use crate::event_loop::EventLoop;
use crate::event_loop::Runtime;
use crate::http::Handler;
use crate::http::HttpCall;
use crate::http::HttpLimits;
use crate::http::HttpServer;
use crate::metrics::Metrics;
use crate::minion::HttpMinion;
use crate::minion::MinionWorkers;
use crate::problem::rejection;
use crate::problem::text_response;
use crate::role::AgentCore;
use crate::role::EntryCore;
use crate::routes::Routes;
use crate::routes::readiness;
use crate::settings::Settings;
use crate::settings::SettingsError;

/// The error of a process that cannot start.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The settings cannot be used, or lack the section of the role.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// An address cannot be bound, or a thread cannot start.
    #[error("{component}: {source}")]
    Start {
        /// What could not start.
        component: String,
        /// Why it could not start.
        source: std::io::Error,
    },
}

/// Runs an entry until `stop` is set and the planned stop has ended.
///
/// # Errors
///
/// [`ProcessError`] when it cannot start.
pub fn run_entry(
    settings: &Settings,
    log: &Logger,
    stop: Arc<AtomicBool>,
) -> Result<(), ProcessError> {
    let node = NodeId(rand::random());
    let (inputs, queue) = unbounded();
    let runtime = Runtime::start(settings, node, inputs.clone())?;
    let entry_settings = EntrySettings {
        node,
        addr: settings.node.address,
        contacts: settings.contact.addresses.clone(),
        max_waiting: settings.http.max_requests,
        retention_ms: retention_ms(settings),
    };
    let now_ms = runtime.clock.now_ms();
    let routes = Routes {
        inputs,
        metrics: Arc::clone(&runtime.metrics),
        is_ready: Arc::clone(&runtime.is_ready),
        max_deadline_ms: settings.entry.max_deadline_ms,
    };
    let http = start_http(settings, Arc::new(routes), &runtime.metrics, log)?;
    let core = EntryCore {
        entry: Entry::new(entry_settings, now_ms),
        stop_notice_ms: settings.entry.stop_notice_ms,
        stopping_since_ms: None,
    };
    info!(log, "started"; "address" => %settings.node.address, "http" => %settings.http.address);
    EventLoop::new(Box::new(core), runtime, http, log.clone(), stop).run(&queue);
    info!(log, "stopped");
    Ok(())
}

/// Runs an agent until `stop` is set and the planned stop has ended.
///
/// # Errors
///
/// [`ProcessError`] when it cannot start.
pub fn run_agent(
    settings: &Settings,
    log: &Logger,
    stop: Arc<AtomicBool>,
) -> Result<(), ProcessError> {
    let section = settings.agent()?;
    let node = NodeId(rand::random());
    let (inputs, queue) = unbounded();
    let mut runtime = Runtime::start(settings, node, inputs.clone())?;
    let task_timeout = Duration::from_millis(section.task_timeout_ms);
    let minion = Arc::new(HttpMinion::new(
        &section.minion_url,
        task_timeout,
        log.clone(),
    ));
    let workers = MinionWorkers::start(minion, section.slots, &inputs);
    runtime.minion = Some(workers.map_err(|source| start_error("slot threads", source))?);
    runtime.should_announce = true;
    let now_ms = runtime.clock.now_ms();
    let mut agent = Agent::new(agent_settings(settings, node)?, now_ms);
    agent.add_contacts(settings.contact.addresses.iter().copied());
    let checks = AgentChecks {
        metrics: Arc::clone(&runtime.metrics),
        is_ready: Arc::clone(&runtime.is_ready),
    };
    let http = start_http(settings, Arc::new(checks), &runtime.metrics, log)?;
    info!(log, "started"; "address" => %settings.node.address, "service" => &section.service);
    EventLoop::new(
        Box::new(AgentCore { agent }),
        runtime,
        http,
        log.clone(),
        stop,
    )
    .run(&queue);
    info!(log, "stopped");
    Ok(())
}

fn agent_settings(settings: &Settings, node: NodeId) -> Result<AgentSettings, SettingsError> {
    let section = settings.agent()?;
    let member = Member {
        node,
        addr: settings.node.address,
        zone: Name::from(settings.node.zone.as_str()),
        service: Name::from(section.service.as_str()),
        slots: section.slots,
        capacity: Needs {
            memory_mb: section.memory_mb,
            accelerators: section.accelerators,
        },
        version: 0,
        state: MemberState::Alive,
        uptime_ms: 0,
    };
    let membership = MembershipSettings {
        period_ms: settings.membership.period_ms,
        ack_timeout_ms: settings.membership.ack_timeout_ms,
        suspicion_ms: settings.membership.suspicion_ms,
        retention_ms: retention_ms(settings),
    };
    let table = TableSettings {
        kept_generations: kept_generations(settings),
        max_answer_bytes: settings.answers.max_bytes,
    };
    Ok(AgentSettings {
        member,
        membership,
        table,
        log_retention_ms: settings.log.retention_ms,
        leave_notice_ms: section.leave_notice_ms,
    })
}

fn kept_generations(settings: &Settings) -> u32 {
    let retention_ms = u64::from(settings.answers.retention_min) * 60_000;
    u32::try_from(retention_ms / GENERATION_MS + 1).unwrap_or(u32::MAX)
}

/// Returns the retention of members: longer than that of any id that names them.
fn retention_ms(settings: &Settings) -> u64 {
    (u64::from(kept_generations(settings)) + 2) * GENERATION_MS
}

fn start_http(
    settings: &Settings,
    handler: Arc<dyn Handler>,
    metrics: &Arc<Metrics>,
    log: &Logger,
) -> Result<HttpServer, ProcessError> {
    let limits = HttpLimits {
        max_requests: settings.http.max_requests,
        max_body_bytes: settings.http.max_body_bytes,
        clients: ClientLimits {
            io_timeout: Some(Duration::from_millis(settings.http.io_timeout_ms)),
            ..settings.clients.limits()
        },
    };
    let addr = settings.http.address;
    HttpServer::start(addr, limits, handler, Arc::clone(metrics), log.clone())
        .map_err(|e| start_error(&format!("http {addr}"), e))
}

/// Answers the checks of an agent.
struct AgentChecks {
    metrics: Arc<Metrics>,
    is_ready: Arc<AtomicBool>,
}

#[async_trait(?Send)]
impl Handler for AgentChecks {
    async fn handle(&self, call: HttpCall) -> HttpResponse {
        match (call.method(), call.path()) {
            ("GET", "/healthz") => text_response(200, "ok\n"),
            ("GET", "/readyz") => readiness(&self.is_ready),
            ("GET", "/metrics") => text_response(200, &self.metrics.text()),
            (method, path) => rejection(
                gannetvane_wire::Reason::NoSuchPath,
                format!("{method} {path}"),
            ),
        }
    }
}

pub(crate) fn start_error(component: &str, source: std::io::Error) -> ProcessError {
    ProcessError::Start {
        component: component.to_owned(),
        source,
    }
}
