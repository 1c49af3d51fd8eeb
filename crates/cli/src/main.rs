//! The `gannetvane` program: commands for operators and callers.

use std::io::Read;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use gannetvane::CallError;
use gannetvane::Client;
use gannetvane::ExplainError;
use gannetvane::LoadBuilder;
use gannetvane::LoadError;
use gannetvane::PlotError;
use gannetvane::Report;
use gannetvane::Response;
use gannetvane::Workload;
use gannetvane::draw;
use gannetvane::explain;
use gannetvane_platform::PlatformSettings;
use gannetvane_wire::Operation;
use gannetvane_wire::api::IdsBody;
use gannetvane_wire::api::PlanBody;
use gannetvane_wire::api::PlanRequest;
use gannetvaned::Settings;
use gannetvaned::SettingsError;
use gumdrop::Options;
use mimalloc::MiMalloc;
use oxhttp::model::Method;
use serde::Deserialize;
use thiserror::Error;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Exit code when a call was refused, a submission failed, a request or response is
/// invalid, or no log line names the job to explain.
const EXIT_REFUSED: u8 = 1;
/// Exit code for a command line, file or setting that cannot be used.
const EXIT_USAGE: u8 = 2;
/// Exit code when no entry could be reached.
const EXIT_UNREACHABLE: u8 = 3;
/// Time that an entry may take to respond to a command.
const RESPONSE_WAIT: Duration = Duration::from_secs(30);

/// Commands for operators and callers of gannetvane.
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
    /// work out what an intent would change
    Plan(PlanArguments),
    /// apply a plan
    Confirm(ConfirmArguments),
    /// run a job or request and print its answer
    Submit(SubmitArguments),
    /// cancel a submission
    Cancel(IdArguments),
    /// print a submission's answer, or the members and configuration
    Status(StatusArguments),
    /// run a load against the system and print a report
    Load(LoadArguments),
    /// draw load reports as SVG
    Plot(PlotArguments),
    /// check a settings file of gannetvaned
    CheckSettings(CheckArguments),
    /// print the history of a job from log files of all processes
    Explain(ExplainArguments),
}

#[derive(Debug, Options)]
struct ExplainArguments {
    /// print help
    #[options(short = "h")]
    help: bool,
    /// id of the job, and log files; - reads standard input
    #[options(free, required)]
    job_and_logs: Vec<String>,
}

#[derive(Debug, Options)]
struct PlanArguments {
    /// print help
    #[options(short = "h")]
    help: bool,
    /// URL of an entry
    #[options(required, meta = "URL")]
    entry: String,
    /// intent in TOML: [[operations]] tables
    #[options(required, meta = "FILE")]
    intent: PathBuf,
    /// id for the change; the entry draws one when absent
    #[options(no_short, meta = "ID")]
    change_id: Option<String>,
}

#[derive(Debug, Options)]
struct ConfirmArguments {
    /// print help
    #[options(short = "h")]
    help: bool,
    /// URL of an entry
    #[options(required, meta = "URL")]
    entry: String,
    /// plan as printed by `plan`; - reads standard input
    #[options(required, meta = "FILE")]
    plan: String,
}

#[derive(Debug, Options)]
struct SubmitArguments {
    /// print help
    #[options(short = "h")]
    help: bool,
    /// URL of an entry
    #[options(required, meta = "URL")]
    entry: String,
    /// job or request in JSON; - reads standard input
    #[options(required, meta = "FILE")]
    body: String,
    /// id to submit under; a new one is taken when absent
    #[options(meta = "ID")]
    id: Option<String>,
}

#[derive(Debug, Options)]
struct IdArguments {
    /// print help
    #[options(short = "h")]
    help: bool,
    /// URL of an entry
    #[options(required, meta = "URL")]
    entry: String,
    /// id of the submission
    #[options(required, meta = "ID")]
    id: String,
}

#[derive(Debug, Options)]
struct StatusArguments {
    /// print help
    #[options(short = "h")]
    help: bool,
    /// URL of an entry
    #[options(required, meta = "URL")]
    entry: String,
    /// id of a submission; members and configuration when absent
    #[options(meta = "ID")]
    id: Option<String>,
}

#[derive(Debug, Options)]
struct CheckArguments {
    /// print help
    #[options(short = "h")]
    help: bool,
    /// settings file in TOML
    #[options(required, meta = "FILE")]
    settings: PathBuf,
    /// section.field=value, overrides the file
    #[options(no_short, meta = "FIELD")]
    set: Vec<String>,
}

#[derive(Debug, Options)]
struct PlotArguments {
    /// print help
    #[options(short = "h")]
    help: bool,
    /// report of `load`, any number of times
    #[options(meta = "FILE")]
    report: Vec<PathBuf>,
    /// where to draw response over ideal
    #[options(no_short, required, meta = "FILE")]
    response: PathBuf,
    /// where to draw messages per task
    #[options(no_short, required, meta = "FILE")]
    messages: PathBuf,
}

#[derive(Debug, Options)]
struct LoadArguments {
    /// print help
    #[options(short = "h")]
    help: bool,
    /// URL of an entry, any number of times
    #[options(meta = "URL")]
    entry: Vec<String>,
    /// HTTP URL of an agent, to read its metrics, any number of times
    #[options(no_short, meta = "URL")]
    agent: Vec<String>,
    /// URL of a minion stand-in, to read its starts, any number of times
    #[options(no_short, meta = "URL")]
    minion: Vec<String>,
    /// service to submit to
    #[options(no_short, required, meta = "NAME")]
    service: String,
    /// team that submits
    #[options(no_short, required, meta = "NAME")]
    team: String,
    /// slots of the service over all minions
    #[options(no_short, meta = "COUNT", default = "88")]
    slots: usize,
    /// slots that the load needs, as a share of all slots
    #[options(no_short, meta = "SHARE", default = "0.8")]
    load: f64,
    /// tasks of each job
    #[options(no_short, meta = "COUNT", default = "1")]
    tasks: usize,
    /// share of submissions that are single non-repeatable requests
    #[options(no_short, meta = "SHARE", default = "0.5")]
    request_share: f64,
    /// length of the load in seconds
    #[options(no_short, meta = "SECONDS", default = "30")]
    seconds: u64,
    /// seconds at the start that the quantiles leave out
    #[options(no_short, meta = "SECONDS", default = "5")]
    warm_up: u64,
    /// seed of the arrivals
    #[options(no_short, meta = "NUMBER", default = "1")]
    seed: u64,
    /// shortest run time of a task in milliseconds
    #[options(no_short, meta = "MS", default = "50")]
    least_run_ms: u32,
    /// longest run time of a task in milliseconds
    #[options(no_short, meta = "MS", default = "1000")]
    most_run_ms: u32,
    /// largest factor by which declared run times are off
    #[options(no_short, meta = "FACTOR", default = "1.5")]
    declared_error: f64,
    /// factor by which arrivals are more frequent in the middle fifth
    #[options(no_short, meta = "FACTOR", default = "1")]
    burst: f64,
    /// deadline of each submission in milliseconds
    #[options(no_short, meta = "MS", default = "30000")]
    deadline_ms: u64,
}

#[derive(Debug, Error)]
enum CommandError {
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("{0}")]
    Load(#[from] LoadError),
    #[error("{0}")]
    Plot(#[from] PlotError),
    #[error("{0}")]
    Settings(#[from] SettingsError),
    #[error("{0}")]
    PlatformSettings(#[from] gannetvane_platform::SettingsError),
    #[error("{path}: {reason}")]
    File { path: String, reason: String },
    #[error("{0}")]
    Explain(#[from] ExplainError),
    #[error("explain: the id of a job and a log file are needed")]
    NoLogs,
    /// The response says why; it has been printed already.
    #[error("refused")]
    Refused,
}

/// The intent file of an operator: the steps of a change to plan.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Intent {
    operations: Vec<Operation>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("gannetvane {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = arguments.command else {
        eprintln!("gannetvane: a command is needed; see --help");
        return ExitCode::from(EXIT_USAGE);
    };
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gannetvane: {error}");
            exit_code(&error)
        }
    }
}

fn exit_code(error: &CommandError) -> ExitCode {
    match error {
        CommandError::Call(CallError::Connection { .. }) => ExitCode::from(EXIT_UNREACHABLE),
        CommandError::Refused | CommandError::Call(_) | CommandError::Explain(_) => {
            ExitCode::from(EXIT_REFUSED)
        }
        _ => ExitCode::from(EXIT_USAGE),
    }
}

fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Plan(arguments) => plan(arguments),
        Command::Confirm(arguments) => confirm(&arguments),
        Command::Submit(arguments) => submit(&arguments),
        Command::Cancel(arguments) => {
            let path = format!("/v1/jobs/{}", arguments.id);
            let client = Client::new(&arguments.entry);
            print_response(&client.call(Method::DELETE, &path, Vec::new(), RESPONSE_WAIT)?)
        }
        Command::Status(arguments) => status(&arguments),
        Command::Explain(arguments) => explain_job(&arguments),
        Command::Load(arguments) => load(arguments),
        Command::Plot(arguments) => plot(&arguments),
        Command::CheckSettings(arguments) => check_settings(&arguments),
    }
}

fn plan(arguments: PlanArguments) -> Result<(), CommandError> {
    let path = arguments.intent.display().to_string();
    let text = read_input(&path)?;
    let intent: Intent = toml::from_str(&text).map_err(|error| CommandError::File {
        path,
        reason: error.to_string(),
    })?;
    let body = PlanRequest {
        change_id: arguments.change_id.map(Into::into),
        operations: intent.operations,
    };
    let response =
        Client::new(&arguments.entry).send(Method::POST, "/v1/plans", &body, RESPONSE_WAIT)?;
    if response.is_success() {
        for effect in response.json::<PlanBody>()?.effects {
            eprintln!("{effect}");
        }
    }
    print_response(&response)
}

fn confirm(arguments: &ConfirmArguments) -> Result<(), CommandError> {
    let text = read_input(&arguments.plan)?;
    let plan: PlanBody = serde_json::from_str(&text).map_err(|error| CommandError::File {
        path: arguments.plan.clone(),
        reason: error.to_string(),
    })?;
    let path = format!("/v1/changes/{}", plan.change.change_id);
    print_response(&Client::new(&arguments.entry).send(Method::PUT, &path, &plan, RESPONSE_WAIT)?)
}

fn submit(arguments: &SubmitArguments) -> Result<(), CommandError> {
    let text = read_input(&arguments.body)?;
    let body: serde_json::Value =
        serde_json::from_str(&text).map_err(|error| CommandError::File {
            path: arguments.body.clone(),
            reason: error.to_string(),
        })?;
    let client = Client::new(&arguments.entry);
    let id = match &arguments.id {
        Some(id) => id.clone(),
        None => take_id(&client, &body)?,
    };
    // The id is printed before the call, so that a caller whose connection breaks
    // can ask for the answer later.
    eprintln!("id {id}");
    let kind = if body.get("tasks").is_some() {
        "jobs"
    } else {
        "requests"
    };
    let response_wait = Duration::from_millis(body["deadline_ms"].as_u64().unwrap_or(30_000));
    print_response(&client.send(
        Method::PUT,
        &format!("/v1/{kind}/{id}"),
        &body,
        response_wait,
    )?)
}

fn take_id(client: &Client, body: &serde_json::Value) -> Result<String, CommandError> {
    let service = body["service"].as_str().unwrap_or_default();
    let path = format!("/v1/ids?service={service}");
    let response = client.call(Method::POST, &path, Vec::new(), RESPONSE_WAIT)?;
    if !response.is_success() {
        print_response(&response)?;
    }
    let mut ids_body: IdsBody = response.json()?;
    ids_body.ids.pop().ok_or(CommandError::Refused)
}

fn status(arguments: &StatusArguments) -> Result<(), CommandError> {
    let client = Client::new(&arguments.entry);
    if let Some(id) = &arguments.id {
        return print_response(&client.get(&format!("/v1/jobs/{id}"), RESPONSE_WAIT)?);
    }
    print_response(&client.get("/v1/members", RESPONSE_WAIT)?)?;
    print_response(&client.get("/v1/configuration", RESPONSE_WAIT)?)
}

fn load(arguments: LoadArguments) -> Result<(), CommandError> {
    let workload = Workload {
        seed: arguments.seed,
        duration_ms: arguments.seconds * 1_000,
        slots: arguments.slots,
        load: arguments.load,
        tasks_per_job: arguments.tasks,
        request_share: arguments.request_share,
        least_run_ms: arguments.least_run_ms,
        most_run_ms: arguments.most_run_ms,
        declared_error: arguments.declared_error,
        burst: arguments.burst,
    };
    let report = LoadBuilder::new(arguments.entry, workload)
        .agents(arguments.agent)
        .minions(arguments.minion)
        .service(&arguments.service, &arguments.team)
        .deadline_ms(arguments.deadline_ms)
        .warm_up_ms(arguments.warm_up * 1_000)
        .build()?
        .run()?;
    println!(
        "{}",
        serde_json::to_string_pretty(&report).unwrap_or_default()
    );
    Ok(())
}

fn plot(arguments: &PlotArguments) -> Result<(), CommandError> {
    let mut reports = Vec::new();
    for path in &arguments.report {
        let text = read_input(&path.display().to_string())?;
        let report: Report = serde_json::from_str(&text).map_err(|error| CommandError::File {
            path: path.display().to_string(),
            reason: error.to_string(),
        })?;
        reports.push(report);
    }
    Ok(draw(&reports, &arguments.response, &arguments.messages)?)
}

/// Checks a settings file of `gannetvaned` or of the platform's programs. Only the
/// latter has the table `host`.
fn check_settings(arguments: &CheckArguments) -> Result<(), CommandError> {
    let text = read_input(&arguments.settings.display().to_string())?;
    let table: Option<toml::Table> = toml::from_str(&text).ok();
    if table.is_some_and(|table| table.contains_key("host")) {
        PlatformSettings::load(&arguments.settings)?;
    } else {
        Settings::load(&arguments.settings, &arguments.set)?;
    }
    println!("{}: ok", arguments.settings.display());
    Ok(())
}

fn explain_job(arguments: &ExplainArguments) -> Result<(), CommandError> {
    let Some((job, paths)) = arguments.job_and_logs.split_first() else {
        return Err(CommandError::NoLogs);
    };
    if paths.is_empty() {
        return Err(CommandError::NoLogs);
    }
    let logs = paths.iter().map(|path| read_input(path));
    let logs: Vec<String> = logs.collect::<Result<_, _>>()?;
    let lines = logs.iter().flat_map(|log| log.lines());
    print!("{}", explain(job, lines)?);
    Ok(())
}

fn read_input(path: &str) -> Result<String, CommandError> {
    let mut text = String::new();
    let result = if path == "-" {
        std::io::stdin().read_to_string(&mut text)
    } else {
        std::fs::File::open(Path::new(path)).and_then(|mut file| file.read_to_string(&mut text))
    };
    result.map_err(|error| CommandError::File {
        path: path.to_owned(),
        reason: error.to_string(),
    })?;
    Ok(text)
}

/// Prints the body of a response, and returns an error unless it is a success.
fn print_response(response: &Response) -> Result<(), CommandError> {
    println!("{}", String::from_utf8_lossy(&response.body).trim_end());
    if response.is_success() {
        return Ok(());
    }
    Err(CommandError::Refused)
}
