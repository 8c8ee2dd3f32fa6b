//! Expected lengths of answers, learned for each class from answers that ended.

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
    /// Name of the class in the service's policy.
    pub class: Arc<str>,
}

/// The learned lengths, shared by all threads.
pub struct OutputLengths {
    estimator: Mutex<OutputEstimator<RequestClass>>,
}

impl OutputLengths {
    /// Returns a state in which nothing is learned yet.
    pub fn new(settings: &RoutingSettings) -> Self {
        let unlearned = f64::from(settings.unlearned_output_tokens);
        let estimator = OutputEstimator::with_limits(settings.max_learned_classes, unlearned);
        Self {
            estimator: Mutex::new(estimator),
        }
    }

    /// Returns the expected number of tokens of an answer that may have up to `max_tokens`.
    pub fn expected_tokens(&self, class: &RequestClass, max_tokens: u32) -> f64 {
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
