//! Processes that the soak test can kill, suspend and restart.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

/// A process that is restarted with the same settings. Its output goes to a file
/// beside them.
pub struct Program {
    role: &'static str,
    settings: PathBuf,
    /// Address of its metrics.
    pub metrics: SocketAddr,
    child: Option<Child>,
    pub due: Vec<(Instant, DueAction)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DueAction {
    Resume,
    Start,
}

impl Program {
    pub fn new(role: &'static str, settings: PathBuf, metrics: SocketAddr) -> Self {
        let mut program = Self {
            role,
            settings,
            metrics,
            child: None,
            due: Vec::new(),
        };
        program.start();
        program
    }

    pub fn name(&self) -> String {
        let name = self.settings.file_stem().unwrap_or_default();
        name.to_string_lossy().into_owned()
    }

    /// Returns the state of its process.
    pub fn process_state(&self) -> String {
        let Some(child) = &self.child else {
            return "not started".to_owned();
        };
        let status = fs::read_to_string(format!("/proc/{}/stat", child.id()));
        let status = status.unwrap_or_default();
        // The state follows the name in parentheses: Z after the end, T while stopped.
        let state = status.rsplit_once(") ").and_then(|(_, rest)| rest.get(..1));
        format!("process {} in state {}", child.id(), state.unwrap_or("?"))
    }

    pub fn start(&mut self) {
        self.reap();
        if self.child.is_some() {
            return;
        }
        let child = Command::new(env!("CARGO_BIN_EXE_gannetvaned"))
            .arg(self.role)
            .arg("--settings")
            .arg(&self.settings)
            .stdout(self.output())
            .stderr(self.output())
            .spawn();
        self.child = Some(child.expect("the program starts"));
    }

    /// Opens the file for its output.
    fn output(&self) -> Stdio {
        let path = self.settings.with_extension("log");
        let file = File::options().create(true).append(true).open(path);
        file.expect("a file for logs").into()
    }

    pub fn signal(&self, signal: Signal) {
        let pid = self
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id().cast_signed()));
        if let Some(pid) = pid {
            // Fails when the process has just ended.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills its process and waits for the end of it.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only for a process that has ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn reap(&mut self) {
        if let Some(child) = &mut self.child
            && child.try_wait().is_ok_and(|status| status.is_some())
        {
            self.child = None;
        }
    }

    pub fn schedule(&mut self, after_ms: u64, due: DueAction) {
        self.due
            .push((Instant::now() + Duration::from_millis(after_ms), due));
    }

    pub fn run_due_actions(&mut self) {
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) = self.due.drain(..).partition(|(at, _)| now >= *at);
        self.due = later;
        for (_, due) in due {
            match due {
                DueAction::Resume => self.signal(Signal::CONT),
                DueAction::Start => self.start(),
            }
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}
