//! Replays the counterexamples that `spec/check` finds for mutants of the specification, which are
//! the specification without one safety rule, against the code, which implements the rule. The
//! engine is the control interface of the engine model.

use tansyhall_authority::{ClaimAction, ClaimEvent, ClaimRecord, PoolClaim};
use tansyhall_authority::{
    EngineOrders, Epoch, Goal, Lease, LeaseAction, LeaseEvent, LeaseHolder, LeaseTiming,
    LeaseValidity, OrderEvent, OrderStep, Outcome,
};
use tansyhall_core::{Duration, Incarnation, Role, Timestamp};
use tansyhall_engine::protocol::{Order, OrderAction, OrderReply};
use tansyhall_engine_model::{Control, ControlTiming};

const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);
const OLD_EPOCH: Epoch = Epoch(10);
const NEW_EPOCH: Epoch = Epoch(11);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn engine(incarnation: u64) -> Control {
    let incarnation = Incarnation(incarnation);
    let timing = ControlTiming::default();
    Control::new(
        "engine-0".into(),
        incarnation,
        Role::Mixed,
        "base".into(),
        timing,
    )
}

fn valid_lease() -> LeaseValidity {
    let mut lease = LeaseValidity::new(Duration::ZERO);
    lease.record_renewal(at(0), Duration::from_secs(3_600));
    lease
}

fn holder(epoch: Epoch, role: Role) -> EngineOrders {
    let mut orders = EngineOrders::new(epoch, DRAIN_TIMEOUT);
    orders.set_goal(Goal::Role(role));
    orders
}

/// Seals the engine and returns the step that follows the seal.
fn seal(orders: &mut EngineOrders, engine: &mut Control, requests: u32) -> OrderStep {
    let state = OrderEvent::State(engine.state(requests));
    let OrderStep::Seal(token) = orders.step(at(0), &valid_lease(), state) else {
        panic!("the first step does not seal the engine");
    };
    engine.seal(token);
    let sealed = OrderEvent::Sealed(engine.state(requests));
    orders.step(at(0), &valid_lease(), sealed)
}

fn read_state(orders: &mut EngineOrders, engine: &Control, requests: u32) -> OrderStep {
    let state = OrderEvent::State(engine.state(requests));
    orders.step(at(0), &valid_lease(), state)
}

fn order(step: OrderStep) -> Order {
    match step {
        OrderStep::Send(order) => order,
        other => panic!("expected an order, got {other:?}"),
    }
}

/// Carries out a change to the end and returns the orders in the sequence in which they were sent.
fn carry_out(orders: &mut EngineOrders, engine: &mut Control) -> Vec<Order> {
    let mut sent = Vec::new();
    let mut step = seal(orders, engine, 0);
    while step != OrderStep::Settled(Outcome::Reached) {
        let next = order(step);
        assert_eq!(engine.order(at(0), next.clone(), 0), OrderReply::Accepted);
        sent.push(next);
        engine.advance(at(60_000));
        step = read_state(orders, engine, 0);
    }
    sent
}

/// Mutant `NO_FENCE` of `spec/authority.pml`.
#[test]
fn an_order_of_an_earlier_holder_is_refused_after_the_seal() {
    let mut engine = engine(1);
    let late = order(seal(&mut holder(OLD_EPOCH, Role::Prefill), &mut engine, 0));
    seal(&mut holder(NEW_EPOCH, Role::Decode), &mut engine, 0);
    let reply = engine.order(at(1), late, 0);
    assert!(matches!(reply, OrderReply::StaleToken { .. }), "{reply:?}");
    assert!(engine.accepts_work());
}

/// Mutant `NO_SEQUENCE` of `spec/authority.pml`.
#[test]
fn orders_delivered_again_after_the_resume_have_no_effect() {
    let mut engine = engine(1);
    let sent = carry_out(&mut holder(OLD_EPOCH, Role::Prefill), &mut engine);
    let actions: Vec<&OrderAction> = sent.iter().map(|order| &order.action).collect();
    let role = OrderAction::SetRole {
        role: Role::Prefill,
    };
    assert_eq!(actions, [&OrderAction::Drain, &role, &OrderAction::Resume]);
    for late in sent {
        engine.order(at(70_000), late, 0);
        engine.advance(at(140_000));
        assert!(engine.accepts_work());
        assert_eq!(engine.state(0).role, Role::Prefill);
    }
}

/// Mutant `NO_IDEMPOTENCE` of `spec/authority.pml`.
#[test]
fn a_repeated_change_is_started_once() {
    let mut engine = engine(1);
    let mut orders = holder(OLD_EPOCH, Role::Prefill);
    let drain = order(seal(&mut orders, &mut engine, 0));
    engine.order(at(0), drain, 0);
    let change = order(read_state(&mut orders, &engine, 0));
    assert_eq!(engine.order(at(0), change.clone(), 0), OrderReply::Accepted);
    let ends = engine.active_order_ends();
    assert_eq!(
        engine.order(at(500), change.clone(), 0),
        OrderReply::Accepted
    );
    assert_eq!(engine.active_order_ends(), ends);
    engine.advance(at(60_000));
    assert_eq!(engine.order(at(60_000), change, 0), OrderReply::Accepted);
    assert_eq!(engine.active_order_ends(), None);
}

#[test]
fn an_order_is_repeated_unchanged_if_it_had_no_effect_and_its_answer_was_lost() {
    let mut engine = engine(1);
    let mut orders = holder(OLD_EPOCH, Role::Prefill);
    let first = order(seal(&mut orders, &mut engine, 0));
    let next_step = orders.step(at(0), &valid_lease(), OrderEvent::NoReply);
    assert_eq!(next_step, OrderStep::ReadState);
    assert_eq!(order(read_state(&mut orders, &engine, 0)), first);
}

/// Mutant `NO_INCARNATION` of `spec/authority.pml`.
#[test]
fn an_order_for_an_earlier_incarnation_of_the_engine_is_refused() {
    let mut before = engine(1);
    let late = order(seal(&mut holder(OLD_EPOCH, Role::Prefill), &mut before, 0));
    let mut after = engine(2);
    let reply = after.order(at(1), late, 0);
    assert!(
        matches!(reply, OrderReply::WrongIncarnation { .. }),
        "{reply:?}"
    );
}

#[test]
fn an_engine_that_crashed_during_a_change_is_sealed_again_and_changed() {
    let mut first = engine(1);
    let mut orders = holder(OLD_EPOCH, Role::Prefill);
    let drain = order(seal(&mut orders, &mut first, 0));
    first.order(at(0), drain, 0);
    let change = order(read_state(&mut orders, &first, 0));
    first.order(at(0), change, 0);
    let mut second = engine(2);
    let sent = carry_out(&mut orders, &mut second);
    assert_eq!(sent.len(), 3);
    assert_eq!(second.state(0).role, Role::Prefill);
}

/// Mutant `NO_SEAL` of `spec/authority.pml`.
#[test]
fn an_earlier_order_cannot_change_the_state_on_which_a_holder_has_settled() {
    let mut engine = engine(1);
    let late = order(seal(&mut holder(OLD_EPOCH, Role::Prefill), &mut engine, 0));
    let mut new = EngineOrders::new(NEW_EPOCH, DRAIN_TIMEOUT);
    let step = seal(&mut new, &mut engine, 0);
    assert_eq!(step, OrderStep::Settled(Outcome::Reached));
    engine.order(at(1), late, 0);
    assert!(engine.accepts_work());
}

/// Mutant `NO_SELF_FENCE` of `spec/authority.pml`.
#[test]
fn a_holder_with_a_lapsed_lease_sends_nothing_to_a_restarted_engine() {
    let mut lease = LeaseValidity::new(Duration::from_secs(1));
    lease.record_renewal(at(0), Duration::from_secs(6));
    let mut orders = holder(OLD_EPOCH, Role::Prefill);
    let mut restarted = engine(2);
    let state = OrderEvent::State(restarted.state(0));
    assert_eq!(
        orders.step(at(5_000), &lease, state),
        OrderStep::LeaseInvalid
    );
    restarted.seal(OLD_EPOCH.token(0));
    let sealed = OrderEvent::Sealed(restarted.state(0));
    assert_eq!(
        orders.step(at(5_000), &lease, sealed),
        OrderStep::LeaseInvalid
    );
}

/// Mutant `NO_ONE_ORDER` of `spec/authority.pml`.
#[test]
fn a_later_holder_waits_for_the_change_in_progress() {
    let mut engine = engine(1);
    let mut old = holder(OLD_EPOCH, Role::Prefill);
    let drain = order(seal(&mut old, &mut engine, 0));
    engine.order(at(0), drain, 0);
    let change = order(read_state(&mut old, &engine, 0));
    engine.order(at(0), change, 0);
    let mut new = holder(NEW_EPOCH, Role::Decode);
    assert_eq!(seal(&mut new, &mut engine, 0), OrderStep::ReadState);
    engine.advance(at(60_000));
    let next = order(read_state(&mut new, &engine, 0));
    assert_eq!(next.action, OrderAction::SetRole { role: Role::Decode });
}

/// Mutant `NO_IDLE_CHECK` of `spec/authority.pml`.
#[test]
fn a_change_waits_for_requests_and_is_refused_while_one_is_in_progress() {
    let mut engine = engine(1);
    let mut orders = holder(OLD_EPOCH, Role::Prefill);
    let drain = order(seal(&mut orders, &mut engine, 1));
    engine.order(at(0), drain, 1);
    assert_eq!(read_state(&mut orders, &engine, 1), OrderStep::ReadState);
    let change = order(read_state(&mut orders, &engine, 0));
    let reply = engine.order(at(0), change, 1);
    assert_eq!(reply, OrderReply::WorkInProgress { requests: 1 });
}

#[test]
fn a_drain_that_times_out_is_given_up_without_interrupting_requests() {
    let mut engine = engine(1);
    let mut orders = holder(OLD_EPOCH, Role::Prefill);
    let drain = order(seal(&mut orders, &mut engine, 1));
    engine.order(at(0), drain, 1);
    assert_eq!(read_state(&mut orders, &engine, 1), OrderStep::ReadState);
    let later = Timestamp::default() + DRAIN_TIMEOUT;
    let state = OrderEvent::State(engine.state(1));
    let resume = order(orders.step(later, &valid_lease(), state));
    assert_eq!(resume.action, OrderAction::Resume);
    engine.order(later, resume, 1);
    let settled = read_state(&mut orders, &engine, 1);
    assert_eq!(settled, OrderStep::Settled(Outcome::GivenUp));
    assert!(engine.accepts_work());
}

#[test]
fn a_drain_left_by_an_earlier_holder_is_undone() {
    let mut engine = engine(1);
    let drain = order(seal(&mut holder(OLD_EPOCH, Role::Prefill), &mut engine, 0));
    engine.order(at(0), drain, 0);
    let mut new = EngineOrders::new(NEW_EPOCH, DRAIN_TIMEOUT);
    let resume = order(seal(&mut new, &mut engine, 3));
    assert_eq!(resume.action, OrderAction::Resume);
    assert_eq!(engine.order(at(0), resume, 3), OrderReply::Accepted);
    assert!(engine.accepts_work());
}

#[test]
fn a_superseded_holder_stops() {
    let mut engine = engine(1);
    let mut old = holder(OLD_EPOCH, Role::Prefill);
    seal(&mut old, &mut engine, 0);
    seal(&mut holder(NEW_EPOCH, Role::Decode), &mut engine, 0);
    assert_eq!(read_state(&mut old, &engine, 0), OrderStep::Superseded);
    let reply = OrderReply::StaleToken {
        highest: NEW_EPOCH.token(0),
    };
    let step = old.step(at(0), &valid_lease(), OrderEvent::Reply(reply));
    assert_eq!(step, OrderStep::Superseded);
}

#[test]
fn models_are_loaded_while_drained_and_adapters_while_serving_requests() {
    let mut engine = engine(1);
    let mut orders = EngineOrders::new(OLD_EPOCH, DRAIN_TIMEOUT);
    orders.set_goal(Goal::Model {
        model: "base".into(),
        version: "2".into(),
    });
    assert_eq!(carry_out(&mut orders, &mut engine).len(), 3);
    assert_eq!(engine.state(0).version, "2");
    orders.set_goal(Goal::Adapter("slips".into()));
    let load = order(read_state(&mut orders, &engine, 5));
    assert_eq!(engine.order(at(0), load, 5), OrderReply::Accepted);
    engine.advance(at(60_000));
    let settled = read_state(&mut orders, &engine, 5);
    assert_eq!(settled, OrderStep::Settled(Outcome::Reached));
}

const TIMING: LeaseTiming = LeaseTiming {
    time_to_live: Duration::from_secs(6),
    renewal_interval: Duration::from_secs(2),
    clock_drift_margin: Duration::from_secs(1),
};

fn grant_lease(keeper: &mut LeaseHolder, sent: Timestamp, lease: Lease) {
    assert!(matches!(
        keeper.step(sent, LeaseEvent::Tick),
        LeaseAction::Grant(_)
    ));
    let time_to_live = TIMING.time_to_live;
    keeper.step(
        sent + Duration::from_secs(1),
        LeaseEvent::Granted {
            lease,
            time_to_live,
        },
    );
}

#[test]
fn a_lease_is_valid_for_its_ttl_minus_the_margin_after_the_request_was_sent() {
    let mut keeper = LeaseHolder::new(TIMING);
    grant_lease(&mut keeper, at(0), Lease(7));
    assert!(keeper.validity().is_valid(at(4_999)));
    assert!(!keeper.validity().is_valid(at(5_000)));
}

/// Mutant `NO_LEASE_OF_CLAIM` of `spec/duties.pml`: rights attached to a lapsed lease do not become
/// valid again when the next lease is granted.
#[test]
fn the_next_lease_does_not_make_a_lapsed_one_valid() {
    let mut keeper = LeaseHolder::new(TIMING);
    grant_lease(&mut keeper, at(0), Lease(7));
    assert!(keeper.is_valid(Lease(7), at(4_999)));
    assert!(!keeper.is_valid(Lease(7), at(5_000)));
    assert_eq!(
        keeper.step(at(8_000), LeaseEvent::Tick),
        LeaseAction::Renew(Lease(7))
    );
    keeper.step(at(8_010), LeaseEvent::Lapsed);
    grant_lease(&mut keeper, at(8_200), Lease(8));
    assert!(keeper.is_valid(Lease(8), at(8_300)));
    assert!(!keeper.is_valid(Lease(7), at(8_300)));
}

#[test]
fn a_lost_grant_is_requested_again_and_a_lost_renewal_keeps_the_lease() {
    let mut keeper = LeaseHolder::new(TIMING);
    assert!(matches!(
        keeper.step(at(0), LeaseEvent::Tick),
        LeaseAction::Grant(_)
    ));
    keeper.step(at(1_000), LeaseEvent::NoAnswer);
    assert_eq!(keeper.lease(), None);
    grant_lease(&mut keeper, at(2_000), Lease(8));
    assert_eq!(
        keeper.step(at(4_000), LeaseEvent::Tick),
        LeaseAction::Renew(Lease(8))
    );
    keeper.step(at(5_000), LeaseEvent::NoAnswer);
    assert_eq!(keeper.lease(), Some(Lease(8)));
    assert!(!keeper.validity().is_valid(at(7_000)));
}

#[test]
fn a_planned_stop_invalidates_the_lease_before_revoking_it() {
    let mut keeper = LeaseHolder::new(TIMING);
    grant_lease(&mut keeper, at(0), Lease(9));
    assert_eq!(
        keeper.step(at(1_500), LeaseEvent::Stop),
        LeaseAction::Revoke(Lease(9))
    );
    assert!(!keeper.validity().is_valid(at(1_500)));
    assert_eq!(keeper.step(at(9_000), LeaseEvent::Tick), LeaseAction::Wait);
}

fn observed(record: Option<ClaimRecord>, lease: Lease) -> ClaimEvent {
    let lease = Some(lease);
    ClaimEvent::Observed { record, lease }
}

#[test]
fn a_claim_whose_answer_was_lost_is_found_by_reading_the_key() {
    let mut claim = PoolClaim::new(Duration::from_secs(1));
    assert_eq!(
        claim.step(at(0), observed(None, Lease(1))),
        ClaimAction::Wait
    );
    let create = claim.step(at(1_000), observed(None, Lease(1)));
    assert_eq!(create, ClaimAction::Create(Lease(1)));
    let record = ClaimRecord {
        lease: Lease(1),
        epoch: OLD_EPOCH,
    };
    let step = claim.step(at(1_100), observed(Some(record), Lease(1)));
    assert_eq!(step, ClaimAction::Acquired(OLD_EPOCH));
}

/// Mutant `NO_LEASE_IN_VALUE` of `spec/authority.pml`.
#[test]
fn a_restarted_node_does_not_mistake_its_earlier_claim_for_its_own() {
    let mut claim = PoolClaim::new(Duration::ZERO);
    let record = ClaimRecord {
        lease: Lease(1),
        epoch: OLD_EPOCH,
    };
    claim.step(at(0), observed(Some(record), Lease(2)));
    assert_eq!(claim.held_epoch(), None);
}

#[test]
fn a_claim_is_lost_with_its_key_or_its_lease() {
    let record = ClaimRecord {
        lease: Lease(1),
        epoch: OLD_EPOCH,
    };
    for end in [observed(None, Lease(1)), ClaimEvent::LeaseLost] {
        let mut claim = PoolClaim::new(Duration::ZERO);
        claim.step(at(0), observed(Some(record), Lease(1)));
        assert_eq!(claim.step(at(1), end), ClaimAction::Lost);
        assert_eq!(claim.held_epoch(), None);
    }
}
