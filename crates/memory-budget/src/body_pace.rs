//! Which bodies may be read on when the budget runs short.

/// Bytes that a body must gain between two checks to be read on in a shortage.
const MIN_GAIN_BYTES: usize = 16 << 10;

/// The progress of a body between checks at equal intervals. In a shortage, a body that makes hardly any progress must
/// release its memory: its caller may never send the rest.
#[derive(Debug, Default)]
pub struct BodyPace {
    received_at_check: usize,
}

impl BodyPace {
    /// Returns whether a body of which `received` bytes have arrived may be read on until the next check.
    pub fn may_continue(&mut self, received: usize, is_short: bool) -> bool {
        let gained = received - self.received_at_check;
        self.received_at_check = received;
        !is_short || gained >= MIN_GAIN_BYTES
    }
}
