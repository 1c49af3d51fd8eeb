//! Tests of `gannetvane check-settings` on settings files of `gannetvaned` and of
//! the platform's programs.

use std::path::PathBuf;
use std::process::Command;

use yare::parameterized;

const PLATFORM: &str = r#"
[host]
name = "front-1"
zone = "selfoss"
link_address = "127.0.0.1:7720"
metrics_address = "127.0.0.1:7721"
seeds = []
log_level = "info"
[store]
address = "127.0.0.1:8169"
[times]
grace_s = 6
remote_factor = 1.5
"#;
const OWN: &str = r#"
[node]
address = "127.0.0.1:7946"
zone = "selfoss"
[http]
address = "127.0.0.1:8080"
[log]
url = "http://127.0.0.1:9092"
[entry]
"#;

#[parameterized(
    platform = { "platform", PLATFORM, "", "", 0, "ok" },
    platform_value = { "platform-value", PLATFORM, "grace_s = 6", "grace_s = 0", 2, "times.grace_s: 0" },
    platform_field = { "platform-field", PLATFORM, "zone =", "zone_name =", 2, "zone_name" },
    own = { "own", OWN, "", "", 0, "ok" },
    own_field = { "own-field", OWN, "zone =", "zone_name =", 2, "zone_name" },
)]
fn settings_files_are_checked(
    name: &str,
    text: &str,
    from: &str,
    to: &str,
    code: i32,
    expected: &str,
) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
    let text = if from.is_empty() {
        text.to_owned()
    } else {
        text.replace(from, to)
    };
    std::fs::write(&path, text).expect("the folder can be written to");
    let output = Command::new(env!("CARGO_BIN_EXE_gannetvane"))
        .arg("check-settings")
        .arg("--settings")
        .arg(&path)
        .output()
        .expect("the program runs");
    let printed = [output.stdout, output.stderr].concat();
    let printed = String::from_utf8_lossy(&printed);
    assert_eq!(output.status.code(), Some(code), "{printed}");
    assert!(printed.contains(expected), "{printed}");
}
