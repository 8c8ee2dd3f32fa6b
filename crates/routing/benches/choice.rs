//! Time to route one request among 126 engines.

use criterion::{criterion_group, criterion_main, Criterion};
use tansyhall_core::Role;
use tansyhall_routing::{choose, ChoiceSettings, EngineEstimate, RequestEstimate, ServiceRates};

const ENGINES: usize = 126;

fn rates() -> ServiceRates {
    ServiceRates {
        iteration: 0.004,
        prefill_token: 4e-5,
        decode_sequence: 2e-4,
        mixed_chunk: 512.0,
        prefill_chunk: 4_096.0,
        transfer_token: 1e-5,
    }
}

fn engine(index: usize) -> EngineEstimate {
    EngineEstimate {
        role: Role::ALL[index % Role::ALL.len()],
        accepts_work: true,
        decoding: (index % 40) as f64,
        waiting: (index % 5) as f64,
        pending_prefill_tokens: (index * 37 % 4_000) as f64,
        free_sequences: 24.0,
        prefill_rate: (index * 91 % 9_000) as f64,
        cached_tokens: 0.0,
    }
}

fn bench(criterion: &mut Criterion) {
    let engines: Vec<EngineEstimate> = (0..ENGINES).map(engine).collect();
    let request = RequestEstimate {
        prefill_tokens: 900.0,
        prompt_tokens: 900.0,
        output_tokens: 120.0,
    };
    let settings = ChoiceSettings::default();
    let rates = rates();
    criterion.bench_function("choose among 126 engines", |bencher| {
        bencher.iter(|| {
            choose(
                &rates,
                &settings,
                std::hint::black_box(&engines),
                &request,
                4.0,
            )
        })
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);
