//! The warden: the leader's part in leases and passages. It gives leases, knows who has confirmed which stage, and
//! says when the next passage may begin: once everyone has confirmed the present one, or has no lease for an older
//! any more. A new leader knows of no lease that others gave, and waits until all of them must have run out.

use crate::book::{Book, Change};
use crate::keeper::Planted;
use flaxstand_proto::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A member asks for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Its name.
    pub name: String,
    /// Which start of it.
    pub incarnation: u64,
    /// Its number among its asks.
    pub seq: u64,
    /// Index of the book that it has.
    pub index: u64,
    /// The stage that it acts on, with a lease or without.
    pub stage: u64,
    /// What that stage means to it.
    pub digest: u64,
    /// Why it can't act on the version under way.
    pub cannot: Option<String>,
    /// It gives its lease back.
    pub leaves: bool,
}

/// What it is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Whose ask.
    pub name: String,
    /// Which start of it.
    pub incarnation: u64,
    /// The ask's number.
    pub seq: u64,
    /// How long the lease is from when it was asked for, microseconds; none: it gets none now.
    pub lease: Option<u64>,
    /// The stage that the lease is for.
    pub stage: u64,
    /// The book, where the asker has an older one.
    pub book: Option<(u64, Book)>,
}

/// One that holds a passage up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holds {
    /// The member, or all that a leader before gave leases to.
    pub who: String,
    /// Why.
    pub why: String,
    /// In how long that ends by itself, milliseconds; none: it does not.
    pub ends_ms: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Tenant {
    incarnation: u64,
    /// It confirmed the present stage.
    confirmed: bool,
    cannot: Option<String>,
    /// Until when it may act on an older stage, on this clock.
    before: Micros,
    /// Until when it may act on the present one.
    until: Micros,
    /// Until when a process of that name that started before may act on anything: it may have been stopped, not ended.
    ghost: Micros,
    asked_at: Micros,
}

/// A leader's warden.
#[derive(Debug)]
pub struct Warden {
    /// Leases of leaders before may last until then.
    strangers: Micros,
    span: Micros,
    /// The same with the clocks' error.
    counted: Micros,
    stage: u64,
    tenants: BTreeMap<String, Tenant>,
    /// See `Warden::members_examined`.
    members_examined: u64,
    planted: Planted,
}

impl Warden {
    /// Of a leader that begins to lead now. Leases last `span`; clocks' rates differ by at most `error` of it.
    pub fn new(span: Micros, error: f64, planted: Planted, now: Micros) -> Warden {
        let counted = Micros((span.0 as f64 * (1.0 + 2.0 * error)).ceil() as u64);
        let strangers = if planted == Planted::StrangersIgnored { now } else { now.after(counted) };
        Warden { strangers, span, counted, stage: 0, tenants: BTreeMap::new(), members_examined: 0, planted }
    }

    /// The book is at another stage: leases so far were for an older one.
    pub fn at_stage(&mut self, stage: u64) {
        if stage != self.stage {
            self.stage = stage;
            for tenant in self.tenants.values_mut() {
                tenant.before = tenant.before.max(tenant.until);
                (tenant.confirmed, tenant.until, tenant.cannot) = (false, Micros(0), None);
            }
        }
    }

    /// Answers an ask. `leads_until`: until when nobody else can lead. Returns whether it is to be made a member
    /// first.
    pub fn asked(
        &mut self,
        ask: &Ask,
        index: u64,
        book: &Book,
        leads_until: Micros,
        now: Micros,
    ) -> (Answer, bool) {
        self.at_stage(book.stage);
        let member = book.members.contains_key(&ask.name);
        let tenant = self.tenants.entry(ask.name.clone()).or_default();
        if tenant.incarnation > ask.incarnation {
            // One that a later start of its name took the place of.
            let (name, incarnation, seq) = (ask.name.clone(), ask.incarnation, ask.seq);
            return (Answer { name, incarnation, seq, lease: None, stage: book.stage, book: None }, false);
        }
        if tenant.incarnation != ask.incarnation {
            let ghost = tenant.ghost.max(tenant.before).max(tenant.until);
            *tenant = Tenant { incarnation: ask.incarnation, ghost, ..Tenant::default() };
        }
        tenant.asked_at = now;
        let present = ask.stage == book.stage
            && (ask.digest == book.digest() || self.planted == Planted::DigestNotCompared);
        let cannot = ask.cannot.clone().or_else(|| {
            let other = ask.stage == book.stage && !present;
            other.then(|| "it understands the rules otherwise: another build".to_owned())
        });
        tenant.confirmed = present && cannot.is_none();
        tenant.cannot = cannot;
        let mut lease = None;
        if ask.leaves {
            (tenant.before, tenant.until, tenant.confirmed) = (Micros(0), Micros(0), false);
        } else if member && now < leads_until && tenant.cannot.is_none() && book.acting.number > 0 {
            lease = Some(self.span.0);
            tenant.until = tenant.until.max(now.after(self.counted));
        }
        let newer = (ask.index < index).then(|| (index, book.clone()));
        let answer = Answer {
            name: ask.name.clone(),
            incarnation: ask.incarnation,
            seq: ask.seq,
            lease,
            stage: book.stage,
            book: newer,
        };
        (answer, !member && !ask.leaves)
    }

    /// Who keeps the next passage from beginning.
    pub fn holds(&self, book: &Book, now: Micros) -> Vec<Holds> {
        let everyone = book.needs_everyone();
        let ends = |at: Micros| Some(at.since(now).0.div_ceil(1000));
        let mut all = Vec::new();
        if now < self.strangers {
            let why = "leases that the leader before gave may not have ended".to_owned();
            all.push(Holds { who: "the change of leader".to_owned(), why, ends_ms: ends(self.strangers) });
        }
        for name in book.members.keys() {
            let tenant = self.tenants.get(name).filter(|_| self.stage == book.stage);
            let (who, older) = (name.clone(), tenant.map_or(Micros(0), |t| t.before.max(t.ghost)));
            match tenant {
                Some(t) if t.confirmed && now >= t.ghost => {}
                Some(Tenant { cannot: Some(why), .. }) => {
                    all.push(Holds { who, why: why.clone(), ends_ms: None });
                }
                _ if everyone && !tenant.is_some_and(|t| t.confirmed) => {
                    let why = "the floor changes: its own word is needed".to_owned();
                    all.push(Holds { who, why, ends_ms: None });
                }
                _ if now < older && self.planted != Planted::LeasesNotAwaited => {
                    let why = "it may act on what was before until its lease ends".to_owned();
                    all.push(Holds { who, why, ends_ms: ends(older) });
                }
                _ => {}
            }
        }
        all
    }

    /// The passage that may begin now, if a version is under way.
    pub fn passage(&mut self, book: &Book, calendar: u64, now: Micros) -> Option<Change> {
        let next = book.next.as_ref()?;
        self.members_examined += book.members.len() as u64;
        if !self.holds(book, now).is_empty() {
            return None;
        }
        let confirmed = |name: &&String| self.tenants.get(*name).is_some_and(|t| t.confirmed);
        let (with, without): (Vec<&String>, Vec<&String>) = book.members.keys().partition(confirmed);
        let names = |all: &[&String]| {
            let few: Vec<&str> = all.iter().take(8).map(|n| n.as_str()).collect();
            few.join(" ")
        };
        let mut why = format!("confirmed by {}", with.len());
        if !without.is_empty() {
            why += &format!(", without a lease: {} ({})", without.len(), names(&without));
        }
        Some(Change::InForce { number: next.number, why, at: calendar })
    }

    /// How many members were looked at so far to decide whether a version may come into force: for tests of how
    /// the work of a change grows with the members.
    #[doc(hidden)]
    pub fn members_examined(&self) -> u64 {
        self.members_examined
    }

    /// Members with a lease, those that confirmed the present stage, and when each was last heard, ms ago.
    pub fn tenants(&self, now: Micros) -> Vec<(String, bool, bool, u64)> {
        let of = |(name, t): (&String, &Tenant)| {
            let leased = now < t.until.max(t.before);
            (name.clone(), leased, t.confirmed, now.since(t.asked_at).0 / 1000)
        };
        self.tenants.iter().map(of).collect()
    }
}
