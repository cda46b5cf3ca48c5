//! The parameters of a worker: the limits of its member, its membership in a pool, and its settings for the
//! pool.

use super::model::Worker;
use crate::coverage::{self, MEMBER_PARAMS, PROXY_PASS_KEYWORDS};
use crate::endpoint::Endpoint;
use crate::ledger::{Item, Ledger};
use crate::params::{parse_time_ms, Param, Params};
use fernslip_site::{MemberLimits, Pool, State, Use};

/// A duration that a worker sets for its pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct PoolDuration {
    ms: u64,
    item: Item,
}

/// The settings that the parameters of a worker make.
#[derive(Default)]
pub(super) struct MemberSettings {
    pub limits: MemberLimits,
    weight: Option<f64>,
    tier: Option<u64>,
    state: Option<State>,
    /// How long a request waits for a connection to the worker.
    acquire: Option<PoolDuration>,
    /// How long a failed worker receives no requests.
    retry: Option<PoolDuration>,
    /// The name by which the `redirect` parameters of other workers refer to this worker.
    pub route: Option<String>,
    pub redirect: Option<Param>,
}

impl MemberSettings {
    /// The pool's entry for the member `id`, with the worker's weight, state and tier.
    pub fn membership(&self, id: &str) -> Use {
        Use {
            member: id.into(),
            weight: self.weight,
            state: self.state,
            tier: self.tier,
            group: None,
            instead: None,
        }
    }
}

/// The reason for omitting or approximating a parameter of a worker.
fn table_reason(name: &str) -> &'static str {
    let row =
        coverage::find_row(MEMBER_PARAMS, name).or_else(|| coverage::find_row(PROXY_PASS_KEYWORDS, name));
    row.map_or("not supported by the importer", |r| r.outcome)
}

/// The endpoint of a worker. If its URL is not accepted, the worker is reported as omitted for that reason,
/// and its parameters for the reason that `param_reason` derives from it.
pub(super) fn endpoint_of(
    ledger: &mut Ledger,
    worker: &Worker,
    param_reason: impl Fn(&str) -> String,
) -> Result<Endpoint, String> {
    Endpoint::parse(&worker.url).inspect_err(|reason| {
        worker.items.iter().for_each(|i| ledger.report_omitted(*i, reason.clone()));
        worker.params.0.values().for_each(|p| ledger.report_omitted(p.item, param_reason(reason)));
    })
}

/// Reads the parameters of a worker and sets the verdict of each. `timeout_ms` is the `ProxyTimeout` of its
/// server.
pub(super) fn read_settings(
    ledger: &mut Ledger,
    params: Params,
    timeout_ms: Option<u64>,
    url: &str,
) -> MemberSettings {
    let limits = MemberLimits { answer_ms: timeout_ms.filter(|ms| *ms > 0), ..MemberLimits::default() };
    let mut settings = MemberSettings { limits, ..MemberSettings::default() };
    for (name, param) in params.0 {
        settings.read_param(ledger, &name, param, url);
    }
    settings
}

/// The reason given for a parameter whose value is not a usable duration.
const INVALID_DURATION: &str = "not a duration of at most one day";

impl MemberSettings {
    fn read_param(&mut self, ledger: &mut Ledger, name: &str, param: Param, url: &str) {
        let Param { value, item } = &param;
        let item = *item;
        let target = |what: &str| format!("member \"{url}\" {what}");
        match name {
            "loadfactor" => {
                self.weight = value.parse().ok().filter(|w: &f64| (1.0..=100.0).contains(w));
                let otherwise = "not a number from 1 to 100; httpd rejects it too";
                ledger.report_mapped_if(self.weight.is_some(), item, target("use weight"), otherwise);
            }
            "lbset" => {
                self.tier = value.parse().ok().filter(|t| *t <= 99);
                let otherwise = "not a whole number from 0 to 99; httpd rejects it too";
                ledger.report_mapped_if(self.tier.is_some(), item, target("use tier"), otherwise);
            }
            "status" => self.read_status(ledger, value, item, target("use state")),
            "max" => {
                self.limits.connections = value.parse().ok().filter(|n| (1..=1 << 24).contains(n));
                match self.limits.connections {
                    Some(_) => {
                        ledger.report_approximated(item, target("limits connections"), table_reason("max"));
                    }
                    None => {
                        ledger.report_omitted(item, "not a whole number of connections from 1 to 16777216");
                    }
                }
            }
            "ttl" | "timeout" | "connectiontimeout" => {
                self.read_time_limit(ledger, name, value, item, target);
            }
            "acquire" | "retry" => {
                let unit_ms = if name == "retry" { 1000 } else { 1 };
                let time = parse_time_ms(value, unit_ms).map(|ms| PoolDuration { ms, item });
                match (name, time) {
                    (_, None) => ledger.report_omitted(item, INVALID_DURATION),
                    ("retry", time) => self.retry = time,
                    (_, time) => self.acquire = time,
                }
            }
            "route" => {
                self.route = Some(value.clone());
                ledger.report_omitted(item, table_reason("route"));
            }
            "redirect" => self.redirect = Some(param),
            _ => ledger.report_omitted(item, table_reason(name)),
        }
    }

    fn read_time_limit(
        &mut self,
        ledger: &mut Ledger,
        name: &str,
        value: &str,
        item: Item,
        target: impl Fn(&str) -> String,
    ) {
        let Some(ms) = parse_time_ms(value, 1000).filter(|ms| *ms > 0) else {
            return ledger.report_omitted(item, INVALID_DURATION);
        };
        match name {
            "ttl" => {
                self.limits.idle_ms = Some(ms);
                ledger.report_approximated(
                    item,
                    target("limits idle-ms"),
                    "applies to every idle connection",
                );
            }
            "timeout" => {
                self.limits.answer_ms = Some(ms);
                let reason = "limits the whole answer, not each read";
                ledger.report_approximated(item, target("limits answer-ms"), reason);
            }
            _ => {
                self.limits.connect_ms = Some(ms);
                ledger.report_mapped(item, target("limits connect-ms"));
            }
        }
    }

    fn read_status(&mut self, ledger: &mut Ledger, value: &str, item: Item, target: String) {
        let status = StatusFlags::parse(value);
        self.state = status.state();
        match (status.difference(), self.state) {
            (None, _) => ledger.report_mapped(item, target),
            (Some(reason), Some(_)) => ledger.report_approximated(item, target, reason),
            (Some(reason), None) => ledger.report_omitted(item, reason),
        }
    }
}

/// The status flags of a worker,
/// [`status=`](https://httpd.apache.org/docs/2.4/mod/mod_proxy.html#status_table): `D` disabled, `S` stopped,
/// `I` ignore errors, `R` hot spare, `H` hot standby, `E` in error, `N` drain, `C` health check failed.
struct StatusFlags {
    /// The flags that are set, in the order of their last setting.
    set: Vec<char>,
    /// The characters that are not flags.
    unknown: String,
}

impl StatusFlags {
    fn parse(flags: &str) -> StatusFlags {
        let mut set: Vec<char> = Vec::new();
        let mut unknown = String::new();
        let mut on = true;
        for c in flags.chars() {
            match c.to_ascii_uppercase() {
                '+' => on = true,
                '-' => on = false,
                flag @ ('D' | 'S' | 'I' | 'R' | 'H' | 'E' | 'N' | 'C') => {
                    set.retain(|s| *s != flag);
                    if on {
                        set.push(flag);
                    }
                }
                other => unknown.push(other),
            }
        }
        StatusFlags { set, unknown }
    }

    /// The strictest state among those of the flags. An unknown flag gives `Stopped`: httpd would not start
    /// with it, and the member must not receive requests, whatever the flag was meant to say.
    fn state(&self) -> Option<State> {
        if !self.unknown.is_empty() {
            return Some(State::Stopped);
        }
        let states = self.set.iter().filter_map(|flag| match flag {
            'D' | 'N' => Some(State::Draining),
            'S' => Some(State::Stopped),
            'H' => Some(State::Standby),
            'R' => Some(State::Spare),
            _ => None,
        });
        states.reduce(State::stricter)
    }

    /// The reason why the state does not express all flags; `None` if the state expresses all of them.
    fn difference(&self) -> Option<String> {
        if !self.unknown.is_empty() {
            let unknown = &self.unknown;
            return Some(format!(
                "`{unknown}` is not a status flag, and httpd rejects it: the member is stopped"
            ));
        }
        let unsupported: String = self.set.iter().filter(|f| matches!(f, 'I' | 'E' | 'C')).collect();
        (!unsupported.is_empty()).then(|| {
            format!("`{unsupported}`: ignoring errors and earlier health results cannot be expressed")
        })
    }
}

/// Sets the pool's durations, which httpd defines for each member. The lowest value takes effect.
pub(super) fn set_pool_times(
    ledger: &mut Ledger,
    pool: &mut Pool,
    members: &[MemberSettings],
    pool_target: &str,
) {
    let waits: Vec<PoolDuration> = members.iter().filter_map(|m| m.acquire).collect();
    let backoffs: Vec<PoolDuration> = members.iter().filter_map(|m| m.retry).collect();
    pool.limits.wait_ms = waits.iter().map(|t| t.ms).min();
    pool.recovery.first_backoff_ms = backoffs.iter().map(|t| t.ms).min();
    for time in waits {
        ledger.report_approximated(
            time.item,
            format!("{pool_target} limits wait-ms"),
            table_reason("acquire"),
        );
    }
    for time in backoffs {
        ledger.report_approximated(
            time.item,
            format!("{pool_target} recovery first-ms"),
            table_reason("retry"),
        );
    }
}
