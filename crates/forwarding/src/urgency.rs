//! The two groups into which urgency divides the requests of a service, and the part of a load that a request of each
//! group waits for.
//!
//! The urgent group consists of the requests whose service has no more urgent routes. Engines admit requests by rank and
//! preempt less urgent ones, so a request of the urgent group waits for its own group only, and any other request waits
//! for all. Loads are counted for both groups. A load of which only the totals are known counts as urgent, which is
//! what gateways without this distinction assume.

use crate::load_exchange::Load;

/// A group of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UrgencyGroup {
    /// Requests whose service has no more urgent routes.
    Urgent,
    /// All other requests.
    LessUrgent,
}

impl UrgencyGroup {
    /// Returns the group of a request; `yields` states whether its service has more urgent routes.
    pub const fn of(yields: bool) -> Self {
        match yields {
            true => UrgencyGroup::LessUrgent,
            false => UrgencyGroup::Urgent,
        }
    }

    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            UrgencyGroup::Urgent => "urgent",
            UrgencyGroup::LessUrgent => "less_urgent",
        }
    }
}

impl Load {
    /// Returns a load that consists of requests of the urgent group only.
    pub const fn all_urgent(sends: u32, reading_tokens: u64) -> Self {
        Self {
            sends,
            reading_tokens,
            urgent_sends: sends,
            urgent_reading_tokens: reading_tokens,
        }
    }

    /// Returns the load of one request of a group that has this many prompt tokens to be read.
    pub const fn of_request(group: UrgencyGroup, reading_tokens: u64) -> Self {
        match group {
            UrgencyGroup::Urgent => Self::all_urgent(1, reading_tokens),
            UrgencyGroup::LessUrgent => Self {
                sends: 1,
                reading_tokens,
                urgent_sends: 0,
                urgent_reading_tokens: 0,
            },
        }
    }

    /// Returns the part of this load that a new request of a group waits for.
    pub const fn ahead_of(self, group: UrgencyGroup) -> Self {
        match group {
            UrgencyGroup::Urgent => Self::all_urgent(self.urgent_sends, self.urgent_reading_tokens),
            UrgencyGroup::LessUrgent => self,
        }
    }

    /// Returns the prompt tokens of this load alone, without the requests that they belong to.
    pub const fn tokens_only(self) -> Self {
        Self {
            sends: 0,
            urgent_sends: 0,
            ..self
        }
    }

    /// Returns the saturating sum of both loads.
    pub fn plus(self, other: Self) -> Self {
        Self {
            sends: self.sends.saturating_add(other.sends),
            reading_tokens: self.reading_tokens.saturating_add(other.reading_tokens),
            urgent_sends: self.urgent_sends.saturating_add(other.urgent_sends),
            urgent_reading_tokens: self
                .urgent_reading_tokens
                .saturating_add(other.urgent_reading_tokens),
        }
    }

    /// Returns the saturating difference of both loads.
    pub fn minus(self, other: Self) -> Self {
        Self {
            sends: self.sends.saturating_sub(other.sends),
            reading_tokens: self.reading_tokens.saturating_sub(other.reading_tokens),
            urgent_sends: self.urgent_sends.saturating_sub(other.urgent_sends),
            urgent_reading_tokens: self
                .urgent_reading_tokens
                .saturating_sub(other.urgent_reading_tokens),
        }
    }
}
