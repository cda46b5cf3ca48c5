//! The memory that clients make the front hold, by purpose.

use super::answer_memory::AnswerMemory;
use super::call::CallFields;
use crate::budget::{Budget, REQUEST_MEMORY};
use crate::buffer::CLIENT_READ_BYTES;
use crate::link::InputSettings;
use crate::memory::{block_memory, MemoryAccount, Reservation};
use std::sync::Arc;

/// Copies of a write's body that the front has at once: as it was received, and encoded for the cache node.
const BODY_COPIES: usize = 2;

/// The accounts of the memory that clients make the front hold.
#[derive(Clone)]
pub struct ClientMemory {
    /// Received bytes that are not handled yet.
    pub input: Arc<MemoryAccount>,
    /// Answers that are not written yet, and those that are requested.
    pub unread: Arc<MemoryAccount>,
    /// Limits the answers that are requested.
    pub answers: Arc<AnswerMemory>,
    /// Calls whose coroutines have not ended, without the bodies of writes.
    pub calls: Arc<MemoryAccount>,
    /// Bodies of the writes among these calls.
    pub bodies: Arc<MemoryAccount>,
}

/// The memory of a call. It is returned to its accounts when this is dropped.
pub struct CallReservation {
    _call: Reservation,
    _body: Reservation,
}

impl ClientMemory {
    /// Creates accounts with the limits of this budget.
    pub fn new(budget: &Budget) -> ClientMemory {
        let account = |limit| Arc::new(MemoryAccount::with_limit(limit));
        let unread = account(budget.unread);
        ClientMemory {
            input: account(budget.partial),
            answers: Arc::new(AnswerMemory::new(budget, unread.clone())),
            unread,
            calls: account(budget.calls * REQUEST_MEMORY),
            bodies: account(budget.bodies),
        }
    }

    /// How the connections' receive buffers are set up.
    pub fn input_settings(&self) -> InputSettings {
        InputSettings { account: self.input.clone(), min_read_bytes: CLIENT_READ_BYTES }
    }

    /// Reserves the memory of a call; `None` if too much is in use.
    pub fn reserve_call(&self, fields: &CallFields) -> Option<CallReservation> {
        let body = BODY_COPIES * block_memory(fields.body.capacity());
        if !self.calls.has_left(REQUEST_MEMORY) || body > 0 && !self.bodies.has_left(body) {
            return None;
        }
        let mut reservations = [&self.calls, &self.bodies].map(|a| Reservation::new(a.clone()));
        reservations[0].resize(REQUEST_MEMORY);
        reservations[1].resize(body);
        let [call, body] = reservations;
        Some(CallReservation { _call: call, _body: body })
    }

    /// The accounts by the name of their metrics.
    pub fn accounts(&self) -> [(&'static str, &MemoryAccount); 4] {
        [
            ("client_input", &self.input),
            ("unread_answers", &self.unread),
            ("calls", &self.calls),
            ("bodies", &self.bodies),
        ]
    }
}
