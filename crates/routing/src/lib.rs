//! Routes requests to engines. Pure functions map what a node knows about the engines it follows to a
//! choice: the engine, or the pair of engines, that should run the request, or the information that none
//! can meet its deadline and when to retry.
//!
//! A prefill on an engine slows down every answer that the engine is generating. The cost of a choice is
//! therefore the predicted time of the request plus the time that it takes from requests already on the
//! engine. As a result, long prompts go to engines with few answers in progress without any role change.

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
