//! A recursive-descent parser with positions and hints in its errors. Depth and size are bounded,
//! so that no text can exhaust the stack.

mod condition;
mod cursor;
mod items;
mod quantity;

use crate::ast::PolicyAst;
use crate::diagnostic::Diagnostic;
use crate::lexer::tokens;

use cursor::Cursor;

/// Most classes a program may have.
pub const MAX_CLASSES: usize = 32;
/// Most tenants, and most pools, that a program may name.
pub const MAX_BLOCKS: usize = 256;
/// Most comparisons in a program; bounds the cost of evaluation.
pub const MAX_COMPARISONS: usize = 32;
/// Most comparisons of headers among them, which cost most.
pub const MAX_HEADER_COMPARISONS: usize = 6;
/// Deepest nesting of parentheses and `not`.
pub const MAX_DEPTH: usize = 32;
/// Most bytes of a program.
pub const MAX_SOURCE_BYTES: usize = 64 << 10;
/// Most settings in one block, and most names in one list.
pub const MAX_ENTRIES: usize = 64;

/// Parses a program.
pub fn parse(source: &str) -> Result<PolicyAst, Diagnostic> {
    if source.len() > MAX_SOURCE_BYTES {
        let expected = format!("at most {MAX_SOURCE_BYTES} bytes");
        return Err(Diagnostic::new(0..0, "the program is too long", expected));
    }
    Cursor::new(tokens(source)?, source.len()).policy()
}
