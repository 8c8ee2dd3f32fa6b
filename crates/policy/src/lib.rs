//! The policy language: short programs that assign requests to classes, set the deadline, priority,
//! route and versions of each class, and set limits for tenants and bounds for pools. A program is
//! checked and compiled when it is accepted, so that evaluation can neither fail nor allocate. The
//! reference is docs/policy-language.md.

#![forbid(unsafe_code)]

pub mod ast;
mod branch;
pub mod check;
pub mod class;
pub mod compile;
pub mod diagnostic;
pub mod facts;
pub mod format;
pub mod lexer;
pub mod parser;
pub mod program;
pub mod reference;
pub mod suggest;

pub use class::{
    ChangeBudget, Class, EngineBound, EngineSelector, Fallback, PoolBounds, Route, Share,
    TenantLimits,
};
pub use compile::{compile, compile_all};
pub use diagnostic::Diagnostic;
pub use facts::{Headers, RequestFacts};
pub use program::{Cost, EvaluatedTest, Explanation, Program};
pub use reference::{Reference, ReferenceKind};
