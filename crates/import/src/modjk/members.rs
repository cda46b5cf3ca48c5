//! Builds the members of workers that are backend servers.

use super::syntax::parse_activation;
use super::workers::Worker;
use super::ModJk;
use crate::builder::SiteBuilder;
use crate::coverage::{self, JK_WORKER_PROPERTIES};
use crate::endpoint::Endpoint;
use crate::ledger::Ledger;
use crate::params::{parse_flag, parse_time_ms, Param};
use fernslip_site::{split_host_port, MemberLimits, Protocol, State, Use};

/// The greatest weight that a site document accepts.
const MAX_WEIGHT: f64 = 1e6;
/// The greatest limit on connections or requests that a site document accepts.
const MAX_LIMIT: u64 = 1 << 24;

/// The properties that apply to a membership or to the pool. Their verdicts are set when the pool is built.
const POOL_PROPERTIES: [&str; 9] = [
    "lbfactor",
    "distance",
    "domain",
    "redirect",
    "recover_time",
    "retries",
    "fail_on_status",
    "max_reply_timeouts",
    "connection_acquire_timeout",
];

impl ModJk {
    /// Returns the id of a worker's member, which is added to the site if it is new, or the reason why the
    /// worker has no member.
    pub(super) fn worker_member(
        &mut self,
        ledger: &mut Ledger,
        builder: &mut SiteBuilder,
        name: &str,
    ) -> Result<String, String> {
        if let Some(id) = self.member_by_worker.get(name) {
            return Ok(id.clone());
        }
        let worker =
            self.resolve_worker(ledger, name).ok_or_else(|| format!("there is no worker `{name}`"))?;
        let endpoint = endpoint_of(name, &worker).inspect_err(|reason| {
            for param in worker.own.0.values() {
                ledger.report_omitted(param.item, reason.clone());
            }
        })?;
        let limits = member_limits(&worker);
        let id = builder.add_member(name, &endpoint, limits.clone());
        self.member_by_worker.insert(name.to_string(), id.clone());
        report_member_properties(ledger, &worker, &id, &limits);
        Ok(id)
    }

    /// The entry in a pool for the member `id` of a worker, with the worker's weight, tier, state and group.
    pub(super) fn membership(&self, ledger: &mut Ledger, name: &str, id: &str, pool: &str) -> Use {
        let mut membership =
            Use { member: id.into(), weight: None, state: None, tier: None, group: None, instead: None };
        let Some(worker) = self.resolve_worker(ledger, name) else { return membership };
        let target = |what: &str| format!("pool \"{pool}\" use \"{id}\" {what}");
        if let Some(value) = worker.value("lbfactor") {
            membership.weight = value.parse().ok().filter(|w: &f64| *w > 0.0 && *w <= MAX_WEIGHT);
            if let Some(param) = worker.own.get("lbfactor") {
                let usable = membership.weight.is_some();
                ledger.report_mapped_if(
                    usable,
                    param.item,
                    target("weight"),
                    "not a number above 0 and up to 1000000",
                );
            }
        }
        if let Some(value) = worker.value("distance") {
            membership.tier = value.parse().ok().filter(|tier| *tier <= u64::from(u32::MAX));
            if let Some(param) = worker.own.get("distance") {
                let usable = membership.tier.is_some();
                ledger.report_mapped_if(
                    usable,
                    param.item,
                    target("tier"),
                    "not a whole number from 0 to 4294967295",
                );
            }
        }
        // The state is set on the membership, not on the member, because a mount may set another state for
        // itself alone.
        membership.state = Some(member_state(&worker)).filter(|s| *s != State::Ready);
        membership.group = worker.value("domain").map(String::from);
        if let Some(param) = worker.own.get("domain") {
            ledger.report_mapped(param.item, target("group"));
        }
        membership
    }
}

/// The endpoint of a worker, or the reason why the worker is not a backend server with a valid address.
fn endpoint_of(name: &str, worker: &Worker) -> Result<Endpoint, String> {
    let (protocol, default_port) = match worker.worker_type().as_str() {
        "ajp13" => (Protocol::Ajp13, "8009"),
        "ajp14" => (Protocol::Ajp14, "8011"),
        other => return Err(format!("`{name}` has the type `{other}`, which is not a backend server")),
    };
    let host = worker.value("host").unwrap_or("localhost");
    let address = format!("{host}:{}", worker.value("port").unwrap_or(default_port));
    if split_host_port(&address).is_none() {
        return Err(format!("`{name}` has no valid address: `{address}` is not a host and port"));
    }
    Ok(Endpoint { protocol, address, path: None })
}

fn member_limits(worker: &Worker) -> MemberLimits {
    let limit = |names: &[&str]| {
        let value = worker.first_value(names).and_then(|v| v.parse::<u64>().ok());
        value.filter(|n| (1..=MAX_LIMIT).contains(n))
    };
    let time = |names: &[&str], unit_ms| {
        worker.first_value(names).and_then(|v| parse_time_ms(v, unit_ms)).filter(|ms| *ms > 0)
    };
    MemberLimits {
        connections: limit(&["connection_pool_size", "cachesize"]),
        in_flight: limit(&["busy_limit"]),
        connect_ms: time(&["socket_connect_timeout"], 1),
        answer_ms: time(&["reply_timeout"], 1).or_else(|| time(&["socket_timeout"], 1000)),
        idle_ms: time(&["connection_pool_timeout", "cache_timeout"], 1000),
    }
}

/// The stricter of the states that `activation` and the older properties give. An invalid `activation` gives
/// `Draining`, so that the member does not receive requests by mistake.
fn member_state(worker: &Worker) -> State {
    let older = match () {
        () if worker.is_set("stopped") => State::Stopped,
        () if worker.is_set("disabled") => State::Draining,
        () => State::Ready,
    };
    let activation =
        worker.value("activation").map(|value| parse_activation(value).unwrap_or(State::Draining));
    activation.unwrap_or(State::Ready).stricter(older)
}

/// Sets the verdicts of the worker's own properties that apply to its member.
fn report_member_properties(ledger: &mut Ledger, worker: &Worker, id: &str, limits: &MemberLimits) {
    let target = |what: &str| format!("member \"{id}\" {what}");
    for (name, param) in &worker.own.0 {
        let item = param.item;
        if let Some(property) = LimitProperty::from_name(name, limits) {
            property.report(ledger, worker, param, target);
            continue;
        }
        match name.as_str() {
            "type" | "host" | "port" => ledger.report_mapped(item, target("address")),
            "reference" => {}
            "activation" if parse_activation(&param.value).is_none() => {
                let reason = "not one of active, disabled and stopped: the member is draining";
                ledger.report_approximated(item, target("use state"), reason);
            }
            "activation" => ledger.report_mapped(item, target("use state")),
            "disabled" | "stopped" => {
                let usable = parse_flag(&param.value).is_some();
                ledger.report_mapped_if(usable, item, target("use state"), "not a Boolean value");
            }
            name if POOL_PROPERTIES.contains(&name) => {}
            _ => {
                let row = coverage::find_row(JK_WORKER_PROPERTIES, name);
                ledger.report_omitted(item, row.map_or("", |r| r.outcome));
            }
        }
    }
}

/// A property that sets a limit of the member.
struct LimitProperty {
    /// The limit of the member; `None` if it has none.
    value: Option<u64>,
    /// The limit's name as it is shown in the report.
    target: &'static str,
    /// How the limit differs from the property; empty if it does not.
    difference: &'static str,
    /// The property that takes precedence over this one, if any.
    superseded_by: Option<&'static str>,
}

impl LimitProperty {
    fn from_name(name: &str, limits: &MemberLimits) -> Option<LimitProperty> {
        let (value, target, difference) = match name {
            "connection_pool_size" | "cachesize" => (
                limits.connections,
                "limits connections",
                "counted for the whole front, not for each process",
            ),
            "busy_limit" => (limits.in_flight, "limits in-flight", ""),
            "socket_connect_timeout" => (limits.connect_ms, "limits connect-ms", ""),
            "reply_timeout" | "socket_timeout" => {
                (limits.answer_ms, "limits answer-ms", "limits the whole answer")
            }
            "connection_pool_timeout" | "cache_timeout" => (limits.idle_ms, "limits idle-ms", ""),
            _ => return None,
        };
        let superseded_by = match name {
            "cachesize" => Some("connection_pool_size"),
            "cache_timeout" => Some("connection_pool_timeout"),
            "socket_timeout" => Some("reply_timeout"),
            _ => None,
        };
        Some(LimitProperty { value, target, difference, superseded_by })
    }

    fn report(&self, ledger: &mut Ledger, worker: &Worker, param: &Param, target: impl Fn(&str) -> String) {
        let is_superseded = self.superseded_by.is_some_and(|newer| worker.value(newer).is_some());
        match self.value {
            _ if is_superseded => {
                ledger.report_omitted(param.item, "a property that takes precedence sets the same limit");
            }
            None if param.value.trim() == "0" => ledger.report_mapped(param.item, "no limit"),
            None => ledger.report_omitted(param.item, "the value is not a number in the accepted range"),
            Some(_) if self.difference.is_empty() => ledger.report_mapped(param.item, target(self.target)),
            Some(_) => ledger.report_approximated(param.item, target(self.target), self.difference),
        }
    }
}
