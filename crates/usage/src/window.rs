//! Windows of time.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A moment of true time, in milliseconds since the start of 1970.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// So much later.
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(millis(duration)))
    }
}

/// A window's number: window k begins k lengths after the start of 1970.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WindowNumber(pub u64);

impl WindowNumber {
    /// The window after this one.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// How long windows are, and when their usage is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowTiming {
    /// A window's length; not 0.
    pub length: Duration,
    /// Time after a window's end at which its usage must have been reported.
    pub due_after: Duration,
}

impl WindowTiming {
    /// The window that a moment lies in.
    pub fn window_of(&self, at: UnixMillis) -> WindowNumber {
        WindowNumber(at.0 / millis(self.length).max(1))
    }

    /// When a window ends.
    pub fn end_of(&self, window: WindowNumber) -> UnixMillis {
        UnixMillis(window.next().0.saturating_mul(millis(self.length).max(1)))
    }

    /// When a window's usage must have been reported.
    pub fn due(&self, window: WindowNumber) -> UnixMillis {
        self.end_of(window).after(self.due_after)
    }

    /// The oldest window whose usage may still be reported at a moment.
    pub fn oldest_open(&self, now: UnixMillis) -> WindowNumber {
        let late = UnixMillis(now.0.saturating_sub(millis(self.due_after)));
        let ended = self.window_of(late);
        match self.due(WindowNumber(ended.0.saturating_sub(1))) >= now {
            true => WindowNumber(ended.0.saturating_sub(1)),
            false => ended,
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
