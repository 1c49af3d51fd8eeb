//! Runs stand-ins for the platform in one process, the log service and any number of
//! minions, until the process is ended.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use gannetvane_standins::LogService;
use gannetvane_standins::MinionStandIn;
use gumdrop::Options;

/// Runs stand-ins for the platform on loopback.
#[derive(Debug, Options)]
struct Arguments {
    /// print help
    #[options(short = "h")]
    help: bool,
    /// port of the log service; none when 0
    #[options(no_short, meta = "PORT")]
    log_port: u16,
    /// seconds for which the log keeps records
    #[options(no_short, meta = "SECONDS", default = "86400")]
    retention_s: u64,
    /// port of the first minion; the others follow
    #[options(no_short, meta = "PORT")]
    minion_port: u16,
    /// number of minions
    #[options(no_short, meta = "COUNT")]
    minions: u16,
    /// slots of each minion
    #[options(no_short, meta = "COUNT", default = "8")]
    slots: usize,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match start(&arguments) {
        Ok(()) => loop {
            std::thread::park();
        },
        Err(error) => {
            eprintln!("platform: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start(arguments: &Arguments) -> std::io::Result<()> {
    if arguments.log_port != 0 {
        let log = LogService::new(Duration::from_secs(arguments.retention_s));
        log.serve(loopback(arguments.log_port))?;
    }
    for index in 0..arguments.minions {
        MinionStandIn::new(arguments.slots).serve(loopback(arguments.minion_port + index))?;
    }
    println!("ready");
    Ok(())
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}
