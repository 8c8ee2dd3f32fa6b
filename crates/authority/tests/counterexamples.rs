//! The counterexamples that `spec/check` finds when a rule is dropped, replayed against the code
//! that has the rule. The engine is the control side of the engine model.

use tansyhall_authority::{ClaimAction, ClaimEvent, ClaimRecord, PoolClaim};
use tansyhall_authority::{
    EngineOrders, Epoch, Goal, Lease, LeaseAction, LeaseClock, LeaseEvent, LeaseKeeper,
    LeaseTiming, OrderEvent, OrderStep, Outcome,
};
use tansyhall_core::{Duration, Incarnation, Role, Timestamp};
use tansyhall_engine::protocol::{Order, OrderAction, OrderReply};
use tansyhall_engine_model::{Control, ControlTiming};

const PATIENCE: Duration = Duration::from_secs(60);
const OLD: Epoch = Epoch(10);
const NEW: Epoch = Epoch(11);

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

fn valid_lease() -> LeaseClock {
    let mut lease = LeaseClock::new(Duration::ZERO);
    lease.renewed(at(0), Duration::from_secs(3_600));
    lease
}

fn holder(epoch: Epoch, role: Role) -> EngineOrders {
    let mut orders = EngineOrders::new(epoch, PATIENCE);
    orders.pursue(Goal::Role(role));
    orders
}

/// Seals the engine and returns the step that follows.
fn seal(orders: &mut EngineOrders, engine: &mut Control, requests: u32) -> OrderStep {
    let state = OrderEvent::State(engine.state(requests));
    let OrderStep::Seal(token) = orders.step(at(0), &valid_lease(), state) else {
        panic!("the engine is sealed first");
    };
    engine.seal(token);
    let sealed = OrderEvent::Sealed(engine.state(requests));
    orders.step(at(0), &valid_lease(), sealed)
}

fn read(orders: &mut EngineOrders, engine: &Control, requests: u32) -> OrderStep {
    let state = OrderEvent::State(engine.state(requests));
    orders.step(at(0), &valid_lease(), state)
}

fn order(step: OrderStep) -> Order {
    match step {
        OrderStep::Send(order) => order,
        other => panic!("an order, not {other:?}"),
    }
}

/// Carries a change out to its end and returns the orders in turn.
fn carry_out(orders: &mut EngineOrders, engine: &mut Control) -> Vec<Order> {
    let mut sent = Vec::new();
    let mut step = seal(orders, engine, 0);
    while step != OrderStep::Settled(Outcome::Reached) {
        let next = order(step);
        assert_eq!(engine.order(at(0), next.clone(), 0), OrderReply::Accepted);
        sent.push(next);
        engine.advance(at(60_000));
        step = read(orders, engine, 0);
    }
    sent
}

#[test]
fn no_fence_an_order_of_the_earlier_holder_arrives_after_the_seal() {
    let mut engine = engine(1);
    let late = order(seal(&mut holder(OLD, Role::Prefill), &mut engine, 0));
    seal(&mut holder(NEW, Role::Decode), &mut engine, 0);
    let reply = engine.order(at(1), late, 0);
    assert!(matches!(reply, OrderReply::StaleToken { .. }), "{reply:?}");
    assert!(engine.accepts_work());
}

#[test]
fn no_sequence_a_drain_that_arrives_again_after_the_resume_has_no_effect() {
    let mut engine = engine(1);
    let sent = carry_out(&mut holder(OLD, Role::Prefill), &mut engine);
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

#[test]
fn no_idempotence_a_repeated_change_is_begun_once() {
    let mut engine = engine(1);
    let mut orders = holder(OLD, Role::Prefill);
    let drain = order(seal(&mut orders, &mut engine, 0));
    engine.order(at(0), drain, 0);
    let change = order(read(&mut orders, &engine, 0));
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
fn a_lost_answer_is_answered_by_the_same_order_again() {
    let mut engine = engine(1);
    let mut orders = holder(OLD, Role::Prefill);
    let first = order(seal(&mut orders, &mut engine, 0));
    let lost = orders.step(at(0), &valid_lease(), OrderEvent::NoReply);
    assert_eq!(lost, OrderStep::ReadState);
    assert_eq!(order(read(&mut orders, &engine, 0)), first);
}

#[test]
fn no_incarnation_an_order_for_the_engine_before_its_crash_is_refused() {
    let mut before = engine(1);
    let late = order(seal(&mut holder(OLD, Role::Prefill), &mut before, 0));
    let mut after = engine(2);
    let reply = after.order(at(1), late, 0);
    assert!(
        matches!(reply, OrderReply::WrongIncarnation { .. }),
        "{reply:?}"
    );
}

#[test]
fn an_engine_that_crashed_halfway_is_sealed_again_and_changed() {
    let mut first = engine(1);
    let mut orders = holder(OLD, Role::Prefill);
    let drain = order(seal(&mut orders, &mut first, 0));
    first.order(at(0), drain, 0);
    let change = order(read(&mut orders, &first, 0));
    first.order(at(0), change, 0);
    let mut second = engine(2);
    let sent = carry_out(&mut orders, &mut second);
    assert_eq!(sent.len(), 3);
    assert_eq!(second.state(0).role, Role::Prefill);
}

#[test]
fn no_seal_a_holder_does_not_settle_on_a_state_that_an_earlier_order_may_still_change() {
    let mut engine = engine(1);
    let late = order(seal(&mut holder(OLD, Role::Prefill), &mut engine, 0));
    let mut new = EngineOrders::new(NEW, PATIENCE);
    let step = seal(&mut new, &mut engine, 0);
    assert_eq!(step, OrderStep::Settled(Outcome::Reached));
    engine.order(at(1), late, 0);
    assert!(engine.accepts_work());
}

#[test]
fn no_self_fence_a_lapsed_holder_sends_nothing_to_an_engine_that_has_restarted() {
    let mut lease = LeaseClock::new(Duration::from_secs(1));
    lease.renewed(at(0), Duration::from_secs(6));
    let mut orders = holder(OLD, Role::Prefill);
    let mut restarted = engine(2);
    let state = OrderEvent::State(restarted.state(0));
    assert_eq!(
        orders.step(at(5_000), &lease, state),
        OrderStep::LeaseInvalid
    );
    restarted.seal(OLD.token(0));
    let sealed = OrderEvent::Sealed(restarted.state(0));
    assert_eq!(
        orders.step(at(5_000), &lease, sealed),
        OrderStep::LeaseInvalid
    );
}

#[test]
fn no_one_order_a_later_holder_waits_for_the_change_in_force() {
    let mut engine = engine(1);
    let mut old = holder(OLD, Role::Prefill);
    let drain = order(seal(&mut old, &mut engine, 0));
    engine.order(at(0), drain, 0);
    let change = order(read(&mut old, &engine, 0));
    engine.order(at(0), change, 0);
    let mut new = holder(NEW, Role::Decode);
    assert_eq!(seal(&mut new, &mut engine, 0), OrderStep::ReadState);
    engine.advance(at(60_000));
    let next = order(read(&mut new, &engine, 0));
    assert_eq!(next.action, OrderAction::SetRole { role: Role::Decode });
}

#[test]
fn no_idle_check_a_change_waits_for_requests_and_is_refused_while_they_last() {
    let mut engine = engine(1);
    let mut orders = holder(OLD, Role::Prefill);
    let drain = order(seal(&mut orders, &mut engine, 1));
    engine.order(at(0), drain, 1);
    assert_eq!(read(&mut orders, &engine, 1), OrderStep::ReadState);
    let change = order(read(&mut orders, &engine, 0));
    let reply = engine.order(at(0), change, 1);
    assert_eq!(reply, OrderReply::WorkInProgress { requests: 1 });
}

#[test]
fn a_drain_that_outlasts_its_patience_is_given_up_and_cuts_nothing() {
    let mut engine = engine(1);
    let mut orders = holder(OLD, Role::Prefill);
    let drain = order(seal(&mut orders, &mut engine, 1));
    engine.order(at(0), drain, 1);
    assert_eq!(read(&mut orders, &engine, 1), OrderStep::ReadState);
    let later = Timestamp::default() + PATIENCE;
    let state = OrderEvent::State(engine.state(1));
    let resume = order(orders.step(later, &valid_lease(), state));
    assert_eq!(resume.action, OrderAction::Resume);
    engine.order(later, resume, 1);
    let settled = read(&mut orders, &engine, 1);
    assert_eq!(settled, OrderStep::Settled(Outcome::GivenUp));
    assert!(engine.accepts_work());
}

#[test]
fn a_drain_left_by_an_earlier_holder_is_undone() {
    let mut engine = engine(1);
    let drain = order(seal(&mut holder(OLD, Role::Prefill), &mut engine, 0));
    engine.order(at(0), drain, 0);
    let mut new = EngineOrders::new(NEW, PATIENCE);
    let resume = order(seal(&mut new, &mut engine, 3));
    assert_eq!(resume.action, OrderAction::Resume);
    assert_eq!(engine.order(at(0), resume, 3), OrderReply::Accepted);
    assert!(engine.accepts_work());
}

#[test]
fn a_superseded_holder_stops() {
    let mut engine = engine(1);
    let mut old = holder(OLD, Role::Prefill);
    seal(&mut old, &mut engine, 0);
    seal(&mut holder(NEW, Role::Decode), &mut engine, 0);
    assert_eq!(read(&mut old, &engine, 0), OrderStep::Superseded);
    let reply = OrderReply::StaleToken {
        highest: NEW.token(0),
    };
    let step = old.step(at(0), &valid_lease(), OrderEvent::Reply(reply));
    assert_eq!(step, OrderStep::Superseded);
}

#[test]
fn models_and_adapters_are_loaded_by_the_same_orders() {
    let mut engine = engine(1);
    let mut orders = EngineOrders::new(OLD, PATIENCE);
    orders.pursue(Goal::Model {
        model: "base".into(),
        version: "2".into(),
    });
    assert_eq!(carry_out(&mut orders, &mut engine).len(), 3);
    assert_eq!(engine.state(0).version, "2");
    orders.pursue(Goal::Adapter("slips".into()));
    let load = order(read(&mut orders, &engine, 5));
    assert_eq!(engine.order(at(0), load, 5), OrderReply::Accepted);
    engine.advance(at(60_000));
    let settled = read(&mut orders, &engine, 5);
    assert_eq!(settled, OrderStep::Settled(Outcome::Reached));
}

const TIMING: LeaseTiming = LeaseTiming {
    time_to_live: Duration::from_secs(6),
    renewal: Duration::from_secs(2),
    margin: Duration::from_secs(1),
};

fn granted(keeper: &mut LeaseKeeper, sent: Timestamp, lease: Lease) {
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
fn a_lease_counts_from_its_sending_less_the_margin() {
    let mut keeper = LeaseKeeper::new(TIMING);
    granted(&mut keeper, at(0), Lease(7));
    assert!(keeper.clock().is_valid(at(4_999)));
    assert!(!keeper.clock().is_valid(at(5_000)));
}

/// NO_LEASE_OF_CLAIM of `spec/duties.pml`: what hangs on a lapsed lease does not stand again with the next.
#[test]
fn the_next_lease_does_not_count_for_a_lapsed_one() {
    let mut keeper = LeaseKeeper::new(TIMING);
    granted(&mut keeper, at(0), Lease(7));
    assert!(keeper.is_valid(Lease(7), at(4_999)));
    assert!(!keeper.is_valid(Lease(7), at(5_000)));
    assert_eq!(
        keeper.step(at(8_000), LeaseEvent::Tick),
        LeaseAction::Renew(Lease(7))
    );
    keeper.step(at(8_010), LeaseEvent::Lapsed);
    granted(&mut keeper, at(8_200), Lease(8));
    assert!(keeper.is_valid(Lease(8), at(8_300)));
    assert!(!keeper.is_valid(Lease(7), at(8_300)));
}

#[test]
fn a_lost_grant_is_asked_for_again_and_a_lost_renewal_keeps_the_lease() {
    let mut keeper = LeaseKeeper::new(TIMING);
    assert!(matches!(
        keeper.step(at(0), LeaseEvent::Tick),
        LeaseAction::Grant(_)
    ));
    keeper.step(at(1_000), LeaseEvent::NoAnswer);
    assert_eq!(keeper.lease(), None);
    granted(&mut keeper, at(2_000), Lease(8));
    assert_eq!(
        keeper.step(at(4_000), LeaseEvent::Tick),
        LeaseAction::Renew(Lease(8))
    );
    keeper.step(at(5_000), LeaseEvent::NoAnswer);
    assert_eq!(keeper.lease(), Some(Lease(8)));
    assert!(!keeper.clock().is_valid(at(7_000)));
}

#[test]
fn a_planned_stop_stops_believing_before_it_revokes() {
    let mut keeper = LeaseKeeper::new(TIMING);
    granted(&mut keeper, at(0), Lease(9));
    assert_eq!(
        keeper.step(at(1_500), LeaseEvent::Stop),
        LeaseAction::Revoke(Lease(9))
    );
    assert!(!keeper.clock().is_valid(at(1_500)));
    assert_eq!(keeper.step(at(9_000), LeaseEvent::Tick), LeaseAction::Wait);
}

fn observed(record: Option<ClaimRecord>, lease: Lease) -> ClaimEvent {
    let lease = Some(lease);
    ClaimEvent::Observed { record, lease }
}

#[test]
fn a_claim_whose_answer_was_lost_is_read_back() {
    let mut claim = PoolClaim::new(Duration::from_secs(1));
    assert_eq!(
        claim.step(at(0), observed(None, Lease(1))),
        ClaimAction::Wait
    );
    let create = claim.step(at(1_000), observed(None, Lease(1)));
    assert_eq!(create, ClaimAction::Create(Lease(1)));
    let record = ClaimRecord {
        lease: Lease(1),
        epoch: OLD,
    };
    let step = claim.step(at(1_100), observed(Some(record), Lease(1)));
    assert_eq!(step, ClaimAction::Acquired(OLD));
}

#[test]
fn no_lease_in_value_a_restarted_node_does_not_take_its_earlier_claim_for_its_own() {
    let mut claim = PoolClaim::new(Duration::ZERO);
    let record = ClaimRecord {
        lease: Lease(1),
        epoch: OLD,
    };
    claim.step(at(0), observed(Some(record), Lease(2)));
    assert_eq!(claim.held(), None);
}

#[test]
fn a_claim_ends_with_its_key_or_its_lease() {
    let record = ClaimRecord {
        lease: Lease(1),
        epoch: OLD,
    };
    for end in [observed(None, Lease(1)), ClaimEvent::LeaseLost] {
        let mut claim = PoolClaim::new(Duration::ZERO);
        claim.step(at(0), observed(Some(record), Lease(1)));
        assert_eq!(claim.step(at(1), end), ClaimAction::Lost);
        assert_eq!(claim.held(), None);
    }
}
