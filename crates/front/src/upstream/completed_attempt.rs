//! The result of an attempt at a cache node: how it ended and what the node answered.

use crate::upstream::resp;
use fernslip::json::IN_FLIGHT_NAMES;
use fernslip::Ending;
use std::time::Instant;

/// Values of an answer's `tell` field, in the order in which the decision module numbers them, from 1.
const ANSWER_DETAILS: [&str; 10] =
    ["warm", "fill", "deep_fill", "piggy", "aged", "bounced", "dropped", "lacking", "jammed", "backfire"];

/// A cache node's answer to a client's read or write.
#[derive(Debug, Default)]
pub struct Reply {
    /// Whether the client's own copy is still current; if so, `body` is empty.
    pub current: bool,
    /// The object's bytes.
    pub body: Vec<u8>,
}

/// The result of one attempt.
#[derive(Debug)]
pub struct CompletedAttempt {
    /// How the attempt ended.
    pub ending: Ending,
    /// Code of the answer's `tell` value: its position in `ANSWER_DETAILS`, counted from 1; 0 if the answer
    /// has no such field or its value is unknown.
    pub detail: u8,
    /// Time until the fill source's first byte as reported by the node, in milliseconds; 0 if not reported.
    pub fill_wait_ms: f64,
    /// Number of requests in flight at the node, from its load report; `None` if not reported.
    pub reported_in_flight: Option<f64>,
    /// The node's reply; `None` unless the request was served.
    pub reply: Option<Reply>,
    /// When the request's first byte was written; `None` if nothing was written.
    pub first_byte_at: Option<Instant>,
    /// Whether the request was written up to its last byte.
    pub fully_written: bool,
}

impl CompletedAttempt {
    /// The result of an attempt that ended without an answer from its node.
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

    /// Converts a node's answer into a result; `None` if the outcome is unknown or the fields are
    /// malformed.
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
        let detail_index =
            answer.field("tell").and_then(|tell| ANSWER_DETAILS.iter().position(|n| *n == tell));
        let current = answer.outcome == "still_good";
        let body = if current { Vec::new() } else { answer.body.to_vec() };
        Some(CompletedAttempt {
            detail: detail_index.map_or(0, |index| index as u8 + 1),
            fill_wait_ms: answer.field("lag").and_then(|v| v.parse().ok()).unwrap_or(0.0),
            reported_in_flight: IN_FLIGHT_NAMES.iter().find_map(|name| answer.load_report_value(name)),
            reply: (ending == Ending::Completed).then_some(Reply { current, body }),
            ..CompletedAttempt::without_answer(ending)
        })
    }
}
