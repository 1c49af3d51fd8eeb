//! `gannetvaned`: runs an entry or an agent.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use gannetvaned::ProcessError;
use gannetvaned::Settings;
use gannetvaned::logger;
use gannetvaned::run_agent;
use gannetvaned::run_entry;
use gumdrop::Options;
use mimalloc::MiMalloc;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use slog::Level;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a process that could not start.
const EXIT_START: u8 = 3;

/// Runs a process of gannetvane.
#[derive(Debug, Options)]
struct Arguments {
    /// print help
    #[options(short = "h")]
    help: bool,
    /// print the version
    #[options(short = "V")]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// take requests from callers
    Entry(RoleArguments),
    /// run beside a minion
    Agent(RoleArguments),
}

#[derive(Debug, Options)]
struct RoleArguments {
    /// print help
    #[options(short = "h")]
    help: bool,
    /// settings file in TOML
    #[options(required, meta = "FILE")]
    settings: PathBuf,
    /// section.field=value, before the file
    #[options(no_short, meta = "FIELD")]
    set: Vec<String>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("gannetvaned {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = arguments.command else {
        eprintln!("gannetvaned: a command is needed: entry or agent; see --help");
        return ExitCode::from(EXIT_SETTINGS);
    };
    match run(&command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gannetvaned: {error}");
            match error {
                ProcessError::Settings(_) => ExitCode::from(EXIT_SETTINGS),
                ProcessError::Start { .. } => ExitCode::from(EXIT_START),
            }
        }
    }
}

fn run(command: &Command) -> Result<(), ProcessError> {
    let (Command::Entry(arguments) | Command::Agent(arguments)) = command;
    let settings = Settings::load(&arguments.settings, &arguments.set)?;
    let stop = stop_flag()?;
    let node = settings.node.address.to_string();
    match command {
        Command::Entry(_) => run_entry(&settings, &logger(level(&settings), "entry", node), stop),
        Command::Agent(_) => run_agent(&settings, &logger(level(&settings), "agent", node), stop),
    }
}

fn stop_flag() -> Result<Arc<AtomicBool>, ProcessError> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&stop)).map_err(|source| {
            ProcessError::Start {
                what: "signal handler".to_owned(),
                source,
            }
        })?;
    }
    Ok(stop)
}

fn level(settings: &Settings) -> Level {
    settings.logging.level.parse().unwrap_or(Level::Info)
}
