//! Messages that the peers actor handles: datagrams, reads of the configuration store, and the order
//! to announce that this node is leaving.

use actix::{Handler, Message, StreamHandler};
use tansyhall_config::Configuration;
use tansyhall_proto::decode_datagram;

use super::actor::PeersActor;
use super::transport::Datagram;
use crate::configuration::{self, ConfigurationRefused};

/// Orders the actor to announce that this node is leaving.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Leave;

/// The result of reading the configuration store.
#[derive(Message)]
#[rtype(result = "()")]
pub enum StoreRead {
    /// The newest configuration.
    Newest(Box<Configuration>),
    /// The newest configuration still has this revision.
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
                let held = configuration::hold_if_newer(&self.node, *newest);
                if matches!(held, Err(ConfigurationRefused)) {
                    return;
                }
                revision
            }
        };
        let actions = self.dissemination.handle_store_revision(now, revision);
        self.carry_out_dissemination(now, actions, context);
    }
}
