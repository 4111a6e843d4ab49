//! The teams' shares of the machines.

use super::pass::all_machines;
use super::Snapshot;
use crate::protocol::Resources;

pub(super) fn thousandths(used: &Resources, total: &Resources) -> i64 {
    (used.share_of(total) * 1_000.0).round() as i64
}

/// Moves shares between teams: the team of the oldest waiting job gets what its head lacks
/// from the teams that leave most of theirs unused. Shares sum up to the whole fleet.
pub fn move_shares(s: &Snapshot, mut shares: Vec<i64>) -> Vec<i64> {
    let total = all_machines(s);
    let n = s.teams.len();
    if n == 0 {
        return shares;
    }
    if shares.len() != n || shares.iter().sum::<i64>() != 1_000 {
        // To start with, in proportion to the guarantees, and alike where there are none.
        let mut guaranteed = Resources::default();
        for t in &s.teams {
            guaranteed += t.guarantee;
        }
        shares = s
            .teams
            .iter()
            .map(|t| {
                let g = t.guarantee.share_of(&guaranteed);
                if g > 0.0 {
                    (g * 1_000.0) as i64
                } else {
                    1_000 / n as i64
                }
            })
            .collect();
        let sum: i64 = shares.iter().sum::<i64>().max(1);
        shares.iter_mut().for_each(|x| *x = *x * 1_000 / sum);
        shares[0] += 1_000 - shares.iter().sum::<i64>();
    }
    let Some(head) = s.jobs.iter().min_by_key(|j| (j.priority, j.arrival)) else { return shares };
    let mut with = s.teams[head.team].used;
    with += head.need;
    let mut lacks = thousandths(&with, &total) - shares[head.team];
    while lacks > 0 {
        let spare = |t: usize| shares[t] - thousandths(&s.teams[t].used, &total);
        let others = (0..n).filter(|t| *t != head.team && spare(*t) > 0);
        let Some(from) = others.max_by_key(|t| spare(*t)) else { break };
        let moved = lacks.min(spare(from));
        shares[from] -= moved;
        shares[head.team] += moved;
        lacks -= moved;
    }
    shares
}

/// Whether a use lies within a guarantee; a team with none has nothing within it.
pub fn is_within_guarantee(used: &Resources, guarantee: &Resources) -> bool {
    (guarantee.cpu != 0 || guarantee.gpu != 0) && used.under(guarantee)
}
