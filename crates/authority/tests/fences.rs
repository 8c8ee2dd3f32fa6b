//! The lowest epoch of a new claim, given the tokens that the engines have seen.

use tansyhall_authority::Epoch;
use tansyhall_engine::protocol::FenceToken;

#[test]
fn a_new_epoch_is_above_all_tokens_seen_by_engines() {
    let seen_tokens = [Epoch(7).token(3), Epoch(9).token(0)];
    assert_eq!(Epoch::after(seen_tokens), Epoch(10));
    assert_eq!(Epoch::after([]), Epoch(0));
}

// Guards against one engine that reports an invalid token and thereby makes all engines of its pool
// refuse orders.
#[test]
fn an_implausibly_high_token_is_ignored() {
    let seen_tokens = [Epoch(7).token(3), FenceToken(u64::MAX)];
    assert_eq!(Epoch::after(seen_tokens), Epoch(8));
    let highest_plausible = Epoch(1 << 43).token(0);
    let next_epoch = Epoch::after([highest_plausible]);
    assert!(next_epoch.token(0) > highest_plausible);
}
