//! `mountgap`: command line, log setup and exit codes.

use clap::{Parser, Subcommand};
use mountgap::protocol::recovery::{Decision, DecisionRequest};
use mountgap::settings::{Operator, Platform, SettingsError};
use mountgap::{cli, daemon, settings};
use std::net::SocketAddrV4;
use std::process::ExitCode;

/// Exit code for invalid settings; the same that `clap` uses for invalid arguments.
const EXIT_BAD_SETTINGS: u8 = 2;

#[derive(Parser)]
#[command(
    version,
    about = "A cluster scheduler: several controllers, no disk, RUA-Backfilling",
    after_help = "Exit codes: 0 done, 1 failed, 2 arguments or settings that can't be used."
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(clap::Args)]
struct SettingsFiles {
    /// The platform's settings, JSON
    #[arg(long)]
    config: String,
    /// The operators' own settings, protobuf text
    #[arg(long)]
    operator: Option<String>,
}

impl SettingsFiles {
    fn load(&self) -> Result<(Platform, Operator), SettingsError> {
        settings::load(&self.config, self.operator.as_deref())
    }
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller until it is killed
    Serve(SettingsFiles),
    /// Check both settings files and print what will be used
    Check(SettingsFiles),
    /// Print a running controller's view: leader, machines, waiting jobs
    Status {
        /// Where the controller listens for users, as 127.0.0.1:8080
        address: SocketAddrV4,
        /// List single machines and waiting jobs too
        #[arg(long)]
        details: bool,
    },
    /// List what a rebuild of the lost store could not account for, and decide what is to become of it
    Recovery {
        #[command(subcommand)]
        command: RecoveryCommand,
    },
}

#[derive(clap::Args)]
struct JobSelection {
    /// Where a controller listens for users, as 127.0.0.1:8080
    address: SocketAddrV4,
    /// The jobs, as job-000412
    jobs: Vec<String>,
    /// All flagged jobs
    #[arg(long, conflicts_with = "jobs")]
    all: bool,
}

#[derive(Subcommand)]
enum RecoveryCommand {
    /// Print what is known of losses, the last rebuild, flagged jobs and unknown tasks
    List {
        /// Where a controller listens for users, as 127.0.0.1:8080
        address: SocketAddrV4,
        /// Print it as JSON
        #[arg(long)]
        json: bool,
    },
    /// Flagged jobs go on as they were last known; with --all jobs that are not known count as never accepted
    Release(JobSelection),
    /// Flagged jobs, and jobs of which only running tasks are known, are cancelled
    GiveUp(JobSelection),
    /// Jobs that are not known count as never accepted
    CloseGap {
        /// Where a controller listens for users, as 127.0.0.1:8080
        address: SocketAddrV4,
    },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let env = env_logger::Env::default().filter_or("LOG_LEVEL", "info");
    env_logger::Builder::from_env(env).format_timestamp_millis().format_target(false).init();
    match run(arguments.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mountgap: {error:#}");
            exit_code(&error)
        }
    }
}

fn exit_code(error: &anyhow::Error) -> ExitCode {
    match error.is::<SettingsError>() {
        true => ExitCode::from(EXIT_BAD_SETTINGS),
        false => ExitCode::FAILURE,
    }
}

fn run(command: Command) -> anyhow::Result<()> {
    match command {
        Command::Serve(files) => {
            let (platform, operator) = files.load()?;
            daemon::serve(platform, operator)?;
        }
        Command::Check(files) => {
            let (platform, operator) = files.load()?;
            println!("{platform:#?}\n{operator:#?}");
        }
        Command::Status { address, details } => {
            println!("{}", cli::status::fetch(address, details)?);
        }
        Command::Recovery { command } => println!("{}", run_recovery(command)?),
    }
    Ok(())
}

fn run_recovery(command: RecoveryCommand) -> Result<String, cli::ClientError> {
    let decide = |decision, selection: JobSelection| {
        let request = DecisionRequest { jobs: selection.jobs, all: selection.all };
        cli::recovery::decide(selection.address, decision, &request)
    };
    match command {
        RecoveryCommand::List { address, json: true } => cli::recovery::fetch_json(address),
        RecoveryCommand::List { address, json: false } => cli::recovery::fetch_text(address),
        RecoveryCommand::Release(selection) => decide(Decision::Release, selection),
        RecoveryCommand::GiveUp(selection) => decide(Decision::GiveUp, selection),
        RecoveryCommand::CloseGap { address } => {
            cli::recovery::decide(address, Decision::CloseGap, &DecisionRequest::default())
        }
    }
}
