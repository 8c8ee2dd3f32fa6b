//! A linear cost model in seconds, learnt online.
//!
//! The cost is the weighted sum of the features. The weights are learnt by recursive least squares
//! with exponential forgetting, with these modifications:
//!
//! 1. An observation and its features are divided by the expected cost, so that errors are relative
//!    to the cost and short prompts teach the model as much as long ones.
//! 2. The relative error is bounded, so that a worker that froze or reports false times changes the
//!    weights only a little. An error beyond the bound does not reduce the uncertainty either, so
//!    that the model still adapts to engines which are much slower than assumed.
//! 3. Weights are never negative: no feature makes an answer arrive sooner.
//! 4. The variance of a weight never exceeds its initial value, so that the model stays stable if a
//!    feature is not seen for a long time.
//!
//! Until the first observation, the model uses the weights of the priors.

/// The forgetting factor: the weight that each observation leaves to the earlier ones.
const FORGETTING_FACTOR: f64 = 0.995;
/// The variance of the relative error of one observation.
const OBSERVATION_VARIANCE: f64 = 0.1;
/// The bound on the relative error of an observation, in either direction.
const MAX_RELATIVE_ERROR: f64 = 1.0;
/// The lowest expected cost in seconds that observations are divided by.
const MIN_EXPECTED_SECONDS: f64 = 1e-4;

/// The initial estimate of a weight.
#[derive(Debug, Clone, Copy)]
pub struct Prior {
    /// Seconds per unit of the feature.
    pub weight: f64,
    /// The standard deviation of the true weight from `weight`.
    pub deviation: f64,
}

/// A cost model with `N` features.
#[derive(Debug, Clone)]
pub struct CostModel<const N: usize> {
    weights: [f64; N],
    covariance: [[f64; N]; N],
    prior_variance: [f64; N],
}

impl<const N: usize> CostModel<N> {
    /// Creates a model without observations.
    pub fn new(priors: [Prior; N]) -> Self {
        let prior_variance = priors.map(|prior| prior.deviation * prior.deviation);
        let mut covariance = [[0.0; N]; N];
        for (index, variance) in prior_variance.iter().enumerate() {
            covariance[index][index] = *variance;
        }
        Self {
            weights: priors.map(|prior| prior.weight),
            covariance,
            prior_variance,
        }
    }

    /// Returns the expected cost in seconds.
    pub fn seconds(&self, features: &[f64; N]) -> f64 {
        dot(&self.weights, features)
    }

    /// Returns the seconds per unit of a feature.
    pub fn weight(&self, feature: usize) -> f64 {
        self.weights[feature]
    }

    /// Learns from an observation: work with these features took `seconds`. Values that are not finite are ignored.
    pub fn learn(&mut self, features: &[f64; N], seconds: f64) {
        if !seconds.is_finite() || features.iter().any(|feature| !feature.is_finite()) {
            return;
        }
        let expected = self.seconds(features).max(MIN_EXPECTED_SECONDS);
        let scaled = features.map(|feature| feature / expected);
        let error = seconds / expected - dot(&self.weights, &scaled);
        let bounded_error = error.clamp(-MAX_RELATIVE_ERROR, MAX_RELATIVE_ERROR);
        let projection = self.covariance.map(|row| dot(&row, &scaled));
        let scale = FORGETTING_FACTOR * OBSERVATION_VARIANCE + dot(&projection, &scaled);
        for (weight, projection) in self.weights.iter_mut().zip(&projection) {
            *weight = (*weight + projection / scale * bounded_error).max(0.0);
        }
        if error == bounded_error {
            self.update_covariance(&projection, scale);
        }
    }

    /// Updates the covariance: the observation reduces the uncertainty, forgetting increases it.
    fn update_covariance(&mut self, projection: &[f64; N], scale: f64) {
        for row in 0..N {
            for column in 0..N {
                let reduced =
                    self.covariance[row][column] - projection[row] * projection[column] / scale;
                self.covariance[row][column] = reduced / FORGETTING_FACTOR;
            }
        }
        for index in 0..N {
            self.bound_variance(index);
        }
    }

    fn bound_variance(&mut self, index: usize) {
        let variance = self.covariance[index][index];
        let max_variance = self.prior_variance[index];
        if variance <= max_variance {
            return;
        }
        let factor = (max_variance / variance).sqrt();
        for other in 0..N {
            self.covariance[index][other] *= factor;
            self.covariance[other][index] *= factor;
        }
    }
}

fn dot<const N: usize>(left: &[f64; N], right: &[f64; N]) -> f64 {
    left.iter()
        .zip(right)
        .map(|(left, right)| left * right)
        .sum()
}
