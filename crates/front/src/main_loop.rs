//! The main loop: periodic sweeps, reloads, and the way from SIGTERM to the end of the process.

use crate::invariants::Invariant;
use crate::reload::Reload;
use crate::server::Held;
use crate::shared::Shared;
use crate::shutdown::ShutdownPlan;
use crate::{log, reconfigure, sleep};
use fernslip_view::FrontState;
use may::io::WaitIoWaker;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often the main loop runs.
const SWEEP: Duration = Duration::from_millis(100);
/// How often it runs once SIGTERM has come.
const SWEEP_AT_SHUTDOWN: Duration = Duration::from_millis(10);
/// After `evacuate` connections are closed as they fall idle: the platform sends new ones for 0.2 s more, and
/// clients that are between two requests get a moment to send the second.
const EVACUATE_GRACE: Duration = Duration::from_millis(300);

/// The main loop's state. It runs in a coroutine on the worker.
pub(crate) struct MainLoop {
    front: Arc<Shared>,
    /// Set when SIGTERM has come.
    terminate: Arc<AtomicBool>,
    reload: Reload,
    plan: ShutdownPlan,
    /// Wakes the coroutine that accepts clients.
    acceptor: WaitIoWaker,
    /// When SIGTERM was noticed.
    shutdown_began: Option<Instant>,
    /// Log lines that were dropped, as last reported.
    reported_log_lines: usize,
    /// Peers' messages that were dropped, as last reported.
    reported_peer_messages: u64,
}

impl MainLoop {
    pub(crate) fn new(
        front: Arc<Shared>,
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
            shutdown_began: None,
            reported_log_lines: 0,
            reported_peer_messages: 0,
        }
    }

    /// Runs until the front has shut down: within the time of the plan it has answered all it took, closed its
    /// connections gracefully and returned.
    pub(crate) fn run(mut self) {
        loop {
            sleep::sleep(if self.shutdown_began.is_some() { SWEEP_AT_SHUTDOWN } else { SWEEP });
            self.report_drops();
            self.front.wall_clock.observe();
            self.front.upstream.sweep();
            self.front.bus.sweep();
            match self.reload.poll() {
                Some(Ok(new)) => reconfigure::apply(&self.front, *new),
                Some(Err(why)) => tracing::warn!("reload: the old one stays: {why}"),
                None => {}
            }
            self.publish_state();
            if self.shutdown_began.is_none() && self.terminate.load(Ordering::Acquire) {
                self.begin_shutdown();
            }
            if self.sweep_clients() {
                return;
            }
        }
    }

    /// Logs how many log lines and peers' messages were dropped since the last report.
    fn report_drops(&mut self) {
        let dropped = log::dropped();
        if dropped > self.reported_log_lines {
            tracing::warn!(dropped = dropped - self.reported_log_lines, total = dropped, "log");
            self.reported_log_lines = dropped;
        }
        let dropped = self.front.dropped_peer_messages();
        if dropped > self.reported_peer_messages {
            tracing::warn!(
                dropped = dropped - self.reported_peer_messages,
                total = dropped,
                "odd messages of peers"
            );
            self.reported_peer_messages = dropped;
        }
    }

    /// Publishes in the fleet's view whether this front is ready. From SIGTERM on its state is published there once.
    fn publish_state(&self) {
        if let Some(fleet) = self.front.fleet.as_ref().filter(|_| self.shutdown_began.is_none()) {
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
            gossip.leave(front.queues.all());
        }
        if let Some(fleet) = &front.fleet {
            fleet.set_state(FrontState::Draining);
        }
        let now = Instant::now();
        front.server.end_by(now + self.plan.answered_by);
        if self.plan.hands_over {
            self.stop_accepting();
        }
        self.shutdown_began = Some(now);
    }

    /// Closes connections that are due, and ends the front once all is answered or the time for it is over. Whether the
    /// front has ended.
    fn sweep_clients(&self) -> bool {
        let (front, plan) = (&self.front, &self.plan);
        let elapsed = self.shutdown_began.map(|at| at.elapsed());
        let closing = elapsed.is_some_and(|t| t >= plan.accepting_for);
        let evacuated = front.server.evacuated_for().is_some_and(|t| t >= EVACUATE_GRACE);
        front.server.sweep(front, closing || evacuated);
        let (Some(began), true) = (self.shutdown_began, closing) else { return false };
        let over = front.server.is_done() || began.elapsed() >= plan.answered_by;
        if over {
            self.finish_shutdown(began);
        }
        over
    }

    fn finish_shutdown(&self, began: Instant) {
        let front = &self.front;
        front.server.give_up(front);
        self.close_remaining(began + self.plan.exit_by);
        if let Some(fleet) = &front.fleet {
            fleet.leave();
        }
        let held = front.server.held();
        let open: usize =
            front.queues.all().iter().map(|q| q.dispatcher.open_requests() + q.queued_requests()).sum();
        let settled = held == Held::default() && open == 0 && front.upstream.attempts_in_flight() == 0;
        front.invariants.check(Invariant::EndSettled, settled, || {
            format!("{held:?} attempts={} open={open}", front.upstream.attempts_in_flight())
        });
        tracing::info!(?held, attempts = front.upstream.attempts_in_flight(), open, "left");
    }

    /// Accepts no client any more and sees the last ones out. The exit of the process would close all connections at
    /// once, those with unread bytes by a reset.
    fn close_remaining(&self, deadline: Instant) {
        let front = &self.front;
        self.stop_accepting();
        loop {
            sleep::sleep(SWEEP_AT_SHUTDOWN);
            front.server.sweep(front, true);
            // A cancelled attempt still ends by itself, as a rule within the same moment.
            if Instant::now() >= deadline
                || front.server.is_empty() && front.upstream.attempts_in_flight() == 0
            {
                return;
            }
        }
    }

    fn stop_accepting(&self) {
        self.front.server.close();
        self.acceptor.wakeup();
    }
}
