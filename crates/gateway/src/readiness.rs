//! Endpoints for load balancers and monitoring: the readiness check and the metrics.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use actix_web::{web, HttpResponse};

use tansyhall_forwarding::WorkerState;

use crate::state::Shared;

/// Answers load balancers: 200 while this gateway can serve requests and is not stopping, otherwise 503.
pub async fn check(shared: web::Data<Arc<Shared>>) -> HttpResponse {
    if shared.can_serve() && !shared.is_stopping() {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

/// Serves the metrics as text.
pub async fn metrics(shared: web::Data<Arc<Shared>>) -> HttpResponse {
    update_gauges(&shared);
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(shared.metrics.render())
}

/// Updates the gauges of values that change too often to be set at each change.
fn update_gauges(shared: &Shared) {
    let memory = &shared.memory;
    let bytes = |bytes: usize| i64::try_from(bytes).unwrap_or(i64::MAX);
    shared.metrics.memory_budget.set(bytes(memory.capacity()));
    shared.metrics.memory_held.set(bytes(memory.held()));
    let metrics = &shared.metrics;
    let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
    metrics.store_age_ms.set(gauge(shared.store_age_ms()));
    let in_flight = shared.in_flight.load(Ordering::Relaxed);
    metrics.in_flight.set(gauge(in_flight));
    let relayed = shared.worker_relays.server.relayed();
    metrics.relaying.set(gauge(relayed as u64));
    let barred = shared.quarantine.lock().barred_count();
    metrics.barred_requests.set(gauge(barred as u64));
    let barred_parts = shared.part_quarantine.lock().barred_count();
    metrics.barred_parts.set(gauge(barred_parts as u64));
    metrics.workers.reset();
    for (service, state) in shared.directory.lock().worker_states() {
        let state = match state {
            WorkerState::Ready => "ready",
            WorkerState::Draining => "draining",
        };
        let labels = [service.as_str(), state];
        metrics.workers.with_label_values(&labels).inc();
    }
    metrics.rate_limit_shares.reset();
    metrics.rate_limit_used.reset();
    let now = shared.now();
    for (service, (share, used)) in shared.directory.lock().rate_shares(now) {
        let labels = [service.as_str()];
        metrics
            .rate_limit_shares
            .with_label_values(&labels)
            .set(share);
        let fraction = if share > 0.0 { used / share } else { 0.0 };
        metrics
            .rate_limit_used
            .with_label_values(&labels)
            .set(fraction);
    }
    for (service, remaining) in shared.retries.lock().remaining_by_service(now) {
        let labels = [service.as_str()];
        metrics
            .retries_left
            .with_label_values(&labels)
            .set(remaining as i64);
    }
}
