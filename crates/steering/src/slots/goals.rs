//! Fair division of a target's slots between VMs.

/// What one VM holds and needs of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Demand {
    /// Permits that count for the VM.
    pub counted: u32,
    /// Permits of these that were in use at its last report.
    pub running: u32,
    /// Permits that it wants in addition.
    pub want: u32,
}

impl Demand {
    fn needed(self) -> u32 {
        self.running.saturating_add(self.want)
    }
}

/// Returns the permits that each VM should hold. When the slots do not cover what is held and
/// wanted, permits not in use are given up first, and the slots are divided max-min fairly; `turn`
/// decides which VMs get the slots that remain when they do not divide evenly.
pub(super) fn goals(slots: u32, demands: &[Demand], turn: u64) -> Vec<u32> {
    let covered: u64 = demands.iter().map(|d| u64::from(d.counted) + u64::from(d.want)).sum();
    if covered <= u64::from(slots) {
        return demands.iter().map(|demand| demand.counted + demand.want).collect();
    }
    let mut goals = vec![0; demands.len()];
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|&index| demands[index].needed());
    let mut left = slots;
    for (position, &index) in order.iter().enumerate() {
        let share = left / (order.len() - position) as u32;
        if demands[index].needed() > share {
            let rest = &order[position..];
            for &index in rest {
                goals[index] = share;
            }
            let mut rest: Vec<usize> = rest.to_vec();
            rest.sort_unstable();
            let extra = left as usize - share as usize * rest.len();
            let start = (turn as usize).wrapping_mul(extra);
            for offset in 0..extra {
                goals[rest[start.wrapping_add(offset) % rest.len()]] += 1;
            }
            return goals;
        }
        goals[index] = demands[index].needed();
        left -= goals[index];
    }
    // The slots cover the need: the rest stays where permits are held without use.
    for (goal, demand) in goals.iter_mut().zip(demands) {
        let kept = demand.counted.saturating_sub(*goal).min(left);
        *goal += kept;
        left -= kept;
    }
    goals
}

#[cfg(test)]
#[path = "goals_tests.rs"]
mod tests;
