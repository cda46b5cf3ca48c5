//! The main loop: periodic sweeps, configuration reloads, and the shutdown after SIGTERM.

use crate::invariants::Invariant;
use crate::reload::Reload;
use crate::server::Held;
use crate::shared::SharedState;
use crate::shutdown::ShutdownPlan;
use crate::{log, reconfigure, sleep};
use fernslip_view::FrontState;
use may::io::WaitIoWaker;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The pause between two passes of the main loop.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// The pause between two passes of the main loop once SIGTERM was received.
const SHUTDOWN_SWEEP_INTERVAL: Duration = Duration::from_millis(10);
/// How long after the `evacuate` command the front begins to close idle client connections. The platform
/// opens new connections for another 0.2 s, and a client between two requests gets time to send its second.
const EVACUATION_GRACE_PERIOD: Duration = Duration::from_millis(300);

/// The state of the main loop, which runs in a coroutine on the worker thread.
pub(crate) struct MainLoop {
    front: Arc<SharedState>,
    /// Set by the signal handler when SIGTERM is received.
    terminate: Arc<AtomicBool>,
    reload: Reload,
    plan: ShutdownPlan,
    /// Wakes the coroutine that accepts client connections.
    acceptor: WaitIoWaker,
    /// The shutdown, once the main loop noticed SIGTERM.
    shutdown: Option<Shutdown>,
    /// The total number of dropped log lines at the last report.
    reported_log_lines: usize,
    /// The total number of dropped peer messages at the last report.
    reported_peer_messages: u64,
}

/// The times that the shutdown plan counts from.
#[derive(Clone, Copy)]
struct Shutdown {
    /// When the main loop noticed SIGTERM.
    noticed: Instant,
    /// Earliest time at which SIGTERM may have arrived: a pass of the main loop before it was noticed. The
    /// platform counts its kill from the signal.
    signalled: Instant,
}

impl MainLoop {
    pub(crate) fn new(
        front: Arc<SharedState>,
        terminate: Arc<AtomicBool>,
        reload: Reload,
        plan: ShutdownPlan,
        acceptor: WaitIoWaker,
    ) -> MainLoop {
        MainLoop {
            front,
            terminate,
            reload,
            plan,
            acceptor,
            shutdown: None,
            reported_log_lines: 0,
            reported_peer_messages: 0,
        }
    }

    /// Runs until the front has shut down: after SIGTERM it answers all accepted requests, closes its
    /// connections gracefully and returns within the time that the shutdown plan gives.
    pub(crate) fn run(mut self) {
        loop {
            sleep::sleep(if self.shutdown.is_some() { SHUTDOWN_SWEEP_INTERVAL } else { SWEEP_INTERVAL });
            self.front.main_loop_passes.record_pass(Instant::now());
            self.report_drops();
            self.front.wall_clock.check_for_step();
            self.front.upstream.sweep();
            self.front.bus.close_if_silent();
            match self.reload.poll() {
                Some(Ok(new)) => reconfigure::apply(&self.front, *new),
                Some(Err(why)) => tracing::warn!(
                    "reload: the old one stays in effect, the new configuration is rejected: {why}"
                ),
                None => {}
            }
            self.publish_state();
            if self.shutdown.is_none() && self.terminate.load(Ordering::Acquire) {
                self.begin_shutdown();
            }
            if self.sweep_clients() {
                return;
            }
        }
    }

    /// Logs how many log lines and peer messages were dropped since the last report.
    fn report_drops(&mut self) {
        let dropped = log::dropped_line_count();
        if dropped > self.reported_log_lines {
            tracing::warn!(
                dropped = dropped - self.reported_log_lines,
                total = dropped,
                "log lines were dropped"
            );
            self.reported_log_lines = dropped;
        }
        let dropped = self.front.dropped_peer_messages();
        if dropped > self.reported_peer_messages {
            tracing::warn!(
                dropped = dropped - self.reported_peer_messages,
                total = dropped,
                "messages from peers were dropped"
            );
            self.reported_peer_messages = dropped;
        }
    }

    /// Publishes this front's state in the fleet's membership view. From SIGTERM on this does nothing:
    /// `begin_shutdown` publishes the last state once.
    fn publish_state(&self) {
        if let Some(fleet) = self.front.fleet.as_ref().filter(|_| self.shutdown.is_none()) {
            fleet.set_state(match (self.front.is_ready(), self.front.server.is_evacuated()) {
                (true, _) => FrontState::Ready,
                (false, true) => FrontState::Draining,
                (false, false) => FrontState::Joining,
            });
        }
    }

    fn begin_shutdown(&mut self) {
        let front = &self.front;
        front.shutting_down.store(true, Ordering::Release);
        tracing::info!("leaving: SIGTERM");
        if let Some(gossip) = &front.gossip {
            gossip.leave(front.queues.as_slice());
        }
        if let Some(fleet) = &front.fleet {
            fleet.set_state(FrontState::Draining);
        }
        let noticed = Instant::now();
        let signalled = noticed.checked_sub(SWEEP_INTERVAL).unwrap_or(noticed);
        front.server.set_shutdown_deadline(signalled + self.plan.answered_by);
        if self.plan.hands_over {
            self.stop_accepting();
        }
        self.shutdown = Some(Shutdown { noticed, signalled });
    }

    /// Closes the client connections that may be closed, and finishes the shutdown once every request is
    /// answered or the time for that is over. Returns whether the front has shut down.
    fn sweep_clients(&self) -> bool {
        let (front, plan) = (&self.front, &self.plan);
        let closing = self.shutdown.is_some_and(|s| s.noticed.elapsed() >= plan.accepting_for);
        let evacuated = front.server.evacuated_for().is_some_and(|t| t >= EVACUATION_GRACE_PERIOD);
        front.server.sweep(front, closing || evacuated);
        let (Some(shutdown), true) = (self.shutdown, closing) else { return false };
        let over = front.server.has_answered_all() || shutdown.signalled.elapsed() >= plan.answered_by;
        if over {
            self.finish_shutdown(shutdown.signalled);
        }
        over
    }

    fn finish_shutdown(&self, signalled: Instant) {
        let front = &self.front;
        front.server.fail_open_calls(front);
        self.close_remaining(signalled + self.plan.exit_by);
        if let Some(fleet) = &front.fleet {
            fleet.leave();
        }
        let held = front.server.resources_in_use();
        let open: usize =
            front.queues.as_slice().iter().map(|q| q.dispatcher.open_requests() + q.queued_requests()).sum();
        let settled = held == Held::default() && open == 0 && front.upstream.attempts_in_flight() == 0;
        front.invariants.check(Invariant::EndSettled, settled, || {
            format!("{held:?} attempts={} open={open}", front.upstream.attempts_in_flight())
        });
        tracing::info!(?held, attempts = front.upstream.attempts_in_flight(), open, "left");
    }

    /// Stops accepting clients and closes the remaining connections gracefully. The exit of the process would
    /// close all of them at once, and reset those with unread bytes.
    fn close_remaining(&self, deadline: Instant) {
        let front = &self.front;
        self.stop_accepting();
        loop {
            sleep::sleep(SHUTDOWN_SWEEP_INTERVAL);
            front.server.sweep(front, true);
            // A cancelled attempt ends on its own, usually at once, so the loop also waits until none is in
            // flight.
            if Instant::now() >= deadline
                || front.server.is_empty() && front.upstream.attempts_in_flight() == 0
            {
                return;
            }
        }
    }

    fn stop_accepting(&self) {
        self.front.server.stop_accepting();
        self.acceptor.wakeup();
    }
}
