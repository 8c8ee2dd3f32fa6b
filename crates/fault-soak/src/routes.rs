//! The routes of the soak's configuration.

use serde::Serialize;
use tansyhall_platform_standin::RoutePlan;

/// The latency objective of all routes, in milliseconds.
const OBJECTIVE_MS: u64 = 5_000;

/// What may be done with a request on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once.
    Once,
    /// A stream that may go on at another worker.
    ResumableStream,
    /// A stream that runs at most once.
    FinalStream,
    /// A request to engines that runs at most once.
    EngineOnce,
    /// A stream of engines that runs at most once.
    EngineStream,
    /// A stream of engines that may go on at another worker.
    EngineResumable,
}

/// The service of plain workers.
pub const APPLICATION: &str = "app";
/// The service of engines.
pub const ENGINES: &str = "llm";

impl RouteKind {
    /// All of them.
    pub const ALL: [Self; 7] = [
        Self::Repeatable,
        Self::Once,
        Self::ResumableStream,
        Self::FinalStream,
        Self::EngineOnce,
        Self::EngineStream,
        Self::EngineResumable,
    ];

    /// The prefix of its paths.
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

    /// The route of a path.
    pub fn of_target(target: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|kind| target.starts_with(kind.prefix()))
    }

    /// Whether its answers are streams of events.
    pub fn is_stream(self) -> bool {
        !matches!(self, Self::Repeatable | Self::Once | Self::EngineOnce)
    }

    /// Whether a stream may go on at another worker.
    pub fn is_resumable(self) -> bool {
        matches!(self, Self::ResumableStream | Self::EngineResumable)
    }

    /// Whether a request may run more than once.
    pub fn may_run_again(self) -> bool {
        self == Self::Repeatable || self.is_resumable()
    }

    /// Whether its workers are engines.
    pub fn is_engine(self) -> bool {
        matches!(
            self,
            Self::EngineOnce | Self::EngineStream | Self::EngineResumable
        )
    }

    /// The most workers that one try may run on.
    pub fn max_attempts(self) -> u32 {
        if self.may_run_again() {
            3
        } else {
            1
        }
    }

    fn plan(self) -> RoutePlan {
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
            objective_ms: OBJECTIVE_MS,
            service: if self.is_engine() {
                ENGINES
            } else {
                APPLICATION
            },
        }
    }
}

/// The routes of a configuration; an odd one has a route more, which no caller uses.
pub fn routes(number: u64) -> Vec<RoutePlan> {
    let mut routes: Vec<RoutePlan> = RouteKind::ALL.into_iter().map(RouteKind::plan).collect();
    if number % 2 == 1 {
        routes.push(RoutePlan {
            name: "spare",
            prefix: "/spare/",
            kind: "idempotent",
            resumable: false,
            max_attempts: 2,
            objective_ms: OBJECTIVE_MS,
            service: APPLICATION,
        });
    }
    routes
}
