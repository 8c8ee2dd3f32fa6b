//! The headers of an HTTP request, as policies read them.

use actix_web::http::header::HeaderMap;
use tansyhall_policy::Headers;

/// The headers of an HTTP request.
#[derive(Debug, Clone, Copy)]
pub struct RequestHeaders<'a>(pub &'a HeaderMap);

impl Headers for RequestHeaders<'_> {
    /// Compares the names one by one, because a lookup in the map would allocate a name.
    fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.0.iter();
        let (_, value) = headers.find(|(key, _)| key.as_str() == name)?;
        value.to_str().ok()
    }
}
