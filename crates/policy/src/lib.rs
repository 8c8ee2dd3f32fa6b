//! The policy language: short programs that put requests into classes and give each class its
//! deadline, priority and repeatability. A program is checked and compiled when it is accepted, so
//! that evaluation can neither fail nor allocate.

#![forbid(unsafe_code)]

pub mod ast;
pub mod compile;
pub mod lexer;
pub mod parser;

pub use compile::{compile, Class, Program, RequestFacts};
pub use parser::Diagnostic;
