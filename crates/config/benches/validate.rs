//! Measures the validation of a configuration with 5,000 engines.

use std::net::{Ipv4Addr, SocketAddr};

use criterion::{criterion_group, criterion_main, Criterion};
use tansyhall_config::{Configuration, ResourceFile};

const ZONES: u32 = 50;
const ENGINES_PER_ZONE: u32 = 100;

fn fleet_configuration() -> Configuration {
    let zones: Vec<String> = (0..ZONES).map(|zone| format!("'zone-{zone}'")).collect();
    let zones = zones.join(", ");
    let mut text = format!(
        "[[site]]\nname = 's'\nregion = 'r'\nzones = [{zones}]\n\
         [[service]]\nname = 'assistant'\nsite = 's'\nkind = 'language-model'\npolicy = 'p'\n\
         [[policy]]\nname = 'p'\nsource = 'class c when prompt_tokens > 9 {{}}'\n"
    );
    for zone in 0..ZONES {
        text += &format!(
            "[[pool]]\nname = 'p-{zone}'\nservice = 'assistant'\nzone = 'zone-{zone}'\n\
             model = 'base'\n"
        );
        for engine in 0..ENGINES_PER_ZONE {
            let ip = Ipv4Addr::from_bits(0x0a00_0000 + zone * ENGINES_PER_ZONE + engine);
            let address = SocketAddr::from((ip, 8000));
            text += &format!("[[pool.backends]]\nname = 'e-{zone}-{engine}'\n");
            text += &format!("address = '{address}'\n");
        }
    }
    let mut configuration = Configuration::default();
    let file = ResourceFile::parse(&text).expect("the generated file should parse");
    file.into_resources()
        .into_iter()
        .for_each(|resource| configuration.put(resource));
    configuration
}

fn validate(criterion: &mut Criterion) {
    let fleet = fleet_configuration();
    criterion.bench_function("validate/5000-engines", |bencher| {
        bencher.iter(|| {
            fleet
                .validate()
                .expect("the generated configuration should be valid")
        });
    });
}

criterion_group!(benches, validate);
criterion_main!(benches);
