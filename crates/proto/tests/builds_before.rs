//! Compatibility with a build whose messages contain neither the fleet of the sender nor the addressee of a request.

use tansyhall_core::{Duration, FleetId, Incarnation, RequestId};
use tansyhall_journal::{AttemptId, RecordKey, ViewNumber};
use tansyhall_membership::{Body, ConfigurationStatus, Message, Sender};
use tansyhall_proto::{
    decode_datagram, decode_request, encode_datagram, encode_request, JournalCall, JournalRequest,
    PeerCall, PeerRequest,
};

/// Messages encoded by build e4dc558, in hexadecimal.
const VOTE: &str = "121a12180803120261621a1000000000000000000000000000000102";
const PULL: &str = "0a020807";
const PING: &str = "0a066e6f64652d3112086b616c696d61746918e807200728ac0252020805";

fn vote() -> PeerCall {
    let request = JournalRequest::Vote {
        view: ViewNumber(3),
        digest: None,
        key: RecordKey("ab".into()),
        attempt: AttemptId(RequestId(258)),
    };
    PeerCall {
        fleet: FleetId::UNNAMED,
        request: PeerRequest::Journal(JournalCall {
            addressee: None,
            request,
        }),
    }
}

fn pull() -> PeerCall {
    PeerCall {
        fleet: FleetId::UNNAMED,
        request: PeerRequest::Pull { held_revision: 7 },
    }
}

fn ping() -> Message {
    Message {
        sender: Sender {
            fleet: FleetId::UNNAMED,
            name: "node-1".into(),
            zone: "kalimati".into(),
            incarnation: Incarnation(1_000),
            configuration: ConfigurationStatus {
                revision: 7,
                confirmation_age: Duration::from_millis(300),
            },
        },
        body: Body::Ping { sequence: 5 },
        updates: Vec::new(),
        digests: Vec::new(),
        backends: Vec::new(),
    }
}

// Guards against a change of the encoding due to which nodes of both builds cannot decode each other's messages during
// an upgrade.
#[test]
fn messages_of_the_previous_build_are_decoded_and_encoded_byte_for_byte() {
    for (bytes, call) in [(VOTE, vote()), (PULL, pull())] {
        let bytes = hex::decode(bytes).expect("hexadecimal digits");
        assert_eq!(encode_request(&call), bytes);
        assert_eq!(decode_request(&bytes), Ok(call));
    }
    let bytes = hex::decode(PING).expect("hexadecimal digits");
    assert_eq!(encode_datagram(&ping()), bytes);
    assert_eq!(decode_datagram(&bytes), Ok(ping()));
}
