//! The emulator: the same seed reproduces a run, no request is lost, and the system's strategy has a
//! higher goodput than fixed roles and the reactive planner on the shipped workloads.

use tansyhall_lab::compare::system_strategy;
use tansyhall_lab::compare::Options;
use tansyhall_lab::emulator::{run, Outcome};
use tansyhall_lab::strategy::{service_rates, Balance, Reactive, Static, Strategy};
use tansyhall_lab::workload::Workload;

const COOPERATIVE: &str = include_str!("../../../workloads/cooperative.toml");
const REGISTRY: &str = include_str!("../../../workloads/registry.toml");

fn emulate(text: &str, faults: bool, strategy: impl Fn(&Options) -> Box<dyn Strategy>) -> Outcome {
    let workload = Workload::parse(text).expect("the shipped workload is valid");
    let options = Options {
        faults,
        ..Options::default()
    };
    let conditions = options.conditions(&workload, 1);
    run(&conditions, &workload.trace(1), strategy(&options).as_mut())
}

fn system(options: &Options) -> Box<dyn Strategy> {
    let workload = Workload::parse(COOPERATIVE).expect("the shipped workload is valid");
    let conditions = options.conditions(&workload, 1);
    let rates = service_rates(&conditions.costs, conditions.transfer_token);
    Box::new(system_strategy(rates, options.choice))
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let first = emulate(COOPERATIVE, true, system);
    let second = emulate(COOPERATIVE, true, system);
    assert_eq!(first.timeline, second.timeline);
    assert_eq!(first.rejected, second.rejected);
}

#[test]
fn every_request_is_completed_or_rejected_even_when_engines_crash() {
    let outcome = emulate(COOPERATIVE, true, system);
    assert_eq!(outcome.offered, outcome.completed + outcome.rejected);
}

#[test]
fn system_strategy_beats_fixed_roles_and_reactive_planner_when_the_mix_shifts() {
    for text in [COOPERATIVE, REGISTRY] {
        let system = emulate(text, false, system).goodput();
        for balance in [Balance::RoundRobin, Balance::LeastLoad] {
            let fixed = emulate(text, false, |_| Box::new(Static::mixed(balance))).goodput();
            assert!(
                system > fixed,
                "goodput {system} of the system is not above {fixed} of {balance:?}"
            );
        }
        let reactive = emulate(text, false, |_| Box::new(Reactive::new(4e-5, 64)));
        assert!(system > reactive.goodput());
    }
}

#[test]
fn a_workload_with_an_unknown_class_is_rejected() {
    let text = COOPERATIVE.replace("[class.slip]", "[class.receipt]");
    let error = Workload::parse(&text).expect_err("class slip is used but not defined");
    assert!(error.to_string().contains("slip"), "{error}");
}
