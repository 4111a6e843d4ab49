//! A stand-in for the platform, to try mountgap on one machine: a state service, a cloud, and workers
//! whose tasks only wait. It speaks the protocol but simulates neither delays nor failures, and is not
//! meant for production.
//!
//!     cargo run --release --example platform
//!     target/release/mountgap serve --config examples/node.json
//!
//! With several controllers, labelled `node-0`, `node-1` and so on, pass their addresses in that order:
//!
//!     cargo run --release --example platform -- 127.0.0.1:8080 127.0.0.1:8082 127.0.0.1:8084
//!
//! `--state` and `--cloud` set other addresses than those in `examples/node.json`. The state service can
//! lose its data on request: `POST /control/wipe` deletes everything, `POST /control/backup` takes a backup,
//! and `POST /control/restore` replaces the data by the backup.

#![allow(unreachable_pub, reason = "tests/loopback.rs includes it as a module")]

#[path = "platform/cloud.rs"]
mod cloud;
#[path = "platform/options.rs"]
pub mod options;
#[path = "platform/server.rs"]
mod server;
#[path = "platform/shared_state.rs"]
mod shared_state;
#[path = "platform/state_service.rs"]
mod state_service;
#[path = "platform/worker.rs"]
mod worker;

pub use shared_state::Shared;

use options::{Options, Request};
use server::Handler;
use shared_state::PlatformState;
use std::io;
use std::net::TcpListener;
use std::process::ExitCode;
use std::sync::Mutex;
use std::thread;

/// Exit code for invalid arguments.
const EXIT_BAD_ARGUMENTS: u8 = 2;

/// Listening on an address failed.
#[derive(Debug, thiserror::Error)]
#[error("can't listen on {address}: {error}")]
pub struct ListenError {
    address: String,
    error: io::Error,
}

fn main() -> ExitCode {
    match options::parse(std::env::args().skip(1)) {
        Ok(Request::Help) => {
            print!("{}", options::USAGE);
            ExitCode::SUCCESS
        }
        Ok(Request::Serve(options)) => serve_until_killed(options),
        Err(error) => {
            eprintln!("platform: {error}");
            ExitCode::from(EXIT_BAD_ARGUMENTS)
        }
    }
}

fn serve_until_killed(options: Options) -> ExitCode {
    let Options { state, cloud, controllers } = options;
    let started =
        format!("state service on {state}, cloud on {cloud}, workers report to {controllers:?}");
    if let Err(error) = start(controllers, &state, &cloud) {
        eprintln!("platform: {error}");
        return ExitCode::FAILURE;
    }
    println!("{started}");
    loop {
        thread::park();
    }
}

/// Listens on these addresses and serves the state service and the cloud there.
pub fn start(
    controllers: Vec<String>,
    state_address: &str,
    cloud_address: &str,
) -> Result<Shared, ListenError> {
    Ok(serve(controllers, listen(state_address)?, listen(cloud_address)?))
}

/// Serves the state service and the cloud in background threads; the workers report to these controllers.
pub fn serve(controllers: Vec<String>, state: TcpListener, cloud: TcpListener) -> Shared {
    let platform = Shared::new(Mutex::new(PlatformState::new(controllers)));
    spawn_server(state, &platform, state_service::handle);
    spawn_server(cloud, &platform, cloud::handle);
    platform
}

fn listen(address: &str) -> Result<TcpListener, ListenError> {
    TcpListener::bind(address).map_err(|error| ListenError { address: address.into(), error })
}

fn spawn_server(listener: TcpListener, platform: &Shared, handler: Handler) {
    let platform = platform.clone();
    thread::spawn(move || server::serve(&listener, &platform, handler));
}
