//! The wire's messages, and their translation to and from the module's interface.

use flaxstand::api::{
    Action, Arrival, AttemptEnd, AttemptNo, ClassId, Event, Key, ListScope, NodeEntry, NodeId, Outcome,
    PlanId, Readiness, RequestId, Settings, ShardId, VolumeId, ZoneId,
};
use flaxstand_platform::Params;
use serde::{Deserialize, Serialize};

/// A message from the bench.
#[derive(Deserialize)]
#[serde(tag = "cmd", rename_all = "camelCase", rename_all_fields = "camelCase")]
pub enum Inbound {
    Mark { at_time_ms: f64 },
    Eob,
    Spawn { i: String, init_seed: u64, params: Box<Params> },
    PowerOff { i: String },
    Endpoints(Named<Endpoints>),
    Knock(Named<Knock>),
    Headers(Named<Headers>),
    Resolved(Named<Resolved>),
    ClientLeft(Named<ClientLeft>),
    Reminder(Named<Reminder>),
    ProbeDone(Named<ProbeDone>),
    PeerData(Named<PeerData>),
}

/// An event with the instance that it belongs to.
#[derive(Deserialize)]
pub struct Named<T> {
    i: String,
    #[serde(flatten)]
    body: T,
}

/// An event's own part.
pub enum Body {
    Endpoints(Endpoints),
    Knock(Knock),
    Headers(Headers),
    Resolved(Resolved),
    ClientLeft(ClientLeft),
    ProbeDone(ProbeDone),
    /// Tells nothing beyond that time has passed, or nothing that the module asked for.
    Idle,
}

#[derive(Deserialize)]
pub struct Endpoints {
    scope: Scope,
    #[serde(default)]
    elements: Option<Vec<Element>>,
}

#[derive(Deserialize, Clone, Copy)]
enum Scope {
    D,
    F,
    C,
    X,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Element {
    target: String,
    readiness: WireReadiness,
    boot_time_ms: Option<f64>,
    size: Option<f64>,
    #[serde(default)]
    area: Option<String>,
    pod: Option<i64>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
enum WireReadiness {
    Serving,
    Draining,
    Deleted,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Knock {
    op_id: u64,
    class: String,
    valid_until_ms: f64,
    plan: Option<String>,
    extent: Option<String>,
    volume: Option<String>,
    price_units: Option<f64>,
    shard: Option<i64>,
    #[serde(rename = "writers")]
    volume_initiators: Option<u32>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Headers {
    op_id: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Resolved {
    op_id: u64,
    go: u32,
    outcome: u8,
    lag_ms: f64,
    complete: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ClientLeft {
    op_id: u64,
}

#[derive(Deserialize)]
pub struct Reminder {
    #[serde(rename = "token")]
    _token: u64,
}

#[derive(Deserialize)]
pub struct ProbeDone {
    target: String,
    outcome: u8,
}

#[derive(Deserialize)]
pub struct PeerData {
    #[serde(rename = "contents")]
    _contents: String,
}

impl Inbound {
    /// Parts an instance's event into its name and body. Messages without one yield no instance.
    pub fn split(self) -> (String, Body) {
        match self {
            Inbound::Endpoints(n) => (n.i, Body::Endpoints(n.body)),
            Inbound::Knock(n) => (n.i, Body::Knock(n.body)),
            Inbound::Headers(n) => (n.i, Body::Headers(n.body)),
            Inbound::Resolved(n) => (n.i, Body::Resolved(n.body)),
            Inbound::ClientLeft(n) => (n.i, Body::ClientLeft(n.body)),
            Inbound::Reminder(n) => (n.i, Body::Idle),
            Inbound::ProbeDone(n) => (n.i, Body::ProbeDone(n.body)),
            Inbound::PeerData(n) => (n.i, Body::Idle),
            Inbound::Spawn { i, .. } | Inbound::PowerOff { i } => (i, Body::Idle),
            Inbound::Mark { .. } | Inbound::Eob => (String::new(), Body::Idle),
        }
    }
}

impl Body {
    /// The module's event, or none where the module has no use for it.
    pub fn read(
        self,
        params: &Params,
        settings: &Settings,
        mut node: impl FnMut(&str) -> NodeId,
        mut zone: impl FnMut(&str) -> u32,
    ) -> Result<Option<Event>, String> {
        Ok(Some(match self {
            Body::Endpoints(list) => {
                let scope = match list.scope {
                    Scope::D => ListScope::Changes,
                    Scope::F => ListScope::Full,
                    Scope::C => ListScope::Cached,
                    Scope::X => ListScope::Failed,
                };
                let entries = list.elements.unwrap_or_default().into_iter().map(|e| NodeEntry {
                    node: node(&e.target),
                    readiness: match e.readiness {
                        WireReadiness::Serving => Readiness::Serving,
                        WireReadiness::Draining => Readiness::Draining,
                        WireReadiness::Deleted => Readiness::Removed,
                    },
                    started_at: e.boot_time_ms.filter(|at| *at > 0.0),
                    size: e.size.unwrap_or(0.0),
                    service_time: None,
                    zone: ZoneId(zone(e.area.as_deref().unwrap_or(""))),
                    shard: ShardId(e.pod.unwrap_or(-1)),
                });
                Event::EndpointList(scope, entries.collect())
            }
            Body::Knock(k) => {
                let class = params.classes().position(|name| name == k.class);
                let class = class.ok_or_else(|| format!("unknown class {}", k.class))?;
                let plan = match &k.plan {
                    Some(name) => params.plans().position(|plan| plan == name),
                    None => Some(0),
                };
                let plan = plan.ok_or_else(|| format!("unknown plan {:?}", k.plan))?;
                Event::RequestArrived(Arrival {
                    id: RequestId(k.op_id),
                    class: ClassId(class),
                    plan: PlanId(plan.min(settings.plans.len().saturating_sub(1))),
                    key: k.extent.as_deref().filter(|e| !e.is_empty()).map(hex).transpose()?.map(Key),
                    expires_at: k.valid_until_ms,
                    volume: VolumeId(k.volume.as_deref().filter(|v| !v.is_empty()).map_or(Ok(0), hex)?),
                    units: k.price_units.unwrap_or(1.0),
                    shard: k.shard.filter(|s| *s >= 0).map(ShardId),
                    volume_initiators: k.volume_initiators.unwrap_or(1).max(1),
                })
            }
            Body::Headers(h) => Event::ResponseStarted(RequestId(h.op_id)),
            Body::Resolved(r) => Event::AttemptEnded(AttemptEnd {
                request: RequestId(r.op_id),
                attempt: AttemptNo(r.go),
                outcome: outcome(r.outcome)?,
                latency: r.lag_ms,
                is_final: r.complete,
            }),
            Body::ClientLeft(c) => Event::ClientGone(RequestId(c.op_id)),
            Body::ProbeDone(p) => Event::ProbeEnded(node(&p.target), outcome(p.outcome)?),
            Body::Idle => return Ok(None),
        }))
    }
}

fn hex(text: &str) -> Result<u64, String> {
    u64::from_str_radix(text, 16).map_err(|_| format!("not a key of hex digits: {text:?}"))
}

fn outcome(code: u8) -> Result<Outcome, String> {
    Ok(match code {
        1 => Outcome::Served,
        2 => Outcome::Error,
        3 => Outcome::Rejected,
        4 => Outcome::TimedOut,
        5 => Outcome::ConnectFailed,
        6 => Outcome::Reset,
        7 => Outcome::Cancelled,
        8 => Outcome::NotSent,
        _ => return Err(format!("unknown outcome {code}")),
    })
}

/// A message to the bench.
#[derive(Serialize)]
#[serde(tag = "cmd", rename_all = "camelCase", rename_all_fields = "camelCase")]
pub enum Outbound<'a> {
    Assign { i: &'a str, op_id: u64, target: &'a str },
    DropAttempt { i: &'a str, op_id: u64, go: u32 },
    Sample { i: &'a str, target: &'a str },
    Reject { i: &'a str, op_id: u64, backoff_ms: f64 },
    DropRequest { i: &'a str, op_id: u64 },
    Timer { i: &'a str, in_ms: f64, token: u64 },
    Observe { i: &'a str, active: bool },
    Next,
}

impl<'a> Outbound<'a> {
    /// The wire's form of an action.
    pub fn from_action(
        i: &'a str,
        action: &Action,
        name_of: impl Fn(NodeId) -> Result<&'a str, String>,
    ) -> Result<Self, String> {
        Ok(match *action {
            Action::Send { request, node, .. } => {
                Outbound::Assign { i, op_id: request.0, target: name_of(node)? }
            }
            Action::Cancel { request, attempt } => {
                Outbound::DropAttempt { i, op_id: request.0, go: attempt.0 }
            }
            Action::Probe { node } => Outbound::Sample { i, target: name_of(node)? },
            Action::Reject { request, retry_after } => {
                Outbound::Reject { i, op_id: request.0, backoff_ms: retry_after }
            }
            Action::Fail { request } => Outbound::DropRequest { i, op_id: request.0 },
            Action::SetTimer { after } => Outbound::Timer { i, in_ms: after, token: 0 },
            Action::PollList => Outbound::Observe { i, active: true },
        })
    }
}
