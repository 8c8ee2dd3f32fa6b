//! Epochs of claims after what engines have heard of.

use tansyhall_authority::Epoch;
use tansyhall_engine::protocol::FenceToken;

#[test]
fn a_claim_follows_all_that_engines_have_heard_of() {
    let heard = [Epoch(7).token(3), Epoch(9).token(0)];
    assert_eq!(Epoch::after(heard), Epoch(10));
    assert_eq!(Epoch::after([]), Epoch(0));
}

// Guards against one engine's nonsense that makes all engines of its pool refuse orders.
#[test]
fn a_token_that_no_claim_can_have_had_is_passed_over() {
    let heard = [Epoch(7).token(3), FenceToken(u64::MAX)];
    assert_eq!(Epoch::after(heard), Epoch(8));
    let highest = Epoch(1 << 43).token(0);
    let following = Epoch::after([highest]);
    assert!(following.token(0) > highest);
}
