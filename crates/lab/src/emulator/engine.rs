//! One emulated engine.

use tansyhall_core::{Role, Timestamp};
use tansyhall_engine_model::{Batch, CostModel};
use tansyhall_routing::LoadSnapshot;

/// Availability of an engine for work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineMode {
    /// Accepts work.
    Serving,
    /// Accepts no new work; changes to the given role once idle.
    Draining(Role),
    /// Unavailable while it changes to the given role.
    Changing(Role),
    /// Crashed.
    Down,
}

/// An emulated engine and its batch.
pub struct EmulatedEngine {
    /// Batch of running and waiting work.
    pub batch: Batch,
    /// Current role.
    pub role: Role,
    /// Availability for work.
    pub mode: EngineMode,
    /// Number of crashes so far; events of an earlier incarnation are ignored.
    pub incarnation: u32,
    /// Whether an iteration is in progress.
    pub iterating: bool,
    /// Prompt tokens accepted since the last crash, or since the start of the run.
    pub accepted_prompt_tokens: f64,
    costs: CostModel,
}

impl EmulatedEngine {
    /// Creates an idle engine.
    pub fn new(costs: CostModel, role: Role) -> Self {
        let mut batch = Batch::new(costs);
        batch.set_role(role);
        Self {
            batch,
            role,
            mode: EngineMode::Serving,
            incarnation: 0,
            iterating: false,
            accepted_prompt_tokens: 0.0,
            costs,
        }
    }

    /// Returns whether the engine accepts new work.
    pub fn accepts_work(&self) -> bool {
        self.mode == EngineMode::Serving
    }

    /// Returns the current load.
    pub fn snapshot(&self, now: Timestamp) -> LoadSnapshot {
        let decoding = self.batch.decoding();
        LoadSnapshot {
            taken_at: now,
            decoding: decoding as f64,
            waiting: (self.batch.len() - decoding) as f64,
            pending_prefill_tokens: self.batch.pending_prefill_tokens() as f64,
            free_sequences: self.batch.free_sequences() as f64,
            accepted_prompt_tokens: self.accepted_prompt_tokens,
        }
    }

    /// Crashes the engine, which loses all its work.
    pub fn crash(&mut self) {
        self.batch = Batch::new(self.costs);
        self.batch.set_role(self.role);
        self.mode = EngineMode::Down;
        self.incarnation += 1;
        self.iterating = false;
        self.accepted_prompt_tokens = 0.0;
    }

    /// Sets a new role and accepts work again.
    pub fn set_role(&mut self, role: Role) {
        self.role = role;
        self.batch.set_role(role);
        self.mode = EngineMode::Serving;
    }
}
