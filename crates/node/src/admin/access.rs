//! Access control of the administration API. The settings hold only the hashes of tokens, which are
//! compared in constant time.

use actix_web::http::header;
use actix_web::HttpRequest;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use tansyhall_config::settings::{OperatorAccount, OperatorRole};
use tansyhall_config::{Configuration, Resource};

use crate::configuration::Author;

/// Why access to the administration API was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AccessError {
    /// The request has no token or an unknown one.
    #[error("a valid bearer token is needed")]
    Unauthenticated,
    /// The account's role does not allow the request.
    #[error("this account may only read")]
    Forbidden,
}

/// Returns the account of a request if it has at least the role `needed`.
pub fn authorize<'a>(
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

/// Returns whether an account may see a resource: an account without a tenant sees all of them, any
/// other one those of its tenant.
pub fn can_see(
    account: &OperatorAccount,
    configuration: &Configuration,
    resource: &Resource,
) -> bool {
    match &account.tenant {
        None => true,
        Some(tenant) => configuration.owner(resource).as_ref() == Some(tenant),
    }
}

/// Returns the account as the author of a change.
pub fn author(account: &OperatorAccount) -> Author {
    Author {
        account: account.name.clone(),
        tenant: account.tenant.clone(),
    }
}
