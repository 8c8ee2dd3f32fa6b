//! Encoding of membership datagrams.

use std::sync::Arc;

use prost::Message as _;
use tansyhall_core::id::check_name;
use tansyhall_core::{Duration, EngineName, FleetId, Incarnation, NodeId, ZoneName};
use tansyhall_membership::{
    BackendMark, Body, ConfigurationStatus, Contact, LoadSummary, MemberAddresses, MemberRecord,
    MemberState, Message, Sender, ZoneDigest,
};

use crate::address;
use crate::error::DecodeError;
use crate::generated as wire;
use crate::generated::datagram::Body as WireBody;

/// Largest datagram sent or accepted, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 16 << 10;
/// Maximum number of updates, digests, back ends or contacts accepted in one list.
const MAX_LIST_LENGTH: usize = 128;

/// Encodes a membership message.
pub fn encode_datagram(message: &Message) -> Vec<u8> {
    let sender = &message.sender;
    let datagram = wire::Datagram {
        sender: sender.name.to_string(),
        zone: sender.zone.to_string(),
        incarnation: sender.incarnation.0,
        configuration_revision: sender.configuration.revision,
        confirmation_age_millis: encode_millis(sender.configuration.confirmation_age),
        fleet: sender.fleet.0,
        body: Some(encode_body(message.body)),
        updates: message.updates.iter().map(encode_record).collect(),
        digests: message.digests.iter().map(encode_digest).collect(),
        backends: message.backends.iter().map(encode_backend).collect(),
    };
    datagram.encode_to_vec()
}

/// Decodes a membership message. Returns an error if a field is missing or not well formed, or a list is too long.
pub fn decode_datagram(bytes: &[u8]) -> Result<Message, DecodeError> {
    let datagram = wire::Datagram::decode(bytes)?;
    check_length(datagram.updates.len(), "updates")?;
    check_length(datagram.digests.len(), "digests")?;
    check_length(datagram.backends.len(), "back ends")?;
    let confirmation_age = Duration::from_millis(datagram.confirmation_age_millis);
    let sender = Sender {
        fleet: FleetId(datagram.fleet),
        name: decode_node(datagram.sender)?,
        zone: decode_zone(datagram.zone)?,
        incarnation: Incarnation(datagram.incarnation),
        configuration: ConfigurationStatus {
            revision: datagram.configuration_revision,
            confirmation_age,
        },
    };
    let updates = datagram.updates.into_iter().map(decode_record);
    let digests = datagram.digests.into_iter().map(decode_digest);
    let backends = datagram.backends.into_iter().map(decode_backend);
    Ok(Message {
        sender,
        body: decode_body(datagram.body.ok_or(DecodeError::Missing("body"))?)?,
        updates: updates.collect::<Result<_, _>>()?,
        digests: digests.collect::<Result<_, _>>()?,
        backends: backends.collect::<Result<_, _>>()?,
    })
}

pub(crate) fn encode_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn check_length(length: usize, list: &'static str) -> Result<(), DecodeError> {
    if length > MAX_LIST_LENGTH {
        return Err(DecodeError::TooMany(list));
    }
    Ok(())
}

fn decode_name(name: String) -> Result<Arc<str>, DecodeError> {
    check_name(&name)?;
    Ok(name.into())
}

pub(crate) fn decode_node(name: String) -> Result<NodeId, DecodeError> {
    Ok(NodeId::new(decode_name(name)?))
}

fn decode_zone(name: String) -> Result<ZoneName, DecodeError> {
    Ok(ZoneName::new(decode_name(name)?))
}

fn encode_body(body: Body) -> WireBody {
    match body {
        Body::Ping { sequence } => WireBody::Ping(wire::Ping { sequence }),
        Body::Ack { sequence } => WireBody::Ack(wire::Ack { sequence }),
        Body::PingRequest { sequence, target } => WireBody::PingRequest(wire::PingRequest {
            sequence,
            target: Some(address::encode(target)),
        }),
        Body::Join => WireBody::Join(wire::Join {}),
        Body::Sync { table_hash } => WireBody::Sync(wire::Sync { table_hash }),
        Body::Table => WireBody::Table(wire::Table {}),
        Body::Notice => WireBody::Notice(wire::Notice {}),
    }
}

fn decode_body(body: WireBody) -> Result<Body, DecodeError> {
    Ok(match body {
        WireBody::Ping(ping) => Body::Ping {
            sequence: ping.sequence,
        },
        WireBody::Ack(ack) => Body::Ack {
            sequence: ack.sequence,
        },
        WireBody::PingRequest(request) => Body::PingRequest {
            sequence: request.sequence,
            target: address::decode(request.target, "target")?,
        },
        WireBody::Join(_) => Body::Join,
        WireBody::Sync(sync) => Body::Sync {
            table_hash: sync.table_hash,
        },
        WireBody::Table(_) => Body::Table,
        WireBody::Notice(_) => Body::Notice,
    })
}

fn encode_state(state: MemberState) -> wire::MemberState {
    match state {
        MemberState::Alive => wire::MemberState::Alive,
        MemberState::Suspect => wire::MemberState::Suspect,
        MemberState::Leaving => wire::MemberState::Leaving,
        MemberState::Dead => wire::MemberState::Dead,
    }
}

fn decode_state(state: i32) -> Result<MemberState, DecodeError> {
    match wire::MemberState::try_from(state) {
        Ok(wire::MemberState::Alive) => Ok(MemberState::Alive),
        Ok(wire::MemberState::Suspect) => Ok(MemberState::Suspect),
        Ok(wire::MemberState::Leaving) => Ok(MemberState::Leaving),
        Ok(wire::MemberState::Dead) => Ok(MemberState::Dead),
        Err(_) => Err(DecodeError::Missing("state")),
    }
}

fn encode_record(record: &MemberRecord) -> wire::MemberRecord {
    wire::MemberRecord {
        name: record.name.to_string(),
        zone: record.zone.to_string(),
        peers: Some(address::encode(record.addresses.peers)),
        admin: Some(address::encode(record.addresses.admin)),
        callers: Some(address::encode(record.addresses.callers)),
        incarnation: record.incarnation.0,
        state: encode_state(record.state).into(),
        configuration_revision: record.configuration_revision,
    }
}

fn decode_record(record: wire::MemberRecord) -> Result<MemberRecord, DecodeError> {
    let addresses = MemberAddresses {
        peers: address::decode(record.peers, "peers")?,
        admin: address::decode(record.admin, "admin")?,
        callers: address::decode(record.callers, "callers")?,
    };
    Ok(MemberRecord {
        name: decode_node(record.name)?,
        zone: decode_zone(record.zone)?,
        addresses,
        incarnation: Incarnation(record.incarnation),
        state: decode_state(record.state)?,
        configuration_revision: record.configuration_revision,
    })
}

fn encode_backend(mark: &BackendMark) -> wire::BackendMark {
    wire::BackendMark {
        name: mark.name.to_string(),
        is_leaving: mark.is_leaving,
        version: mark.version,
    }
}

fn decode_backend(mark: wire::BackendMark) -> Result<BackendMark, DecodeError> {
    Ok(BackendMark {
        name: EngineName::new(decode_name(mark.name)?),
        is_leaving: mark.is_leaving,
        version: mark.version,
    })
}

fn encode_digest(digest: &ZoneDigest) -> wire::ZoneDigest {
    let contacts = digest.contacts.iter().map(|contact| wire::Contact {
        name: contact.name.to_string(),
        peers: Some(address::encode(contact.peers)),
        configuration_revision: contact.configuration_revision,
    });
    wire::ZoneDigest {
        zone: digest.zone.to_string(),
        version: digest.version,
        live_members: digest.live_members,
        configuration_revision: digest.configuration_revision,
        contacts: contacts.collect(),
        load: Some(wire::LoadSummary {
            backends: digest.load.backends,
            queued: digest.load.queued,
            running: digest.load.running,
        }),
    }
}

fn decode_digest(digest: wire::ZoneDigest) -> Result<ZoneDigest, DecodeError> {
    check_length(digest.contacts.len(), "contacts")?;
    let contacts = digest.contacts.into_iter().map(|contact| {
        Ok::<_, DecodeError>(Contact {
            name: decode_node(contact.name)?,
            peers: address::decode(contact.peers, "peers")?,
            configuration_revision: contact.configuration_revision,
        })
    });
    let load = digest.load.unwrap_or_default();
    Ok(ZoneDigest {
        zone: decode_zone(digest.zone)?,
        version: digest.version,
        live_members: digest.live_members,
        configuration_revision: digest.configuration_revision,
        contacts: contacts.collect::<Result<_, _>>()?,
        load: LoadSummary {
            backends: load.backends,
            queued: load.queued,
            running: load.running,
        },
    })
}
