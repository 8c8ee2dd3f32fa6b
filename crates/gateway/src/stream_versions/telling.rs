//! Tells other gateways at which versions streams began, and keeps track of what this gateway has to record.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tansyhall_core::hash::rendezvous_rank;
use tansyhall_forwarding::{AttemptKey, StreamRecord};

use super::message::{RecordedStreamsMessage, StreamMessage, StreamsMessage};
use super::own_name;
use crate::datagrams::Datagram;
use crate::fleet::Fleet;
use crate::state::Shared;

/// Number of other gateways that are told of a stream in a large fleet.
const TOLD_GATEWAYS: usize = 2;
/// Maximum number of streams in a datagram.
const MAX_STREAMS_PER_DATAGRAM: usize = 200;
/// Maximum number of written streams in a datagram, 8 bytes each.
const MAX_RECORDED_PER_DATAGRAM: usize = 1_000;

/// Tells other gateways of streams that began here.
pub(super) fn tell(shared: &Shared, records: &[StreamRecord]) {
    if records.is_empty() {
        return;
    }
    let now = shared.now();
    let own = own_name(shared);
    let fleet = shared.fleet.read().clone();
    let mut told = ToldStreams::default();
    for record in records {
        for name in told_gateways(&fleet, &own, record.attempt) {
            told.add(&fleet, name, record);
        }
    }
    told.send(shared);
    add_pending(shared, &fleet, records, None);
    if fleet.recorders.tells_all() {
        return;
    }
    let mut handover = shared.stream_versions.handover.lock();
    for record in records {
        handover.record_handed(now, record);
    }
}

/// Hands streams to the next recorder that the previous one has not confirmed in time.
pub(super) fn hand_over_overdue(shared: &Shared, retention: Duration) {
    let now = shared.now();
    let mut handover = shared.stream_versions.handover.lock();
    let overdue = handover.take_overdue(now, retention);
    drop(handover);
    if overdue.is_empty() {
        return;
    }
    let own = own_name(shared);
    let fleet = shared.fleet.read().clone();
    let mut told = ToldStreams::default();
    let mut own_streams = Vec::new();
    for overdue in overdue {
        let recorder = fleet
            .recorders
            .recorder(overdue.record.attempt, overdue.skipped);
        match recorder {
            Some(name) if name == own => own_streams.push(overdue.record),
            Some(name) => told.add(&fleet, name, &overdue.record),
            None => {}
        }
    }
    told.send(shared);
    add_pending(shared, &fleet, &own_streams, None);
}

/// Streams to tell, by the address of the gateway that is told.
#[derive(Default)]
struct ToldStreams(BTreeMap<SocketAddr, Vec<StreamMessage>>);

impl ToldStreams {
    fn add(&mut self, fleet: &Fleet, gateway: &str, record: &StreamRecord) {
        if let Some(address) = fleet.load_address(gateway) {
            let streams = self.0.entry(address).or_default();
            streams.push(StreamMessage::new(record));
        }
    }

    fn send(self, shared: &Shared) {
        for (address, streams) in self.0 {
            for part in streams.chunks(MAX_STREAMS_PER_DATAGRAM) {
                let streams = part.to_vec();
                let datagram = Datagram::streams(StreamsMessage { streams });
                shared.datagrams.send(address, &datagram);
            }
        }
    }
}

/// Returns the names of the other gateways that are told of a stream: all of a small fleet; of a larger one, the first
/// recorder and the first in the ranking of the attempt that is no recorder.
fn told_gateways<'a>(fleet: &'a Fleet, own: &str, attempt: AttemptKey) -> Vec<&'a str> {
    let others = fleet.names().filter(|name| *name != own);
    if fleet.recorders.tells_all() {
        return others.collect();
    }
    let recorder = fleet.recorders.recorder(attempt, 0);
    let recorder = recorder.filter(|name| *name != own);
    let ranked = ranked_without_recorders(fleet, own, attempt);
    let told = recorder.into_iter().chain(ranked);
    told.take(TOLD_GATEWAYS).collect()
}

/// Returns the other gateways that are no recorders of a stream, in the ranking of its attempt.
pub(super) fn ranked_without_recorders<'a>(
    fleet: &'a Fleet,
    own: &str,
    attempt: AttemptKey,
) -> Vec<&'a str> {
    let recorders = fleet.recorders.recorders(fleet.recorders.shard(attempt));
    let is_recorder = |name: &str| recorders.iter().any(|recorder| recorder == name);
    let others = fleet.names().filter(|name| *name != own);
    let others = others.filter(|name| !is_recorder(name));
    rendezvous_rank(&attempt.0.to_le_bytes(), others)
}

/// Adds the streams for which this gateway is a recorder to those that it has to write. Returns those that are written
/// already.
fn add_pending(
    shared: &Shared,
    fleet: &Fleet,
    streams: &[StreamRecord],
    origin: Option<SocketAddr>,
) -> Vec<AttemptKey> {
    let now = shared.now();
    let own = own_name(shared);
    let mut records = shared.stream_versions.records.lock();
    let mut written = Vec::new();
    for stream in streams {
        let delay = fleet.recorders.write_delay(stream.attempt, &own);
        if delay.is_some_and(|delay| records.add(now, stream, delay, origin)) {
            written.push(stream.attempt);
        }
    }
    written
}

/// Records what another gateway tells of its streams.
pub fn receive_streams(shared: &Shared, sender: SocketAddr, message: &StreamsMessage) {
    let now = shared.now();
    let streams: Vec<StreamRecord> = message.streams.iter().map(StreamMessage::record).collect();
    let mut versions = shared.stream_versions.versions.lock();
    for stream in &streams {
        versions.record(now, stream.clone());
    }
    drop(versions);
    let fleet = shared.fleet.read().clone();
    let written = add_pending(shared, &fleet, &streams, Some(sender));
    confirm(shared, sender, &written);
}

/// Informs a gateway that these streams are in the store.
fn confirm(shared: &Shared, gateway: SocketAddr, attempts: &[AttemptKey]) {
    for part in attempts.chunks(MAX_RECORDED_PER_DATAGRAM) {
        let datagram = Datagram::recorded_streams(RecordedStreamsMessage::new(part));
        shared.datagrams.send(gateway, &datagram);
    }
}

/// Records that this gateway has written streams, and informs those who wait for it: all gateways of a small fleet, and
/// of a larger one those that have told of the streams.
pub(super) fn confirm_written(shared: &Shared, written: &[AttemptKey]) {
    let by_origin = record_written(shared, written);
    let fleet = shared.fleet.read().clone();
    if !fleet.recorders.tells_all() {
        for (origin, attempts) in by_origin {
            confirm(shared, origin, &attempts);
        }
        return;
    }
    let own = own_name(shared);
    let others = fleet.names().filter(|name| *name != own);
    for address in others.filter_map(|name| fleet.load_address(name)) {
        confirm(shared, address, written);
    }
}

/// Records that streams are in the store. Returns them by the gateway that has told of them.
fn record_written(
    shared: &Shared,
    written: &[AttemptKey],
) -> BTreeMap<SocketAddr, Vec<AttemptKey>> {
    let now = shared.now();
    let mut records = shared.stream_versions.records.lock();
    let mut handover = shared.stream_versions.handover.lock();
    let mut by_origin: BTreeMap<SocketAddr, Vec<AttemptKey>> = BTreeMap::new();
    for attempt in written {
        handover.record_confirmed(*attempt);
        for origin in records.record_written(now, *attempt) {
            by_origin.entry(origin).or_default().push(*attempt);
        }
    }
    by_origin
}

/// Records that another gateway has written streams.
pub fn receive_recorded_streams(shared: &Shared, message: &RecordedStreamsMessage) {
    let written: Vec<AttemptKey> = message.attempts().collect();
    record_written(shared, &written);
}
