//! A stand-in for the platform, to try mountgap by hand on one machine: a state service, a
//! cloud and workers whose tasks only wait. It keeps the protocol's forms and none of its
//! troubles; nothing of it is meant for real use.
//!
//!     cargo run --release --example platform
//!     target/release/mountgap serve --config examples/node.json
//!
//! Several controllers, labelled `node-0`, `node-1` and so on: give their addresses in that order.
//!
//!     cargo run --release --example platform -- 127.0.0.1:8080 127.0.0.1:8082 127.0.0.1:8084
//!
//! `--state` and `--cloud` name other addresses than those of `examples/node.json`. The state service can lose
//! its data: `POST /control/wipe` empties it, `/control/backup` takes a backup, `/control/restore` goes back to it.

#![allow(unreachable_pub, reason = "tests/loopback.rs includes it as a module")]

#[path = "platform/cloud.rs"]
mod cloud;
#[path = "platform/options.rs"]
pub mod options;
#[path = "platform/server.rs"]
mod server;
#[path = "platform/state_service.rs"]
mod state_service;
#[path = "platform/worker.rs"]
mod worker;
#[path = "platform/world.rs"]
mod world;

pub use world::Shared;

use options::{Options, Request};
use server::Handler;
use std::io;
use std::net::TcpListener;
use std::process::ExitCode;
use std::sync::Mutex;
use std::thread;
use world::World;

/// Exit code for arguments that can't be used.
const EXIT_BAD_ARGUMENTS: u8 = 2;

/// An address that can't be listened on.
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

/// Listens at these addresses, and serves state service and cloud there.
pub fn start(
    controllers: Vec<String>,
    state_address: &str,
    cloud_address: &str,
) -> Result<Shared, ListenError> {
    Ok(serve(controllers, listen(state_address)?, listen(cloud_address)?))
}

/// Serves state service and cloud for these controllers, in threads of their own.
pub fn serve(controllers: Vec<String>, state: TcpListener, cloud: TcpListener) -> Shared {
    let world = Shared::new(Mutex::new(World::new(controllers)));
    spawn_server(state, &world, state_service::handle);
    spawn_server(cloud, &world, cloud::handle);
    world
}

fn listen(address: &str) -> Result<TcpListener, ListenError> {
    TcpListener::bind(address).map_err(|error| ListenError { address: address.into(), error })
}

fn spawn_server(listener: TcpListener, world: &Shared, handler: Handler) {
    let world = world.clone();
    thread::spawn(move || server::serve(&listener, &world, handler));
}
