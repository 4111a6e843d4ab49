//! The operators' view.

use super::*;
use crate::storage::cluster::Life;
use crate::storage::records::Stage;
use serde_json::{json, Value};

/// Waiting jobs listed in full.
const WAITING_SHOWN: usize = 50;

fn spread(h: &hdrhistogram::Histogram<u64>) -> Value {
    json!({
        "count": h.len(),
        "p50": h.value_at_quantile(0.5),
        "p95": h.value_at_quantile(0.95),
        "p99": h.value_at_quantile(0.99),
        "max": h.max(),
    })
}

impl Controller {
    pub(super) fn status(&mut self, conn: ConnId) {
        // On many lines: with hundreds of machines one would be longer than a response may have.
        let body = serde_json::to_vec_pretty(&self.status_json()).unwrap_or_default();
        self.respond(conn, 200, None, body);
    }

    /// Leader, term, machines, waiting jobs with reasons, latencies in milliseconds.
    pub fn status_json(&self) -> Value {
        let now = self.now.mono;
        let count = |s| self.replica.jobs.values().filter(|j| j.value.stage == s).count();
        let mut v = json!({
            "controller": self.cfg.label,
            "version": env!("CARGO_PKG_VERSION"),
            "up_s": (now - self.begun) / 1000,
            "served_by_state_service": self.served(),
            "leader": self.replica.leader.as_ref().map(|l| l.value.label.clone()),
            "term": self.replica.term(),
            "revision": self.replica.rev,
            "jobs": {"live": count(Stage::Live), "done": count(Stage::Done),
                     "withdrawn": count(Stage::Cancelled)},
            "latency_ms": {
                "submit": spread(&self.metrics.submit_ms),
                "poll": spread(&self.metrics.poll_ms),
                "report": spread(&self.metrics.report_ms),
                "placed_to_running": spread(&self.metrics.start_ms),
            },
            "work": self.metrics.work,
            "transport": self.metrics.transport,
        });
        if let Some(l) = self.leader.as_ref().filter(|l| l.ready) {
            let machines: Vec<Value> = l
                .cluster
                .machines
                .values()
                .map(|m| {
                    let state = match m.life {
                        Life::Booting => "booting",
                        Life::Unheard => "not heard of",
                        Life::Deleting => "deleting",
                        Life::Gone => "gone",
                        Life::Up if m.lease_expired => "silent",
                        Life::Up if m.reclaim_at.is_some() => "recalled",
                        Life::Up if m.draining => "set aside",
                        Life::Up => "up",
                    };
                    json!({"name": &*m.name, "build": m.type_name, "yard": m.zone, "spot": m.spot,
                           "state": state, "tasks": m.placements.len()})
                })
                .collect();
            let waiting: Vec<Value> = l
                .cluster
                .queue
                .values()
                .filter_map(|u| l.cluster.jobs.get(u))
                .filter(|j| j.waiting() > 0)
                .take(WAITING_SHOWN)
                .map(|j| {
                    let reserved = l.reservation.as_ref().filter(|(u, _)| *u == j.uid);
                    let why = match reserved {
                        Some((_, m)) => format!("reserved on {m}"),
                        None if j.paused_until > now => "failed on several machines, paused".into(),
                        None => "no room that allows it, or its team is at its limit".into(),
                    };
                    json!({"uid": &*j.uid, "waiting": j.waiting(), "done": j.done_count,
                           "tasks": j.tasks, "why": why})
                })
                .collect();
            v["machines"] = Value::Array(machines);
            v["waiting"] = Value::Array(waiting);
        }
        v
    }
}
