//! The lease manager: the leader's part in leases and transitions. It grants leases, knows who has confirmed which
//! stage, and says when the next stage may begin: once every member has confirmed the present one, or has no lease
//! for an older one any more. A new leader knows of no lease that others granted, and waits until all must have ended.

use crate::replica::InjectedFault;
use crate::replicated_state::{Change, ReplicatedState};
use flaxstand_proto::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Members that the history names where they did not confirm, most.
const NAMED_MOST: usize = 8;

/// A member asks for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Its name.
    pub name: String,
    /// Which start of it.
    pub epoch: u64,
    /// Its number among its requests.
    pub seq: u64,
    /// Index of the replicated state that it has.
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

/// The leader's response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Whose request.
    pub name: String,
    /// Which start of it.
    pub epoch: u64,
    /// The request's number.
    pub seq: u64,
    /// How long the lease is from when it was asked for, microseconds; none: it gets none now.
    pub lease: Option<u64>,
    /// The stage that the lease is for.
    pub stage: u64,
    /// The replicated state and its index, where the member has an older one.
    pub replicated_state: Option<(u64, ReplicatedState)>,
}

/// What keeps the next stage from beginning.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Blocker {
    /// The member, or all that a leader before granted leases to.
    pub who: String,
    /// Why.
    pub why: String,
    /// In how long that ends by itself, milliseconds; none: it does not.
    pub ends_ms: Option<u64>,
}

/// What comes of a lease request.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// What the member is told.
    pub response: LeaseResponse,
    /// It is no member yet and wants to be one.
    pub joins: bool,
    /// It does not act on the present stage as it is here: its copy of the replicated state may be another's.
    pub differs: bool,
}

/// What the leader knows of one member, moments by its own clock.
#[derive(Clone, Debug, Default)]
struct MemberLease {
    epoch: u64,
    /// It confirmed the present stage.
    confirmed: bool,
    cannot: Option<String>,
    /// Until when it may act on an older stage.
    older_stage_until: Micros,
    /// Until when it may act on the present one.
    present_stage_until: Micros,
    /// Until when a process of that name that started before may act on anything: it may have been stopped, not ended.
    earlier_start_until: Micros,
    heard_at: Micros,
}

impl MemberLease {
    /// Until when the member, or an earlier start of it, may act on a stage before the present one.
    fn older_until(&self) -> Micros {
        self.older_stage_until.max(self.earlier_start_until)
    }

    /// Until when this start of it has a lease of any stage.
    fn leased_until(&self) -> Micros {
        self.older_stage_until.max(self.present_stage_until)
    }

    /// A later start of the member: what an earlier one may still act on is kept.
    fn restart(&mut self, epoch: u64) {
        let earlier_start_until = self.earlier_start_until.max(self.leased_until());
        *self = MemberLease { epoch, earlier_start_until, ..MemberLease::default() };
    }

    /// Another stage begins.
    fn next_stage(&mut self) {
        self.older_stage_until = self.leased_until();
        self.present_stage_until = Micros(0);
        self.confirmed = false;
        self.cannot = None;
    }

    /// The member gives its lease back.
    fn release(&mut self) {
        self.older_stage_until = Micros(0);
        self.present_stage_until = Micros(0);
        self.confirmed = false;
    }
}

/// A leader's lease manager.
#[derive(Debug)]
pub struct LeaseManager {
    /// Leases of leaders before may last until then.
    earlier_leaders_until: Micros,
    /// How long a lease is for its member.
    span: Micros,
    /// How long it is here: the same with the clocks' error.
    counted_span: Micros,
    stage: u64,
    leases: BTreeMap<String, MemberLease>,
    /// See `LeaseManager::members_examined`.
    members_examined: u64,
    injected_fault: InjectedFault,
}

impl LeaseManager {
    /// Of a leader that begins to lead now. Leases last `span`; clocks' rates differ by at most `error` of it.
    pub fn new(span: Micros, error: f64, injected_fault: InjectedFault, now: Micros) -> LeaseManager {
        let counted_span = Micros((span.0 as f64 * (1.0 + 2.0 * error)).ceil() as u64);
        let waits = injected_fault != InjectedFault::StrangersIgnored;
        LeaseManager {
            earlier_leaders_until: if waits { now.after(counted_span) } else { now },
            span,
            counted_span,
            stage: 0,
            leases: BTreeMap::new(),
            members_examined: 0,
            injected_fault,
        }
    }

    /// The replicated state is at another stage: leases so far were for an older one.
    pub fn at_stage(&mut self, stage: u64) {
        if stage != self.stage {
            self.stage = stage;
            self.leases.values_mut().for_each(MemberLease::next_stage);
        }
    }

    /// Decides on a request. A member whose copy of the replicated state is older than `index` is sent `replicated_state`;
    /// `leads_until`: until when nobody else can lead.
    pub fn decide(
        &mut self,
        request: &LeaseRequest,
        index: u64,
        replicated_state: &ReplicatedState,
        leads_until: Micros,
        now: Micros,
    ) -> Decision {
        self.at_stage(replicated_state.stage);
        let is_member = replicated_state.members.contains_key(&request.name);
        let lease = self.leases.entry(request.name.clone()).or_default();
        let mut response = LeaseResponse {
            name: request.name.clone(),
            epoch: request.epoch,
            seq: request.seq,
            lease: None,
            stage: replicated_state.stage,
            replicated_state: None,
        };
        if lease.epoch > request.epoch {
            // A later start of its name took its place.
            return Decision { response, joins: false, differs: false };
        }
        if lease.epoch != request.epoch {
            lease.restart(request.epoch);
        }
        lease.heard_at = now;
        let confirms = confirms(request, replicated_state, self.injected_fault);
        lease.confirmed = confirms == Ok(true);
        let differs = !lease.confirmed;
        lease.cannot = confirms.err();
        if request.leaves {
            lease.release();
        } else if is_member
            && now < leads_until
            && lease.cannot.is_none()
            && replicated_state.in_force.number > 0
        {
            response.lease = Some(self.span.0);
            lease.present_stage_until = lease.present_stage_until.max(now.after(self.counted_span));
        }
        response.replicated_state = (request.index < index).then(|| (index, replicated_state.clone()));
        Decision { response, joins: !is_member && !request.leaves, differs }
    }

    /// What keeps the next stage from beginning.
    pub fn blockers(&self, replicated_state: &ReplicatedState, now: Micros) -> Vec<Blocker> {
        let everyone = replicated_state.needs_everyone();
        let mut all = Vec::new();
        if now < self.earlier_leaders_until {
            all.push(Blocker {
                who: "the change of leader".to_owned(),
                why: "leases that the leader before gave may not have ended".to_owned(),
                ends_ms: Some(ms_until(self.earlier_leaders_until, now)),
            });
        }
        all.extend(
            replicated_state
                .members
                .keys()
                .filter_map(|name| self.blocked_by(name, replicated_state, everyone, now)),
        );
        all
    }

    /// Whether a member keeps the next stage from beginning. `everyone`: that stage needs each member's own word.
    fn blocked_by(
        &self,
        name: &str,
        replicated_state: &ReplicatedState,
        everyone: bool,
        now: Micros,
    ) -> Option<Blocker> {
        let lease = self.leases.get(name).filter(|_| self.stage == replicated_state.stage);
        let confirmed = lease.is_some_and(|lease| lease.confirmed);
        if confirmed && lease.is_some_and(|lease| now >= lease.earlier_start_until) {
            return None;
        }
        let older_until = lease.map_or(Micros(0), MemberLease::older_until);
        let (why, ends_ms) = if let Some(why) = lease.and_then(|lease| lease.cannot.clone()) {
            (why, None)
        } else if everyone && !confirmed {
            ("the floor changes: its own word is needed".to_owned(), None)
        } else if now < older_until && self.injected_fault != InjectedFault::LeasesNotAwaited {
            let why = "it may act on what was before until its lease ends".to_owned();
            (why, Some(ms_until(older_until, now)))
        } else {
            return None;
        };
        Some(Blocker { who: name.to_owned(), why, ends_ms })
    }

    /// The change that puts the version under way in force, if there is one and nothing blocks it.
    pub fn change_in_force(
        &mut self,
        replicated_state: &ReplicatedState,
        calendar: u64,
        now: Micros,
    ) -> Option<Change> {
        let next = replicated_state.next.as_ref()?;
        self.members_examined += replicated_state.members.len() as u64;
        if !self.blockers(replicated_state, now).is_empty() {
            return None;
        }
        Some(Change::InForce { number: next.number, why: self.who_confirmed(replicated_state), at: calendar })
    }

    /// How many confirmed, and who did not, for the history.
    fn who_confirmed(&self, replicated_state: &ReplicatedState) -> String {
        let confirmed = |name: &&String| self.leases.get(*name).is_some_and(|lease| lease.confirmed);
        let (with, without): (Vec<&String>, Vec<&String>) =
            replicated_state.members.keys().partition(confirmed);
        let mut text = format!("confirmed by {}", with.len());
        if !without.is_empty() {
            let named: Vec<&str> = without.iter().take(NAMED_MOST).map(|name| name.as_str()).collect();
            text += &format!(", without a lease: {} ({})", without.len(), named.join(" "));
        }
        text
    }

    /// How many members were looked at so far to decide whether a version may come into force: for tests of how
    /// the work of a change grows with the members.
    #[doc(hidden)]
    pub fn members_examined(&self) -> u64 {
        self.members_examined
    }

    /// Each that asked: its name, whether it has a lease, whether it confirmed the present stage, and when it was
    /// last heard, ms ago.
    pub fn members(&self, now: Micros) -> Vec<(String, bool, bool, u64)> {
        let of = |(name, lease): (&String, &MemberLease)| {
            let leased = now < lease.leased_until();
            (name.clone(), leased, lease.confirmed, now.since(lease.heard_at).0 / 1000)
        };
        self.leases.iter().map(of).collect()
    }
}

/// Whether a request confirms the present stage.
///
/// # Errors
/// The member can't act on it; why, in words for operators.
fn confirms(
    request: &LeaseRequest,
    replicated_state: &ReplicatedState,
    injected_fault: InjectedFault,
) -> Result<bool, String> {
    if let Some(why) = &request.cannot {
        return Err(why.clone());
    }
    if request.stage != replicated_state.stage {
        return Ok(false);
    }
    if request.digest != replicated_state.digest() && injected_fault != InjectedFault::DigestNotCompared {
        return Err("it understands the rules otherwise: another build".to_owned());
    }
    Ok(true)
}

fn ms_until(moment: Micros, now: Micros) -> u64 {
    moment.since(now).0.div_ceil(1000)
}
