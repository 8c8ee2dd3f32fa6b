//! Fixed roles, with round robin or least load among the engines that accept the work.

use tansyhall_core::Role;
use tansyhall_routing::{Choice, EngineEstimate, Placement, Prediction};

use super::{split_roles, RequestFacts, Strategy};

/// How an engine is picked among those of the right role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Balance {
    /// In turn.
    RoundRobin,
    /// The one with the fewest requests.
    LeastLoad,
}

/// Fixed roles.
pub struct Static {
    prefill: Option<usize>,
    balance: Balance,
    turn: usize,
}

/// Static strategies predict nothing.
const NO_PREDICTION: Prediction = Prediction {
    first_token: 0.0,
    last_token: 0.0,
    harm: 0.0,
};

impl Static {
    /// All engines mixed.
    pub fn mixed(balance: Balance) -> Self {
        Self {
            prefill: None,
            balance,
            turn: 0,
        }
    }

    /// `prefill` engines that prefill and the rest that decode, by least load.
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

    fn route(&mut self, _facts: &RequestFacts, engines: &[EngineEstimate]) -> Choice {
        self.turn += 1;
        pick_by_balance(self.balance, self.turn, engines)
    }
}

/// A placement by turn or load alone.
pub fn pick_by_balance(balance: Balance, turn: usize, engines: &[EngineEstimate]) -> Choice {
    let pick = |role| pick_one(balance, turn, engines, role);
    let placement = match (pick(Role::Prefill), pick(Role::Decode), pick(Role::Mixed)) {
        (Some(prefill), Some(decode), _) => Placement::Split { prefill, decode },
        (_, _, Some(engine)) => Placement::Single(engine),
        _ => return Choice::NoEngine,
    };
    Choice::Send {
        placement,
        prediction: NO_PREDICTION,
    }
}

fn pick_one(
    balance: Balance,
    turn: usize,
    engines: &[EngineEstimate],
    role: Role,
) -> Option<usize> {
    let usable: Vec<usize> = (0..engines.len())
        .filter(|index| engines[*index].accepts_work && engines[*index].role == role)
        .collect();
    if usable.is_empty() {
        return None;
    }
    let load = |index: &usize| engines[*index].decoding + engines[*index].waiting;
    match balance {
        Balance::RoundRobin => Some(usable[turn % usable.len()]),
        Balance::LeastLoad => usable
            .into_iter()
            .min_by(|left, right| load(left).total_cmp(&load(right))),
    }
}
