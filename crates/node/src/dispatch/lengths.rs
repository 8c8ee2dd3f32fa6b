//! Expected lengths of answers, learned by class from answers that ended.

use std::sync::Arc;

use parking_lot::Mutex;
use tansyhall_config::RoutingSettings;
use tansyhall_core::ServiceName;
use tansyhall_routing::OutputEstimator;

/// A class of a service's policy.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestClass {
    /// The service.
    pub service: ServiceName,
    /// The class's name in the service's policy.
    pub class: Arc<str>,
}

/// The lengths learned so far, shared by every thread.
pub struct OutputLengths {
    estimator: Mutex<OutputEstimator<RequestClass>>,
}

impl OutputLengths {
    /// Nothing learned yet.
    pub fn new(settings: &RoutingSettings) -> Self {
        let unlearned = f64::from(settings.unlearned_output_tokens);
        let estimator = OutputEstimator::with_limits(settings.max_learned_classes, unlearned);
        Self {
            estimator: Mutex::new(estimator),
        }
    }

    /// Expected tokens of an answer that may have `max_tokens`.
    pub fn expect(&self, class: &RequestClass, max_tokens: u32) -> f64 {
        self.estimator
            .lock()
            .expected_tokens(class, f64::from(max_tokens))
    }

    /// Learns from an answer that ended with `tokens` tokens.
    pub fn learn(&self, class: &RequestClass, tokens: u32) {
        self.estimator
            .lock()
            .learn(class.clone(), f64::from(tokens));
    }
}
