//! A retry budget: retries are at most a fraction of requests, plus a small reserve that refills
//! with time. When back ends fail together, it keeps retries from multiplying the load.

use std::time::Duration;

use tansyhall_core::Timestamp;

/// A retry's cost in the budget's unit, a thousandth of a retry.
const RETRY_COST: u64 = 1_000;

/// Sizes of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetSettings {
    /// Retries allowed for each thousand requests.
    pub retries_per_thousand: u32,
    /// Retries that may be saved up; also the budget at the start.
    pub reserve: u32,
    /// Time in which the reserve gains one retry even without requests.
    pub refill: Duration,
}

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetEvent {
    /// A request arrived.
    Request,
    /// A request asks for one more attempt.
    Retry,
}

/// The budget's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetDecision {
    /// Go ahead.
    Allowed,
    /// The budget is spent; give up at once. A retry is allowed again after this long even if no
    /// further request arrives.
    Spent {
        /// Time until the reserve has gained a retry.
        refilled_in: Duration,
    },
}

/// The budget.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: BudgetSettings,
    balance: u64,
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(settings: BudgetSettings, now: Timestamp) -> Self {
        Self {
            settings,
            balance: u64::from(settings.reserve) * RETRY_COST,
            refilled_at: now,
        }
    }

    /// Takes one event and answers it.
    pub fn step(&mut self, now: Timestamp, event: BudgetEvent) -> BudgetDecision {
        self.refill(now);
        match event {
            BudgetEvent::Request => {
                self.deposit(u64::from(self.settings.retries_per_thousand));
                BudgetDecision::Allowed
            }
            BudgetEvent::Retry => self.withdraw(now),
        }
    }

    fn withdraw(&mut self, now: Timestamp) -> BudgetDecision {
        if self.balance >= RETRY_COST {
            self.balance -= RETRY_COST;
            return BudgetDecision::Allowed;
        }
        let missing = u32::try_from(RETRY_COST - self.balance).unwrap_or(u32::MAX);
        let full_wait = self.settings.refill.saturating_mul(missing) / RETRY_COST as u32;
        let refilled_in = full_wait.saturating_sub(now.since(self.refilled_at));
        BudgetDecision::Spent { refilled_in }
    }

    fn refill(&mut self, now: Timestamp) {
        let period = self.settings.refill.as_micros().max(1);
        let gained = now.since(self.refilled_at).as_micros() * u128::from(RETRY_COST) / period;
        if gained == 0 {
            return;
        }
        self.refilled_at = now;
        self.deposit(u64::try_from(gained).unwrap_or(u64::MAX));
    }

    fn deposit(&mut self, amount: u64) {
        let most = u64::from(self.settings.reserve) * RETRY_COST;
        self.balance = self.balance.saturating_add(amount).min(most);
    }
}
