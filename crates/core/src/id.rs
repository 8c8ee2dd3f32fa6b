//! Typed identifiers. Each kind of name that operators choose has its own string type, so that the name of a pool
//! cannot be passed as the name of an engine.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Maximum length of a name that an operator chooses, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// The reason why a name is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The name is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The name is longer than [`MAX_NAME_BYTES`].
    #[error("a name has at most {MAX_NAME_BYTES} bytes, this one has {0}")]
    TooLong(usize),
    /// The name contains a character other than `a-z A-Z 0-9 . _ -`.
    #[error("a name holds only letters, digits, '.', '_' and '-', not {0:?}")]
    Character(char),
}

/// Checks a name that an operator has chosen.
///
/// # Errors
///
/// Returns the first reason why the name is invalid.
pub fn check_name(name: &str) -> Result<(), NameError> {
    if name.is_empty() {
        return Err(NameError::Empty);
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(name.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    match name.chars().find(|c| !allowed(*c)) {
        Some(character) => Err(NameError::Character(character)),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a string without checking it. Names from users must be checked with [`check_name`].
            pub fn new(name: impl Into<Arc<str>>) -> Self {
                Self(name.into())
            }

            /// Returns the name as a string.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({})", stringify!($name), self.0)
            }
        }

        impl AsRef<[u8]> for $name {
            fn as_ref(&self) -> &[u8] {
                self.0.as_bytes()
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }
    };
}

name_type!(
    /// A fleet: nodes that share one platform and one configuration.
    FleetName
);
name_type!(
    /// A site: a place with one or more zones.
    SiteName
);
name_type!(
    /// A zone: machines that may fail together and reach each other at low cost.
    ZoneName
);
name_type!(
    /// A service that callers address.
    ServiceName
);
name_type!(
    /// A pool of engines or application workers of one service in one zone.
    PoolName
);
name_type!(
    /// One back end: an engine or an application worker.
    EngineName
);
name_type!(
    /// A model, with its version and adapter named separately.
    ModelName
);
name_type!(
    /// A version of a model's weights.
    VersionName
);
name_type!(
    /// An adapter that an engine loads beside a model.
    AdapterName
);
name_type!(
    /// A policy program.
    PolicyName
);
name_type!(
    /// A tenant: a team that shares the platform with others.
    TenantName
);
name_type!(
    /// An operator account of the administration API.
    OperatorName
);
name_type!(
    /// A node process's configured name; a restart keeps the name and changes the incarnation.
    NodeId
);

/// Distinguishes the runs of one process. Later runs have larger numbers.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Identifies one caller's request across nodes and back ends.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u128);

impl RequestId {
    /// Parses the 32 hexadecimal digits that the [`fmt::Display`] implementation writes.
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != 32 {
            return None;
        }
        u128::from_str_radix(text, 16).ok().map(Self)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RequestId({self})")
    }
}
