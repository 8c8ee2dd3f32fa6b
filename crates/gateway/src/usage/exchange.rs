//! Sends the counts of this gateway to its collector, and collects the counts that other gateways send.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tansyhall_core::Timestamp;
use tansyhall_usage::{ClockReading, UnixMillis};
use tokio::time::sleep;

use super::message::{AcknowledgementMessage, UsageMessage};
use super::state::Usage;
use crate::datagrams::Datagram;
use crate::fleet::Fleet;
use crate::state::Shared;

/// Pause between two messages to the collector. A gateway that crashes loses the counts of half a pause on average,
/// which is 1.5% of a window of five seconds.
const SEND_INTERVAL: Duration = Duration::from_millis(150);
/// Time without an acknowledgement after which another collector is chosen: four messages.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a collector that did not answer is skipped.
const SILENT_COLLECTOR_BACKOFF: Duration = Duration::from_secs(5);

/// Choice of the gateway that collects this gateway's counts.
#[derive(Debug, Default)]
pub struct CollectorChoice {
    current: Option<CurrentCollector>,
    skipped_until: HashMap<String, Timestamp>,
}

#[derive(Debug, Clone)]
struct CurrentCollector {
    name: String,
    /// When it last acknowledged a message, or was chosen.
    last_acknowledged: Timestamp,
}

impl CollectorChoice {
    /// Returns the collector to use now, and whether it differs from the previous one.
    fn choose(&mut self, now: Timestamp, shared: &Shared, fleet: &Fleet) -> Option<(String, bool)> {
        if let Some(current) = &self.current {
            if now.since(current.last_acknowledged) > ACKNOWLEDGEMENT_TIMEOUT {
                let until = now + SILENT_COLLECTOR_BACKOFF;
                self.skipped_until.insert(current.name.clone(), until);
            }
        }
        self.skipped_until.retain(|_, until| *until > now);
        let own_name = shared.settings.read().node.name.clone();
        let is_usable = |name: &str| !self.skipped_until.contains_key(name);
        let chosen = fleet.plan.collector_of(&own_name, is_usable)?;
        let name = chosen.to_owned();
        let has_changed = self.current.as_ref().map(|current| &current.name) != Some(&name);
        if has_changed {
            self.current = Some(CurrentCollector {
                name: name.clone(),
                last_acknowledged: now,
            });
        }
        Some((name, has_changed))
    }

    fn record_acknowledgement(&mut self, now: Timestamp) {
        if let Some(current) = &mut self.current {
            current.last_acknowledged = now;
        }
    }
}

/// Sends the counts to the collector; runs forever.
pub async fn send_to_collector(shared: Arc<Shared>) {
    let Some(usage) = shared.usage.as_ref() else {
        return;
    };
    loop {
        usage.read_clock(shared.now());
        send_counts(&shared, usage);
        sleep(SEND_INTERVAL).await;
    }
}

fn send_counts(shared: &Shared, usage: &Usage) {
    let now = shared.now();
    let fleet = shared.fleet.read().clone();
    let Some(own_usage) = usage.own_usage(now) else {
        return;
    };
    let mut link = usage.link.lock();
    let Some((collector, has_changed)) = link.choice.choose(now, shared, &fleet) else {
        return;
    };
    if has_changed {
        link.sender.reset_for_new_collector();
    }
    if collector == usage.source.gateway {
        link.choice.record_acknowledgement(now);
        usage.collection.lock().merge(own_usage);
        return;
    }
    let (sequence, changed) = link.sender.next_message(own_usage);
    let mut message = UsageMessage::new(&changed);
    message.sequence = sequence;
    let own_time = usage.clock.lock().local_time(now);
    message.own_time = own_time.unwrap_or_default().0;
    if let Some(address) = fleet.load_address(&collector) {
        shared.datagrams.send(address, &Datagram::usage(message));
    }
}

/// Collects the counts that another gateway sends, and acknowledges them with the fleet's wall-clock time.
pub fn receive_counts(shared: &Shared, sender: SocketAddr, message: UsageMessage) {
    let Some(usage) = shared.usage.as_ref() else {
        return;
    };
    let now = shared.now();
    let reading = ClockReading {
        monotonic: now,
        wall: UnixMillis(message.own_time),
    };
    let sequence = message.sequence;
    let counted = message.into_usage();
    let incarnation = counted.source.incarnation;
    let mut clock = usage.clock.lock();
    clock.record_gateway_reading(counted.source.clone(), reading);
    let time = clock.time(now);
    drop(clock);
    usage.collection.lock().merge(counted);
    let acknowledgement = AcknowledgementMessage {
        sequence,
        incarnation,
        time: time.unwrap_or_default().0,
        collector: usage.source.incarnation,
    };
    let datagram = Datagram::usage_acknowledged(acknowledgement);
    shared.datagrams.send(sender, &datagram);
}

/// Handles an acknowledgement. A late one from the previous collector is ignored: it must not count as one from the
/// current collector.
pub fn receive_acknowledgement(shared: &Shared, message: &AcknowledgementMessage) {
    let Some(usage) = shared.usage.as_ref() else {
        return;
    };
    if message.incarnation != usage.source.incarnation {
        return;
    }
    let now = shared.now();
    let mut link = usage.link.lock();
    let is_from_current = link.sender.acknowledge(message.sequence, message.collector);
    if !is_from_current {
        return;
    }
    link.choice.record_acknowledgement(now);
    drop(link);
    let reading = ClockReading {
        monotonic: now,
        wall: UnixMillis(message.time),
    };
    usage.clock.lock().record_collector_reading(reading);
}
