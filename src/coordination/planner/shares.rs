//! The teams' shares of the machines.

use super::snapshot::Snapshot;
use crate::protocol::Resources;

/// The share of all machines together, in thousandths.
const WHOLE_PERMILLE: i64 = 1_000;

/// The part of the machines that is used, in thousandths.
pub(super) fn permille_of(used: &Resources, total: &Resources) -> i64 {
    (used.share_of(total) * WHOLE_PERMILLE as f64).round() as i64
}

/// Moves shares between teams: the team of the first waiting job, by priority and arrival, gets what
/// it lacks to run one more task of this job, taken from the teams with the largest unused shares.
/// Shares are in thousandths and add up to the whole fleet.
pub fn move_shares(snapshot: &Snapshot, mut shares: Vec<i64>) -> Vec<i64> {
    let teams = snapshot.teams.len();
    if teams == 0 {
        return shares;
    }
    if shares.len() != teams || shares.iter().sum::<i64>() != WHOLE_PERMILLE {
        shares = initial_shares(snapshot);
    }
    let head = snapshot.jobs.iter().min_by_key(|job| (job.priority, job.arrival));
    let Some(head) = head else { return shares };
    let total = snapshot.total();
    let mut used_with_head = snapshot.teams[head.team].used;
    used_with_head += head.need;
    let mut missing = permille_of(&used_with_head, &total) - shares[head.team];
    while missing > 0 {
        let unused = |team: usize| shares[team] - permille_of(&snapshot.teams[team].used, &total);
        let others = (0..teams).filter(|team| *team != head.team && unused(*team) > 0);
        let Some(donor) = others.max_by_key(|team| unused(*team)) else { break };
        let moved = missing.min(unused(donor));
        shares[donor] -= moved;
        shares[head.team] += moved;
        missing -= moved;
    }
    shares
}

/// Initial shares: in proportion to the guarantees, with an equal share for a team that has none.
fn initial_shares(snapshot: &Snapshot) -> Vec<i64> {
    let teams = &snapshot.teams;
    let mut guaranteed = Resources::default();
    for team in teams {
        guaranteed += team.guarantee;
    }
    let in_proportion = |guarantee: &Resources| {
        let share = guarantee.share_of(&guaranteed);
        if share > 0.0 {
            (share * WHOLE_PERMILLE as f64) as i64
        } else {
            WHOLE_PERMILLE / teams.len() as i64
        }
    };
    let mut shares: Vec<i64> = teams.iter().map(|team| in_proportion(&team.guarantee)).collect();
    let sum = shares.iter().sum::<i64>().max(1);
    for share in &mut shares {
        *share = *share * WHOLE_PERMILLE / sum;
    }
    shares[0] += WHOLE_PERMILLE - shares.iter().sum::<i64>();
    shares
}

/// Whether a usage is within a guarantee; without a guarantee, it never is.
pub fn is_within_guarantee(used: &Resources, guarantee: &Resources) -> bool {
    (guarantee.cpu != 0 || guarantee.gpu != 0) && used.is_within(guarantee)
}
