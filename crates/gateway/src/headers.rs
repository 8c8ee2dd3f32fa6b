//! HTTP headers as the gateway forwards them: names and values unchanged and in the original order.

/// Headers that apply to a single connection (RFC 9110, section 7.6.1), or to the framing of a body, which each connection
/// sets for itself.
const CONNECTION_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// An ordered list of headers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HeaderList(Vec<Header>);

/// A header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Its name.
    pub name: String,
    /// Its value.
    pub value: Vec<u8>,
}

impl HeaderList {
    /// Appends a header.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<Vec<u8>>) {
        self.0.push(Header {
            name: name.into(),
            value: value.into(),
        });
    }

    /// Returns the value of a header if it is text and not empty and all headers with this name have the same value.
    pub fn get_only(&self, name: &str) -> Option<&str> {
        let value = self.get(name).filter(|value| !value.is_empty())?;
        let has_other_value = |header: &Header| {
            header.name.eq_ignore_ascii_case(name) && header.value.trim_ascii() != value.as_bytes()
        };
        (!self.0.iter().any(has_other_value)).then_some(value)
    }

    /// Returns the first value with this name, if it is text.
    pub fn get(&self, name: &str) -> Option<&str> {
        let header = self.0.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&header.value).ok().map(str::trim)
    }

    /// Returns all values with this name that are text.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let named = self.0.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
        let texts = named.filter_map(|header| std::str::from_utf8(&header.value).ok());
        texts.map(str::trim)
    }

    /// Removes all headers with this name.
    pub fn remove(&mut self, name: &str) {
        self.0.retain(|h| !h.name.eq_ignore_ascii_case(name));
    }

    /// Replaces all headers with this name by a single one.
    pub fn set(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.remove(name);
        self.push(name, value);
    }

    /// Removes the headers that apply to a single connection, including those that the `Connection` header names.
    pub fn remove_connection_headers(&mut self) {
        let named = self.get("connection").unwrap_or_default().to_owned();
        for name in named.split(',').map(str::trim).filter(|n| !n.is_empty()) {
            self.remove(name);
        }
        for name in CONNECTION_HEADERS {
            self.remove(name);
        }
    }

    /// Returns all headers, in order.
    pub fn iter(&self) -> impl Iterator<Item = &Header> {
        self.0.iter()
    }
}
