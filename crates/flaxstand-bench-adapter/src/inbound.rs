//! Messages from the bench, and their translation into scheduler events. The serde attributes map the bench's
//! names for commands and fields.

use crate::error::LineError;
use crate::names::NameTable;
use flaxstand::api::{
    Arrival, AttemptEnd, AttemptNo, ClassId, Event, Key, ListScope, NodeEntry, Outcome, PlanId, Readiness,
    RequestId, Settings, ShardId, VolumeId,
};
use flaxstand_platform::Params;
use serde::Deserialize;

/// A line from the bench.
#[derive(Deserialize)]
#[serde(tag = "cmd")]
enum Line {
    #[serde(rename = "mark")]
    BatchStart {
        #[serde(rename = "atTimeMs")]
        now: f64,
    },
    #[serde(rename = "eob")]
    BatchEnd,
    #[serde(rename = "spawn")]
    Start {
        #[serde(rename = "i")]
        instance: String,
        #[serde(rename = "initSeed")]
        seed: u64,
        params: Box<Params>,
    },
    #[serde(rename = "powerOff")]
    Stop {
        #[serde(rename = "i")]
        instance: String,
    },
    #[serde(rename = "endpoints")]
    EndpointList(Addressed<EndpointList>),
    #[serde(rename = "knock")]
    RequestArrived(Addressed<RequestArrived>),
    #[serde(rename = "headers")]
    ResponseStarted(Addressed<ResponseStarted>),
    #[serde(rename = "resolved")]
    AttemptEnded(Addressed<AttemptEnded>),
    #[serde(rename = "clientLeft")]
    ClientDisconnected(Addressed<ClientDisconnected>),
    #[serde(rename = "reminder")]
    TimerFired(Addressed<TimerFired>),
    #[serde(rename = "probeDone")]
    ProbeEnded(Addressed<ProbeEnded>),
    #[serde(rename = "peerData")]
    PeerData(Addressed<PeerData>),
}

/// The fields of an event, with the instance that it is addressed to.
#[derive(Deserialize)]
struct Addressed<T> {
    #[serde(rename = "i")]
    instance: String,
    #[serde(flatten)]
    body: T,
}

impl<T> Addressed<T> {
    fn into_message(self, event: impl FnOnce(T) -> InstanceEvent) -> Message {
        Message::Event { instance: self.instance, event: event(self.body) }
    }
}

/// A message from the bench.
pub enum Message {
    /// Starts a batch of events that all happen at one time.
    BatchStart {
        /// Time of the batch, ms.
        now: f64,
    },
    /// Ends the batch: each instance that received an event is evaluated.
    BatchEnd,
    /// Starts an instance, replacing a running one of the same name.
    Start {
        /// Name of the instance.
        instance: String,
        /// Seed of the instance's random number generator.
        seed: u64,
        /// Parameters that the platform passes to the instance.
        params: Box<Params>,
    },
    /// Stops an instance and drops its state.
    Stop {
        /// Name of the instance.
        instance: String,
    },
    /// An event at an instance.
    Event {
        /// Name of the instance.
        instance: String,
        /// The event.
        event: InstanceEvent,
    },
}

impl Message {
    /// Parses one line.
    pub fn from_line(line: &str) -> Result<Self, LineError> {
        let line: Line = serde_json::from_str(line).map_err(LineError::Malformed)?;
        Ok(match line {
            Line::BatchStart { now } => Message::BatchStart { now },
            Line::BatchEnd => Message::BatchEnd,
            Line::Start { instance, seed, params } => Message::Start { instance, seed, params },
            Line::Stop { instance } => Message::Stop { instance },
            Line::EndpointList(line) => line.into_message(InstanceEvent::EndpointList),
            Line::RequestArrived(line) => line.into_message(InstanceEvent::RequestArrived),
            Line::ResponseStarted(line) => line.into_message(InstanceEvent::ResponseStarted),
            Line::AttemptEnded(line) => line.into_message(InstanceEvent::AttemptEnded),
            Line::ClientDisconnected(line) => line.into_message(InstanceEvent::ClientDisconnected),
            Line::ProbeEnded(line) => line.into_message(InstanceEvent::ProbeEnded),
            Line::TimerFired(line) => line.into_message(|_| InstanceEvent::EvaluateOnly),
            Line::PeerData(line) => line.into_message(|_| InstanceEvent::EvaluateOnly),
        })
    }
}

/// An event at an instance.
pub enum InstanceEvent {
    /// The endpoint list or changes to it.
    EndpointList(EndpointList),
    /// A client's request.
    RequestArrived(RequestArrived),
    /// A streamed response started.
    ResponseStarted(ResponseStarted),
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// A client stopped waiting.
    ClientDisconnected(ClientDisconnected),
    /// A probe ended.
    ProbeEnded(ProbeEnded),
    /// A timer, or data that the scheduler does not use: the instance is only evaluated at the end of the
    /// batch.
    EvaluateOnly,
}

/// The endpoint list or changes to it.
#[derive(Deserialize)]
pub struct EndpointList {
    scope: Scope,
    #[serde(default, rename = "elements")]
    entries: Option<Vec<Entry>>,
}

#[derive(Deserialize, Clone, Copy)]
enum Scope {
    #[serde(rename = "D")]
    Changes,
    #[serde(rename = "F")]
    Full,
    #[serde(rename = "C")]
    Cached,
    #[serde(rename = "X")]
    Failed,
}

/// An entry of the endpoint list.
#[derive(Deserialize)]
struct Entry {
    #[serde(rename = "target")]
    node: String,
    readiness: EntryReadiness,
    #[serde(rename = "bootTimeMs")]
    started_at: Option<f64>,
    size: Option<f64>,
    #[serde(default, rename = "area")]
    zone: Option<String>,
    #[serde(rename = "pod")]
    shard: Option<i64>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
enum EntryReadiness {
    Serving,
    Draining,
    #[serde(rename = "DELETED")]
    Removed,
}

/// A client's request.
#[derive(Deserialize)]
pub struct RequestArrived {
    #[serde(rename = "opId")]
    request: u64,
    class: String,
    #[serde(rename = "validUntilMs")]
    expires_at: f64,
    plan: Option<String>,
    #[serde(rename = "extent")]
    key: Option<String>,
    volume: Option<String>,
    #[serde(rename = "priceUnits")]
    units: Option<f64>,
    shard: Option<i64>,
    #[serde(rename = "writers")]
    volume_initiators: Option<u32>,
}

/// A streamed response started.
#[derive(Deserialize)]
pub struct ResponseStarted {
    #[serde(rename = "opId")]
    request: u64,
}

/// An attempt ended.
#[derive(Deserialize)]
pub struct AttemptEnded {
    #[serde(rename = "opId")]
    request: u64,
    #[serde(rename = "go")]
    attempt: u32,
    outcome: u8,
    #[serde(rename = "lagMs")]
    latency: f64,
    #[serde(rename = "complete")]
    is_final: bool,
}

/// A client stopped waiting.
#[derive(Deserialize)]
pub struct ClientDisconnected {
    #[serde(rename = "opId")]
    request: u64,
}

/// A timer fired. The bench always sends a token; an instance has only one timer, so the token is not used.
#[derive(Deserialize)]
struct TimerFired {
    #[serde(rename = "token")]
    _token: u64,
}

/// A probe ended.
#[derive(Deserialize)]
pub struct ProbeEnded {
    #[serde(rename = "target")]
    node: String,
    outcome: u8,
}

/// Data from another instance, which the scheduler does not use.
#[derive(Deserialize)]
struct PeerData {
    #[serde(rename = "contents")]
    _contents: String,
}

/// State of an instance that is needed to translate its events.
pub struct ReadContext<'a> {
    /// Parameters that the platform passed at the start.
    pub params: &'a Params,
    /// The scheduler settings derived from them.
    pub settings: &'a Settings,
    /// Names and ids of nodes and zones.
    pub names: &'a mut NameTable,
}

impl InstanceEvent {
    /// Converts the event to a scheduler event; none if the scheduler does not use it.
    pub fn into_event(self, context: &mut ReadContext<'_>) -> Result<Option<Event>, LineError> {
        Ok(Some(match self {
            InstanceEvent::EndpointList(list) => list.into_event(context.names),
            InstanceEvent::RequestArrived(arrival) => Event::RequestArrived(arrival.into_arrival(context)?),
            InstanceEvent::ResponseStarted(started) => Event::ResponseStarted(RequestId(started.request)),
            InstanceEvent::AttemptEnded(ended) => Event::AttemptEnded(ended.into_attempt_end()?),
            InstanceEvent::ClientDisconnected(disconnected) => {
                Event::ClientDisconnected(RequestId(disconnected.request))
            }
            InstanceEvent::ProbeEnded(ended) => {
                let outcome = outcome_of(ended.outcome)?;
                Event::ProbeEnded(context.names.node_id(&ended.node), outcome)
            }
            InstanceEvent::EvaluateOnly => return Ok(None),
        }))
    }
}

impl EndpointList {
    fn into_event(self, names: &mut NameTable) -> Event {
        let scope = match self.scope {
            Scope::Changes => ListScope::Changes,
            Scope::Full => ListScope::Full,
            Scope::Cached => ListScope::Cached,
            Scope::Failed => ListScope::Failed,
        };
        let entries = self.entries.unwrap_or_default();
        Event::EndpointList(scope, entries.into_iter().map(|entry| entry.into_node_entry(names)).collect())
    }
}

impl Entry {
    fn into_node_entry(self, names: &mut NameTable) -> NodeEntry {
        NodeEntry {
            node: names.node_id(&self.node),
            readiness: match self.readiness {
                EntryReadiness::Serving => Readiness::Serving,
                EntryReadiness::Draining => Readiness::Draining,
                EntryReadiness::Removed => Readiness::Removed,
            },
            started_at: self.started_at.filter(|at| *at > 0.0),
            size: self.size.unwrap_or(0.0),
            service_time: None,
            zone: names.zone_id(self.zone.as_deref().unwrap_or("")),
            shard: ShardId(self.shard.unwrap_or(-1)),
        }
    }
}

impl RequestArrived {
    fn into_arrival(self, context: &ReadContext<'_>) -> Result<Arrival, LineError> {
        let class = self.class_id(context.params)?;
        let plan = self.plan_id(context)?;
        let key = non_empty(&self.key).map(parse_hex).transpose()?;
        let volume = non_empty(&self.volume).map(parse_hex).transpose()?;
        Ok(Arrival {
            id: RequestId(self.request),
            class,
            plan,
            key: key.map(Key),
            expires_at: self.expires_at,
            volume: VolumeId(volume.unwrap_or(0)),
            units: self.units.unwrap_or(1.0),
            shard: self.shard.filter(|shard| *shard >= 0).map(ShardId),
            volume_initiators: self.volume_initiators.unwrap_or(1).max(1),
        })
    }

    fn class_id(&self, params: &Params) -> Result<ClassId, LineError> {
        let position = params.classes().position(|name| name == self.class);
        position.map(ClassId).ok_or_else(|| LineError::UnknownClass(self.class.clone()))
    }

    /// The named plan, or the first one if none is named.
    fn plan_id(&self, context: &ReadContext<'_>) -> Result<PlanId, LineError> {
        let position = match &self.plan {
            Some(name) => context.params.plans().position(|plan| plan == name),
            None => Some(0),
        };
        let position = position.ok_or_else(|| LineError::UnknownPlan(self.plan.clone()))?;
        let last = context.settings.plans.len().saturating_sub(1);
        Ok(PlanId(position.min(last)))
    }
}

impl AttemptEnded {
    fn into_attempt_end(self) -> Result<AttemptEnd, LineError> {
        Ok(AttemptEnd {
            request: RequestId(self.request),
            attempt: AttemptNo(self.attempt),
            outcome: outcome_of(self.outcome)?,
            latency: self.latency,
            is_final: self.is_final,
        })
    }
}

/// A field's text, unless it is absent or empty.
fn non_empty(name: &Option<String>) -> Option<&str> {
    name.as_deref().filter(|name| !name.is_empty())
}

fn parse_hex(text: &str) -> Result<u64, LineError> {
    u64::from_str_radix(text, 16).map_err(|_| LineError::NotHexDigits(text.to_owned()))
}

/// Maps the bench's outcome codes.
fn outcome_of(code: u8) -> Result<Outcome, LineError> {
    Ok(match code {
        1 => Outcome::Served,
        2 => Outcome::Error,
        3 => Outcome::Rejected,
        4 => Outcome::TimedOut,
        5 => Outcome::ConnectFailed,
        6 => Outcome::Reset,
        7 => Outcome::Cancelled,
        8 => Outcome::NotSent,
        _ => return Err(LineError::UnknownOutcome(code)),
    })
}
