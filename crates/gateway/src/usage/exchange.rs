//! Tells this gateway's collector what was counted, and collects what others tell.

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

/// Pause between two messages to the collector: what a gateway that dies has counted and not told is
/// half of it on the mean, 1.5% of a window of five seconds.
const PACE: Duration = Duration::from_millis(150);
/// Time without an acknowledgement after which another gateway collects: four messages.
const SILENCE: Duration = Duration::from_millis(600);
/// Time for which a silent collector is passed over.
const AVOIDANCE: Duration = Duration::from_secs(5);

/// Which gateway collects.
#[derive(Debug, Default)]
pub struct CollectorChoice {
    present: Option<Present>,
    silent_until: HashMap<String, Timestamp>,
}

#[derive(Debug, Clone)]
struct Present {
    name: String,
    /// When it last acknowledged anything, or was chosen.
    heard: Timestamp,
}

impl CollectorChoice {
    /// The collector now, and whether it is another than before.
    fn choose(&mut self, now: Timestamp, shared: &Shared, fleet: &Fleet) -> Option<(String, bool)> {
        if let Some(present) = &self.present {
            if now.since(present.heard) > SILENCE {
                let until = now + AVOIDANCE;
                self.silent_until.insert(present.name.clone(), until);
            }
        }
        self.silent_until.retain(|_, until| *until > now);
        let own = shared.settings.read().node.name.clone();
        let usable = |name: &str| !self.silent_until.contains_key(name);
        let chosen = fleet.plan.collector_of(&own, usable)?;
        let name = chosen.to_owned();
        let is_other = self.present.as_ref().map(|one| &one.name) != Some(&name);
        if is_other {
            self.present = Some(Present {
                name: name.clone(),
                heard: now,
            });
        }
        Some((name, is_other))
    }

    fn hear(&mut self, now: Timestamp) {
        if let Some(present) = &mut self.present {
            present.heard = now;
        }
    }
}

/// Tells for ever.
pub async fn tell_collector(shared: Arc<Shared>) {
    let Some(usage) = shared.usage.as_ref() else {
        return;
    };
    loop {
        usage.read_clock(shared.now());
        tell_once(&shared, usage);
        sleep(PACE).await;
    }
}

fn tell_once(shared: &Shared, usage: &Usage) {
    let now = shared.now();
    let fleet = shared.fleet.read().clone();
    let Some(own) = usage.own(now) else {
        return;
    };
    let mut telling = usage.telling.lock();
    let Some((collector, is_other)) = telling.choice.choose(now, shared, &fleet) else {
        return;
    };
    if is_other {
        telling.sender.restart();
    }
    if collector == usage.source.gateway {
        telling.choice.hear(now);
        usage.collection.lock().take_in(own);
        return;
    }
    let (sequence, changed) = telling.sender.next(own);
    let mut message = UsageMessage::new(&changed);
    message.sequence = sequence;
    let own_time = usage.clock.lock().own_time(now);
    message.own_time = own_time.unwrap_or_default().0;
    if let Some(address) = fleet.load_address(&collector) {
        shared.datagrams.send(address, &Datagram::usage(message));
    }
}

/// Collects what another gateway tells, and acknowledges it with the time of day.
pub fn take_in(shared: &Shared, sender: SocketAddr, message: UsageMessage) {
    let Some(usage) = shared.usage.as_ref() else {
        return;
    };
    let now = shared.now();
    let reading = ClockReading {
        steady: now,
        day: UnixMillis(message.own_time),
    };
    let sequence = message.sequence;
    let told = message.into_usage();
    let incarnation = told.source.incarnation;
    let mut clock = usage.clock.lock();
    clock.hear(told.source.clone(), reading);
    let time = clock.time(now);
    drop(clock);
    usage.collection.lock().take_in(told);
    let acknowledgement = AcknowledgementMessage {
        sequence,
        incarnation,
        time: time.unwrap_or_default().0,
        collector: usage.source.incarnation,
    };
    let datagram = Datagram::usage_acknowledged(acknowledgement);
    shared.datagrams.send(sender, &datagram);
}

/// The collector has taken a message in. What the collector before says late is passed over: it must
/// not stand for the present one's.
pub fn acknowledge(shared: &Shared, message: &AcknowledgementMessage) {
    let Some(usage) = shared.usage.as_ref() else {
        return;
    };
    if message.incarnation != usage.source.incarnation {
        return;
    }
    let now = shared.now();
    let mut telling = usage.telling.lock();
    let is_of_present = telling
        .sender
        .acknowledge(message.sequence, message.collector);
    if !is_of_present {
        return;
    }
    telling.choice.hear(now);
    drop(telling);
    let reading = ClockReading {
        steady: now,
        day: UnixMillis(message.time),
    };
    usage.clock.lock().be_told(reading);
}
