//! The program `gannetvaned`: it parses the command line and runs an entry or
//! an agent.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use gannetvane_node::logger;
use gannetvane_platform::PlatformError;
use gannetvane_platform::PlatformSettings;
use gannetvaned::ProcessError;
use gannetvaned::Settings;
use gannetvaned::run_agent;
use gannetvaned::run_entry;
use gumdrop::Options;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use slog::Level;

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a process that could not start.
const EXIT_START: u8 = 3;

/// Environment variable with the path of the settings file, used by the
/// commands for the users' platform when `--settings` is absent.
const SETTINGS_VARIABLE: &str = "GANNETVANE_CONFIG";

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
    /// take jobs from clients of the users' platform
    PlatformEntry(PlatformArguments),
    /// run beside a minion of the users' platform
    PlatformAgent(PlatformArguments),
}

#[derive(Debug, Options)]
struct PlatformArguments {
    /// print help
    #[options(short = "h")]
    help: bool,
    /// settings file in TOML; by default the one that GANNETVANE_CONFIG names
    #[options(meta = "FILE")]
    settings: Option<PathBuf>,
}

#[derive(Debug, Options)]
struct RoleArguments {
    /// print help
    #[options(short = "h")]
    help: bool,
    /// settings file in TOML
    #[options(required, meta = "FILE")]
    settings: PathBuf,
    /// section.field=value; takes precedence over the file
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
        eprintln!(
            "gannetvaned: a command is needed: entry, agent, platform-entry or platform-agent; see --help"
        );
        return ExitCode::from(EXIT_SETTINGS);
    };
    let result = match &command {
        Command::Entry(arguments) | Command::Agent(arguments) => run_role(&command, arguments),
        Command::PlatformEntry(arguments) => {
            return exit_code(
                load_platform_settings(arguments).and_then(|s| gannetvane_platform::run_entry(&s)),
            );
        }
        Command::PlatformAgent(arguments) => {
            return exit_code(
                load_platform_settings(arguments).and_then(|s| gannetvane_platform::run_agent(&s)),
            );
        }
    };
    match result {
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

fn load_platform_settings(
    arguments: &PlatformArguments,
) -> Result<PlatformSettings, PlatformError> {
    let named = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let path = arguments.settings.clone().or(named).unwrap_or_default();
    Ok(PlatformSettings::load(&path)?)
}

fn exit_code(result: Result<(), PlatformError>) -> ExitCode {
    let Err(error) = result else {
        return ExitCode::SUCCESS;
    };
    eprintln!("gannetvaned: {error}");
    match error {
        PlatformError::Settings(_) => ExitCode::from(EXIT_SETTINGS),
        PlatformError::Start { .. } => ExitCode::from(EXIT_START),
    }
}

fn run_role(command: &Command, arguments: &RoleArguments) -> Result<(), ProcessError> {
    let settings = Settings::load(&arguments.settings, &arguments.set)?;
    let stop = register_stop_signals()?;
    let node = settings.node.address.to_string();
    match command {
        Command::Entry(_) => run_entry(
            &settings,
            &logger(log_level(&settings), "entry", node, std::io::stderr()),
            stop,
        ),
        _ => run_agent(
            &settings,
            &logger(log_level(&settings), "agent", node, std::io::stderr()),
            stop,
        ),
    }
}

fn register_stop_signals() -> Result<Arc<AtomicBool>, ProcessError> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&stop)).map_err(|source| {
            ProcessError::Start {
                component: "signal handler".to_owned(),
                source,
            }
        })?;
    }
    Ok(stop)
}

fn log_level(settings: &Settings) -> Level {
    settings.logging.level.parse().unwrap_or(Level::Info)
}
