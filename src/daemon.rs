//! The daemon: the event loop that connects the controller to sockets, clocks and snapshot files.
//!
//! Everything runs on one thread, except that snapshots are written by another one. The loop makes no
//! decisions: it passes what arrives to the controller and executes the effects that the controller returns.

use crate::constants::EVENT_WAIT_MAX_MS;
use crate::coordination::{Clock, Command, Controller, Effect, Service};
use crate::protocol::http::Response;
use crate::settings::{Operator, Platform};
use crate::snapshots::{SnapshotDirectory, SnapshotWriter};
use crate::transport::{Call, Incoming, Origin, Target, Transport};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// First value of the monotonic clock in milliseconds: above zero, so that times shortly before the start
/// can be represented.
const CLOCK_START_MS: u64 = 1_000;

/// Indexes of the transport's targets, in the order of [`targets`].
const STATE_SERVICE: Target = 0;
const CLOUD: Target = 1;
const FIRST_PEER: Target = 2;

/// Runs a controller until the process is killed.
///
/// # Errors
///
/// Fails if a listener can't be opened, or if waiting for sockets fails.
pub fn serve(platform: Platform, operator: Operator) -> anyhow::Result<()> {
    let sockets = platform.params.machine_limits.sockets;
    let mut transport =
        Transport::new(platform.listen, platform.peer_bind, targets(&platform), sockets)?;
    let start = Instant::now();
    log::info!(
        "listeners opened: {}, public {}, peers {}",
        platform.label,
        platform.listen,
        platform.peer_bind
    );
    let snapshots = operator
        .recovery
        .snapshots
        .as_ref()
        .map(|settings| (SnapshotDirectory::new(settings, &platform), settings.period_s));
    let mut controller = Controller::new(platform, operator, read_clock(start), process_seed());
    let mut snapshot_writer = snapshots.map(|(directory, period_s)| {
        restore_newest_snapshot(&mut controller, &directory, read_clock(start).wall_ms);
        SnapshotWriter::start(directory, period_s)
    });
    loop {
        let commands = wait_for_commands(&mut transport, &controller, read_clock(start))?;
        controller.set_transport_counts(transport.counts());
        for effect in controller.handle_batch(read_clock(start), commands) {
            execute_effect(&mut transport, effect);
        }
        if let Some(writer) = &mut snapshot_writer {
            write_snapshot_if_due(&mut controller, writer, read_clock(start));
        }
    }
}

fn targets(platform: &Platform) -> Vec<SocketAddrV4> {
    let services = [platform.services.state, platform.services.cloud];
    let peers = platform.peers.iter().map(|peer| peer.address);
    services.into_iter().chain(peers).collect()
}

fn read_clock(start: Instant) -> Clock {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Clock {
        monotonic_ms: start.elapsed().as_millis() as u64 + CLOCK_START_MS,
        wall_ms: since_epoch.as_millis() as u64,
    }
}

/// A random seed, different for each process.
fn process_seed() -> u64 {
    SmallRng::from_os_rng().random()
}

fn restore_newest_snapshot(
    controller: &mut Controller,
    directory: &SnapshotDirectory,
    wall_ms: u64,
) {
    if let Some((header, image)) = directory.read_newest(wall_ms) {
        log::info!("snapshot read: revision {}, {} keys", header.revision, header.keys);
        controller.restore_snapshot(image);
    }
}

fn write_snapshot_if_due(controller: &mut Controller, writer: &mut SnapshotWriter, now: Clock) {
    if !writer.is_due(now.monotonic_ms) {
        return;
    }
    controller.record_snapshot_status(writer.status());
    if let Some(image) = controller.image_for_snapshot() {
        writer.request(image, now.monotonic_ms, now.wall_ms);
    }
}

/// Waits until a message arrives or a timer of the controller is due.
fn wait_for_commands(
    transport: &mut Transport,
    controller: &Controller,
    now: Clock,
) -> anyhow::Result<Vec<Command>> {
    let wait_ms = match transport.has_incoming() {
        true => 0,
        false => controller.next_wake().saturating_sub(now.monotonic_ms),
    };
    let incoming = transport.poll(Duration::from_millis(wait_ms.min(EVENT_WAIT_MAX_MS)))?;
    Ok(incoming.into_iter().map(to_command).collect())
}

fn to_command(incoming: Incoming) -> Command {
    match incoming {
        Incoming::Request { connection, origin: Origin::Public, request } => Command::Public {
            connection,
            method: request.method,
            path: request.path,
            body: request.body,
        },
        Incoming::Request { connection, origin: Origin::Peer, request } => Command::Peer {
            connection,
            method: request.method,
            path: request.path,
            body: request.body,
        },
        Incoming::Response { call, response } => {
            let response = response.map(|response| Response::new(response.status, response.body));
            Command::Response { call, response }
        }
    }
}

fn execute_effect(transport: &mut Transport, effect: Effect) {
    match effect {
        Effect::Respond { connection, status, retry_after_s, body } => {
            transport.respond(connection, status, retry_after_s, &body);
        }
        Effect::Call { id, service, method, path, body, timeout_ms } => {
            let target = target_of(service);
            transport.call(Call { id, target, method, path, body, timeout_ms });
        }
    }
}

fn target_of(service: Service) -> Target {
    match service {
        Service::State => STATE_SERVICE,
        Service::Cloud => CLOUD,
        Service::Peer(index) => FIRST_PEER + index,
    }
}
