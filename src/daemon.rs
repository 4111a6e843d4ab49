//! The daemon: the poll loop around the core.

use crate::constants::POLL_MAX_MS;
use crate::coordination::{Clock, Command, Controller, Effect, Service};
use crate::protocol::http::Response;
use crate::settings::{Operator, Platform};
use crate::snapshots::{deployment, SnapshotDirectory, SnapshotWriter};
use crate::transport::net::{Call, Incoming, Net, Origin};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const STATE: usize = 0;
const CLOUD: usize = 1;
const FIRST_PEER: usize = 2;

fn clock(start: Instant) -> Clock {
    let wall_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    // One second ahead of zero, so that differences to "long ago" stay in range.
    Clock {
        monotonic_ms: start.elapsed().as_millis() as u64 + 1_000,
        wall_ms: wall_ms.as_millis() as u64,
    }
}

/// Runs a controller until the process is killed.
pub fn serve(platform: Platform, operator: Operator) -> anyhow::Result<()> {
    let mut targets = vec![platform.services.state, platform.services.cloud];
    targets.extend(platform.peers.iter().map(|p| p.address));
    let sockets = platform.params.machine_limits.sockets;
    let mut net = Net::new(platform.listen, platform.peer_bind, targets, sockets)?;
    let start = Instant::now();
    log::info!("{} listens on {} and {}", platform.label, platform.listen, platform.peer_bind);
    let mut snapshots = operator.recovery.snapshots.as_ref().map(|settings| {
        let directory = SnapshotDirectory {
            path: settings.directory.clone(),
            kept: settings.kept,
            deployment: deployment(&platform),
            controller: platform.label.clone(),
        };
        (directory, SnapshotWriter::start(settings, &platform))
    });
    let mut core = Controller::new(platform, operator, clock(start), seed());
    if let Some((directory, _)) = &snapshots {
        if let Some((header, image)) = directory.read_newest(clock(start).wall_ms) {
            log::info!("snapshot of revision {}, {} keys", header.revision, header.keys);
            core.restore_snapshot(image);
        }
    }
    loop {
        let now = clock(start).monotonic_ms;
        let wait = if net.has_incoming() { 0 } else { core.next_wake().saturating_sub(now) };
        let incoming = net.poll(Duration::from_millis(wait.min(POLL_MAX_MS)))?;
        core.note_transport(net.counts());
        let commands = incoming.into_iter().map(command).collect();
        for effect in core.batch(clock(start), commands) {
            perform(&mut net, effect);
        }
        if let Some((_, writer)) = &mut snapshots {
            write_snapshot_if_due(&mut core, writer, clock(start));
        }
    }
}

fn write_snapshot_if_due(core: &mut Controller, writer: &mut SnapshotWriter, now: Clock) {
    if !writer.is_due(now.monotonic_ms) {
        return;
    }
    core.note_snapshot(writer.status());
    if let Some(image) = core.image_for_snapshot() {
        writer.take(image, now.monotonic_ms, now.wall_ms);
    }
}

fn command(i: Incoming) -> Command {
    match i {
        Incoming::Request { connection, origin: Origin::Public, request: r } => {
            Command::Public { connection, method: r.method, path: r.path, body: r.body }
        }
        Incoming::Request { connection, origin: Origin::Peer, request: r } => {
            Command::Peer { connection, method: r.method, path: r.path, body: r.body }
        }
        Incoming::Reply { call, reply } => Command::Reply {
            call,
            reply: reply.map(|reply| Response::new(reply.status, reply.body)),
        },
    }
}

fn perform(net: &mut Net, effect: Effect) {
    match effect {
        Effect::Respond { connection, status, retry_after_s, body } => {
            net.respond(connection, status, retry_after_s, &body)
        }
        Effect::Call { id, service, method, path, body, timeout_ms } => {
            let target = match service {
                Service::State => STATE,
                Service::Cloud => CLOUD,
                Service::Peer(i) => FIRST_PEER + i,
            };
            net.call(Call { id, target, method, path, body, timeout_ms });
        }
    }
}

/// A seed that differs from one life of a process to the next.
fn seed() -> u64 {
    use rand::{rngs::SmallRng, Rng, SeedableRng};
    SmallRng::from_os_rng().random()
}
