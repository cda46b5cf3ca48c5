//! How an attempt at a cache node ended, and what the node answered.

use crate::upstream::resp;
use fernslip::json::IN_FLIGHT_NAMES;
use fernslip::Ending;
use std::time::Instant;

/// Values of an answer's `tell` field. The decision crate numbers them in this order, from 1.
const ANSWER_NOTES: [&str; 10] =
    ["warm", "fill", "deep_fill", "piggy", "aged", "bounced", "dropped", "lacking", "jammed", "backfire"];

/// What a cache node answered to a client's read or write.
#[derive(Debug, Default)]
pub struct Reply {
    /// The client's own copy is current; there is no body.
    pub current: bool,
    /// The object's bytes.
    pub body: Vec<u8>,
}

/// How an attempt ended, and with what.
#[derive(Debug)]
pub struct CompletedAttempt {
    /// How it ended.
    pub ending: Ending,
    /// The number of the answer's note, from 1; 0: none.
    pub detail: u8,
    /// Milliseconds to the fill source's first byte, as the node reported it; 0: not reported.
    pub fill_wait_ms: f64,
    /// Requests in flight at the node, from its load report.
    pub reported_in_flight: Option<f64>,
    /// The reply, where it was served.
    pub reply: Option<Reply>,
    /// When the request's first byte was written; `None`: it never was.
    pub first_byte_at: Option<Instant>,
    /// Whether the request's last byte was written.
    pub fully_written: bool,
}

impl CompletedAttempt {
    /// The result of an attempt that no answer of a node ended.
    pub(super) fn without_answer(ending: Ending) -> CompletedAttempt {
        CompletedAttempt {
            ending,
            detail: 0,
            fill_wait_ms: 0.0,
            reported_in_flight: None,
            reply: None,
            first_byte_at: None,
            fully_written: false,
        }
    }

    /// The result that an answer stands for; `None`: its outcome is unknown or its fields are malformed.
    pub(super) fn from_answer(answer: &resp::Answer<'_>) -> Option<CompletedAttempt> {
        let ending = match answer.outcome {
            "served" | "still_good" => Ending::Completed,
            "not_here" => Ending::LookupMiss,
            "overload" => Ending::Saturated,
            "crashed" => Ending::Errored,
            "nobody" => Ending::Superseded,
            _ => return None,
        };
        if !answer.has_well_formed_fields() {
            return None;
        }
        let note = answer.field("tell").and_then(|tell| ANSWER_NOTES.iter().position(|n| *n == tell));
        let current = answer.outcome == "still_good";
        let body = if current { Vec::new() } else { answer.body.to_vec() };
        Some(CompletedAttempt {
            detail: note.map_or(0, |index| index as u8 + 1),
            fill_wait_ms: answer.field("lag").and_then(|v| v.parse().ok()).unwrap_or(0.0),
            reported_in_flight: IN_FLIGHT_NAMES.iter().find_map(|name| answer.load_report(name)),
            reply: (ending == Ending::Completed).then_some(Reply { current, body }),
            ..CompletedAttempt::without_answer(ending)
        })
    }
}
