//! What is kept of a run for the search for the cause of a failure: the logs of the
//! processes, the faults, and the state of the site at the first violation.

use std::cell::Cell;
use std::fs;
use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use gannetvane_platform_standins::get;

use crate::site::Soak;

/// File with the state of the site at the first violation.
const STATE_FILE: &str = "state.txt";
/// File with the faults and the beginnings of the checks.
const FAULTS_FILE: &str = "faults.log";

/// The folder with the settings and logs of a site.
pub struct Folder {
    path: PathBuf,
    is_kept: Cell<bool>,
}

impl Folder {
    /// Creates a folder in `GANNETVANE_SOAK_LOGS` if that is set, where it is kept;
    /// otherwise in the directory for temporary files.
    pub fn create(seed: u64) -> Self {
        static SITES: AtomicU64 = AtomicU64::new(0);
        let site = SITES.fetch_add(1, Ordering::Relaxed);
        let name = format!("gannetvane-soak-{}-{site}-seed-{seed}", std::process::id());
        let logs = std::env::var_os("GANNETVANE_SOAK_LOGS").map(PathBuf::from);
        let is_kept = Cell::new(logs.is_some());
        let path = logs.unwrap_or_else(std::env::temp_dir).join(name);
        fs::create_dir_all(&path).expect("a folder for settings and logs");
        Self { path, is_kept }
    }

    /// Returns the path of a file in the folder.
    pub fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Keeps the folder, and prints its path and the state in it.
    pub fn keep(&self) {
        self.is_kept.set(true);
        let state = fs::read_to_string(self.file(STATE_FILE)).unwrap_or_default();
        eprintln!("logs and settings: {}\n{state}", self.path.display());
    }

    /// Records a fault, or the beginning of a check, with its time.
    pub fn record(&self, what: &str) {
        let path = self.file(FAULTS_FILE);
        let file = File::options().create(true).append(true).open(path);
        let written = file.and_then(|mut file| writeln!(file, "{} {what}", unix_ms()));
        written.expect("a file for faults");
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.is_kept.get() {
            // A folder that remains is in the system's directory for temporary files.
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}

impl Soak {
    /// Writes the state of the processes and minions and the metrics into the folder,
    /// unless this was done before.
    pub fn record_state(&self) {
        let path = self.folder.file(STATE_FILE);
        if path.exists() {
            return;
        }
        let mut state = format!("state at {} (unix_ms)\n", unix_ms());
        for program in &self.programs {
            state += &format!("{}: {}\n", program.name(), program.process_state());
        }
        for (host, minion) in self.minions.iter().enumerate() {
            state += &format!("minion of host {host}: {}\n", minion.state_text());
        }
        // A failed write must not hide the violation.
        let _ = fs::write(path, state);
        for program in &self.programs {
            let (_, metrics) = get(program.metrics, "/metrics");
            let path = self.folder.file(&format!("{}.metrics", program.name()));
            let _ = fs::write(path, metrics);
        }
    }
}

fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis()
}
