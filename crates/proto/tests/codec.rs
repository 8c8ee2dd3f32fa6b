//! Every encoded message decodes to itself, and no bytes cause a decoder to panic.

use std::net::{Ipv6Addr, SocketAddr};

use bytes::Bytes;
use proptest::collection::{btree_map, vec};
use proptest::option;
use proptest::prelude::*;
use tansyhall_core::{Duration, FleetId, Incarnation};
use tansyhall_dissemination::{Delta, Document, PullBody, ResourceChange};
use tansyhall_fixed_cases::config_with_seed;
use tansyhall_membership::{
    BackendMark, Body, ConfigurationStatus, Contact, LoadSummary, MemberAddresses, MemberRecord,
    MemberState, Message, Sender, ZoneDigest,
};
use tansyhall_proto::{
    decode_datagram, decode_pull_answer, decode_request, encode_datagram, encode_pull_answer,
    encode_request, DecodeError, PeerCall, PeerRequest, PullAnswer,
};

const NAME: &str = "[a-z][a-z0-9-]{0,20}";

fn address() -> impl Strategy<Value = SocketAddr> {
    prop_oneof![
        any::<([u8; 4], u16)>().prop_map(SocketAddr::from),
        any::<(u128, u16)>().prop_map(|(ip, port)| (Ipv6Addr::from(ip), port).into()),
    ]
}

fn state() -> impl Strategy<Value = MemberState> {
    prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Leaving),
        Just(MemberState::Dead),
    ]
}

prop_compose! {
    fn record()(
        name in NAME, zone in NAME, peers in address(), admin in address(), callers in address(),
        incarnation in any::<u64>(), state in state(), configuration_revision in any::<u64>(),
    ) -> MemberRecord {
        MemberRecord {
            name: name.as_str().into(),
            zone: zone.as_str().into(),
            addresses: MemberAddresses { peers, admin, callers },
            incarnation: Incarnation(incarnation),
            state,
            configuration_revision,
        }
    }
}

prop_compose! {
    fn digest()(
        zone in NAME, version in any::<u64>(), live_members in any::<u32>(),
        configuration_revision in any::<u64>(), load in any::<(u32, u32, u32)>(),
        contacts in vec((NAME, address(), any::<u64>()), 0..4),
    ) -> ZoneDigest {
        let contacts = contacts.into_iter().map(|(name, peers, configuration_revision)| Contact {
            name: name.as_str().into(),
            peers,
            configuration_revision,
        });
        ZoneDigest {
            zone: zone.as_str().into(),
            version,
            live_members,
            configuration_revision,
            contacts: contacts.collect(),
            load: LoadSummary { backends: load.0, queued: load.1, running: load.2 },
        }
    }
}

fn body() -> impl Strategy<Value = Body> {
    prop_oneof![
        any::<u32>().prop_map(|sequence| Body::Ping { sequence }),
        any::<u32>().prop_map(|sequence| Body::Ack { sequence }),
        (any::<u32>(), address())
            .prop_map(|(sequence, target)| Body::PingRequest { sequence, target }),
        Just(Body::Join),
        any::<u64>().prop_map(|table_hash| Body::Sync { table_hash }),
        Just(Body::Table),
        Just(Body::Notice),
    ]
}

prop_compose! {
    fn message()(
        fleet in any::<u64>(), name in NAME, zone in NAME, incarnation in any::<u64>(),
        revision in any::<u64>(), age in any::<u32>(), body in body(),
        updates in vec(record(), 0..8), digests in vec(digest(), 0..3),
        backends in vec((NAME, any::<bool>(), any::<u64>()), 0..4),
    ) -> Message {
        let backends = backends.into_iter().map(|(name, is_leaving, version)| BackendMark {
            name: name.as_str().into(),
            is_leaving,
            version,
        });
        Message {
            sender: Sender {
                fleet: FleetId(fleet),
                name: name.as_str().into(),
                zone: zone.as_str().into(),
                incarnation: Incarnation(incarnation),
                configuration: ConfigurationStatus {
                    revision,
                    confirmation_age: Duration::from_millis(age.into()),
                },
            },
            body,
            updates,
            digests,
            backends: backends.collect(),
        }
    }
}

fn content() -> impl Strategy<Value = Bytes> {
    vec(any::<u8>(), 0..40).prop_map(Bytes::from)
}

fn change() -> impl Strategy<Value = ResourceChange> {
    (NAME, option::of(content())).prop_map(|(key, content)| ResourceChange { key, content })
}

fn pull_body() -> impl Strategy<Value = PullBody> {
    let delta = (any::<(u64, u64, u64)>(), vec(change(), 0..6));
    let delta = delta.prop_map(|((base, revision, checksum), changes)| {
        PullBody::Delta(Delta {
            base,
            revision,
            checksum,
            changes,
        })
    });
    let snapshot = (any::<u64>(), btree_map(NAME, content(), 0..6));
    let snapshot = snapshot.prop_map(|(revision, resources)| {
        PullBody::Snapshot(Document {
            revision,
            resources,
        })
    });
    let current = any::<u64>().prop_map(|revision| PullBody::Current { revision });
    prop_oneof![current, delta, snapshot]
}

proptest! {
    #![proptest_config(config_with_seed(1))]

    #[test]
    fn an_encoded_datagram_decodes_to_itself(message in message()) {
        prop_assert_eq!(decode_datagram(&encode_datagram(&message)), Ok(message));
    }

    #[test]
    fn an_encoded_pull_decodes_to_itself(held in any::<u64>(), age in any::<u32>(), body in pull_body()) {
        let request = PeerRequest::Pull { held_revision: held };
        let call = PeerCall { fleet: FleetId::UNNAMED, request };
        prop_assert_eq!(decode_request(&encode_request(&call)), Ok(call));
        let confirmation_age = Duration::from_millis(age.into());
        let answer = PullAnswer { confirmation_age, body };
        prop_assert_eq!(decode_pull_answer(&encode_pull_answer(&answer)), Ok(answer));
    }

    #[test]
    fn arbitrary_bytes_do_not_cause_a_panic(bytes in vec(any::<u8>(), 0..600)) {
        let _ = decode_datagram(&bytes);
        let _ = decode_request(&bytes);
        let _ = decode_pull_answer(&bytes);
    }

    #[test]
    fn a_corrupted_datagram_does_not_cause_a_panic(
        message in message(), position in any::<prop::sample::Index>(), byte in any::<u8>(),
    ) {
        let mut bytes = encode_datagram(&message);
        let position = position.index(bytes.len());
        bytes[position] = byte;
        let _ = decode_datagram(&bytes);
        let _ = decode_datagram(&bytes[..position]);
    }
}

#[test]
fn an_empty_datagram_is_rejected_as_incomplete() {
    assert!(matches!(
        decode_datagram(&[]),
        Err(DecodeError::Name(_) | DecodeError::Missing(_))
    ));
}
