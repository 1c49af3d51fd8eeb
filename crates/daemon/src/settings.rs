//! The settings of a process, read from a TOML file.
//!
//! A `--set section.field=value` on the command line takes precedence over the
//! file, and the file over the defaults.

use std::net::SocketAddr;
use std::path::Path;

use gannetvane_node::ClientLimitError;
use gannetvane_node::ClientSettings;
use serde::Deserialize;
use thiserror::Error;
use toml::Table;
use toml::Value;

/// The error of settings that cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    File {
        /// The path of the file.
        path: String,
        /// Why the file cannot be read.
        source: std::io::Error,
    },
    /// The text is not valid TOML, or a field has the wrong name or type.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// An override is not of the form `section.field=value`.
    #[error("--set {text}: not of the form section.field=value")]
    Override {
        /// The text of the override.
        text: String,
    },
    /// A field is out of its range.
    #[error("{field}: {value} given, {allowed} allowed")]
    Range {
        /// The field, preceded by its section and a dot.
        field: &'static str,
        /// The value given.
        value: String,
        /// The values that are allowed.
        allowed: String,
    },
    /// A limit on clients is out of its range.
    #[error(transparent)]
    Clients(#[from] ClientLimitError),
    /// A section that the role needs is missing.
    #[error("[{section}]: missing, needed by {role}")]
    Missing {
        /// The name of the section.
        section: &'static str,
        /// The role that needs the section.
        role: &'static str,
    },
}

/// All settings of a process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address and availability zone.
    pub node: NodeSection,
    /// HTTP interface.
    pub http: HttpSection,
    /// First contact with the agents.
    #[serde(default)]
    pub contact: ContactSection,
    /// The platform's log.
    pub log: LogSection,
    /// Settings that only an entry uses.
    #[serde(default)]
    pub entry: EntrySection,
    /// Settings that only an agent uses.
    pub agent: Option<AgentSection>,
    /// Failure detection between agents.
    #[serde(default)]
    pub membership: MembershipSection,
    /// Retention of answers.
    #[serde(default)]
    pub answers: AnswersSection,
    /// Log lines of this process.
    #[serde(default)]
    pub logging: LoggingSection,
    /// Limits on what clients can make the process hold.
    #[serde(default)]
    pub clients: ClientSettings,
}

/// Address and availability zone of the process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSection {
    /// Address at which the process receives UDP and TCP from other processes.
    pub address: SocketAddr,
    /// Availability zone of the process.
    pub zone: String,
}

/// Settings of the HTTP interface.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HttpSection {
    /// Address at which the HTTP server listens.
    pub address: SocketAddr,
    /// Largest number of concurrent requests.
    #[serde(default = "defaults::max_requests")]
    pub max_requests: usize,
    /// Largest size of a request body, in bytes.
    #[serde(default = "defaults::max_body_bytes")]
    pub max_body_bytes: usize,
    /// Longest time without progress while a caller sends or receives, in
    /// milliseconds.
    #[serde(default = "defaults::io_timeout_ms")]
    pub io_timeout_ms: u64,
}

/// Settings of the first contact with the agents.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ContactSection {
    /// Addresses of agents, in addition to those announced in the log.
    pub addresses: Vec<SocketAddr>,
    /// URL of the balancer in front of the entries, used while the log is down or
    /// has no announcements of agents.
    pub balancer_url: Option<String>,
}

/// Settings of the platform's log.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSection {
    /// URL of the log.
    pub url: String,
    /// Timeout of a call to the log, in milliseconds.
    #[serde(default = "defaults::log_timeout_ms")]
    pub timeout_ms: u64,
    /// Time for which the log retains records, in milliseconds.
    #[serde(default = "defaults::log_retention_ms")]
    pub retention_ms: u64,
}

/// Settings of an entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntrySection {
    /// Longest deadline that a caller may request, in milliseconds.
    pub max_deadline_ms: u64,
    /// Shortest time for which requests are still served after a stop was
    /// requested, in milliseconds. The balancer needs it to switch to other entries.
    pub stop_notice_ms: u64,
}

impl Default for EntrySection {
    fn default() -> Self {
        Self {
            max_deadline_ms: 120_000,
            stop_notice_ms: 3_000,
        }
    }
}

/// Settings of an agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSection {
    /// Service of the minion.
    pub service: String,
    /// URL of the minion.
    pub minion_url: String,
    /// Number of slots of the minion.
    #[serde(default = "defaults::slots")]
    pub slots: u16,
    /// Time after which the agent stops waiting for the result of a running task,
    /// in milliseconds.
    #[serde(default = "defaults::task_timeout_ms")]
    pub task_timeout_ms: u64,
    /// Memory that the worker has for one task, in megabytes.
    #[serde(default)]
    pub memory_mb: u32,
    /// Accelerators that the worker has for one task.
    #[serde(default)]
    pub accelerators: u16,
    /// Time for which new submissions are still accepted after the start of a
    /// planned stop, in milliseconds.
    #[serde(default = "defaults::leave_notice_ms")]
    pub leave_notice_ms: u64,
}

/// Settings of the failure detector.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSection {
    /// Interval between probes, in milliseconds.
    pub period_ms: u64,
    /// Timeout of the answer to a probe, in milliseconds.
    pub ack_timeout_ms: u64,
    /// Time after which a suspected member is declared dead, in milliseconds.
    pub suspicion_ms: u64,
}

impl Default for MembershipSection {
    fn default() -> Self {
        Self {
            period_ms: 500,
            ack_timeout_ms: 150,
            suspicion_ms: 1_200,
        }
    }
}

/// Settings of the answers that are retained for repeated requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AnswersSection {
    /// Time for which ids and answers are retained, in minutes.
    pub retention_min: u32,
    /// Largest total size of the retained task output, in bytes.
    pub max_bytes: usize,
}

impl Default for AnswersSection {
    fn default() -> Self {
        Self {
            retention_min: 10,
            max_bytes: 32 * 1024 * 1024,
        }
    }
}

/// Settings of the log lines of this process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoggingSection {
    /// Lowest level that is logged: `debug`, `info`, `warning` or `error`.
    pub level: String,
}

impl Default for LoggingSection {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
        }
    }
}

mod defaults {
    pub(super) fn max_requests() -> usize {
        512
    }

    pub(super) fn max_body_bytes() -> usize {
        2 * 1024 * 1024
    }

    pub(super) fn io_timeout_ms() -> u64 {
        10_000
    }

    pub(super) fn log_timeout_ms() -> u64 {
        2_000
    }

    pub(super) fn log_retention_ms() -> u64 {
        86_400_000
    }

    pub(super) fn slots() -> u16 {
        8
    }

    pub(super) fn task_timeout_ms() -> u64 {
        60_000
    }

    pub(super) fn leave_notice_ms() -> u64 {
        3_000
    }
}

impl Settings {
    /// Reads a file, applies overrides and checks every field.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] when the file cannot be read, an override is malformed, or
    /// a field has a wrong name, type or value; its text names the field, its value
    /// and what is allowed.
    pub fn load(path: &Path, overrides: &[String]) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::File {
            path: path.display().to_string(),
            source,
        })?;
        Self::parse(&text, overrides)
    }

    /// Parses the text of a settings file, applies overrides and checks every
    /// field.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] when an override is malformed, or a field has a wrong name,
    /// type or value; its text names the field, its value and what is allowed.
    pub fn parse(text: &str, overrides: &[String]) -> Result<Self, SettingsError> {
        let settings: Self = if overrides.is_empty() {
            // Parsed directly from the text, so that errors name the line.
            toml::from_str(text)?
        } else {
            let mut table: Table = toml::from_str(text)?;
            for text in overrides {
                apply_override(&mut table, text)?;
            }
            table.try_into()?
        };
        settings.check()?;
        Ok(settings)
    }

    /// Returns the section of an agent.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Missing`] when it is absent.
    pub fn agent(&self) -> Result<&AgentSection, SettingsError> {
        self.agent.as_ref().ok_or(SettingsError::Missing {
            section: "agent",
            role: "agent",
        })
    }

    fn check(&self) -> Result<(), SettingsError> {
        self.check_node()?;
        self.check_http()?;
        self.check_log()?;
        self.check_membership()?;
        check_range(
            "entry.max_deadline_ms",
            self.entry.max_deadline_ms,
            100,
            300_000,
        )?;
        check_range("entry.stop_notice_ms", self.entry.stop_notice_ms, 0, 60_000)?;
        check_range(
            "answers.retention_min",
            self.answers.retention_min.into(),
            6,
            120,
        )?;
        check_range(
            "answers.max_bytes",
            self.answers.max_bytes as u64,
            1_000_000,
            1 << 33,
        )?;
        check_choice(
            "logging.level",
            &self.logging.level,
            &["debug", "info", "warning", "error"],
        )?;
        self.agent.as_ref().map_or(Ok(()), AgentSection::check)
    }

    fn check_node(&self) -> Result<(), SettingsError> {
        check_address("node.address", self.node.address)?;
        check_name("node.zone", &self.node.zone)
    }

    fn check_http(&self) -> Result<(), SettingsError> {
        let http = &self.http;
        check_range("http.max_requests", http.max_requests as u64, 1, 10_000)?;
        check_range(
            "http.max_body_bytes",
            http.max_body_bytes as u64,
            1_024,
            7 * 1024 * 1024,
        )?;
        check_range("http.io_timeout_ms", http.io_timeout_ms, 100, 300_000)?;
        self.clients.check()?;
        check_range(
            "clients.max_held_bytes",
            self.clients.limits().max_held_bytes as u64,
            // A body is held twice while it is joined.
            2 * http.max_body_bytes as u64,
            1 << 36,
        )
    }

    fn check_log(&self) -> Result<(), SettingsError> {
        check_url("log.url", &self.log.url)?;
        if let Some(balancer_url) = &self.contact.balancer_url {
            check_url("contact.balancer_url", balancer_url)?;
        }
        check_range("log.timeout_ms", self.log.timeout_ms, 50, 60_000)?;
        check_range(
            "log.retention_ms",
            self.log.retention_ms,
            10_000,
            31_536_000_000,
        )
    }

    fn check_membership(&self) -> Result<(), SettingsError> {
        let membership = &self.membership;
        check_range("membership.period_ms", membership.period_ms, 100, 10_000)?;
        let max = membership.period_ms / 2;
        check_range(
            "membership.ack_timeout_ms",
            membership.ack_timeout_ms,
            20,
            max,
        )?;
        check_range(
            "membership.suspicion_ms",
            membership.suspicion_ms,
            200,
            60_000,
        )
    }
}

impl AgentSection {
    fn check(&self) -> Result<(), SettingsError> {
        check_name("agent.service", &self.service)?;
        check_url("agent.minion_url", &self.minion_url)?;
        check_range("agent.slots", self.slots.into(), 1, 1_024)?;
        check_range(
            "agent.task_timeout_ms",
            self.task_timeout_ms,
            100,
            3_600_000,
        )?;
        check_range("agent.leave_notice_ms", self.leave_notice_ms, 0, 60_000)
    }
}

/// Sets `section.field` to a value, which is parsed as TOML, or taken as a
/// string when it is not valid TOML.
fn apply_override(table: &mut Table, text: &str) -> Result<(), SettingsError> {
    let invalid = || SettingsError::Override {
        text: text.to_owned(),
    };
    let (path, value) = text.split_once('=').ok_or_else(invalid)?;
    let (section, field) = path.split_once('.').ok_or_else(invalid)?;
    let parsed = toml::from_str::<Table>(&format!("value = {value}"))
        .ok()
        .and_then(|mut parsed| parsed.remove("value"))
        .unwrap_or_else(|| Value::String(value.to_owned()));
    let section = table
        .entry(section)
        .or_insert_with(|| Value::Table(Table::new()));
    let section = section.as_table_mut().ok_or_else(invalid)?;
    section.insert(field.to_owned(), parsed);
    Ok(())
}

fn check_range(field: &'static str, value: u64, min: u64, max: u64) -> Result<(), SettingsError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    let allowed = format!("from {min} to {max}");
    Err(SettingsError::Range {
        field,
        value: value.to_string(),
        allowed,
    })
}

fn check_choice(field: &'static str, value: &str, choices: &[&str]) -> Result<(), SettingsError> {
    if choices.contains(&value) {
        return Ok(());
    }
    let allowed = format!("one of {}", choices.join(", "));
    Err(SettingsError::Range {
        field,
        value: format!("{value:?}"),
        allowed,
    })
}

fn check_name(field: &'static str, value: &str) -> Result<(), SettingsError> {
    let is_plain = value.chars().all(|c| c.is_ascii_graphic());
    if !value.is_empty() && value.len() <= 64 && is_plain {
        return Ok(());
    }
    let allowed = "from 1 to 64 printable characters without spaces".to_owned();
    Err(SettingsError::Range {
        field,
        value: format!("{value:?}"),
        allowed,
    })
}

fn check_url(field: &'static str, value: &str) -> Result<(), SettingsError> {
    if value.starts_with("http://") && value.len() > "http://".len() {
        return Ok(());
    }
    let allowed = "a URL that begins with http://".to_owned();
    Err(SettingsError::Range {
        field,
        value: format!("{value:?}"),
        allowed,
    })
}

/// Checks that other processes can reach the address as it is written: it needs
/// an IP address other than the unspecified one, and a port.
fn check_address(field: &'static str, value: SocketAddr) -> Result<(), SettingsError> {
    if !value.ip().is_unspecified() && value.port() != 0 {
        return Ok(());
    }
    let allowed = "an address of this host with a port".to_owned();
    Err(SettingsError::Range {
        field,
        value: value.to_string(),
        allowed,
    })
}
