//! Checks the safety rules of orders under random histories: two holders send orders to one engine
//! over a link that delays, reorders, loses and duplicates them. The oracle records only the newest
//! order that took effect at the engine and the newest epoch that has sealed it.

use std::collections::VecDeque;

use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use tansyhall_authority::{EngineOrders, Epoch, Goal, LeaseValidity, OrderEvent, OrderStep};
use tansyhall_core::{Duration, Incarnation, Role, Timestamp};
use tansyhall_engine::protocol::{EngineState, Order, OrderAction};
use tansyhall_engine_model::{Control, ControlTiming};
use tansyhall_fixed_cases::config_with_seed_and_cases;

const HOLDERS: usize = 2;
const LINK_CAPACITY: usize = 6;
const LEASE_TTL: Duration = Duration::from_secs(6);
const SEED: u64 = 0x7461_6e73_7968;

#[derive(Debug, Clone)]
enum Step {
    /// The holder claims a new epoch, after the other holder's lease has lapsed.
    Claim(usize),
    /// The holder reads the engine's state and takes its next step.
    OnNewState(usize),
    /// The holder takes its next step based on the state that it read last, which may be outdated.
    OnOldState(usize),
    /// An order on the link arrives. It stays on the link if `keep`, and may arrive again.
    Deliver { index: usize, keep: bool },
    /// An order is lost.
    Lose(usize),
    /// The change that the engine is carrying out ends.
    FinishChange,
    /// A request begins, if the engine accepts work.
    BeginRequest,
    /// A request ends.
    EndRequest,
    /// The engine restarts.
    Crash,
}

/// The reference machine without state: every history is allowed.
struct AnyHistory;

impl ReferenceStateMachine for AnyHistory {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let holder = || 0..HOLDERS;
        prop_oneof![
            1 => holder().prop_map(Step::Claim),
            8 => holder().prop_map(Step::OnNewState),
            2 => holder().prop_map(Step::OnOldState),
            8 => (0..LINK_CAPACITY, any::<bool>())
                .prop_map(|(index, keep)| Step::Deliver { index, keep }),
            1 => (0..LINK_CAPACITY).prop_map(Step::Lose),
            3 => Just(Step::FinishChange),
            2 => Just(Step::BeginRequest),
            3 => Just(Step::EndRequest),
            1 => Just(Step::Crash),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Step) {
        state
    }
}

struct Holder {
    orders: EngineOrders,
    lease: LeaseValidity,
    last_read: Option<EngineState>,
}

struct Pool {
    now: Timestamp,
    engine: Control,
    requests: u32,
    incarnation: u64,
    last_claimed_epoch: u64,
    holders: [Option<Holder>; HOLDERS],
    link: VecDeque<Order>,
    newest_epoch: u64,
    newest_effective_token: u64,
}

fn engine(incarnation: u64) -> Control {
    let timing = ControlTiming::default();
    let incarnation = Incarnation(incarnation);
    Control::new(
        "engine-0".into(),
        incarnation,
        Role::Mixed,
        "base".into(),
        timing,
    )
}

impl Pool {
    fn claim(&mut self, index: usize) {
        // The store permits a new claim only after every earlier lease has lapsed.
        self.now = self.now + LEASE_TTL;
        self.last_claimed_epoch += 1;
        let mut orders = EngineOrders::new(Epoch(self.last_claimed_epoch), Duration::from_secs(30));
        let role = [Role::Prefill, Role::Decode][index];
        orders.set_goal(Goal::Role(role));
        let mut lease = LeaseValidity::new(Duration::ZERO);
        lease.record_renewal(self.now, LEASE_TTL);
        self.holders[index] = Some(Holder {
            orders,
            lease,
            last_read: None,
        });
    }

    fn step_holder(&mut self, index: usize, reads_state: bool) {
        let state = self.engine.state(self.requests);
        let now = self.now;
        let Some(holder) = self.holders[index].as_mut() else {
            return;
        };
        if reads_state || holder.last_read.is_none() {
            holder.last_read = Some(state);
        }
        let Some(read) = holder.last_read.clone() else {
            return;
        };
        let step = holder
            .orders
            .step(now, &holder.lease, OrderEvent::State(read));
        self.perform(index, step);
    }

    fn perform(&mut self, index: usize, step: OrderStep) {
        match step {
            OrderStep::Seal(token) => {
                self.engine.seal(token);
                self.newest_epoch = self.newest_epoch.max(Epoch::of(token).0);
                let state = self.engine.state(self.requests);
                let now = self.now;
                if let Some(holder) = self.holders[index].as_mut() {
                    let sealed = OrderEvent::Sealed(state);
                    let step = holder.orders.step(now, &holder.lease, sealed);
                    self.perform(index, step);
                }
            }
            OrderStep::Send(order) if self.link.len() < LINK_CAPACITY => {
                self.link.push_back(order);
            }
            OrderStep::Settled(_) => {
                let epoch = self.holders[index].as_ref().map(|h| h.orders.epoch().0);
                self.newest_epoch = self.newest_epoch.max(epoch.unwrap_or(0));
            }
            OrderStep::Superseded => self.holders[index] = None,
            _ => {}
        }
    }

    fn deliver(&mut self, index: usize, keep: bool) {
        let Some(order) = self.link.get(index).cloned() else {
            return;
        };
        if !keep {
            self.link.remove(index);
        }
        let before = self.engine.state(0);
        self.engine.order(self.now, order.clone(), self.requests);
        let mut after = self.engine.state(0);
        after.fence_token = before.fence_token;
        if after == before {
            return;
        }
        let epoch = Epoch::of(order.fence_token).0;
        assert!(
            epoch >= self.newest_epoch,
            "an order of a superseded epoch took effect"
        );
        assert!(
            order.fence_token.0 > self.newest_effective_token,
            "an order took effect twice or after a later one"
        );
        self.newest_effective_token = order.fence_token.0;
        assert!(
            before.active_order.is_none(),
            "an order took effect while another was being carried out"
        );
        let changes_role = matches!(order.action, OrderAction::SetRole { .. });
        assert!(
            !changes_role || self.requests == 0,
            "a change was carried out while a request was in progress"
        );
    }
}

impl StateMachineTest for Pool {
    type SystemUnderTest = Self;
    type Reference = AnyHistory;

    fn init_test((): &()) -> Self {
        Self {
            now: Timestamp::default(),
            engine: engine(1),
            requests: 0,
            incarnation: 1,
            last_claimed_epoch: 0,
            holders: [None, None],
            link: VecDeque::new(),
            newest_epoch: 0,
            newest_effective_token: 0,
        }
    }

    fn apply(mut pool: Self, (): &(), step: Step) -> Self {
        match step {
            Step::Claim(index) => pool.claim(index),
            Step::OnNewState(index) => pool.step_holder(index, true),
            Step::OnOldState(index) => pool.step_holder(index, false),
            Step::Deliver { index, keep } => pool.deliver(index, keep),
            Step::Lose(index) => drop(pool.link.remove(index)),
            Step::FinishChange => {
                if let Some(ends) = pool.engine.active_order_ends() {
                    assert_eq!(
                        pool.requests, 0,
                        "a change was carried out while a request was in progress"
                    );
                    pool.engine.advance(ends);
                }
            }
            Step::BeginRequest => pool.requests += u32::from(pool.engine.accepts_work()),
            Step::EndRequest => pool.requests = pool.requests.saturating_sub(1),
            Step::Crash => {
                pool.incarnation += 1;
                pool.engine = engine(pool.incarnation);
                pool.requests = 0;
                pool.newest_effective_token = 0;
            }
        }
        pool
    }
}

prop_state_machine! {
    #![proptest_config(config_with_seed_and_cases(SEED, 2_000))]

    #[test]
    fn no_random_history_violates_a_safety_rule(sequential 1..120 => Pool);
}
