//! Learns from other gateways which versions served before this one began to watch. Otherwise the loss of the gateways
//! that have watched for long would leave nobody who can testify that one version alone has served.
//!
//! The watches of two gateways may be joined only if they overlap: the mirror of the other gateway must be at least at the
//! position that this gateway's mirror had when it asked.

use std::net::SocketAddr;

use rand::seq::IteratorRandom;
use tansyhall_forwarding::{Position, Watch};

use super::message::{HistoryAnswerMessage, HistoryQuestionMessage};
use super::{own_name, watch};
use crate::datagrams::Datagram;
use crate::state::Shared;

/// Number of gateways that are asked at a time.
const ASKED_GATEWAYS: usize = 3;
/// Number of checks at which a question is sent without a pause.
const FIRST_REPEATS: u32 = 5;
/// Number of checks between two later repeats. While all gateways have just started, nobody has an answer.
const CHECKS_PER_REPEAT: u32 = 10;
/// Maximum number of services in an answer.
const MAX_SERVICES_PER_DATAGRAM: usize = 50;

/// A question to other gateways. It is repeated until this gateway knows enough.
#[derive(Debug, Clone, Copy)]
pub struct OpenHistoryQuestion {
    number: u64,
    /// Number of checks since it was opened.
    checks: u32,
    /// The position of this gateway's mirror when it asked first. It has watched from then on or longer.
    position: Position,
}

/// Asks some other gateways unless this one has watched for long enough. A question from before an interruption of the
/// watch is dropped.
pub(super) fn ask_others(shared: &Shared, watch: Watch, is_complete: bool) {
    let position = shared.mirror.lock().position();
    let mut open = shared.stream_versions.history_question.lock();
    if is_complete || !watch.is_current || position.is_start() {
        *open = None;
        return;
    }
    let question = open.get_or_insert_with(|| OpenHistoryQuestion {
        number: rand::random(),
        checks: 0,
        position,
    });
    let is_due = question.checks < FIRST_REPEATS || question.checks % CHECKS_PER_REPEAT == 0;
    question.checks = question.checks.saturating_add(1);
    let number = question.number;
    drop(open);
    if !is_due {
        return;
    }
    let own = own_name(shared);
    let fleet = shared.fleet.read().clone();
    let others = fleet.names().filter(|name| *name != own);
    let asked = others.sample(&mut rand::rng(), ASKED_GATEWAYS);
    let question = Datagram::history_question(HistoryQuestionMessage { number });
    for address in asked
        .into_iter()
        .filter_map(|name| fleet.load_address(name))
    {
        shared.datagrams.send(address, &question);
    }
}

/// Answers a question of another gateway, unless this one may have missed a version.
pub fn receive_history_question(
    shared: &Shared,
    sender: SocketAddr,
    question: &HistoryQuestionMessage,
) {
    if !watch(shared).is_current {
        return;
    }
    let now = shared.now();
    let position = shared.mirror.lock().position();
    let histories = shared.stream_versions.versions.lock().histories(now);
    for part in histories.chunks(MAX_SERVICES_PER_DATAGRAM) {
        let answer = HistoryAnswerMessage::new(question.number, position, part);
        let datagram = Datagram::history_answer(answer);
        shared.datagrams.send(sender, &datagram);
    }
}

/// Adopts an answer to the open question if the two watches overlap.
pub fn receive_history_answer(shared: &Shared, answer: &HistoryAnswerMessage) {
    let open = *shared.stream_versions.history_question.lock();
    let Some(open) = open.filter(|open| open.number == answer.number) else {
        return;
    };
    let position = answer.position();
    if position.epoch != open.position.epoch || position < open.position {
        return;
    }
    let now = shared.now();
    let mut versions = shared.stream_versions.versions.lock();
    versions.adopt(now, &answer.histories());
}
