//! A recursive-descent parser whose errors have positions and hints. Nesting depth and program size
//! are bounded, so that no input can overflow the stack.

mod condition;
mod cursor;
mod items;
mod quantity;

use crate::ast::PolicyAst;
use crate::diagnostic::Diagnostic;
use crate::lexer::tokens;

use cursor::Cursor;

/// Maximum number of classes in a program.
pub const MAX_CLASSES: usize = 32;
/// Maximum number of tenant blocks, and of pool blocks, in a program.
pub const MAX_BLOCKS: usize = 256;
/// Maximum number of comparisons in a program; bounds the cost of evaluation.
pub const MAX_COMPARISONS: usize = 32;
/// Maximum number of comparisons of headers, which are the most expensive ones. They also count
/// towards [`MAX_COMPARISONS`].
pub const MAX_HEADER_COMPARISONS: usize = 6;
/// Maximum nesting depth of parentheses and `not`.
pub const MAX_DEPTH: usize = 32;
/// Maximum size of a program's source in bytes.
pub const MAX_SOURCE_BYTES: usize = 64 << 10;
/// Maximum number of settings in one block, and of names in one list.
pub const MAX_ENTRIES: usize = 64;

/// Parses a program; returns the first error.
pub fn parse(source: &str) -> Result<PolicyAst, Diagnostic> {
    if source.len() > MAX_SOURCE_BYTES {
        let expected = format!("at most {MAX_SOURCE_BYTES} bytes");
        return Err(Diagnostic::new(0..0, "the program is too long", expected));
    }
    Cursor::new(tokens(source)?, source.len()).policy()
}
