//! The daemon: the poll loop that joins the core with sockets, clocks and snapshot files.
//!
//! Everything runs on one thread, but for the writing of snapshots. The loop decides nothing: what
//! comes in is handed to the core, and what the core asks for is carried out.

use crate::constants::POLL_MAX_MS;
use crate::coordination::{Clock, Command, Controller, Effect, Service};
use crate::protocol::http::Response;
use crate::settings::{Operator, Platform};
use crate::snapshots::{SnapshotDirectory, SnapshotWriter};
use crate::transport::{Call, Incoming, Origin, Target, Transport};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The steady clock begins ahead of zero, so that differences to "long ago" stay in range.
const CLOCK_START_MS: u64 = 1_000;

/// Places that the transport sends calls to, in the order of [`targets`].
const STATE: Target = 0;
const CLOUD: Target = 1;
const FIRST_PEER: Target = 2;

/// Runs a controller until the process is killed.
///
/// # Errors
///
/// If a listener can't be opened, or waiting for sockets fails.
pub fn serve(platform: Platform, operator: Operator) -> anyhow::Result<()> {
    let sockets = platform.params.machine_limits.sockets;
    let mut transport =
        Transport::new(platform.listen, platform.peer_bind, targets(&platform), sockets)?;
    let start = Instant::now();
    log::info!("{} listens on {} and {}", platform.label, platform.listen, platform.peer_bind);
    let snapshots = operator
        .recovery
        .snapshots
        .as_ref()
        .map(|settings| (SnapshotDirectory::new(settings, &platform), settings.period_s));
    let mut core = Controller::new(platform, operator, clock(start), process_seed());
    let mut snapshot_writer = snapshots.map(|(directory, period_s)| {
        restore_newest_snapshot(&mut core, &directory, clock(start).wall_ms);
        SnapshotWriter::start(directory, period_s)
    });
    loop {
        let commands = wait_for_commands(&mut transport, &core, clock(start))?;
        core.set_transport_counts(transport.counts());
        for effect in core.handle_batch(clock(start), commands) {
            perform(&mut transport, effect);
        }
        if let Some(writer) = &mut snapshot_writer {
            write_snapshot_if_due(&mut core, writer, clock(start));
        }
    }
}

fn targets(platform: &Platform) -> Vec<SocketAddrV4> {
    let services = [platform.services.state, platform.services.cloud];
    let peers = platform.peers.iter().map(|peer| peer.address);
    services.into_iter().chain(peers).collect()
}

fn clock(start: Instant) -> Clock {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Clock {
        monotonic_ms: start.elapsed().as_millis() as u64 + CLOCK_START_MS,
        wall_ms: since_epoch.as_millis() as u64,
    }
}

/// A seed that differs from one process to the next.
fn process_seed() -> u64 {
    SmallRng::from_os_rng().random()
}

fn restore_newest_snapshot(core: &mut Controller, directory: &SnapshotDirectory, wall_ms: u64) {
    if let Some((header, image)) = directory.read_newest(wall_ms) {
        log::info!("snapshot of revision {}, {} keys", header.revision, header.keys);
        core.restore_snapshot(image);
    }
}

fn write_snapshot_if_due(core: &mut Controller, writer: &mut SnapshotWriter, now: Clock) {
    if !writer.is_due(now.monotonic_ms) {
        return;
    }
    core.note_snapshot(writer.status());
    if let Some(image) = core.image_for_snapshot() {
        writer.request(image, now.monotonic_ms, now.wall_ms);
    }
}

/// Waits until something comes in or the core has something due.
fn wait_for_commands(
    transport: &mut Transport,
    core: &Controller,
    now: Clock,
) -> anyhow::Result<Vec<Command>> {
    let wait_ms = match transport.has_incoming() {
        true => 0,
        false => core.next_wake().saturating_sub(now.monotonic_ms),
    };
    let incoming = transport.poll(Duration::from_millis(wait_ms.min(POLL_MAX_MS)))?;
    Ok(incoming.into_iter().map(command).collect())
}

fn command(incoming: Incoming) -> Command {
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
        Incoming::Reply { call, reply } => {
            let reply = reply.map(|reply| Response::new(reply.status, reply.body));
            Command::Reply { call, reply }
        }
    }
}

fn perform(transport: &mut Transport, effect: Effect) {
    match effect {
        Effect::Respond { connection, status, retry_after_s, body } => {
            transport.respond(connection, status, retry_after_s, &body);
        }
        Effect::Call { id, service, method, path, body, timeout_ms } => {
            let target = target(service);
            transport.call(Call { id, target, method, path, body, timeout_ms });
        }
    }
}

fn target(service: Service) -> Target {
    match service {
        Service::State => STATE,
        Service::Cloud => CLOUD,
        Service::Peer(index) => FIRST_PEER + index,
    }
}
