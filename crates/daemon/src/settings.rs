//! Settings of a process, from a TOML file.
//!
//! Precedence: a `--set section.field=value` on the command line goes before
//! the file, and the file before the defaults.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use thiserror::Error;
use toml::Table;
use toml::Value;

/// Settings that cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// Why not.
        source: std::io::Error,
    },
    /// The text is not valid TOML, or a field has the wrong name or type.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// An override is not of the form `section.field=value`.
    #[error("--set {text}: not of the form section.field=value")]
    Override {
        /// The override.
        text: String,
    },
    /// A field is out of its range.
    #[error("{field}: {value} given, {allowed} allowed")]
    Range {
        /// The field with its section.
        field: &'static str,
        /// The value given.
        value: String,
        /// What would be accepted.
        allowed: String,
    },
    /// A section is missing that the role needs.
    #[error("[{section}]: missing, needed by {role}")]
    Missing {
        /// The section.
        section: &'static str,
        /// The role.
        role: &'static str,
    },
}

/// All settings of a process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Addresses and place.
    pub node: NodeSection,
    /// HTTP interface.
    pub http: HttpSection,
    /// First contact.
    #[serde(default)]
    pub contact: ContactSection,
    /// The platform's log.
    pub log: LogSection,
    /// Entry only.
    #[serde(default)]
    pub entry: EntrySection,
    /// Agent only.
    pub agent: Option<AgentSection>,
    /// Membership.
    #[serde(default)]
    pub membership: MembershipSection,
    /// Retained answers.
    #[serde(default)]
    pub answers: AnswersSection,
    /// Log lines of this process.
    #[serde(default)]
    pub logging: LoggingSection,
}

/// Addresses and place of the process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSection {
    /// Where it receives UDP and TCP from other processes.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
}

/// HTTP interface.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HttpSection {
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests served at one time.
    #[serde(default = "defaults::max_requests")]
    pub max_requests: usize,
    /// Largest body in bytes.
    #[serde(default = "defaults::max_body_bytes")]
    pub max_body_bytes: u64,
    /// Longest pause of a caller while it sends or receives, in milliseconds.
    #[serde(default = "defaults::io_timeout_ms")]
    pub io_timeout_ms: u64,
}

/// First contact with the agents.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ContactSection {
    /// Addresses of agents, besides those announced in the log.
    pub addresses: Vec<SocketAddr>,
    /// The balancer before the entries, for use while the log is down.
    pub balancer_url: Option<String>,
}

/// The platform's log.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSection {
    /// Its HTTP address.
    pub url: String,
    /// Time to wait for an answer, in milliseconds.
    #[serde(default = "defaults::log_timeout_ms")]
    pub timeout_ms: u64,
    /// Time for which it keeps records, in milliseconds.
    #[serde(default = "defaults::log_retention_ms")]
    pub retention_ms: u64,
}

/// Settings of an entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntrySection {
    /// Longest deadline that a caller may ask for, in milliseconds.
    pub max_deadline_ms: u64,
    /// Time for which requests are still served after a stop was asked for, at
    /// least, in milliseconds: the balancer needs it to move on.
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
    /// The service of its minion.
    pub service: String,
    /// The minion's HTTP address.
    pub minion_url: String,
    /// Slots of the minion.
    #[serde(default = "defaults::slots")]
    pub slots: u16,
    /// Time after which a running task is given up, in milliseconds.
    #[serde(default = "defaults::task_timeout_ms")]
    pub task_timeout_ms: u64,
    /// Memory of the worker for one task, in megabytes.
    #[serde(default)]
    pub memory_mb: u32,
    /// Accelerators of the worker for one task.
    #[serde(default)]
    pub accelerators: u16,
    /// Time after the start of a planned stop for which new submissions are
    /// still taken, in milliseconds.
    #[serde(default = "defaults::leave_notice_ms")]
    pub leave_notice_ms: u64,
}

/// Times of the failure detector.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSection {
    /// Interval between probes in milliseconds.
    pub period_ms: u64,
    /// Time to wait for the answer to a probe, in milliseconds.
    pub ack_timeout_ms: u64,
    /// Time from suspicion to death in milliseconds.
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

/// Answers that are kept for callers that ask again.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AnswersSection {
    /// Time for which ids and answers are kept, in minutes.
    pub retention_min: u32,
    /// Most bytes of task output kept.
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

/// Log lines.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoggingSection {
    /// Least level: `debug`, `info`, `warning` or `error`.
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

    pub(super) fn max_body_bytes() -> u64 {
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
    /// [`SettingsError`] names the field, its value and what is allowed.
    pub fn load(path: &Path, overrides: &[String]) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::File {
            path: path.display().to_string(),
            source,
        })?;
        Self::parse(&text, overrides)
    }

    /// Like [`Self::load`], from the text of a file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the field, its value and what is allowed.
    pub fn parse(text: &str, overrides: &[String]) -> Result<Self, SettingsError> {
        let settings: Self = if overrides.is_empty() {
            // Straight from the text, so that errors name the line.
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

    /// The section of an agent.
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
            http.max_body_bytes,
            1_024,
            7 * 1024 * 1024,
        )?;
        check_range("http.io_timeout_ms", http.io_timeout_ms, 100, 300_000)
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

/// Sets `section.field` to a value, read as TOML or else as a string.
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

/// The others must be able to reach the address as it stands.
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
