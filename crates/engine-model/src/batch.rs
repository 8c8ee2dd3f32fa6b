//! Continuous batching. Work advances in iterations. In each iteration every decoding sequence gains
//! one token, and a budget of tokens is prefilled in chunks. The duration of an iteration grows with
//! both, which is how prefill and decode slow each other down.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tansyhall_core::{RequestId, Role, Timestamp};

/// Costs and capacities of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CostModel {
    /// Fixed cost of an iteration, in microseconds.
    pub iteration_micros: u64,
    /// Cost of prefilling one token, in nanoseconds.
    pub prefill_token_nanos: u64,
    /// Cost of one decoding sequence in an iteration, in nanoseconds.
    pub decode_sequence_nanos: u64,
    /// Maximum number of sequences in a batch.
    pub max_sequences: usize,
    /// Maximum number of prompt tokens prefilled in one iteration of a mixed or decode engine. It is small
    /// so that answers in progress are not delayed for long.
    pub prefill_chunk_tokens: u32,
    /// Maximum number of prompt tokens prefilled in one iteration of a prefill engine, which has no answers
    /// in progress to delay.
    pub prefill_role_chunk_tokens: u32,
    /// KV cache size, in tokens.
    pub kv_capacity_tokens: u64,
    /// Maximum number of requests waiting outside the batch.
    pub max_queue: usize,
}

impl Default for CostModel {
    fn default() -> Self {
        Self {
            iteration_micros: 4_000,
            prefill_token_nanos: 40_000,
            decode_sequence_nanos: 200_000,
            max_sequences: 64,
            prefill_chunk_tokens: 512,
            prefill_role_chunk_tokens: 4_096,
            kv_capacity_tokens: 200_000,
            max_queue: 512,
        }
    }
}

/// The work of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// The request.
    pub id: RequestId,
    /// Tokens to prefill: those of the prompt that are not in the prefix cache.
    pub prefill_tokens: u32,
    /// Tokens the sequence holds in the KV cache once prefilled.
    pub context_tokens: u32,
    /// Tokens to generate.
    pub output_tokens: u32,
    /// Priority in the queue; lower values run first.
    pub priority: u8,
}

/// Why work was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitError {
    /// The queue is full.
    QueueFull,
    /// The request is larger than the KV cache.
    TooLarge,
    /// A request with this id is already in progress.
    Duplicate,
}

/// The progress of one request after an iteration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// The request.
    pub id: RequestId,
    /// Number of tokens generated so far.
    pub generated: u32,
    /// Whether the last token has been generated.
    pub finished: bool,
}

#[derive(Debug, Clone, Copy)]
struct Sequence {
    work: Work,
    prefilled: u32,
    generated: u32,
    prefill_in_iteration: u32,
}

impl Sequence {
    fn is_prefilled(&self) -> bool {
        self.prefilled >= self.work.prefill_tokens
    }

    fn kv_reserved(&self) -> u64 {
        kv_tokens_needed(&self.work)
    }
}

fn kv_tokens_needed(work: &Work) -> u64 {
    u64::from(work.context_tokens) + u64::from(work.output_tokens)
}

/// The queue and the batch of an engine.
#[derive(Debug)]
pub struct Batch {
    costs: CostModel,
    queue: VecDeque<Work>,
    running: Vec<Sequence>,
    request_ids: HashMap<RequestId, ()>,
    kv_reserved: u64,
    iteration_in_progress: bool,
    role: Role,
}

impl Batch {
    /// Creates the empty batch of a mixed engine.
    pub fn new(costs: CostModel) -> Self {
        Self {
            costs,
            queue: VecDeque::new(),
            running: Vec::new(),
            request_ids: HashMap::new(),
            kv_reserved: 0,
            iteration_in_progress: false,
            role: Role::Mixed,
        }
    }

    /// Sets the role, which determines how many tokens are prefilled in one iteration.
    pub fn set_role(&mut self, role: Role) {
        self.role = role;
    }

    /// Queues work behind all work of the same or a more urgent priority.
    pub fn submit(&mut self, work: Work) -> Result<(), SubmitError> {
        if kv_tokens_needed(&work) > self.costs.kv_capacity_tokens {
            return Err(SubmitError::TooLarge);
        }
        if self.queue.len() >= self.costs.max_queue {
            return Err(SubmitError::QueueFull);
        }
        if self.request_ids.insert(work.id, ()).is_some() {
            return Err(SubmitError::Duplicate);
        }
        let position = self
            .queue
            .iter()
            .position(|queued| queued.priority > work.priority);
        self.queue
            .insert(position.unwrap_or(self.queue.len()), work);
        Ok(())
    }

    /// Removes a request from the queue or the batch. Unknown requests are ignored.
    pub fn cancel(&mut self, id: RequestId) {
        if self.request_ids.remove(&id).is_none() {
            return;
        }
        self.queue.retain(|work| work.id != id);
        let Some(position) = self
            .running
            .iter()
            .position(|sequence| sequence.work.id == id)
        else {
            return;
        };
        let sequence = self.running.remove(position);
        self.kv_reserved -= sequence.kv_reserved();
    }

    /// Begins an iteration and returns when it ends, or `None` if there is no work.
    pub fn begin_iteration(&mut self, now: Timestamp) -> Option<Timestamp> {
        self.admit_queued();
        if self.running.is_empty() {
            return None;
        }
        let mut budget = match self.role {
            Role::Prefill => self.costs.prefill_role_chunk_tokens,
            Role::Mixed | Role::Decode => self.costs.prefill_chunk_tokens,
        };
        let mut nanos = self.costs.iteration_micros * 1_000;
        for sequence in &mut self.running {
            if sequence.is_prefilled() {
                sequence.prefill_in_iteration = 0;
                nanos += self.costs.decode_sequence_nanos;
                continue;
            }
            let chunk = budget.min(sequence.work.prefill_tokens - sequence.prefilled);
            sequence.prefill_in_iteration = chunk;
            budget -= chunk;
            nanos += u64::from(chunk) * self.costs.prefill_token_nanos;
        }
        self.iteration_in_progress = true;
        Some(now + Duration::from_nanos(nanos))
    }

    /// Finishes the iteration and returns the progress of the requests that gained a token.
    pub fn finish_iteration(&mut self) -> Vec<Progress> {
        let mut progress = Vec::new();
        if !std::mem::take(&mut self.iteration_in_progress) {
            return progress;
        }
        for sequence in &mut self.running {
            sequence.prefilled += std::mem::take(&mut sequence.prefill_in_iteration);
            if !sequence.is_prefilled() {
                continue;
            }
            sequence.generated += 1;
            progress.push(Progress {
                id: sequence.work.id,
                generated: sequence.generated,
                finished: sequence.generated >= sequence.work.output_tokens,
            });
        }
        for done in progress.iter().filter(|progress| progress.finished) {
            self.cancel(done.id);
        }
        progress
    }

    /// Returns the number of requests in progress, including queued ones.
    pub fn len(&self) -> usize {
        self.request_ids.len()
    }

    /// Returns whether no request is in progress.
    pub fn is_empty(&self) -> bool {
        self.request_ids.is_empty()
    }

    /// Returns the number of requests waiting outside the batch.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of sequences being decoded.
    pub fn decoding(&self) -> usize {
        self.running
            .iter()
            .filter(|sequence| sequence.is_prefilled())
            .count()
    }

    /// Returns the free capacity of the batch in sequences. It is negative when more requests are queued
    /// than fit.
    pub fn free_sequences(&self) -> i64 {
        let occupied = self.running.len() + self.queue.len();
        self.costs.max_sequences as i64 - occupied as i64
    }

    /// Returns the number of prompt tokens still to prefill over all requests.
    pub fn pending_prefill_tokens(&self) -> u64 {
        let queued: u64 = self
            .queue
            .iter()
            .map(|work| u64::from(work.prefill_tokens))
            .sum();
        let running: u64 = self
            .running
            .iter()
            .map(|sequence| u64::from(sequence.work.prefill_tokens - sequence.prefilled))
            .sum();
        queued + running
    }

    /// Returns the number of KV cache tokens reserved by the batch.
    pub fn kv_reserved(&self) -> u64 {
        self.kv_reserved
    }

    /// Returns the KV cache size in tokens.
    pub fn kv_capacity(&self) -> u64 {
        self.costs.kv_capacity_tokens
    }

    fn admit_queued(&mut self) {
        while self.running.len() < self.costs.max_sequences {
            let Some(next) = self.queue.front() else {
                return;
            };
            if self.kv_reserved + kv_tokens_needed(next) > self.costs.kv_capacity_tokens {
                return;
            }
            let Some(work) = self.queue.pop_front() else {
                return;
            };
            self.kv_reserved += kv_tokens_needed(&work);
            self.running.push(Sequence {
                work,
                prefilled: 0,
                generated: 0,
                prefill_in_iteration: 0,
            });
        }
    }
}
