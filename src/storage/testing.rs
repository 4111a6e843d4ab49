//! Records for unit tests of several modules.

use super::records::BatchRecord;

/// A batch of one job.
pub(crate) fn batch_of(job_id: &str, tasks: u32) -> BatchRecord {
    let submission = serde_json::json!({"uid": job_id, "duty": "d", "crew": "c", "shape": "batch",
        "rank": "high", "loads": tasks, "cores": 1.0, "gpus": 0.0, "ram_gb": 1.0,
        "kit": "k", "size_gb": 1.0, "together": false, "apart": false,
        "lendables": true, "run_guess_s": 1.0, "mark_every_s": 0.0, "mark_cost_s": 0.0});
    BatchRecord {
        at: 5,
        first: 0,
        jobs: vec![serde_json::from_value(submission).expect("a submission")],
    }
}
