//! Strategies with fixed roles: round-robin or least-load routing among the engines that accept work.

use tansyhall_core::Role;
use tansyhall_routing::{Choice, EngineEstimate, Placement, Prediction};

use super::{split_roles, RequestInfo, Strategy};

/// How an engine is chosen among those of the required role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Balance {
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the fewest requests.
    LeastLoad,
}

/// A strategy with fixed roles.
pub struct Static {
    prefill: Option<usize>,
    balance: Balance,
    turn: usize,
}

/// Static strategies do not predict completion times.
const NO_PREDICTION: Prediction = Prediction {
    first_token: 0.0,
    last_token: 0.0,
    harm: 0.0,
};

impl Static {
    /// Creates a strategy in which all engines are mixed.
    pub fn mixed(balance: Balance) -> Self {
        Self {
            prefill: None,
            balance,
            turn: 0,
        }
    }

    /// Creates a strategy with `prefill` prefill engines and decode engines otherwise, and least-load
    /// routing.
    pub fn split(prefill: usize) -> Self {
        Self {
            prefill: Some(prefill),
            balance: Balance::LeastLoad,
            turn: 0,
        }
    }
}

impl Strategy for Static {
    fn name(&self) -> String {
        match (self.prefill, self.balance) {
            (Some(prefill), _) => format!("static-split-{prefill}"),
            (None, Balance::RoundRobin) => "round-robin".into(),
            (None, Balance::LeastLoad) => "least-load".into(),
        }
    }

    fn initial_roles(&self, engines: usize) -> Vec<Role> {
        match self.prefill {
            Some(prefill) => split_roles(engines, prefill),
            None => vec![Role::Mixed; engines],
        }
    }

    fn route(&mut self, _info: &RequestInfo, engines: &[EngineEstimate]) -> Choice {
        self.turn += 1;
        place_by_balance(self.balance, self.turn, engines)
    }
}

/// Chooses a placement by turn or load alone.
pub fn place_by_balance(balance: Balance, turn: usize, engines: &[EngineEstimate]) -> Choice {
    let choose = |role| choose_engine(balance, turn, engines, role);
    let placement = match (
        choose(Role::Prefill),
        choose(Role::Decode),
        choose(Role::Mixed),
    ) {
        (Some(prefill), Some(decode), _) => Placement::Split { prefill, decode },
        (_, _, Some(engine)) => Placement::Single(engine),
        _ => return Choice::NoEngine,
    };
    Choice::Send {
        placement,
        prediction: NO_PREDICTION,
    }
}

fn choose_engine(
    balance: Balance,
    turn: usize,
    engines: &[EngineEstimate],
    role: Role,
) -> Option<usize> {
    let available: Vec<usize> = (0..engines.len())
        .filter(|index| engines[*index].accepts_work && engines[*index].role == role)
        .collect();
    if available.is_empty() {
        return None;
    }
    let load = |index: &usize| engines[*index].decoding + engines[*index].waiting;
    match balance {
        Balance::RoundRobin => Some(available[turn % available.len()]),
        Balance::LeastLoad => available
            .into_iter()
            .min_by(|left, right| load(left).total_cmp(&load(right))),
    }
}
