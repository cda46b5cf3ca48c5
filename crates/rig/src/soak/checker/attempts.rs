//! The rules about attempts at nodes: which node may receive one, for which client, with what time limit, and how many at once.

use super::{
    Attempt, ClientRequest, Effect, Graces, Observed, Purge, Rule, RuleChecker, ASSUMED_KNOWN_AFTER,
};
use crate::sync::lock;
use std::time::{Duration, Instant};

/// An attempt may begin so long after its client has disconnected or cancelled.
const ABANDONED_GRACE: Duration = Duration::from_millis(100);
/// The time passed on to a node may be longer than the client's by this.
const LIMIT_SLACK: Duration = Duration::from_millis(150);
/// An attempt is compared with the one before after this time, since their connections are read in any order.
const CONCURRENCY_CHECK_DELAY: Duration = Duration::from_millis(50);

/// A rule that an attempt breaks.
struct Finding {
    rule: Rule,
    text: String,
}

/// An attempt's arrival, as the rules look at it.
struct Arrival<'a> {
    now: Instant,
    slack: Duration,
    /// The fields of the command, `name=value` with commas between.
    fields: &'a str,
    request: &'a ClientRequest,
}

impl Arrival<'_> {
    fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.split(',').filter_map(|field| field.split_once('='));
        fields.find(|(n, _)| *n == name).map(|(_, value)| value)
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.field(name).and_then(|value| value.parse().ok())
    }

    /// The time since then, if it is more than the limit and the slack.
    fn lateness_beyond(&self, since: Instant, limit: Duration) -> Option<Duration> {
        let lateness = self.now.saturating_duration_since(since);
        (lateness > limit + self.slack).then_some(lateness)
    }

    fn check_abandoned(&self, abandoned_at: Instant) -> Option<Finding> {
        let lateness = self.lateness_beyond(abandoned_at, ABANDONED_GRACE)?;
        Some(Finding { rule: Rule::Nobody, text: format!("{lateness:?} after its client had left") })
    }

    fn check_limit(&self) -> Option<Finding> {
        let limit_ms = self.number("limit")?;
        let deadline = self.request.sent_at + self.request.patience;
        let remaining = deadline.saturating_duration_since(self.now);
        (Duration::from_millis(limit_ms) > remaining + LIMIT_SLACK + self.slack)
            .then(|| Finding { rule: Rule::Limit, text: format!("{limit_ms} ms told, {remaining:?} left") })
    }

    fn check_out_of_service(&self, since: Instant, grace: Duration) -> Option<Finding> {
        let lateness = self.lateness_beyond(since, grace)?;
        Some(Finding { rule: Rule::Drain, text: format!("{lateness:?} after the front was told") })
    }

    fn check_purge(&self, purge: Purge, graces: Graces) -> Option<Finding> {
        let known_at = purge.known_at.unwrap_or(purge.at + ASSUMED_KNOWN_AFTER);
        let binds =
            self.lateness_beyond(known_at, graces.purge).is_some() && purge.at.elapsed() < graces.purge_done;
        let oldest = self.number("fresh").map(Duration::from_millis);
        let since = self.now.saturating_duration_since(purge.at) + self.slack;
        let too_old = oldest.is_none_or(|oldest| oldest > since);
        (binds && self.field("via").is_some() && too_old).then(|| Finding {
            rule: Rule::Purge,
            text: format!("a copy of {oldest:?} will do, purged {since:?} ago"),
        })
    }
}

impl RuleChecker {
    /// An attempt has arrived at a node with those fields; its request, if it is known. The rules apply if the node reads
    /// promptly, that is, was not blocked lately.
    pub fn attempt_arrived(&self, attempt: Attempt, fields: &str, prompt: bool) -> Option<ClientRequest> {
        let now = Instant::now();
        let slack = self.slack();
        let (findings, request) = {
            let mut observed = lock(&self.observed);
            let state = observed.requests.get_mut(&attempt.trace)?;
            state.in_flight.push(attempt);
            let (request, abandoned_at) = (state.request.clone(), state.abandoned_at);
            let arrival = Arrival { now, slack, fields, request: &request };
            let findings = match prompt {
                true => self.check_arrival(&observed, &arrival, attempt.node, abandoned_at),
                false => Vec::new(),
            };
            (findings, request)
        };
        for Finding { rule, text } in findings {
            let Attempt { node, trace, .. } = attempt;
            self.breach(rule, format!("{trace:016x} at node {node}: {text}, {request:?}"));
        }
        Some(request)
    }

    fn check_arrival(
        &self,
        observed: &Observed,
        arrival: &Arrival<'_>,
        node: usize,
        abandoned_at: Option<Instant>,
    ) -> Vec<Finding> {
        let ClientRequest { front, object, .. } = *arrival.request;
        let draining = observed.draining.get(&(front, node));
        let excluded = observed.excluded.get(&(front, node));
        let purge = observed.purges.get(&(front, object));
        let out_of_service = |since: &Instant| arrival.check_out_of_service(*since, self.graces.drain);
        [
            abandoned_at.and_then(|at| arrival.check_abandoned(at)),
            arrival.check_limit(),
            draining.and_then(out_of_service),
            excluded.and_then(out_of_service),
            purge.and_then(|purge| arrival.check_purge(*purge, self.graces)),
        ]
        .into_iter()
        .flatten()
        .collect()
    }

    /// Checks that no other attempt of the same request is in flight. To be called as soon as an attempt has arrived; it
    /// returns a moment later, and reports a breach if both were in flight all the while.
    pub async fn check_concurrent_attempts(&self, attempt: Attempt) {
        let other = |observed: &Observed| {
            let in_flight = &observed.requests.get(&attempt.trace)?.in_flight;
            in_flight.iter().copied().find(|other| *other != attempt)
        };
        let Some(first) = other(&lock(&self.observed)) else { return };
        tokio::time::sleep(CONCURRENCY_CHECK_DELAY + self.slack()).await;
        let both = {
            let observed = lock(&self.observed);
            let state = observed.requests.get(&attempt.trace);
            state.is_some_and(|state| [first, attempt].iter().all(|a| state.in_flight.contains(a)))
        };
        if both {
            let text = format!("{:016x} at nodes {} and {}", attempt.trace, first.node, attempt.node);
            self.breach(Rule::TwoOut, text);
        }
    }

    /// An attempt has ended: its answer was written, it was cancelled, or its connection ended.
    pub fn attempt_ended(&self, attempt: Attempt) {
        if let Some(state) = lock(&self.observed).requests.get_mut(&attempt.trace) {
            state.in_flight.retain(|other| *other != attempt);
        }
    }

    /// A node executes a request.
    pub fn request_executed(&self, node: usize, trace: u64) {
        let again = {
            let mut observed = lock(&self.observed);
            let Some(state) = observed.requests.get_mut(&trace) else { return };
            state.executions += 1;
            let forbidden = state.executions > 1 && state.request.effect == Effect::Once;
            forbidden.then(|| state.request.clone())
        };
        if let Some(request) = again {
            self.breach(Rule::RanAgain, format!("{trace:016x} at node {node}, {request:?}"));
        }
    }
}
