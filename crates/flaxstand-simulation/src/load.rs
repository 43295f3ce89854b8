//! Emulated clients: open-loop arrivals (they do not wait for answers), volumes spread over initiators and
//! nodes, and retries. They record what they send and read; the audit judges it.

use crate::day::{Day, RetryPolicy};
use crate::shell::{Links, Peer};
use crate::{between, random};
use flaxstand::api::{DeduplicationScope, Effect};
use flaxstand_audit::{Answer, Mark, Record};
use flaxstand_gateway::machine::{Address, Command, ConnId, Micros};
use flaxstand_proto::{Frame, Hello, Role, Submit, VERSION, VERSION_OLDEST};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of recently written objects kept for reads.
const MAX_RECENT: usize = 4096;
/// Range of the wait before a client reconnects to its initiator, ms.
const RECONNECT_WAIT_MS: (f64, f64) = (50.0, 250.0);
/// A client makes no try with less time left than this, since an answer could not arrive in time.
const MIN_TRY_TIME: Micros = Micros(20_000);

struct Volume {
    id: u64,
    plan: u16,
    weight: f64,
    /// Number of writes of buffered classes so far.
    buffered: u64,
    hosts: Vec<u32>,
    shards: Vec<u32>,
}

/// An operation of a client.
#[derive(Clone)]
struct Operation {
    op: u64,
    class: u16,
    plan: u16,
    volume: u64,
    volume_initiators: u16,
    extent: u64,
    shard: Option<u32>,
    units: u32,
    write: bool,
    tries: u8,
    started_at: Micros,
    until: Micros,
}

impl Operation {
    /// Returns the payload: a write begins with the operation's number, which identifies the write that a
    /// read returned.
    fn payload(&self, length: usize) -> Vec<u8> {
        if !self.write {
            return Vec::new();
        }
        let mut payload = vec![0; length];
        payload[..8].copy_from_slice(&self.op.to_le_bytes());
        payload
    }

    /// Returns when a client forgets a try: a second after its deadline, so that a late answer is still
    /// recorded.
    fn expiry(&self, client: usize, id: u64) -> (Micros, Due) {
        (self.until.after(Micros(1_000_000)), Due::Expire(client, id))
    }
}

struct Client {
    initiator: u32,
    conn: Option<ConnId>,
    /// Number of this connection in the records; 0: the handshake is not done.
    number: u64,
    /// Time before which the initiator asked it not to reconnect.
    reconnect_at: Micros,
    /// Tokens of its retry budget.
    tokens: f64,
    honours_wait: bool,
    pending: BTreeMap<u64, Operation>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Connect(usize),
    Retry(u64),
    Expire(usize, u64),
}

/// All clients of a day.
pub struct Load {
    day: Day,
    seconds: f64,
    rng: Pcg64Mcg,
    addresses: Vec<Address>,
    clients: Vec<Client>,
    by_conn: BTreeMap<ConnId, usize>,
    volumes: Vec<Volume>,
    started: Option<Micros>,
    next_arrival: Micros,
    next_op: u64,
    next_number: u64,
    next_try: u64,
    /// Operations waiting for a retry, and their clients.
    waiting_retries: BTreeMap<u64, (usize, Operation)>,
    due: BTreeSet<(Micros, Due)>,
    /// Recently written objects: index of the volume, extent, shard.
    written: VecDeque<(usize, u64, u32)>,
    /// Recently buffered items: index of the volume, extent, shard.
    buffered: VecDeque<(usize, u64, u32)>,
    done: bool,
}

impl Load {
    /// Creates the clients of a day that lasts `seconds`, with the addresses of its initiators.
    pub fn new(day: Day, seconds: f64, addresses: Vec<Address>) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(day.seed);
        let hosts = addresses.len() as u32;
        let per = day.traffic.clients;
        let client = |i: u32, rng: &mut Pcg64Mcg| Client {
            initiator: i % hosts.max(1),
            conn: None,
            number: 0,
            reconnect_at: Micros(0),
            tokens: 5.0,
            honours_wait: random(rng) < day.traffic.honour,
            pending: BTreeMap::new(),
        };
        let clients: Vec<Client> = (0..hosts * per).map(|i| client(i, &mut rng)).collect();
        let volumes = (0..day.traffic.volumes).map(|_| volume(&day, hosts, &mut rng)).collect();
        let due = (0..clients.len()).map(|c| (Micros(0), Due::Connect(c))).collect();
        Load {
            rng,
            seconds,
            addresses,
            clients,
            by_conn: BTreeMap::new(),
            volumes,
            started: None,
            next_arrival: Micros(0),
            next_op: 0,
            next_number: 0,
            next_try: 0,
            waiting_retries: BTreeMap::new(),
            due,
            written: VecDeque::new(),
            buffered: VecDeque::new(),
            done: false,
            day,
        }
    }

    /// Draws an index with a probability proportional to its weight.
    fn draw(&mut self, weights: impl Iterator<Item = f64> + Clone) -> usize {
        let mut point = random(&mut self.rng) * weights.clone().sum::<f64>();
        let last = weights.clone().count().saturating_sub(1);
        let passes = |weight: f64| {
            point -= weight;
            point < 0.0
        };
        weights.into_iter().position(passes).unwrap_or(last)
    }

    fn submit_arrival(&mut self, links: &mut Links, at: f64, now: Micros) {
        let weights: Vec<f64> = self.volumes.iter().map(|v| v.weight * self.day.factor(v.plan, at)).collect();
        let mut volume = self.draw(weights.into_iter());
        let shares: Vec<f64> = self.day.mixes.iter().map(|m| m.share).collect();
        let class = self.draw(shares.into_iter());
        let mix = self.day.mixes[class];
        let most = f64::from(self.day.traffic.units);
        let units = 1 + ((most - 1.0) * random(&mut self.rng).powi(2)).round() as u32;
        self.next_op += 1;
        let v = &self.volumes[volume];
        let id = v.id;
        let item = (random(&mut self.rng) * mix.items as f64) as u64;
        let fixed = v.shards.get(item as usize % v.shards.len().max(1)).copied();
        // Existing items have numbers of their own, apart from those of new objects.
        let (mut extent, mut shard) = ((id ^ item.wrapping_mul(0x9E37_79B9_7F4A_7C15)) | 1 << 63, fixed);
        if mix.write && random(&mut self.rng) < mix.new {
            (extent, shard) = (self.next_op, None);
        } else if !mix.write && random(&mut self.rng) < mix.reread {
            (extent, shard) = self.draw_written(volume).unwrap_or((extent, shard));
        }
        // All requests for a buffered item go through one initiator, since only that one keeps them in
        // order.
        let buffered = mix.write && self.day.site.site.classes[class].is_buffered;
        let mut one_way = buffered;
        if buffered {
            (extent, shard) = (extent ^ ((class as u64 + 1) << 40), fixed);
        } else if !mix.write && !self.buffered.is_empty() && random(&mut self.rng) < mix.reread_buffered {
            let at = (random(&mut self.rng) * self.buffered.len() as f64) as usize;
            let (written_in, written, at) = self.buffered[at];
            (volume, extent, shard, one_way) = (written_in, written, Some(at), true);
        }
        let v = &self.volumes[volume];
        let (id, plan, volume_initiators, hosts) = (v.id, v.plan, v.hosts.len() as u16, v.hosts.clone());
        let deadline = Micros::from_ms(self.day.site.site.settings.classes[class].deadline);
        let operation = Operation {
            op: self.next_op,
            class: class as u16,
            plan,
            volume: id,
            volume_initiators,
            extent,
            shard,
            units,
            write: mix.write,
            tries: 0,
            started_at: now,
            until: now.after(deadline),
        };
        let client = if one_way { hosts[0] as usize } else { self.draw_client(&hosts) };
        self.submit(links, client, operation, now);
        if buffered {
            self.send_marks(links, client, volume, now);
        }
    }

    /// Draws one of the 16 objects of a volume that were written last.
    fn draw_written(&mut self, volume: usize) -> Option<(u64, Option<u32>)> {
        let recent = self.written.iter().rev().filter(|(at, ..)| *at == volume).take(16);
        let recent: Vec<(u64, u32)> = recent.map(|(_, extent, shard)| (*extent, *shard)).collect();
        if recent.is_empty() {
            return None;
        }
        let (extent, shard) = recent[(random(&mut self.rng) * recent.len() as f64) as usize];
        Some((extent, Some(shard)))
    }

    /// Draws the client of a request; the first host of a volume takes most of its requests.
    fn draw_client(&mut self, hosts: &[u32]) -> usize {
        let host = hosts[(random(&mut self.rng).powi(2) * hosts.len() as f64) as usize];
        let nth = (random(&mut self.rng) * f64::from(self.day.traffic.clients)) as usize;
        nth * self.addresses.len() + host as usize
    }

    /// Sends a barrier or a flush after a buffered write, if one is due.
    fn send_marks(&mut self, links: &mut Links, at: usize, volume: usize, now: Micros) {
        let v = &mut self.volumes[volume];
        v.buffered += 1;
        let (volume, count) = (v.id, v.buffered);
        let due = |every: u64| every > 0 && count.is_multiple_of(every);
        let (barrier, flush) = (due(self.day.traffic.barrier_every), due(self.day.traffic.flush_every));
        let client = &self.clients[at];
        let Some(conn) = client.conn.filter(|_| client.number > 0) else { return };
        let number = client.number;
        let time_left = 5_000_000;
        for mark in [(barrier, Mark::Barrier), (flush, Mark::Flush)].into_iter().filter(|m| m.0).map(|m| m.1)
        {
            self.next_number += 1;
            let id = self.next_number;
            links.record(&Record::Marked { at: now.0, client: number, id, volume, mark });
            match mark {
                Mark::Barrier => links.push(conn, &Frame::Barrier { id, volume, time_left }),
                Mark::Flush => links.push(conn, &Frame::Flush { id, volume: Some(volume), time_left }),
            }
        }
    }

    fn submit(&mut self, links: &mut Links, at: usize, operation: Operation, now: Micros) {
        let client = &mut self.clients[at];
        let Some(conn) = client.conn.filter(|_| client.number > 0) else {
            let Operation { op, class, plan, tries, .. } = operation;
            if tries == 0 {
                links.record(&Record::Unreachable { at: now.0, op, class, plan });
            }
            self.schedule_retry(at, operation, 0.0, now);
            return;
        };
        if operation.tries == 0 {
            client.tokens = (client.tokens + 0.2).min(5.0);
        }
        self.next_number += 1;
        let id = self.next_number;
        // The deadline of this try, and that of the operation, whichever is earlier.
        let until = match self.day.traffic.try_timeout {
            (_, most) if most <= 0.0 => operation.until,
            try_timeout => {
                now.after(Micros::from_ms(between(&mut self.rng, try_timeout))).min(operation.until)
            }
        };
        let o = &operation;
        links.record(&Record::Submitted {
            at: now.0,
            client: client.number,
            id,
            op: o.op,
            initiator: client.initiator,
            class: o.class,
            plan: o.plan,
            volume: o.volume,
            extent: o.extent,
            units: o.units,
            write: o.write,
            try_no: o.tries,
            until: until.0,
        });
        let payload = o.payload(self.day.traffic.payload);
        links.push(
            conn,
            &Frame::Submit(Submit {
                id,
                operation: o.op,
                class: o.class,
                plan: o.plan,
                volume_initiators: o.volume_initiators,
                try_no: o.tries,
                write: o.write,
                volume: o.volume,
                extent: Some(o.extent),
                shard: o.shard,
                units: o.units,
                at: None,
                time_left: until.since(now).0 as u32,
                payload: &payload,
            }),
        );
        self.due.insert(o.expiry(at, id));
        client.pending.insert(id, operation);
    }

    /// Schedules a retry, if the client has retries left and there is time.
    fn schedule_retry(&mut self, client: usize, mut operation: Operation, wait: f64, now: Micros) {
        operation.tries += 1;
        let effect = self.day.site.site.settings.classes[usize::from(operation.class)].effect;
        if let Effect::IdempotencyKey { window, .. } = effect {
            // Nodes deduplicate within this window only: no retry may be sent later.
            operation.until = operation.until.min(operation.started_at.after(Micros::from_ms(window)));
        }
        let own = match self.day.traffic.retry_policy {
            RetryPolicy::Plain | RetryPolicy::Budget => between(&mut self.rng, self.day.traffic.retry_wait),
            RetryPolicy::Jitter => {
                let end = self.day.traffic.retry_wait.1 * f64::from(1u32 << operation.tries.min(10));
                between(&mut self.rng, (0.0, end.min(2000.0)))
            }
        };
        if self.day.traffic.retry_policy == RetryPolicy::Budget {
            let tokens = &mut self.clients[client].tokens;
            if *tokens < 1.0 {
                return;
            }
            *tokens -= 1.0;
        }
        let requested = if self.clients[client].honours_wait { wait } else { 0.0 };
        let at = now.after(Micros::from_ms(own.max(requested)));
        if operation.tries <= self.day.traffic.retries && at.after(MIN_TRY_TIME) < operation.until {
            self.next_try += 1;
            self.waiting_retries.insert(self.next_try, (client, operation));
            self.due.insert((at, Due::Retry(self.next_try)));
        }
    }

    /// Returns whether a retry is safe though an earlier try may have been executed.
    fn is_retry_safe(&self, operation: &Operation) -> bool {
        // A buffered write may still be executed; a retry could overwrite a newer write of its item.
        if operation.write && self.day.site.site.classes[usize::from(operation.class)].is_buffered {
            return false;
        }
        match self.day.site.site.settings.classes[usize::from(operation.class)].effect {
            Effect::Idempotent => true,
            Effect::IdempotencyKey { group, .. } => group == DeduplicationScope::All,
            Effect::AtMostOnce => false,
        }
    }

    fn handle_answer(&mut self, links: &mut Links, conn: ConnId, id: u64, answer: Answer, now: Micros) {
        let Some(at) = self.by_conn.get(&conn).copied() else { return };
        links.record(&Record::Answered { at: now.0, client: self.clients[at].number, id, answer });
        let Some(operation) = self.clients[at].pending.remove(&id) else { return };
        self.due.remove(&operation.expiry(at, id));
        match answer {
            Answer::Served { shard, .. } if operation.write && operation.shard.is_none() => {
                let volume = self.volumes.iter().position(|v| v.id == operation.volume).unwrap_or(0);
                self.written.push_back((volume, operation.extent, shard));
                if self.written.len() > MAX_RECENT {
                    self.written.pop_front();
                }
            }
            Answer::Buffered => {
                let volume = self.volumes.iter().position(|v| v.id == operation.volume).unwrap_or(0);
                self.buffered.push_back((volume, operation.extent, operation.shard.unwrap_or(0)));
                if self.buffered.len() > MAX_RECENT {
                    self.buffered.pop_front();
                }
            }
            Answer::Served { .. } => {}
            Answer::Refused { wait } => self.schedule_retry(at, operation, Micros(wait.into()).ms(), now),
            Answer::Failed if self.is_retry_safe(&operation) => self.schedule_retry(at, operation, 0.0, now),
            Answer::Failed => {}
        }
    }

    fn fire(&mut self, links: &mut Links, due: Due, now: Micros) {
        match due {
            Due::Connect(at) => {
                let address = self.addresses[self.clients[at].initiator as usize].clone();
                let conn = links.connect(address);
                self.clients[at].conn = Some(conn);
                self.by_conn.insert(conn, at);
            }
            Due::Retry(number) => {
                if let Some((client, operation)) = self.waiting_retries.remove(&number)
                    && now.after(MIN_TRY_TIME) < operation.until
                {
                    self.submit(links, client, operation, now);
                }
            }
            Due::Expire(client, id) => {
                self.clients[client].pending.remove(&id);
            }
        }
    }
}

fn volume(day: &Day, hosts: u32, rng: &mut Pcg64Mcg) -> Volume {
    let pick = |count: usize, of: u32, rng: &mut Pcg64Mcg| -> Vec<u32> {
        let mut all: Vec<u32> = (0..of).collect();
        let count = count.clamp(1, all.len().max(1));
        let mut picked = Vec::new();
        while picked.len() < count && !all.is_empty() {
            picked.push(all.swap_remove((random(rng) * all.len() as f64) as usize));
        }
        picked
    };
    let total: f64 = day.plans.iter().map(|p| p.share).sum();
    let mut point = random(rng) * total;
    let at = day.plans.iter().position(|p| {
        point -= p.share;
        point < 0.0
    });
    let plan = at.unwrap_or(0);
    let count = between(rng, day.plans[plan].hosts).round() as usize;
    let spread = between(rng, day.traffic.spread).round() as usize;
    Volume {
        id: rand_core::RngCore::next_u64(rng),
        plan: plan as u16,
        buffered: 0,
        weight: day.site.site.settings.plans[plan].base_rate.max(0.001),
        hosts: pick(count, hosts, rng),
        shards: pick(spread, day.fleet.nodes, rng),
    }
}

impl Peer for Load {
    fn opened(&mut self, links: &mut Links, conn: ConnId, _now: Micros) {
        let Some(at) = self.by_conn.get(&conn) else { return };
        let versions = (VERSION_OLDEST, VERSION);
        let hello = Hello { role: Role::Client, versions, id: *at as u64, epoch: 0, name: "emulated" };
        links.push(conn, &Frame::Hello(hello));
    }

    fn frame(&mut self, links: &mut Links, conn: ConnId, frame: Frame<'_>, now: Micros) {
        match frame {
            Frame::Welcome(_) => {
                self.next_number += 1;
                if let Some(at) = self.by_conn.get(&conn) {
                    self.clients[*at].number = self.next_number;
                }
            }
            Frame::Served { id, shard, payload } => {
                let found = payload.first_chunk().map(|b| u64::from_le_bytes(*b));
                self.handle_answer(links, conn, id, Answer::Served { shard, found }, now);
            }
            Frame::Refused { id, wait, .. } => {
                self.handle_answer(links, conn, id, Answer::Refused { wait }, now);
            }
            Frame::Failed { id } => self.handle_answer(links, conn, id, Answer::Failed, now),
            Frame::Buffered { id } => self.handle_answer(links, conn, id, Answer::Buffered, now),
            Frame::Barred { id } | Frame::Flushed { id } => {
                if let Some(client) = self.by_conn.get(&conn).map(|at| self.clients[*at].number) {
                    links.record(&Record::MarkCompleted { at: now.0, client, id });
                }
            }
            Frame::Bye { wait, .. } if wait > 0 => {
                if let Some(at) = self.by_conn.get(&conn) {
                    self.clients[*at].reconnect_at = now.after(Micros(wait.into()));
                }
            }
            _ => {}
        }
    }

    fn connection_closed(&mut self, links: &mut Links, conn: ConnId, now: Micros) {
        let Some(at) = self.by_conn.remove(&conn) else { return };
        let client = &mut self.clients[at];
        client.conn = None;
        let number = std::mem::take(&mut client.number);
        let pending = std::mem::take(&mut client.pending);
        if number > 0 {
            links.record(&Record::ClientDisconnected { at: now.0, client: number, by_client: false });
        }
        for (id, operation) in pending {
            self.due.remove(&operation.expiry(at, id));
            if self.is_retry_safe(&operation) {
                self.schedule_retry(at, operation, 0.0, now);
            }
        }
        let wait = Micros::from_ms(between(&mut self.rng, RECONNECT_WAIT_MS));
        let reconnect_at = if self.clients[at].honours_wait { self.clients[at].reconnect_at } else { now };
        self.due.insert((now.after(wait).max(reconnect_at), Due::Connect(at)));
    }

    fn line(&mut self, _links: &mut Links, line: &str, now: Micros) {
        if line == "start" && self.started.is_none() {
            self.started = Some(now);
            self.next_arrival = now;
        }
    }

    fn settle(&mut self, links: &mut Links, now: Micros) -> Option<Micros> {
        while let Some((at, due)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, due));
            self.fire(links, due, now);
        }
        let mut arrival = None;
        if let Some(started) = self.started {
            let end = started.after(Micros::from_ms(self.seconds * 1000.0));
            let plans: f64 = self.volumes.iter().map(|v| v.weight).sum();
            while self.next_arrival <= now && self.next_arrival < end {
                let at = self.next_arrival.since(started).ms() / 1000.0;
                let weigh = |v: &Volume| v.weight * self.day.factor(v.plan, at);
                let times = self.volumes.iter().map(weigh).sum::<f64>() / plans.max(1e-9);
                let rate = (self.day.traffic.rate * times).max(1e-3);
                if self.day.traffic.rate > 0.0 {
                    self.submit_arrival(links, at, now);
                }
                let gap = -(1.0 - random(&mut self.rng)).ln() / rate;
                self.next_arrival = self.next_arrival.after(Micros((gap * 1e6) as u64 + 1));
            }
            arrival = Some(self.next_arrival.min(end));
            let idle = self.waiting_retries.is_empty() && self.clients.iter().all(|c| c.pending.is_empty());
            if now >= end && idle {
                arrival = None;
                if !std::mem::replace(&mut self.done, true) {
                    for conn in links.all() {
                        if let Some(at) = self.by_conn.remove(&conn) {
                            let client = self.clients[at].number;
                            links.record(&Record::ClientDisconnected { at: now.0, client, by_client: true });
                        }
                        links.close(conn);
                    }
                    links.command(Command::Print("done".into()));
                    links.command(Command::Exit);
                }
            } else if now >= end {
                arrival = None;
            }
        }
        let due = self.due.first().map(|(at, _)| *at);
        [arrival, due].into_iter().flatten().min()
    }
}
