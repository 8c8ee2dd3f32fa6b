//! Time windows in which usage is counted.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A wall-clock time, in milliseconds since the start of 1970 (UTC).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// Returns the time `duration` later.
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(millis(duration)))
    }
}

/// Number of a window: window k starts k window lengths after the start of 1970.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WindowNumber(pub u64);

impl WindowNumber {
    /// Returns the number of the following window.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// The length of the windows, and when their usage must be reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowTiming {
    /// Length of a window; not zero.
    pub length: Duration,
    /// Time after a window's end within which its usage must be reported.
    pub due_after: Duration,
}

impl WindowTiming {
    /// Returns the window that contains `at`.
    pub fn window_of(&self, at: UnixMillis) -> WindowNumber {
        WindowNumber(at.0 / millis(self.length).max(1))
    }

    /// Returns the end of a window.
    pub fn end_of(&self, window: WindowNumber) -> UnixMillis {
        UnixMillis(window.next().0.saturating_mul(millis(self.length).max(1)))
    }

    /// Returns the time by which the usage of a window must be reported.
    pub fn due(&self, window: WindowNumber) -> UnixMillis {
        self.end_of(window).after(self.due_after)
    }

    /// Returns the oldest window whose usage may still be reported at `now`.
    pub fn oldest_open(&self, now: UnixMillis) -> WindowNumber {
        let due_since = UnixMillis(now.0.saturating_sub(millis(self.due_after)));
        let window = self.window_of(due_since);
        match self.due(WindowNumber(window.0.saturating_sub(1))) >= now {
            true => WindowNumber(window.0.saturating_sub(1)),
            false => window,
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
