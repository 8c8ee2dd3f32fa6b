//! Encoding of socket addresses.

use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;

use crate::error::DecodeError;
use crate::generated::Address;

pub(crate) fn encode(address: SocketAddr) -> Address {
    let ip = match address.ip() {
        IpAddr::V4(ip) => Bytes::copy_from_slice(&ip.octets()),
        IpAddr::V6(ip) => Bytes::copy_from_slice(&ip.octets()),
    };
    Address {
        ip,
        port: u32::from(address.port()),
    }
}

pub(crate) fn decode(
    address: Option<Address>,
    field: &'static str,
) -> Result<SocketAddr, DecodeError> {
    let address = address.ok_or(DecodeError::Missing(field))?;
    let port = u16::try_from(address.port).map_err(|_| DecodeError::Address)?;
    if let Ok(octets) = <[u8; 4]>::try_from(&address.ip[..]) {
        return Ok(SocketAddr::new(IpAddr::from(octets), port));
    }
    let octets = <[u8; 16]>::try_from(&address.ip[..]).map_err(|_| DecodeError::Address)?;
    Ok(SocketAddr::new(IpAddr::from(octets), port))
}
