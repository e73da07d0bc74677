//! Max-min fair allocation of a target's slots to VMs.

/// The permits of a target that one VM holds and needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Demand {
    /// Permits that are allocated to the VM.
    pub allocated: u32,
    /// Allocated permits that were in use at its last report.
    pub running: u32,
    /// Permits that it wants in addition to the allocated ones.
    pub wanted: u32,
}

impl Demand {
    fn needed(self) -> u32 {
        self.running.saturating_add(self.wanted)
    }
}

/// Returns the number of permits that each VM should hold. If the slots do not cover all allocated
/// and wanted permits, VMs return unused permits first, and the slots are divided max-min fairly.
/// `rotation` decides which VMs get the remaining slots when the slots do not divide evenly.
pub(super) fn allocate(slots: u32, demands: &[Demand], rotation: u64) -> Vec<u32> {
    let total: u64 = demands.iter().map(|d| u64::from(d.allocated) + u64::from(d.wanted)).sum();
    if total <= u64::from(slots) {
        return demands.iter().map(|demand| demand.allocated + demand.wanted).collect();
    }
    let mut shares = vec![0; demands.len()];
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|&index| demands[index].needed());
    let mut remaining = slots;
    for (position, &index) in order.iter().enumerate() {
        let even_share = remaining / (order.len() - position) as u32;
        if demands[index].needed() > even_share {
            let rest = &order[position..];
            for &index in rest {
                shares[index] = even_share;
            }
            let mut rest: Vec<usize> = rest.to_vec();
            rest.sort_unstable();
            let extra = remaining as usize - even_share as usize * rest.len();
            let start = (rotation as usize).wrapping_mul(extra);
            for offset in 0..extra {
                shares[rest[start.wrapping_add(offset) % rest.len()]] += 1;
            }
            return shares;
        }
        shares[index] = demands[index].needed();
        remaining -= shares[index];
    }
    // The slots cover the need: VMs keep unused permits from what remains.
    for (share, demand) in shares.iter_mut().zip(demands) {
        let kept = demand.allocated.saturating_sub(*share).min(remaining);
        *share += kept;
        remaining -= kept;
    }
    shares
}

#[cfg(test)]
#[path = "allocation_tests.rs"]
mod tests;
