//! Between clients, the write-back buffer and the decision module. Every write (where writes are buffered at
//! all) is offered to the buffer first; what it sends through, and its own write-outs, are ordinary requests
//! to the module.

use super::Core;
use super::clients::Fault;
use super::config::WriteBack;
use super::plumbing::Timer;
use super::requests::{Held, Owner, Verdict, With};
use crate::machine::{Command, ConnId, Micros};
use flaxstand::api::{
    Arrival, Class, ClassId, Effect, Event, Key, PlanId, RequestId, Settings, ShardId, VolumeId,
};
use flaxstand_proto::{CloseReason, Frame, Refusal, Scope, Submit};
use flaxstand_write_back::buffer::BufferingMode;
use flaxstand_write_back::image::MAX_EXTENT_BYTES;
use flaxstand_write_back::record::WallClock;
use flaxstand_write_back::writeout::{Urgency, WriteOutRetryBudget};
use flaxstand_write_back::{
    Action, BufferedRead, Config, Expired, ExtentId, Recovered, Status, Write, WriteBackBuffer, WriteHandle,
    WriteOutId, WriteOutResult, WriteRequest,
};
use std::collections::BTreeMap;
use tracing::{debug, info};

/// The buffer with what the core knows of its write-outs.
#[derive(Debug)]
pub(super) struct Back {
    pub(super) buffer: WriteBackBuffer,
    settings: WriteBack,
    /// Classes of the site; the module's own for write-outs follow them.
    classes: usize,
    tries: BTreeMap<WriteOutId, RequestId>,
}

/// What write-outs are to the module, by urgency: worth in parts of their class's, aim in multiples of it. At
/// the last they are worth as much as anything is.
fn write_out_class(class: &Class, level: Urgency, most: f64) -> Class {
    let (priority_weight, latency_objective) = match level {
        Urgency::Idle => (class.priority_weight * 0.05, 4.0),
        Urgency::Rising => (class.priority_weight * 0.3, 2.0),
        Urgency::High => (class.priority_weight, 1.0),
        Urgency::Urgent => (most, 1.0),
    };
    let latency_objective = class.latency_objective * latency_objective;
    // No client waits for it: it is worth as much after the aim as before.
    Class {
        priority_weight,
        latency_objective,
        deadline: class.deadline.max(latency_objective),
        late_value: 1.0,
        ..class.clone()
    }
}

/// What the module is told of a site whose writes are buffered: after the site's classes, one for each of
/// them and each urgency.
pub(super) fn with_write_outs(settings: &Settings) -> Settings {
    let most = settings.classes.iter().map(|c| c.priority_weight).fold(0.0, f64::max);
    let of = |class| Urgency::ALL.map(|level| write_out_class(class, level, most));
    let own: Vec<Class> = settings.classes.iter().flat_map(of).collect();
    let mut settings = settings.clone();
    settings.classes.extend(own);
    settings
}

fn buffer_config(w: &WriteBack, core: &Core) -> Config {
    let site = &core.config.site;
    let buffering = |(info, class): (&super::ClassInfo, &Class)| match (info.is_buffered, class.effect) {
        (true, Effect::Idempotent) => BufferingMode::Repeatable,
        (true, Effect::IdempotencyKey { window, .. }) => BufferingMode::Keyed(Micros::from_ms(window)),
        (true, Effect::AtMostOnce) | (false, _) => BufferingMode::Never,
    };
    let span = |b: flaxstand::api::RetryBudget| WriteOutRetryBudget {
        floor: b.floor,
        ratio: b.ratio,
        span: Micros::from_ms(b.span),
    };
    Config {
        rules: w.limits.clone(),
        refusal_wait: Micros::from_ms(site.settings.max_retry_after),
        key_cooldown: Micros::from_ms(site.settings.key_cooldown),
        classes: site.classes.iter().zip(&site.settings.classes).map(buffering).collect(),
        repeats: site.settings.retry_budget.map(span),
        calendar: WallClock(core.config.calendar),
    }
}

impl Core {
    /// Buffers writes from now on, as the site's settings say, and goes on with what was read back. Without
    /// this, or without such settings, every write goes through.
    pub fn attach(&mut self, recovered: Recovered, now: Micros) {
        let Some(settings) = self.config.site.write_back.clone() else { return };
        let buffer = WriteBackBuffer::new(buffer_config(&settings, self), recovered, now);
        let classes = self.config.site.classes.len();
        self.back = Some(Back { buffer, settings, classes, tries: BTreeMap::new() });
        self.undecided = true;
    }

    /// How a batch went that `Command::StoreWriteBack` asked for.
    pub(super) fn batch_stored(&mut self, well: bool, now: Micros) {
        if let Some(back) = &mut self.back {
            back.buffer.stored(well, now);
        }
    }

    /// The buffer's figures, where writes are buffered.
    pub fn buffer_status(&self, now: Micros) -> Option<Status> {
        self.back.as_ref().map(|b| b.buffer.status(now))
    }

    /// What a write may not be, whatever becomes of it.
    pub(super) fn range_fault(s: &Submit<'_>) -> Result<(), Fault> {
        let Some(at) = s.at else { return Ok(()) };
        let end = at as usize + s.payload.len();
        let fault = |text: String| Err((CloseReason::Protocol, text));
        match (s.write, s.extent) {
            (true, Some(_)) if end <= MAX_EXTENT_BYTES => Ok(()),
            (true, Some(_)) => fault(format!("a write up to byte {end}, extents have {MAX_EXTENT_BYTES}")),
            _ => fault("a byte to begin at, which only a write of an extent has".into()),
        }
    }

    /// A request that was taken: to the buffer if that concerns it. True: the module must not hear of it yet.
    pub(super) fn offer(&mut self, id: RequestId, s: &Submit<'_>, now: Micros) -> bool {
        let Some(back) = &mut self.back else { return false };
        let handle = WriteHandle(id.0);
        let extent_id = s.extent.map(|extent| ExtentId { volume: s.volume, extent });
        if !s.write {
            let Some(extent_id) = extent_id else { return false };
            match back.buffer.read(handle, extent_id) {
                BufferedRead::Plain => return false,
                BufferedRead::Merge => {
                    if let Some(held) = self.requests.get_mut(&id) {
                        held.merge = Some(extent_id);
                    }
                    return false;
                }
                BufferedRead::Whole { shard, data } => {
                    self.counts.served += 1;
                    self.counts.read_back += 1;
                    self.answer(id, Verdict::Served, now, |id| Frame::Served { id, shard, payload: &data });
                    return true;
                }
            }
        }
        if let Some(held) = self.requests.get_mut(&id) {
            held.with = With::Buffer;
        }
        // A new object has no node yet, and the volume may be one that is not buffered.
        let may = back.settings.volumes.as_ref().is_none_or(|v| v.contains(&s.volume));
        match (extent_id, s.shard) {
            (Some(extent_id), Some(shard))
                if may && back.buffer.buffering(s.class) != BufferingMode::Never =>
            {
                let write = Write {
                    extent_id,
                    class: s.class,
                    plan: s.plan,
                    volume_initiators: s.volume_initiators.max(1),
                    shard,
                    units: s.units,
                    operation: s.operation,
                    at: s.at,
                    payload: s.payload.to_vec(),
                };
                back.buffer.offer(WriteRequest { handle, write }, now);
            }
            _ => back.buffer.pass(handle, s.volume, extent_id, now),
        }
        true
    }

    /// A client's barrier or flush.
    pub(super) fn submitted_mark(
        &mut self,
        conn: ConnId,
        client_id: u64,
        mark: Mark,
        time_left: u32,
        now: Micros,
    ) -> Result<(), Fault> {
        let Some((id, expires_at)) = self.admit(conn, client_id, None, time_left, now)? else {
            return Ok(());
        };
        self.requests.insert(id, Held::mark((conn, client_id), expires_at));
        self.plumbing.at(expires_at, Timer::Deadline(id));
        let Some(back) = &mut self.back else {
            let (wait, refusal, scope) = (0, Refusal::Unbuffered, Scope::All);
            self.counts.turned_away += 1;
            self.answer(id, Verdict::NotRun(Micros(0)), now, |id| Frame::Refused {
                id,
                wait,
                refusal,
                scope,
            });
            return Ok(());
        };
        match mark {
            Mark::Barrier(volume) => back.buffer.barrier(WriteHandle(id.0), volume, now),
            Mark::Flush(volume) => back.buffer.flush(WriteHandle(id.0), volume),
        }
        Ok(())
    }

    /// The buffer looks at all that it was told. Returns when it wants to look again.
    pub(super) fn settle_buffer(&mut self, now: Micros) -> Option<Micros> {
        loop {
            let back = self.back.as_mut()?;
            let wake = back.buffer.settle(now);
            let actions = back.buffer.take_actions();
            if actions.is_empty() {
                return wake;
            }
            actions.into_iter().for_each(|action| self.carry_out(action, now));
        }
    }

    fn carry_out(&mut self, action: Action, now: Micros) {
        let request = |handle: WriteHandle| RequestId(handle.0);
        match action {
            Action::Store(batch) => self.plumbing.command(Command::StoreWriteBack(batch)),
            Action::Buffered(handle) => self.buffered(request(handle), now),
            Action::Through(handle) => self.through(request(handle)),
            Action::Refused { handle, wait } => self.refused_here(request(handle), wait, now),
            Action::Barred(handle) => {
                self.answer(request(handle), Verdict::Served, now, |id| Frame::Barred { id });
            }
            Action::Flushed(handle) => {
                self.answer(request(handle), Verdict::Served, now, |id| Frame::Flushed { id });
            }
            Action::Send { id, write, level, until } => self.write_out(id, write, level, until, now),
            Action::Withdraw(id) => self.withdraw(id, now),
        }
    }

    fn buffered(&mut self, id: RequestId, now: Micros) {
        debug!(request = id.0, "buffered");
        self.counts.buffered += 1;
        self.answer(id, Verdict::Served, now, |id| Frame::Buffered { id });
    }

    fn refused_here(&mut self, id: RequestId, wait: Micros, now: Micros) {
        let wait = u32::try_from(wait.0).unwrap_or(u32::MAX);
        let (refusal, scope) = (Refusal::Buffer, Scope::Request);
        self.counts.turned_away += 1;
        self.answer(id, Verdict::NotRun(Micros(0)), now, |id| Frame::Refused { id, wait, refusal, scope });
    }

    /// The buffer lets a client's request go to its node.
    fn through(&mut self, id: RequestId) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        held.with = With::Module { through: true };
        if let Some(held) = self.requests.get(&id) {
            let arrival = held.arrival(id, self.brain_class(held));
            self.events.push_back(Event::RequestArrived(arrival));
        }
    }

    /// A write-out becomes a request.
    fn write_out(
        &mut self,
        id: WriteOutId,
        write: Write,
        level: Urgency,
        until: Option<Micros>,
        now: Micros,
    ) {
        let Some(back) = &mut self.back else { return };
        let class = back.classes + usize::from(write.class) * Urgency::ALL.len() + level as usize;
        let deadline = Micros::from_ms(self.brain_classes[class].deadline);
        let expires_at = until.map_or(now.after(deadline), |until| now.after(deadline).min(until));
        self.next_request += 1;
        let request = RequestId(self.next_request);
        back.tries.insert(id, request);
        self.volumes.insert(VolumeId(write.extent_id.volume));
        debug!(request = request.0, attempt = id.0, ?level, operation = write.operation, "write-out");
        let held = Held::write_out(id, write, expires_at);
        self.events.push_back(Event::RequestArrived(held.arrival(request, class)));
        self.requests.insert(request, held);
        self.plumbing.at(expires_at, Timer::Deadline(request));
    }

    /// A write-out that waits with the module at too low a worth is taken back, if none of it has left.
    fn withdraw(&mut self, id: WriteOutId, now: Micros) {
        let Some(back) = &mut self.back else { return };
        let Some(request) = back.tries.get(&id).copied() else { return };
        if self.requests.get(&request).is_some_and(|r| r.attempts == 0) {
            back.tries.remove(&id);
            back.buffer.try_ended(id, WriteOutResult::Withdrawn, now);
            if let Some(held) = self.requests.remove(&request) {
                self.plumbing.cancel(held.expires_at, Timer::Deadline(request));
            }
            self.events.push_back(Event::ClientGone(request));
        }
    }

    /// A request's time is up while the buffer has it. False: the buffer does not.
    pub(super) fn expire_here(&mut self, id: RequestId, now: Micros) -> bool {
        let here = self.requests.get(&id).is_some_and(|r| r.with == With::Buffer && r.owner.is_some());
        let Some(back) = self.back.as_mut().filter(|_| here) else { return false };
        match back.buffer.expire(WriteHandle(id.0), now) {
            Expired::Buffered => self.buffered(id, now),
            // Let through, and not yet told to the module: it has not run either.
            Expired::Refuse | Expired::Elsewhere => {
                let wait = Micros::from_ms(self.config.site.settings.max_retry_after);
                self.refused_here(id, wait, now);
            }
            Expired::Fail => self.fail(id, now),
        }
        true
    }

    /// A request is over: answered, and nothing of it is out.
    pub(super) fn over(&mut self, id: RequestId, held: &Held, now: Micros) {
        let Some(back) = &mut self.back else { return };
        let unsure = held.ran;
        match held.owner_was {
            Owner::Buffer(try_id) => {
                if back.tries.remove(&try_id).is_none() {
                    return;
                }
                let end = match held.verdict {
                    Verdict::Served => WriteOutResult::Confirmed { lingers: unsure },
                    Verdict::NotRun(_) | Verdict::Failed | Verdict::None if unsure => WriteOutResult::Unsure,
                    Verdict::NotRun(wait) => WriteOutResult::NotRun { wait },
                    Verdict::Failed | Verdict::None => WriteOutResult::NotRun { wait: Micros(0) },
                };
                back.buffer.try_ended(try_id, end, now);
            }
            Owner::Client(..) => match held.with {
                With::Module { through: true } => back.buffer.through_ended(WriteHandle(id.0), unsure, now),
                With::Buffer => back.buffer.gone(WriteHandle(id.0), now),
                With::Module { through: false } if held.merge.is_some() => {
                    back.buffer.gone(WriteHandle(id.0), now)
                }
                With::Module { through: false } => {}
            },
        }
    }

    /// Lays what is buffered over a node's answer.
    pub(super) fn merged(&mut self, id: RequestId, payload: &[u8], now: Micros) -> Vec<u8> {
        let mut data = payload.to_vec();
        if let Some(back) = &mut self.back {
            back.buffer.merge(WriteHandle(id.0), &mut data, now);
        }
        data
    }

    /// The buffer's figures for a client.
    pub(super) fn asked_status(&mut self, conn: ConnId, id: u64, now: Micros) {
        let json = match self.buffer_status(now) {
            None => "{}".to_owned(),
            Some(s) => status_json(&s),
        };
        self.plumbing.push(conn, &Frame::Status { id, json: json.as_bytes() });
        self.client_wrote(conn, now);
    }

    /// Nothing is buffered any more, and what is goes out.
    pub(super) fn drain_buffer(&mut self, now: Micros) {
        if let Some(back) = &mut self.back {
            back.buffer.drain();
            let s = back.buffer.status(now);
            info!(
                writes = s.writes,
                bytes = s.bytes,
                "what is buffered goes out; what is left stays in the log"
            );
        }
    }

    /// Whether the buffer has nothing more to bring anywhere.
    pub(super) fn buffer_drained(&self) -> bool {
        self.back.as_ref().is_none_or(|b| b.buffer.drained())
    }
}

/// A client's mark in the order of its writes.
#[derive(Clone, Copy, Debug)]
pub(super) enum Mark {
    Barrier(u64),
    Flush(Option<u64>),
}

/// Figures as a JSON object. Names carry their units.
fn status_json(s: &Status) -> String {
    let mut out = String::from("{");
    let figures: [(&str, u64); 20] = [
        ("writes", s.writes as u64),
        ("bytes", s.bytes),
        ("bytes_most", s.bytes_most),
        ("log_bytes", s.log_bytes),
        ("oldest_us", s.oldest.0),
        ("parked", s.parked as u64),
        ("waiting", s.waiting as u64),
        ("failing", s.failing.into()),
        ("out", s.out as u64),
        ("acknowledged_total", s.acknowledged),
        ("turned_through_total", s.turned_through),
        ("written_out_total", s.written_out),
        ("write_outs_total", s.write_outs),
        ("repeats_total", s.repeats),
        ("replayed_total", s.replayed),
        ("syncs_total", s.log.syncs),
        ("records_total", s.log.records),
        ("written_bytes_total", s.log.bytes),
        ("failures_total", s.log.failures),
        ("buffering", 1),
    ];
    for (i, (name, value)) in figures.iter().enumerate() {
        out.push_str(if i > 0 { ", " } else { "" });
        out.push_str(&format!("\"{name}\": {value}"));
    }
    out + "}"
}

impl Held {
    /// What the module is told of it; `class` is the module's.
    pub(super) fn arrival(&self, id: RequestId, class: usize) -> Arrival {
        Arrival {
            id,
            class: ClassId(class),
            plan: PlanId(self.plan.into()),
            key: self.extent.map(Key),
            expires_at: self.expires_at.ms(),
            volume: VolumeId(self.volume),
            units: self.units.into(),
            shard: self.shard.map(|shard| ShardId(shard.into())),
            volume_initiators: u32::from(self.volume_initiators.max(1)),
        }
    }
}
