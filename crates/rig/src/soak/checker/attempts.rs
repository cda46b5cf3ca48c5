//! Rules for attempts at nodes: which node may receive one, for which client, with which time limit, and how
//! many may be in flight at the same time.

use super::{
    Attempt, ClientRequest, ExecutionSemantics, GracePeriods, Observations, ObservedPurge, Rule, RuleChecker,
    EVENT_ASSUMED_KNOWN_AFTER,
};
use crate::sync::lock;
use std::time::{Duration, Instant};

/// Time after a client has disconnected or cancelled during which an attempt for it may still arrive.
const ABANDONED_REQUEST_GRACE: Duration = Duration::from_millis(100);
/// Amount by which the time limit sent to a node may exceed the client's remaining time.
const TIME_LIMIT_SLACK: Duration = Duration::from_millis(150);
/// Delay before an attempt counts as concurrent with an earlier one, since their connections are read in any
/// order.
const CONCURRENCY_CHECK_DELAY: Duration = Duration::from_millis(50);

/// A rule that an attempt breaks, with a description.
struct RuleBreach {
    rule: Rule,
    text: String,
}

/// An attempt that has arrived at a node, with the data that the rules are checked against.
struct ArrivedAttempt<'a> {
    now: Instant,
    slack: Duration,
    /// Fields of the command, as comma-separated `name=value` pairs.
    fields: &'a str,
    request: &'a ClientRequest,
}

impl ArrivedAttempt<'_> {
    fn field_value(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.split(',').filter_map(|field| field.split_once('='));
        fields.find(|(n, _)| *n == name).map(|(_, value)| value)
    }

    fn numeric_field(&self, name: &str) -> Option<u64> {
        self.field_value(name).and_then(|value| value.parse().ok())
    }

    /// Returns the time from `since` to the arrival, if it exceeds the limit plus the slack.
    fn lateness_over_limit(&self, since: Instant, limit: Duration) -> Option<Duration> {
        let lateness = self.now.saturating_duration_since(since);
        (lateness > limit + self.slack).then_some(lateness)
    }

    fn check_abandoned_request(&self, abandoned_at: Instant) -> Option<RuleBreach> {
        let lateness = self.lateness_over_limit(abandoned_at, ABANDONED_REQUEST_GRACE)?;
        Some(RuleBreach {
            rule: Rule::Nobody,
            text: format!("arrived {lateness:?} after its client had cancelled or disconnected"),
        })
    }

    fn check_time_limit(&self) -> Option<RuleBreach> {
        let limit_ms = self.numeric_field("limit")?;
        let deadline = self.request.sent_at + self.request.patience;
        let remaining = deadline.saturating_duration_since(self.now);
        (Duration::from_millis(limit_ms) > remaining + TIME_LIMIT_SLACK + self.slack).then(|| RuleBreach {
            rule: Rule::Limit,
            text: format!("its time limit is {limit_ms} ms, but the client waits only {remaining:?} more"),
        })
    }

    fn check_out_of_service(&self, since: Instant, grace: Duration) -> Option<RuleBreach> {
        let lateness = self.lateness_over_limit(since, grace)?;
        Some(RuleBreach {
            rule: Rule::Drain,
            text: format!("arrived {lateness:?} after the node was known to be draining or excluded"),
        })
    }

    fn check_purged_copy(&self, purge: ObservedPurge, graces: GracePeriods) -> Option<RuleBreach> {
        let known_at = purge.known_at.unwrap_or(purge.at + EVENT_ASSUMED_KNOWN_AFTER);
        let binds = self.lateness_over_limit(known_at, graces.purge).is_some()
            && purge.at.elapsed() < graces.purge_done;
        let oldest = self.numeric_field("fresh").map(Duration::from_millis);
        let since = self.now.saturating_duration_since(purge.at) + self.slack;
        let too_old = oldest.is_none_or(|oldest| oldest > since);
        (binds && self.field_value("via").is_some() && too_old).then(|| RuleBreach {
            rule: Rule::Purge,
            text: format!(
                "accepts copies up to a maximum age of {oldest:?} (`None`: no maximum), but the object was \
                 purged {since:?} ago"
            ),
        })
    }
}

impl RuleChecker {
    /// Records an attempt that has arrived at a node with the given fields, and returns its request, if it
    /// is known. Rules are checked only if `prompt`, that is, if the node was not blocked recently and so
    /// reads without delay.
    pub fn on_attempt_arrived(&self, attempt: Attempt, fields: &str, prompt: bool) -> Option<ClientRequest> {
        let now = Instant::now();
        let slack = self.current_slack();
        let (breaches, request) = {
            let mut observed = lock(&self.observed);
            let state = observed.requests.get_mut(&attempt.trace)?;
            state.in_flight.push(attempt);
            let (request, abandoned_at) = (state.request.clone(), state.abandoned_at);
            let arrival = ArrivedAttempt { now, slack, fields, request: &request };
            let breaches = match prompt {
                true => self.check_arrived_attempt(&observed, &arrival, attempt.node, abandoned_at),
                false => Vec::new(),
            };
            (breaches, request)
        };
        for RuleBreach { rule, text } in breaches {
            let Attempt { node, trace, .. } = attempt;
            self.record_breach(
                rule,
                format!("attempt of request {trace:016x} at node {node}: {text}: {request:?}"),
            );
        }
        Some(request)
    }

    fn check_arrived_attempt(
        &self,
        observed: &Observations,
        arrival: &ArrivedAttempt<'_>,
        node: usize,
        abandoned_at: Option<Instant>,
    ) -> Vec<RuleBreach> {
        let ClientRequest { front, object, .. } = *arrival.request;
        let draining = observed.draining.get(&(front, node));
        let excluded = observed.excluded.get(&(front, node));
        let purge = observed.purges.get(&(front, object));
        let out_of_service = |since: &Instant| arrival.check_out_of_service(*since, self.graces.drain);
        [
            abandoned_at.and_then(|at| arrival.check_abandoned_request(at)),
            arrival.check_time_limit(),
            draining.and_then(out_of_service),
            excluded.and_then(out_of_service),
            purge.and_then(|purge| arrival.check_purged_copy(*purge, self.graces)),
        ]
        .into_iter()
        .flatten()
        .collect()
    }

    /// Checks that no other attempt of the same request is in flight. To be called as soon as an attempt has
    /// arrived. Records a breach if both attempts are still in flight after a short delay.
    pub async fn check_concurrent_attempts(&self, attempt: Attempt) {
        let other = |observed: &Observations| {
            let in_flight = &observed.requests.get(&attempt.trace)?.in_flight;
            in_flight.iter().copied().find(|other| *other != attempt)
        };
        let Some(first) = other(&lock(&self.observed)) else { return };
        tokio::time::sleep(CONCURRENCY_CHECK_DELAY + self.current_slack()).await;
        let both = {
            let observed = lock(&self.observed);
            let state = observed.requests.get(&attempt.trace);
            state.is_some_and(|state| [first, attempt].iter().all(|a| state.in_flight.contains(a)))
        };
        if both {
            let text = format!(
                "request {:016x} has attempts in flight at nodes {} and {}",
                attempt.trace, first.node, attempt.node
            );
            self.record_breach(Rule::TwoOut, text);
        }
    }

    /// Records that an attempt has ended: its answer was written, it was cancelled, or its connection was
    /// closed.
    pub fn on_attempt_ended(&self, attempt: Attempt) {
        if let Some(state) = lock(&self.observed).requests.get_mut(&attempt.trace) {
            state.in_flight.retain(|other| *other != attempt);
        }
    }

    /// Records that a node executes a request. A second execution is a breach if only one is allowed.
    pub fn on_request_executed(&self, node: usize, trace: u64) {
        let again = {
            let mut observed = lock(&self.observed);
            let Some(state) = observed.requests.get_mut(&trace) else { return };
            state.executions += 1;
            let forbidden = state.executions > 1 && state.request.effect == ExecutionSemantics::Once;
            forbidden.then(|| state.request.clone())
        };
        if let Some(request) = again {
            self.record_breach(
                Rule::RanAgain,
                format!("request {trace:016x} is executed again at node {node}: {request:?}"),
            );
        }
    }
}
