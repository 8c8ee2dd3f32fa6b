//! What the peers actor does with messages: datagrams, reads of the store, and the wish to leave.

use actix::{Handler, Message, StreamHandler};
use tansyhall_config::Configuration;
use tansyhall_proto::decode_datagram;

use super::actor::PeersActor;
use super::transport::Datagram;
use crate::configuration::{self, Refused};

/// Announces that this node is leaving.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Leave;

/// The configuration store was read.
#[derive(Message)]
#[rtype(result = "()")]
pub enum StoreRead {
    /// This is the newest configuration.
    Newest(Box<Configuration>),
    /// The newest configuration is still this revision.
    Unchanged(u64),
}

impl StreamHandler<Datagram> for PeersActor {
    fn handle(&mut self, datagram: Datagram, context: &mut Self::Context) {
        let metrics = &self.node.metrics.peers;
        let received_bytes = metrics.datagram_bytes.with_label_values(&["received"]);
        received_bytes.inc_by(datagram.bytes.len() as u64);
        let Ok(message) = decode_datagram(&datagram.bytes) else {
            metrics.malformed.inc();
            return;
        };
        let now = self.node.clock.now();
        let actions = self.membership.receive(now, datagram.from, message);
        self.carry_out_membership(now, actions, context);
    }
}

impl Handler<Leave> for PeersActor {
    type Result = ();

    fn handle(&mut self, _: Leave, context: &mut Self::Context) {
        let now = self.node.clock.now();
        let actions = self.membership.leave(now);
        self.carry_out_membership(now, actions, context);
    }
}

impl Handler<StoreRead> for PeersActor {
    type Result = ();

    fn handle(&mut self, read: StoreRead, context: &mut Self::Context) {
        let now = self.node.clock.now();
        let revision = match read {
            StoreRead::Unchanged(revision) => revision,
            StoreRead::Newest(newest) => {
                let revision = newest.revision;
                let held = configuration::hold(&self.node, *newest);
                if matches!(held, Err(Refused)) {
                    return;
                }
                revision
            }
        };
        let actions = self.spread.handle_store_revision(now, revision);
        self.carry_out_spread(now, actions, context);
    }
}
