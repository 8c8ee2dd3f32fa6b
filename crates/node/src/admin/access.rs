//! Who may use the administration API. Tokens are known by their hashes only, which are compared
//! in constant time.

use actix_web::http::header;
use actix_web::HttpRequest;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use tansyhall_config::settings::{OperatorAccount, OperatorRole};
use tansyhall_config::{Configuration, Resource};

use crate::configuration::Author;

/// Why access was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AccessError {
    /// No token, or an unknown one.
    #[error("a valid bearer token is needed")]
    Unauthenticated,
    /// The account may not do this.
    #[error("this account may only read")]
    Forbidden,
}

/// Finds the account of a request and checks that it has at least the role `needed`.
pub fn check<'a>(
    accounts: &'a [OperatorAccount],
    request: &HttpRequest,
    needed: OperatorRole,
) -> Result<&'a OperatorAccount, AccessError> {
    let header = request.headers().get(header::AUTHORIZATION);
    let token = header
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or(AccessError::Unauthenticated)?;
    let digest = Sha256::digest(token.as_bytes());
    let matches = |account: &&OperatorAccount| {
        hex::decode(&account.token_sha256)
            .is_ok_and(|expected| bool::from(expected.as_slice().ct_eq(&digest)))
    };
    let account = accounts
        .iter()
        .find(matches)
        .ok_or(AccessError::Unauthenticated)?;
    if account.role < needed {
        return Err(AccessError::Forbidden);
    }
    Ok(account)
}

/// Whether an account may see a resource: all of them, or those of its tenant.
pub fn sees(account: &OperatorAccount, configuration: &Configuration, resource: &Resource) -> bool {
    match &account.tenant {
        None => true,
        Some(tenant) => configuration.owner(resource).as_ref() == Some(tenant),
    }
}

/// The account as the author of a change.
pub fn author(account: &OperatorAccount) -> Author {
    Author {
        account: account.name.clone(),
        tenant: account.tenant.clone(),
    }
}
