//! The parameters of one worker: limits of its member, its membership in a pool, and what it says for the pool.

use super::model::Worker;
use crate::coverage::{self, MEMBER_PARAMS, PROXY_PASS_KEYWORDS};
use crate::endpoint::Endpoint;
use crate::ledger::{Item, Ledger};
use crate::params::{parse_time_ms, Param, Params};
use fernslip_site::{MemberLimits, Pool, State, Use};

/// A time that a worker sets for its pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct PoolTime {
    ms: u64,
    item: Item,
}

/// What the parameters of a worker say.
#[derive(Default)]
pub(super) struct MemberSettings {
    pub limits: MemberLimits,
    weight: Option<f64>,
    tier: Option<u64>,
    state: Option<State>,
    /// How long a request waits for a connection.
    acquire: Option<PoolTime>,
    /// How long a failed worker is left alone.
    retry: Option<PoolTime>,
    /// The name that `redirect` parameters of other workers call it by.
    pub route: Option<String>,
    pub redirect: Option<Param>,
}

impl MemberSettings {
    /// The membership in a pool of the member `id`.
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

/// Why a parameter of a worker is omitted or approximated.
fn reason_of(name: &str) -> &'static str {
    let row = coverage::find(MEMBER_PARAMS, name).or_else(|| coverage::find(PROXY_PASS_KEYWORDS, name));
    row.map_or("not known to the importer", |r| r.outcome)
}

/// The endpoint of a worker; where it has none, the worker is omitted, and its parameters for the reason `param_reason`
/// makes of its own.
pub(super) fn endpoint_of(
    ledger: &mut Ledger,
    worker: &Worker,
    param_reason: impl Fn(&str) -> String,
) -> Result<Endpoint, String> {
    Endpoint::parse(&worker.url).inspect_err(|reason| {
        worker.items.iter().for_each(|i| ledger.omitted(*i, reason.clone()));
        worker.params.0.values().for_each(|p| ledger.omitted(p.item, param_reason(reason)));
    })
}

/// Reads the parameters of a worker, each with its verdict. `timeout_ms` is its server's ProxyTimeout.
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

const NO_TIME: &str = "no time of a day or less";

impl MemberSettings {
    fn read_param(&mut self, ledger: &mut Ledger, name: &str, param: Param, url: &str) {
        let Param { value, item } = &param;
        let item = *item;
        let target = |what: &str| format!("member \"{url}\" {what}");
        match name {
            "loadfactor" => {
                self.weight = value.parse().ok().filter(|w: &f64| (1.0..=100.0).contains(w));
                let otherwise = "not from 1 to 100, which httpd refuses too";
                ledger.mapped_if(self.weight.is_some(), item, target("use weight"), otherwise);
            }
            "lbset" => {
                self.tier = value.parse().ok().filter(|t| *t <= 99);
                let otherwise = "not from 0 to 99, which httpd refuses too";
                ledger.mapped_if(self.tier.is_some(), item, target("use tier"), otherwise);
            }
            "status" => self.read_status(ledger, value, item, target("use state")),
            "max" => {
                self.limits.connections = value.parse().ok().filter(|n| (1..=1 << 24).contains(n));
                match self.limits.connections {
                    Some(_) => ledger.approximated(item, target("limits connections"), reason_of("max")),
                    None => ledger.omitted(item, "no number of connections"),
                }
            }
            "ttl" | "timeout" | "connectiontimeout" => self.read_time_out(ledger, name, value, item, target),
            "acquire" | "retry" => {
                let unit_ms = if name == "retry" { 1000 } else { 1 };
                let time = parse_time_ms(value, unit_ms).map(|ms| PoolTime { ms, item });
                match (name, time) {
                    (_, None) => ledger.omitted(item, NO_TIME),
                    ("retry", time) => self.retry = time,
                    (_, time) => self.acquire = time,
                }
            }
            "route" => {
                self.route = Some(value.clone());
                ledger.omitted(item, reason_of("route"));
            }
            "redirect" => self.redirect = Some(param),
            _ => ledger.omitted(item, reason_of(name)),
        }
    }

    fn read_time_out(
        &mut self,
        ledger: &mut Ledger,
        name: &str,
        value: &str,
        item: Item,
        target: impl Fn(&str) -> String,
    ) {
        let Some(ms) = parse_time_ms(value, 1000).filter(|ms| *ms > 0) else {
            return ledger.omitted(item, NO_TIME);
        };
        match name {
            "ttl" => {
                self.limits.idle_ms = Some(ms);
                ledger.approximated(item, target("limits idle-ms"), "of every idle connection");
            }
            "timeout" => {
                self.limits.answer_ms = Some(ms);
                let reason = "of the whole answer, not of each read";
                ledger.approximated(item, target("limits answer-ms"), reason);
            }
            _ => {
                self.limits.connect_ms = Some(ms);
                ledger.mapped(item, target("limits connect-ms"));
            }
        }
    }

    fn read_status(&mut self, ledger: &mut Ledger, value: &str, item: Item, target: String) {
        let status = StatusFlags::parse(value);
        self.state = status.state();
        match (status.difference(), self.state) {
            (None, _) => ledger.mapped(item, target),
            (Some(reason), Some(_)) => ledger.approximated(item, target, reason),
            (Some(reason), None) => ledger.omitted(item, reason),
        }
    }
}

/// Status flags of a worker, [`status=`](https://httpd.apache.org/docs/2.4/mod/mod_proxy.html#status_table): `D`
/// disabled, `S` stopped, `I` ignore errors, `R` hot spare, `H` hot standby, `E` in error, `N` drain, `C` health check
/// failed.
struct StatusFlags {
    /// The flags that are set, in the order of their last setting.
    set: Vec<char>,
    /// What is no flag.
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

    /// The strictest state that a flag stands for. With an unknown flag httpd would not start; whatever was meant, the
    /// member must not arrive live.
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

    /// What of the flags the state does not say, if anything.
    fn difference(&self) -> Option<String> {
        if !self.unknown.is_empty() {
            let unknown = &self.unknown;
            return Some(format!("`{unknown}` is no status flag, and httpd refuses it: taken as stopped"));
        }
        let unsupported: String = self.set.iter().filter(|f| matches!(f, 'I' | 'E' | 'C')).collect();
        (!unsupported.is_empty()).then(|| {
            format!("{unsupported}: errors can't be ignored, and what traffic or probes showed is not kept")
        })
    }
}

/// What members say that is their pool's matter here: of several values the least takes effect.
pub(super) fn set_pool_times(
    ledger: &mut Ledger,
    pool: &mut Pool,
    members: &[MemberSettings],
    pool_target: &str,
) {
    let waits: Vec<PoolTime> = members.iter().filter_map(|m| m.acquire).collect();
    let backoffs: Vec<PoolTime> = members.iter().filter_map(|m| m.retry).collect();
    pool.limits.wait_ms = waits.iter().map(|t| t.ms).min();
    pool.recovery.first_backoff_ms = backoffs.iter().map(|t| t.ms).min();
    for time in waits {
        ledger.approximated(time.item, format!("{pool_target} limits wait-ms"), reason_of("acquire"));
    }
    for time in backoffs {
        ledger.approximated(time.item, format!("{pool_target} recovery first-ms"), reason_of("retry"));
    }
}
