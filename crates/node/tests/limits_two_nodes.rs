//! Limiters of two nodes, connected by a transport of this test, in virtual time.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tansyhall_config::file::ResourceFile;
use tansyhall_config::settings::Limits;
use tansyhall_config::Configuration;
use tansyhall_core::{NodeId, Timestamp};
use tansyhall_node::configuration::ConfigurationInForce;
use tansyhall_node::limits::keys::limits_in_force;
use tansyhall_node::limits::{ShareTransport, TenantLimiter};
use tansyhall_shares::{Amount, FleetView, LimitKey, Message};

const RESOURCES: &str = "[[tenant]]\nname = 'cooperative'\nowner = 'depot'\n\
                         limits = { requests_per_second = 100 }\n";
/// The limit, in thousandths.
const LIMIT: Amount = 100_000;
/// Longer than a loan, a grant and a renewal together.
const SETTLED_SECONDS: usize = 60;

/// Holds sent messages until the test delivers them.
#[derive(Default)]
struct Outbox(Mutex<Vec<(NodeId, Message)>>);

impl ShareTransport for Outbox {
    fn send(&self, to: &NodeId, message: &Message) {
        self.0.lock().push((to.clone(), message.clone()));
    }
}

struct TwoNodes {
    names: [NodeId; 2],
    limiters: [TenantLimiter; 2],
    outboxes: [Outbox; 2],
    now: Timestamp,
}

impl TwoNodes {
    fn new(in_force: &Arc<ConfigurationInForce>) -> Self {
        let names = ["node-0", "node-1"].map(NodeId::from);
        let now = Timestamp::from_millis(1);
        let limits = Limits::default();
        let limiters = names
            .clone()
            .map(|name| TenantLimiter::new(name, 1, &limits, now));
        for limiter in &limiters {
            limiter.apply_limits(now, in_force);
        }
        let outboxes = Default::default();
        Self {
            names,
            limiters,
            outboxes,
            now,
        }
    }

    fn run_one_second(&mut self, alive: &[usize]) {
        self.now = self.now + Duration::from_secs(1);
        for index in alive.iter().copied() {
            let live = alive
                .iter()
                .map(|index| self.names[*index].clone())
                .collect();
            let fleet_size = alive.len() as u64;
            self.limiters[index].set_view(self.now, FleetView { live, fleet_size });
            self.limiters[index].tick(self.now, &self.outboxes[index]);
        }
        while alive.iter().any(|index| self.deliver_from(*index)) {}
    }

    /// Delivers the messages that a node has sent; returns false if there are none.
    fn deliver_from(&self, index: usize) -> bool {
        let sent = std::mem::take(&mut *self.outboxes[index].0.lock());
        let delivered = !sent.is_empty();
        for (to, message) in sent {
            let receiver = usize::from(to == self.names[1]);
            let from = self.names[index].clone();
            let outbox = &self.outboxes[receiver];
            self.limiters[receiver].receive(self.now, from, message, outbox);
        }
        delivered
    }

    fn usable(&self, key: LimitKey) -> [Amount; 2] {
        [0, 1].map(|index: usize| self.limiters[index].usable(self.now, key))
    }
}

#[test]
fn two_nodes_share_a_limit_and_the_remaining_one_gets_all_of_it() {
    let resources = ResourceFile::parse(RESOURCES).expect("resources");
    let mut configuration = Configuration::default();
    for resource in resources.into_resources() {
        configuration.put(resource);
    }
    let in_force = Arc::new(ConfigurationInForce::new(configuration).expect("a configuration"));
    let limits = limits_in_force(&in_force);
    let (key, limit) = limits.first_key_value().expect("a limit");
    assert_eq!(*limit, LIMIT);
    let mut nodes = TwoNodes::new(&in_force);
    assert_eq!(
        nodes.usable(*key)[0],
        LIMIT,
        "a node that assumes to be alone has the whole limit"
    );
    for _ in 0..SETTLED_SECONDS {
        nodes.run_one_second(&[0, 1]);
        assert!(nodes.usable(*key).iter().sum::<Amount>() <= LIMIT);
    }
    for _ in 0..SETTLED_SECONDS {
        nodes.run_one_second(&[1]);
    }
    assert_eq!(nodes.usable(*key)[1], LIMIT);
}
