//! Plain HTTP to application workers. Bodies are streamed both ways.

use actix_web::http::{header, StatusCode};
use actix_web::{web, HttpRequest, HttpResponse};
use awc::error::SendRequestError;
use tansyhall_config::Backend;
use tansyhall_core::verdict::VERDICT_HEADER;
use tansyhall_core::Verdict;

use super::failure::Failure;
use crate::state::Node;

/// Headers that belong to one connection and are not forwarded.
const HOP_BY_HOP: [header::HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::HOST,
];

/// Forwards a request to a worker of the application whose prefix matches.
pub async fn forward(
    node: web::Data<Node>,
    client: web::Data<awc::Client>,
    http: HttpRequest,
    body: web::Payload,
) -> HttpResponse {
    match try_forward(&node, &client, &http, body).await {
        Ok(response) => {
            node.metrics
                .requests
                .with_label_values(&["completed"])
                .inc();
            response
        }
        Err(failure) => {
            node.metrics
                .requests
                .with_label_values(&[failure.verdict.name()])
                .inc();
            failure.response()
        }
    }
}

async fn try_forward(
    node: &Node,
    client: &awc::Client,
    http: &HttpRequest,
    body: web::Payload,
) -> Result<HttpResponse, Failure> {
    if node.is_stopping() {
        let message = "this node is stopping";
        return Err(Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, message));
    }
    let worker = pick(node, http.path())?;
    let url = format!("http://{}{}", worker.address, http.uri());
    let mut request = client.request(http.method().clone(), url).no_decompress();
    for (name, value) in http.headers() {
        if !HOP_BY_HOP.contains(name) {
            request = request.insert_header((name.clone(), value.clone()));
        }
    }
    let response = request.send_stream(body).await.map_err(send_failure)?;
    let mut answer = HttpResponse::build(response.status());
    answer.insert_header((VERDICT_HEADER, Verdict::Completed.name()));
    for (name, value) in response.headers() {
        if !HOP_BY_HOP.contains(name) {
            answer.append_header((name.clone(), value.clone()));
        }
    }
    Ok(answer.streaming(response))
}

fn pick(node: &Node, path: &str) -> Result<Backend, Failure> {
    let in_force = node.in_force.load();
    let Some(service) = in_force.application(path) else {
        return Err(Failure::not_run(
            StatusCode::NOT_FOUND,
            "no application serves this path",
        ));
    };
    let workers: Vec<&Backend> = in_force
        .pools_of_service(&service.name)
        .flat_map(|pool| &pool.backends)
        .collect();
    if workers.is_empty() {
        let message = "the application has no workers";
        return Err(Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, message));
    }
    Ok(workers[rand::random_range(0..workers.len())].clone())
}

fn send_failure(error: SendRequestError) -> Failure {
    match error {
        SendRequestError::Connect(cause) => {
            Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, cause.to_string())
        }
        other => Failure {
            status: StatusCode::BAD_GATEWAY,
            verdict: Verdict::MayHaveRun,
            message: other.to_string(),
        },
    }
}
