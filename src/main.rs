//! `mountgap`: the command line around the library.

use clap::{Parser, Subcommand};
use mountgap::{daemon, settings};
use std::process::ExitCode;

#[derive(Parser)]
#[command(version, about = "A cluster scheduler: several controllers, no disk, RUA-Backfilling")]
struct Cli {
    #[command(subcommand)]
    command: Verb,
}

#[derive(clap::Args)]
struct Files {
    /// The platform's settings, JSON
    #[arg(long)]
    config: String,
    /// The operators' own settings, protobuf text
    #[arg(long)]
    operator: Option<String>,
}

#[derive(Subcommand)]
enum Verb {
    /// Run a controller until it is killed
    Serve(Files),
    /// Check both settings files and print what will be used
    Check(Files),
    /// Print a running controller's view: leader, machines, waiting jobs
    Status {
        /// Where the controller listens for users, as 127.0.0.1:8080
        address: std::net::SocketAddrV4,
        /// List single machines and waiting jobs too
        #[arg(long)]
        details: bool,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let env = env_logger::Env::default().filter_or("LOG_LEVEL", "info");
    env_logger::Builder::from_env(env).format_timestamp_millis().format_target(false).init();
    let result = match cli.command {
        Verb::Serve(files) => match settings::load(&files.config, files.operator.as_deref()) {
            Ok((platform, operator)) => daemon::serve(platform, operator),
            Err(e) => return bad_settings(&e),
        },
        Verb::Check(files) => match settings::load(&files.config, files.operator.as_deref()) {
            Ok((platform, operator)) => {
                println!("{platform:#?}\n{operator:#?}");
                Ok(())
            }
            Err(e) => return bad_settings(&e),
        },
        Verb::Status { address, details } => status(address, details),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("mountgap: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn bad_settings(e: &settings::SettingsError) -> ExitCode {
    eprintln!("mountgap: {e}");
    ExitCode::from(2)
}

fn status(address: std::net::SocketAddrV4, details: bool) -> anyhow::Result<()> {
    use mountgap::coordination::status::DETAILS_QUERY;
    use mountgap::transport::http;
    use std::io::{Read, Write};
    let mut s = std::net::TcpStream::connect(address)?;
    s.set_read_timeout(Some(std::time::Duration::from_secs(5)))?;
    let mut out = Vec::new();
    let path = if details { format!("/v1/status?{DETAILS_QUERY}") } else { "/v1/status".into() };
    http::write_request(&mut out, "GET", &path, &address.to_string(), &[]);
    s.write_all(&out)?;
    let mut buf = Vec::new();
    let mut chunk = [0; 4096];
    let reply = loop {
        let n = s.read(&mut chunk)?;
        buf.extend_from_slice(&chunk[..n]);
        if let Some(r) = http::take_response(&mut buf, n == 0)? {
            break r;
        }
        anyhow::ensure!(n > 0, "the connection ended early");
    };
    anyhow::ensure!(reply.status == 200, "answered {}", reply.status);
    println!("{}", String::from_utf8(reply.body)?);
    Ok(())
}
