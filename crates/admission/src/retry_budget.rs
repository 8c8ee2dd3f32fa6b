//! A retry budget: retries are limited to a fraction of requests, plus a small reserve that refills
//! over time. It prevents retries from multiplying the load when several back ends fail at once.

use std::time::Duration;

use tansyhall_core::Timestamp;

/// Cost of a retry in the unit of the balance, a thousandth of a retry.
const RETRY_COST: u64 = 1_000;

/// Limits of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetSettings {
    /// Number of retries allowed per thousand requests.
    pub retries_per_thousand: u32,
    /// Maximum number of retries that can be saved up; also the initial balance.
    pub reserve: u32,
    /// Time in which the reserve gains one retry, even without requests.
    pub refill_interval: Duration,
}

/// An event that the budget accounts for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetEvent {
    /// A request arrived.
    Request,
    /// A request needs another attempt.
    Retry,
}

/// Decision of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetDecision {
    /// The request or retry may proceed.
    Allowed,
    /// The budget is spent; the request should be given up immediately. A retry is allowed again after
    /// `refilled_in`, even if no further request arrives.
    Spent {
        /// Time until the reserve has gained a retry.
        refilled_in: Duration,
    },
}

/// A retry budget.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: BudgetSettings,
    balance: u64,
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// Returns a full budget.
    pub fn new(settings: BudgetSettings, now: Timestamp) -> Self {
        Self {
            settings,
            balance: u64::from(settings.reserve) * RETRY_COST,
            refilled_at: now,
        }
    }

    /// Processes one event and returns whether it is allowed.
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
        let refill_time = self.settings.refill_interval.saturating_mul(missing) / RETRY_COST as u32;
        let refilled_in = refill_time.saturating_sub(now.since(self.refilled_at));
        BudgetDecision::Spent { refilled_in }
    }

    fn refill(&mut self, now: Timestamp) {
        let interval = self.settings.refill_interval.as_micros().max(1);
        let gained = now.since(self.refilled_at).as_micros() * u128::from(RETRY_COST) / interval;
        if gained == 0 {
            return;
        }
        self.refilled_at = now;
        self.deposit(u64::try_from(gained).unwrap_or(u64::MAX));
    }

    fn deposit(&mut self, amount: u64) {
        let max_balance = u64::from(self.settings.reserve) * RETRY_COST;
        self.balance = self.balance.saturating_add(amount).min(max_balance);
    }
}
