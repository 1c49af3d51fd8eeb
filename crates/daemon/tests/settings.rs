//! Checks the settings, the command line and the exit codes.

mod fleet;

use std::process::Command;

use gannetvaned::Settings;
use yare::parameterized;

const GOOD: &str = r#"
[node]
address = "127.0.0.1:7100"
zone = "selfoss"
[http]
address = "127.0.0.1:8100"
[log]
url = "http://127.0.0.1:9000"
[agent]
service = "bretti-desk"
minion_url = "http://127.0.0.1:9100"
"#;

#[test]
fn shipped_settings_are_valid() {
    for file in ["entry.toml", "agent.toml"] {
        let path = format!("{}/../../quickstart/{file}", env!("CARGO_MANIFEST_DIR"));
        Settings::load(path.as_ref(), &[]).unwrap();
    }
}

#[parameterized(
    any_address = { "node.address=\"0.0.0.0:7100\"", "node.address: 0.0.0.0:7100 given, an address of this host with a port allowed" },
    no_port = { "node.address=\"127.0.0.1:0\"", "node.address: 127.0.0.1:0 given, an address of this host with a port allowed" },
    zone = { "node.zone=a b", "node.zone: \"a b\" given, from 1 to 64 printable characters without spaces allowed" },
    requests = { "http.max_requests=0", "http.max_requests: 0 given, from 1 to 10000 allowed" },
    body = { "http.max_body_bytes=10", "http.max_body_bytes: 10 given, from 1024 to 7340032 allowed" },
    io_timeout = { "http.io_timeout_ms=1", "http.io_timeout_ms: 1 given, from 100 to 300000 allowed" },
    log_url = { "log.url=ftp://x", "log.url: \"ftp://x\" given, a URL that begins with http:// allowed" },
    log_timeout = { "log.timeout_ms=1", "log.timeout_ms: 1 given, from 50 to 60000 allowed" },
    log_retention = { "log.retention_ms=1", "log.retention_ms: 1 given, from 10000 to 31536000000 allowed" },
    balancer = { "contact.balancer_url=x", "contact.balancer_url: \"x\" given, a URL that begins with http:// allowed" },
    slots = { "agent.slots=0", "agent.slots: 0 given, from 1 to 1024 allowed" },
    minion_url = { "agent.minion_url=", "agent.minion_url: \"\" given, a URL that begins with http:// allowed" },
    task_timeout = { "agent.task_timeout_ms=1", "agent.task_timeout_ms: 1 given, from 100 to 3600000 allowed" },
    leave_notice = { "agent.leave_notice_ms=60001", "agent.leave_notice_ms: 60001 given, from 0 to 60000 allowed" },
    deadline = { "entry.max_deadline_ms=1", "entry.max_deadline_ms: 1 given, from 100 to 300000 allowed" },
    period = { "membership.period_ms=10", "membership.period_ms: 10 given, from 100 to 10000 allowed" },
    ack = { "membership.ack_timeout_ms=400", "membership.ack_timeout_ms: 400 given, from 20 to 250 allowed" },
    suspicion = { "membership.suspicion_ms=1", "membership.suspicion_ms: 1 given, from 200 to 60000 allowed" },
    retention = { "answers.retention_min=1", "answers.retention_min: 1 given, from 6 to 120 allowed" },
    answers = { "answers.max_bytes=1", "answers.max_bytes: 1 given, from 1000000 to 8589934592 allowed" },
    host_memory = { "clients.host_memory_mb=31", "clients.host_memory_mb: 31 given, from 32 to 1048576 allowed" },
    host_descriptors = { "clients.host_descriptors=399", "clients.host_descriptors: 399 given, from 400 to 1048576 allowed" },
    connections = { "clients.max_connections=0", "clients.max_connections: 0 given, from 1 to 100000 allowed" },
    held = { "clients.max_held_bytes=1000", "clients.max_held_bytes: 1000 given, from 1048576 to 68719476736 allowed" },
    held_below_body = { "clients.max_held_bytes=1048576", "clients.max_held_bytes: 1048576 given, from 4194304 to 68719476736 allowed" },
    head = { "clients.max_head_bytes=100", "clients.max_head_bytes: 100 given, from 8192 to 1048576 allowed" },
    receive_buffer = { "clients.receive_buffer_bytes=100", "clients.receive_buffer_bytes: 100 given, from 4096 to 1048576 allowed" },
    level = { "logging.level=loud", "logging.level: \"loud\" given, one of debug, info, warning, error allowed" },
    no_section = { "level=loud", "--set level=loud: not of the form section.field=value" },
    no_value = { "logging.level", "--set logging.level: not of the form section.field=value" },
)]
fn field_out_of_range_is_named(change: &str, expected: &str) {
    let error = Settings::parse(GOOD, &[change.to_owned()]).unwrap_err();
    assert_eq!(error.to_string(), expected);
}

#[parameterized(
    unknown_field = { "[node]\nadress = \"x\"", "unknown field `adress`" },
    wrong_type = { "[node]\naddress = 7", "invalid type: integer `7`" },
    missing = { "[node]\naddress = \"127.0.0.1:1\"", "missing field `zone`" },
    no_toml = { "[node", "TOML parse error at line 1" },
)]
fn error_in_settings_text_is_located(text: &str, expected: &str) {
    let error = Settings::parse(text, &[]).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}

#[test]
fn override_takes_precedence_over_file_and_file_over_default() {
    let text = format!("{GOOD}slots = 4\n");
    assert_eq!(
        Settings::parse(GOOD, &[]).unwrap().agent().unwrap().slots,
        8
    );
    assert_eq!(
        Settings::parse(&text, &[]).unwrap().agent().unwrap().slots,
        4
    );
    let overrides = ["agent.slots=2".to_owned()];
    assert_eq!(
        Settings::parse(&text, &overrides)
            .unwrap()
            .agent()
            .unwrap()
            .slots,
        2
    );
}

#[parameterized(
    version = { &["--version"], 0, "gannetvaned 0." },
    help = { &["--help"], 0, "Usage:" },
    entry_help = { &["entry", "--help"], 0, "--settings FILE" },
    no_command = { &[], 2, "a command is needed" },
    unknown_command = { &["conductor"], 2, "unrecognized command" },
    no_settings = { &["entry"], 2, "missing required option `--settings`" },
    no_file = { &["entry", "--settings", "/no/such/file"], 2, "/no/such/file" },
)]
fn command_line_and_exit_codes(arguments: &[&str], code: i32, expected: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_gannetvaned"))
        .args(arguments)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8_lossy(&text);
    assert!(text.contains(expected), "{text}");
    assert_eq!(output.status.code(), Some(code));
}

#[test]
fn occupied_address_has_its_own_exit_code() {
    let addr = fleet::free_addr();
    let _listener = std::net::TcpListener::bind(addr).unwrap();
    let text = GOOD.replace("127.0.0.1:7100", &addr.to_string());
    let file = fleet::settings_file(&text);
    let output = Command::new(env!("CARGO_BIN_EXE_gannetvaned"))
        .args(["agent", "--settings"])
        .arg(file)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&output.stderr).contains(&addr.to_string()));
}

#[test]
fn agent_without_its_section_is_refused() {
    let text = GOOD.split("[agent]").next().unwrap();
    let error = Settings::parse(text, &[]).unwrap().agent().unwrap_err();
    assert_eq!(error.to_string(), "[agent]: missing, needed by agent");
}
