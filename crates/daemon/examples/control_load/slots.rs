//! Measures the CPU time, memory and messages of a slot owner by the number of VMs that hold
//! permits.

use std::time::{Duration, Instant};

use anyhow::Result;
use celerygate_steering::slots::{RENEW_INTERVAL, SlotOwner, SlotResponse, SlotTarget};
use celerygate_types::wire::{SlotAsk, SlotReply, SlotRequest};
use celerygate_types::{Incarnation, SlotCount, VmId};

use crate::process::usage;
use crate::settings::follower_name;

/// Targets of a region, which has three services of 10 to 20 targets each.
const TARGETS: usize = 40;
const SLOTS_PER_TARGET: u32 = 400;
/// Number of requests by each holder.
const ROUNDS: u64 = 20;

struct Holder {
    vm: VmId,
    held_slots: Vec<SlotCount>,
    sequence: u64,
}

impl Holder {
    /// Requests one more slot of every target and reports one of the held slots as idle.
    fn request(&mut self, targets: &[SlotTarget]) -> SlotRequest {
        self.sequence += 1;
        let ask = |((service, target), held_slots): (&SlotTarget, &SlotCount)| SlotAsk {
            held_slots: *held_slots,
            running_slots: SlotCount(held_slots.get().saturating_sub(1)),
            service: service.clone(),
            target: target.clone(),
            wanted_slots: SlotCount(1),
        };
        let asks = targets.iter().zip(&self.held_slots).map(ask).collect();
        SlotRequest { asks, epoch: 1, sequence: self.sequence }
    }

    fn apply(&mut self, targets: &[SlotTarget], reply: &SlotReply) {
        for award in &reply.awards {
            let at = targets.iter().position(|(_, target)| *target == award.target);
            if let Some(at) = at {
                self.held_slots[at] = award.held_slots;
            }
        }
    }
}

/// Prints the measured rows for each number of holders.
pub fn measure(counts: &[usize]) -> Result<()> {
    let targets = (0..TARGETS)
        .map(|index| Ok((format!("site-{}", index % 3).parse()?, format!("t-{index}").parse()?)))
        .collect::<Result<Vec<SlotTarget>>>()?;
    for &count in counts {
        let before = usage(std::process::id())?.resident_kib;
        let started = Instant::now();
        let mut owner = SlotOwner::new(1, [], started + Duration::from_secs(60), started);
        targets.iter().for_each(|target| owner.set_slots(target, SlotCount(SLOTS_PER_TARGET)));
        let holder = |index| {
            Ok(Holder {
                vm: follower_name(index)?,
                held_slots: vec![SlotCount(0); TARGETS],
                sequence: 0,
            })
        };
        let mut holders = (0..count).map(holder).collect::<Result<Vec<_>>>()?;
        let (mut owner_time, mut messages, mut bytes) = (Duration::ZERO, 0, 0);
        for round in 0..ROUNDS {
            // Every holder renews its permits once in each interval.
            let now = started + RENEW_INTERVAL * round as u32;
            for holder in &mut holders {
                let request = holder.request(&targets);
                let begin = Instant::now();
                let answer = owner.handle_request(&holder.vm, Incarnation(1), &request, now);
                owner_time += begin.elapsed();
                bytes += postcard::experimental::serialized_size(&request)?;
                let SlotResponse::Send(answers) = answer else { continue };
                messages += answers.len();
                for answer in &answers {
                    bytes += postcard::experimental::serialized_size(&answer.reply)?;
                }
                if let Some(first) = answers.first() {
                    holder.apply(&targets, &first.reply);
                }
            }
        }
        let requests = (count as u64 * ROUNDS) as f64;
        let resident = usage(std::process::id())?.resident_kib - before;
        let row = |name: &str, value: f64| println!("slots\t{name}\t{count}\t{value:.4}");
        row("receive_us", owner_time.as_secs_f64() * 1e6 / requests);
        row("messages_per_request", messages as f64 / requests);
        row("bytes_per_request", bytes as f64 / requests);
        row("resident_kib", resident);
        std::mem::forget((owner, holders));
    }
    Ok(())
}
