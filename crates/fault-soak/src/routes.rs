//! The routes in the gateways' configuration.

use serde::Serialize;
use tansyhall_platform_standin::RoutePlan;

/// The latency objective of all routes, in milliseconds.
const LATENCY_OBJECTIVE_MS: u64 = 5_000;

/// A route, by how its requests may be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub enum RouteKind {
    /// A request that may run more than once.
    Repeatable,
    /// A request that runs at most once.
    Once,
    /// A stream that may be resumed at another worker.
    ResumableStream,
    /// A stream that runs at most once.
    FinalStream,
    /// A request to engines that runs at most once.
    EngineOnce,
    /// A stream of engines that runs at most once.
    EngineStream,
    /// A stream of engines that may be resumed at another worker.
    EngineResumable,
}

/// Name of the service of workers that are not engines.
pub const APPLICATION_SERVICE: &str = "app";
/// Name of the service of engines.
pub const ENGINE_SERVICE: &str = "llm";

impl RouteKind {
    /// All routes.
    pub const ALL: [Self; 7] = [
        Self::Repeatable,
        Self::Once,
        Self::ResumableStream,
        Self::FinalStream,
        Self::EngineOnce,
        Self::EngineStream,
        Self::EngineResumable,
    ];

    /// Returns the path prefix of the route.
    pub fn prefix(self) -> &'static str {
        match self {
            Self::Repeatable => "/repeat/",
            Self::Once => "/once/",
            Self::ResumableStream => "/resume/",
            Self::FinalStream => "/stream/",
            Self::EngineOnce => "/model/",
            Self::EngineStream => "/chat/",
            Self::EngineResumable => "/talk/",
        }
    }

    /// Returns the route of a path, if any.
    pub fn of_target(target: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|kind| target.starts_with(kind.prefix()))
    }

    /// Returns whether its answers are event streams.
    pub fn is_stream(self) -> bool {
        !matches!(self, Self::Repeatable | Self::Once | Self::EngineOnce)
    }

    /// Returns whether its streams may be resumed at another worker.
    pub fn is_resumable(self) -> bool {
        matches!(self, Self::ResumableStream | Self::EngineResumable)
    }

    /// Returns whether its requests may run more than once.
    pub fn may_run_again(self) -> bool {
        self == Self::Repeatable || self.is_resumable()
    }

    /// Returns whether its workers are engines.
    pub fn is_engine(self) -> bool {
        matches!(
            self,
            Self::EngineOnce | Self::EngineStream | Self::EngineResumable
        )
    }

    /// Returns the maximum number of workers that one attempt of a caller may run on.
    pub fn max_attempts(self) -> u32 {
        if self.may_run_again() {
            3
        } else {
            1
        }
    }

    fn to_plan(self) -> RoutePlan {
        let kind = match self {
            Self::Repeatable => "idempotent",
            Self::Once | Self::EngineOnce => "non_idempotent",
            _ => "streaming",
        };
        let prefix = self.prefix();
        RoutePlan {
            name: prefix.trim_matches('/'),
            prefix,
            kind,
            resumable: self.is_resumable(),
            max_attempts: self.max_attempts(),
            objective_ms: LATENCY_OBJECTIVE_MS,
            service: if self.is_engine() {
                ENGINE_SERVICE
            } else {
                APPLICATION_SERVICE
            },
        }
    }
}

/// Returns the routes of the configuration with this version. Odd versions have an additional route that no caller
/// uses.
pub fn routes(version: u64) -> Vec<RoutePlan> {
    let mut routes: Vec<RoutePlan> = RouteKind::ALL.into_iter().map(RouteKind::to_plan).collect();
    if version % 2 == 1 {
        routes.push(RoutePlan {
            name: "spare",
            prefix: "/spare/",
            kind: "idempotent",
            resumable: false,
            max_attempts: 2,
            objective_ms: LATENCY_OBJECTIVE_MS,
            service: APPLICATION_SERVICE,
        });
    }
    routes
}
