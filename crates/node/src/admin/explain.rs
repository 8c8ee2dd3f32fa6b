//! Explains which class a request falls into, and why.

use std::collections::BTreeMap;

use actix_web::{web, HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};
use tansyhall_config::settings::OperatorRole;
use tansyhall_config::{Resource, ResourceKey, ResourceKind};
use tansyhall_policy::{Class, Explanation, Fallback, RequestFacts, Share};
use utoipa::ToSchema;

use super::access;
use super::changes::Answer;
use super::error::ApiError;
use crate::state::Node;

/// The facts of a request to explain.
#[derive(Debug, Clone, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct ExplainRequest {
    /// The service that it addresses; its policy is evaluated.
    pub service: String,
    /// The path.
    #[serde(default)]
    pub path: String,
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    #[serde(default)]
    pub output_tokens: u64,
    /// Bytes of the body.
    #[serde(default)]
    pub body_bytes: u64,
    /// The tenant.
    #[serde(default)]
    pub tenant: String,
    /// The model.
    #[serde(default)]
    pub model: String,
    /// Headers by name.
    #[serde(default)]
    pub headers: BTreeMap<String, String>,
}

/// Which class a request falls into, and why.
#[derive(Debug, Serialize, ToSchema)]
pub struct ExplainAnswer {
    /// Revision of the configuration that was evaluated.
    pub revision: u64,
    /// The service's policy; absent if it has none.
    pub policy: Option<String>,
    /// The class.
    pub class: String,
    /// Time from arrival to the whole answer, in milliseconds.
    pub deadline_millis: u64,
    /// Queue order.
    pub priority: &'static str,
    /// Whether the request may be tried again after it may have run.
    pub repeatable: bool,
    /// Zones to use before others.
    pub prefer: Vec<String>,
    /// Zones to use when no preferred one can serve: `any`, `none`, or a list.
    pub fallback: String,
    /// Shares of versions, as `name N%`.
    pub versions: Vec<String>,
    /// Shares of adapters, as `name N%`.
    pub adapters: Vec<String>,
    /// The tests made, in order.
    pub tests: Vec<TestAnswer>,
}

/// One test with its outcome.
#[derive(Debug, Serialize, ToSchema)]
pub struct TestAnswer {
    /// The class whose condition holds the test.
    pub class: String,
    /// The test as in the program.
    pub test: String,
    /// Whether it held.
    pub held: bool,
}

/// Explains which class a request falls into, by what is in force at this node.
#[utoipa::path(
    post, path = "/admin/v1/explain",
    request_body = ExplainRequest,
    responses((status = 200, body = ExplainAnswer), (status = 404, body = super::error::ErrorBody)),
    security(("bearer" = []))
)]
pub async fn explain(node: web::Data<Node>, request: HttpRequest, body: web::Bytes) -> Answer {
    let account = access::authorize(&node.settings.operators, &request, OperatorRole::Viewer)?;
    let explain_request: ExplainRequest =
        serde_json::from_slice(&body).map_err(|error| ApiError::Malformed(error.to_string()))?;
    let in_force = node.in_force.load();
    let configuration = &in_force.configuration;
    let name = explain_request.service.as_str().into();
    let service = configuration.services.get(&name).filter(|service| {
        let resource = Resource::Service((*service).clone());
        access::can_see(account, configuration, &resource)
    });
    let Some(service) = service else {
        let key = ResourceKey::new(ResourceKind::Service, &explain_request.service);
        return Err(ApiError::NotFound(key));
    };
    let headers: Vec<(String, String)> = explain_request.headers.clone().into_iter().collect();
    let facts = RequestFacts {
        output_tokens: explain_request.output_tokens,
        body_bytes: explain_request.body_bytes,
        service: &explain_request.service,
        tenant: &explain_request.tenant,
        model: &explain_request.model,
        headers: &headers,
        ..RequestFacts::new(&explain_request.path, explain_request.prompt_tokens)
    };
    let explanation = in_force.program(&name).explain(&facts);
    let policy = service.policy.as_ref().map(ToString::to_string);
    Ok(HttpResponse::Ok().json(explain_answer(configuration.revision, policy, explanation)))
}

fn explain_answer(
    revision: u64,
    policy: Option<String>,
    explanation: Explanation,
) -> ExplainAnswer {
    let Explanation { class, tests } = explanation;
    let tests = tests.into_iter().map(|test| TestAnswer {
        class: test.class.to_string(),
        test: test.test,
        held: test.held,
    });
    ExplainAnswer {
        revision,
        policy,
        class: class.name.to_string(),
        deadline_millis: u64::try_from(class.deadline.as_millis()).unwrap_or(u64::MAX),
        priority: class.priority.name(),
        repeatable: class.repeatable,
        prefer: class.route.prefer.iter().map(ToString::to_string).collect(),
        fallback: fallback_text(&class),
        versions: share_texts(&class.versions),
        adapters: share_texts(&class.adapters),
        tests: tests.collect(),
    }
}

fn fallback_text(class: &Class) -> String {
    match &class.route.fallback {
        Fallback::Any => "any".into(),
        Fallback::None => "none".into(),
        Fallback::Zones(zones) => {
            let names: Vec<&str> = zones.iter().map(|zone| zone.as_str()).collect();
            names.join(", ")
        }
    }
}

fn share_texts(shares: &[Share]) -> Vec<String> {
    let share_text = |share: &Share| format!("{} {}%", share.name, share.percent);
    shares.iter().map(share_text).collect()
}
