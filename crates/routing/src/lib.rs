//! Where a request goes. Pure functions from what a node knows about the engines it follows to a
//! choice: which engine, or pair of engines, should run the request, or that none can make its
//! deadline and when to come back.
//!
//! An engine that prefills slows every answer it is generating. The score of a choice is therefore
//! the request's own predicted time plus the time it takes from requests already there, so long
//! prompts gather on engines with few answers in progress without any change of role.

#![forbid(unsafe_code)]

pub mod choice;
pub mod estimate;
pub mod prediction;
pub mod prefix;
pub mod subset;
pub mod tracker;

pub use choice::{choose, Choice, ChoiceSettings, Placement};
pub use estimate::{EngineEstimate, OutputEstimator, PrefillRate};
pub use prediction::{
    predict_decode, predict_mixed, predict_prefill, Prediction, RequestEstimate, ServiceRates,
};
pub use prefix::{BlockChange, BlockEvent, PrefixIndex};
pub use subset::followed_engines;
pub use tracker::{EngineTracker, LoadSnapshot};
