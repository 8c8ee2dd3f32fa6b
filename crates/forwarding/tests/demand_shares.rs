//! Division of workers' rate limits by demand: the limit holds whatever happens to reports and gateways, and is used where
//! the callers are.

mod sample;
mod share_fleet;

use std::time::Duration;

use share_fleet::{limit, max_in_span, Network, Random, ShareFleet, STEP};

/// Time in which a fleet finds a leader and learns the demands.
const SETTLED: Duration = Duration::from_secs(6);
const MEASURED: Duration = Duration::from_secs(30);
/// Fraction of a limit that must be used if there are enough callers.
const MIN_USED: f64 = 0.8;

/// Returns the fraction of the limit that is used if callers at some gateways send `callers_rate` requests per second
/// together.
fn used_fraction(size: usize, rate: f64, callers_at: &[usize], callers_rate: f64) -> f64 {
    let mut fleet = ShareFleet::new(size, limit(rate), 7);
    let mut random = Random::new(11);
    let mut sent = 0;
    let start = fleet.elapsed();
    while fleet.elapsed() < start + SETTLED + MEASURED {
        fleet.exchange_reports(&Network::RELIABLE);
        for gateway in callers_at {
            let per_step = callers_rate / callers_at.len() as f64 * STEP.as_secs_f64();
            let is_measured = fleet.elapsed() >= start + SETTLED;
            if random.fraction() < per_step && fleet.take(*gateway) && is_measured {
                sent += 1;
            }
        }
        fleet.advance();
    }
    f64::from(sent) / (rate * MEASURED.as_secs_f64())
}

// Guards against a limit of which callers at one gateway of several get only an equal share: 1.3 of 8 requests per second
// were used in a fleet of six.
#[test]
fn callers_at_one_gateway_use_most_of_a_limit() {
    for (size, rate) in [(1, 8.0), (2, 3.0), (6, 8.0), (12, 8.0), (12, 1.0), (9, 6.3)] {
        for gateway in 0..size {
            let used = used_fraction(size, rate, &[gateway], rate * 2.0);
            assert!(
                used >= MIN_USED,
                "{size} gateways, {rate}, callers at {gateway}: {used}"
            );
        }
    }
}

// Guards against shares that are too small to be used: 0.3 to 1.9 of 6.3 requests per second were used with callers at
// nine gateways.
#[test]
fn callers_at_nine_gateways_use_most_of_a_limit() {
    let all: Vec<usize> = (0..9).collect();
    for rate in [6.3, 8.0, 25.0] {
        for callers in [2.0, 4.0] {
            let used = used_fraction(9, rate, &all, rate * callers);
            assert!(used >= MIN_USED, "{rate}, callers {callers}: {used}");
        }
    }
}

// Guards against shares that stay where the demand was.
#[test]
fn a_share_follows_callers_that_move_to_another_gateway() {
    let rate = 8.0;
    let mut fleet = ShareFleet::new(6, limit(rate), 3);
    let mut random = Random::new(5);
    let mut sent = [0, 0];
    for (phase, gateway) in [2, 4].into_iter().enumerate() {
        let start = fleet.elapsed();
        while fleet.elapsed() < start + SETTLED + MEASURED {
            fleet.exchange_reports(&Network::RELIABLE);
            let is_measured = fleet.elapsed() >= start + SETTLED;
            let arrives = random.fraction() < 2.0 * rate * STEP.as_secs_f64();
            if arrives && fleet.take(gateway) && is_measured {
                sent[phase] += 1;
            }
            fleet.advance();
        }
    }
    for sent in sent {
        let used = f64::from(sent) / (rate * MEASURED.as_secs_f64());
        assert!(used >= MIN_USED, "{used}");
    }
}

// Guards against a gateway that is cut off from all others and left without any share, and against a limit that the others
// use no more while it is.
#[test]
fn a_gateway_that_is_cut_off_keeps_a_reserve_and_the_others_use_the_rest() {
    let rate = 8.0;
    for cut_off in 0..4 {
        let mut fleet = ShareFleet::new(4, limit(rate), 3);
        let network = Network {
            cut_off: vec![cut_off],
            ..Network::RELIABLE
        };
        let mut sent = [0; 4];
        while fleet.elapsed() < SETTLED * 3 + MEASURED {
            let is_cut_off = fleet.elapsed() >= SETTLED;
            let network = if is_cut_off { &network } else { &Network::RELIABLE };
            fleet.exchange_reports(network);
            for (gateway, sent) in sent.iter_mut().enumerate() {
                let taken = fleet.take(gateway);
                *sent += u32::from(taken && fleet.elapsed() >= SETTLED * 3);
            }
            fleet.advance();
        }
        let others: u32 = sent.iter().sum::<u32>() - sent[cut_off];
        assert!(sent[cut_off] > 0, "gateway {cut_off}: {sent:?}");
        let used = f64::from(others) / (rate * MEASURED.as_secs_f64());
        assert!(used >= MIN_USED, "gateway {cut_off}: {sent:?}");
    }
}

// Guards against a limit that is exceeded because a report was lost, late or reordered, because gateways were partitioned
// or know different fleets, or because one joined, left or restarted and forgot what it had granted, used or voted for.
#[test]
fn a_limit_is_never_exceeded_whatever_happens_to_reports_and_gateways() {
    for seed in 0..60 {
        let mut random = Random::new(seed);
        let rate = [0.3, 1.0, 2.0, 3.0, 6.3, 8.0, 25.0][random.below(7)];
        let size = [1, 2, 3, 6, 9, 12][random.below(6)];
        let mut fleet = ShareFleet::new(size, limit(rate), seed);
        let mut network = Network::RELIABLE;
        let mut sent = Vec::new();
        while fleet.elapsed() < Duration::from_secs(90) {
            if random.fraction() < 0.01 {
                network = Network::draw(&mut random, fleet.len());
            }
            if random.fraction() < 0.004 {
                fleet.change_randomly(&mut random);
            }
            fleet.exchange_reports(&network);
            for gateway in 0..fleet.len() {
                let is_busy = (fleet.elapsed().as_secs() / 5 + gateway as u64) % 3 != 0;
                while is_busy && fleet.take(gateway) {
                    sent.push(fleet.elapsed());
                }
            }
            fleet.advance();
        }
        let count = max_in_span(&sent, Duration::from_secs(4));
        let allowed = (rate * 4.0 + rate + 2.0) as usize;
        assert!(
            count <= allowed,
            "seed {seed}, {size} gateways, {rate}: {count} of {allowed}"
        );
        assert!(!sent.is_empty(), "seed {seed}: nothing was sent");
    }
}
