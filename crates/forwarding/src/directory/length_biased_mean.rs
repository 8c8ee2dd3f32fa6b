//! A mean of durations, such as of prompts on idle engines or of streams in their slots. Each
//! duration is weighted by itself (length-biased mean): engines spend most of their time on the
//! long ones, so these are what a new request finds in progress.

/// Factor by which each new duration reduces the weight of the earlier ones.
const FORGETTING: f64 = 0.99;

/// A mean of seconds, weighted by the seconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LengthBiasedMean {
    sum: f64,
    sum_of_squares: f64,
}

impl LengthBiasedMean {
    /// Adds a duration.
    pub(super) fn record(&mut self, seconds: f64) {
        self.sum = self.sum * FORGETTING + seconds;
        self.sum_of_squares = self.sum_of_squares * FORGETTING + seconds * seconds;
    }

    /// Returns the mean; zero before the first duration.
    pub(super) fn seconds(&self) -> f64 {
        match self.sum > 0.0 {
            true => self.sum_of_squares / self.sum,
            false => 0.0,
        }
    }
}
