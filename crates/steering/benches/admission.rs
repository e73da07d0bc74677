//! Benchmarks of an admission decision that neither waits nor refuses.

#![allow(clippy::unwrap_used, reason = "fixed inputs")]

use std::hint::black_box;
use std::time::{Duration, Instant};

use celerygate_steering::grants::{
    Admission, GrantHolder, GrantOwner, GrantResponse, Limit, TokenRequest,
};
use celerygate_steering::queue::{Arrival, Capacity, WaitQueue};
use celerygate_types::{
    Incarnation, OrganisationId, RequestCount, RequestRate, ServiceId, SlotCount, Term, VmId,
};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};

const ORGANISATIONS: usize = 64;

/// Returns a holder with tokens for every organisation.
fn filled_holder(now: Instant) -> (GrantHolder, Vec<OrganisationId>) {
    let ids: Vec<OrganisationId> =
        (0..ORGANISATIONS).map(|n| format!("organisation-{n}").parse().unwrap()).collect();
    let limit =
        Limit { rate: RequestRate(10_000_000), burst: RequestCount(400_000_000), window: None };
    let limits = ids.iter().map(|id| (id.clone(), limit));
    let start = now - Duration::from_secs(60);
    let mut owner = GrantOwner::new(Term(1), [], limits, now + Duration::from_secs(60), start);
    let mut holder = GrantHolder::new(Term(1));
    let need = TokenRequest { arrived: now, deadline: now + Duration::from_secs(30), ahead: 0 };
    for id in &ids {
        holder.admit(id, &need, now);
    }
    let request = holder.poll(|_| 1_000_000, now).unwrap();
    let vm: VmId = "vm-1".parse().unwrap();
    if let GrantResponse::Reply(reply) = owner.handle_request(&vm, Incarnation(1), &request, now) {
        holder.accept(&reply, now);
    }
    (holder, ids)
}

fn admission(criterion: &mut Criterion) {
    let now = Instant::now();
    let service: ServiceId = "search".parse().unwrap();
    let capacity =
        Capacity { slots: SlotCount(9), has_free: true, next_free: Duration::from_millis(5) };
    let deadline = now + Duration::from_secs(30);
    let need = TokenRequest { arrived: now, deadline, ahead: 0 };
    let (filled, ids) = filled_holder(now);

    // A batch uses fewer tokens than the holder has, so that every request is admitted.
    criterion.bench_function("admit", |bencher| {
        let mut next = 0;
        bencher.iter_batched_ref(
            || filled.clone(),
            |holder| {
                for _ in 0..1_000 {
                    next = (next + 1) % ids.len();
                    let admission = holder.admit(&ids[next], &need, now);
                    assert_eq!(black_box(admission), Admission::Admit);
                }
            },
            BatchSize::LargeInput,
        );
    });
    criterion.bench_function("admit_and_start", |bencher| {
        let mut next = 0;
        bencher.iter_batched_ref(
            || (filled.clone(), WaitQueue::new()),
            |(holder, queue)| {
                for _ in 0..1_000 {
                    next = (next + 1) % ids.len();
                    let organisation = &ids[next];
                    let admission = holder.admit(organisation, &need, now);
                    let arrival = Arrival {
                        organisation,
                        weight: 1,
                        service: &service,
                        work: Duration::from_millis(50),
                        deadline,
                        has_token: admission == Admission::Admit,
                    };
                    black_box(queue.submit(&arrival, &capacity, now));
                }
            },
            BatchSize::LargeInput,
        );
    });
}

criterion_group!(benches, admission);
criterion_main!(benches);
