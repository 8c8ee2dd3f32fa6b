//! Time to plan a role change for a pool of 5,000 engines.

use criterion::{criterion_group, criterion_main, Criterion};
use tansyhall_core::{Duration, Timestamp};
use tansyhall_planner::predictive::{Demand, Planner, PlannerSettings, PoolState, RoleCount};
use tansyhall_routing::ServiceRates;

const ENGINES: usize = 5_000;
const REQUESTS: usize = 20_000;

fn bench(criterion: &mut Criterion) {
    let rates = ServiceRates {
        iteration: 0.004,
        prefill_token: 4e-5,
        decode_sequence: 2e-4,
        mixed_chunk: 512.0,
        prefill_chunk: 4_096.0,
        transfer_token: 1e-5,
    };
    let mut planner = Planner::new(PlannerSettings::default());
    let mut now = Timestamp::default();
    for _ in 0..REQUESTS {
        now = now + Duration::from_micros(500);
        planner.observe(
            now,
            Demand {
                prompt_tokens: 70_000.0,
                output_tokens: 500.0,
            },
        );
    }
    let roles = RoleCount {
        mixed: ENGINES,
        ..RoleCount::default()
    };
    let state = PoolState {
        now,
        roles,
        changing: false,
    };
    criterion.bench_function("plan for 5,000 engines", |bencher| {
        bencher.iter(|| std::hint::black_box(&planner).plan(&rates, &state))
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);
