//! How long something usually takes: a prompt by itself, a stream in its place. The mean weighs each by
//! its time: most of an engine's time goes to the long ones, and they are what one who comes finds
//! there.

/// The part of what was recorded that one more leaves in force.
const FORGETTING: f64 = 0.99;

/// A mean of seconds, weighed by the seconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct UsualSeconds {
    sum: f64,
    sum_of_squares: f64,
}

impl UsualSeconds {
    /// One took so long.
    pub(super) fn record(&mut self, seconds: f64) {
        self.sum = self.sum * FORGETTING + seconds;
        self.sum_of_squares = self.sum_of_squares * FORGETTING + seconds * seconds;
    }

    /// The mean; nothing before anything was recorded.
    pub(super) fn seconds(&self) -> f64 {
        match self.sum > 0.0 {
            true => self.sum_of_squares / self.sum,
            false => 0.0,
        }
    }
}
