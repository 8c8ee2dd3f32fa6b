//! One request carried through as many attempts as it takes and its verdict allows. A stream that
//! breaks is resumed at another engine from the tokens already delivered.

use std::net::SocketAddr;
use std::sync::Arc;

use actix_web::http::StatusCode;
use tansyhall_core::{EngineName, Verdict};
use tansyhall_engine::protocol::{EngineChunk, EngineRequest};
use tansyhall_engine::{EngineClient, EngineError, EngineStream};

use super::failure::{Failure, DEFAULT_RETRY_AFTER};
use crate::state::{InFlight, Node};

struct Attempt {
    stream: EngineStream,
    engine: EngineName,
    _in_flight: InFlight,
}

/// A completion under way.
pub struct Execution {
    node: Arc<Node>,
    client: EngineClient,
    request: EngineRequest,
    repeatable: bool,
    verdict: Verdict,
    attempts: u32,
    excluded: Vec<EngineName>,
    current: Option<Attempt>,
}

impl Execution {
    /// Begins a completion; returns once an engine has accepted it.
    pub async fn begin(
        node: Arc<Node>,
        client: EngineClient,
        request: EngineRequest,
        repeatable: bool,
    ) -> Result<Self, Failure> {
        let mut execution = Self {
            node,
            client,
            request,
            repeatable,
            verdict: Verdict::NotRun {
                retry_after: DEFAULT_RETRY_AFTER,
            },
            attempts: 0,
            excluded: Vec::new(),
            current: None,
        };
        execution.connect().await?;
        Ok(execution)
    }

    /// The next chunk of the answer, or `None` after the last one.
    pub async fn next(&mut self) -> Result<Option<EngineChunk>, Failure> {
        loop {
            let Some(attempt) = &mut self.current else {
                self.connect().await?;
                continue;
            };
            match attempt.stream.next().await {
                Ok(chunk) => return Ok(chunk),
                Err(error) => {
                    self.request.resume_after = attempt.stream.next_token();
                    let engine = attempt.engine.clone();
                    self.current = None;
                    self.attempt_failed(engine, &error)?;
                    self.node.metrics.resumed.inc();
                }
            }
        }
    }

    async fn connect(&mut self) -> Result<(), Failure> {
        loop {
            let (engine, address) = self.pick()?;
            self.attempts += 1;
            let in_flight = self.node.track_in_flight(&engine);
            match self.client.complete(address, &self.request).await {
                Ok(stream) => {
                    self.verdict = self.verdict.after_attempt(Verdict::MayHaveRun);
                    self.current = Some(Attempt {
                        stream,
                        engine,
                        _in_flight: in_flight,
                    });
                    return Ok(());
                }
                Err(error) => self.attempt_failed(engine, &error)?,
            }
        }
    }

    /// Records a failed attempt; an error ends the request.
    fn attempt_failed(&mut self, engine: EngineName, error: &EngineError) -> Result<(), Failure> {
        let outcome = match error {
            EngineError::Unreachable(_) => "unreachable",
            EngineError::Refused(_) => "refused",
            EngineError::Rejected { .. } => "rejected",
            EngineError::Broken(_) => "broken",
            EngineError::Mismatch(_) => "mismatch",
        };
        self.node
            .metrics
            .attempts
            .with_label_values(&[outcome])
            .inc();
        if matches!(error, EngineError::Mismatch(_)) {
            self.node.metrics.mismatches.inc();
        }
        self.verdict = self.verdict.after_attempt(error.verdict());
        if let EngineError::Rejected { status, message } = error {
            let status = StatusCode::from_u16(*status).unwrap_or(StatusCode::BAD_REQUEST);
            return Err(self.failure(status, message.clone()));
        }
        self.excluded.push(engine);
        let allowed = self.verdict.allows_retry(self.repeatable)
            && self.attempts < self.node.settings.limits.max_attempts;
        if allowed {
            return Ok(());
        }
        Err(self.failure(StatusCode::BAD_GATEWAY, error.to_string()))
    }

    fn pick(&self) -> Result<(EngineName, SocketAddr), Failure> {
        let in_force = self.node.in_force.load();
        let mut candidates = Vec::new();
        let mut known_model = false;
        for pool in in_force.pools_of_model(&self.request.model) {
            known_model = true;
            candidates.extend(pool.backends.iter());
        }
        if !known_model {
            let message = format!("no pool loads the model {}", self.request.model);
            return Err(self.failure(StatusCode::NOT_FOUND, message));
        }
        candidates.retain(|backend| !self.excluded.contains(&backend.name));
        let chosen = self.node.with_engines(|engines| {
            let status = |name: &EngineName| engines.get(name).cloned().unwrap_or_default();
            let usable = candidates.iter().filter(|backend| {
                let state = status(&backend.name).state;
                state.is_none_or(|state| !state.draining && state.role.serves_whole_requests())
            });
            usable
                .min_by_key(|backend| status(&backend.name).in_flight)
                .copied()
        });
        match chosen {
            Some(backend) => Ok((backend.name.clone(), backend.address)),
            None => {
                let message = "no engine accepts work now".to_owned();
                Err(self.failure(StatusCode::SERVICE_UNAVAILABLE, message))
            }
        }
    }

    fn failure(&self, status: StatusCode, message: String) -> Failure {
        Failure {
            status,
            verdict: self.verdict,
            message,
        }
    }
}
