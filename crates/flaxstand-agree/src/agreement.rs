//! The agreement of one initiator: its keeper, if it is one, its membership, and the ways between. What the owner
//! (the gateway's core, or a test) calls; words in, words out, no I/O.
//!
//! A member's asks go to its *home*: a keeper, or a neighbour where it reaches none; each passes on what it can't
//! answer, the leader answers, and answers go back the way they came. Home is changed when it does not answer.

use crate::book::{Book, Change, RULES_MOST, TEXT_MOST, Version};
use crate::journal::State;
use crate::keeper::{Agreed, Config as KeeperConfig, Keeper, Planted, ProposeError, Status};
use crate::lease_manager::{Blocker, LeaseManager, LeaseRequest, LeaseResponse};
use crate::member::{Acting, Member};
use crate::message::Message;
use crate::rules::Rules;
use flaxstand_proto::Micros;
use flaxstand_store::Batch;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use tracing::{debug, info, warn};

/// Asks of others that are on their way, most. One more is dropped: its asker asks again.
const ROUTES_MOST: usize = 8192;
/// How many times an ask is passed on, at most: to a neighbour, by it to a keeper, by that to the leader.
const HOPS_MOST: u8 = 3;
/// Entries that keepers keep one by one before they put the book in their place.
const ENTRIES_MOST: u64 = 64;
/// Operators' wishes that are not agreed on yet, most.
const WISHES_MOST: usize = 16;

/// What follows from the settings, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// T: how long two initiators may act on rules that contradict each other, ms. Leases end here before whoever
    /// gave them counts them as ended; what is left is a turn of the process in which a lease was good, and what a
    /// clock that runs twice as wrong as stated would add.
    pub contradiction_ms: f64,
    /// How long a change takes at most from its proposal until it is in force, with a leader, ms: a member that is
    /// cut off holds it up until its lease ends.
    pub passage_ms: f64,
    /// The same if the leader is lost meanwhile: another is elected, and waits for the leases of the one before.
    pub passage_without_leader_ms: f64,
}

/// The longest turn of a process, ms: from the check of a lease to the last byte that it lets go.
const TURN_MS: f64 = 100.0;

impl Terms {
    /// Of a lease, an election's time (ms) and a clocks' error.
    pub fn of(lease_ms: f64, clock_error: f64, election_ms: f64) -> Terms {
        let counted = lease_ms * (1.0 + 2.0 * clock_error);
        Terms {
            contradiction_ms: (TURN_MS + 2.0 * clock_error * lease_ms).ceil(),
            passage_ms: (counted + election_ms).ceil(),
            passage_without_leader_ms: (2.0 * counted + 4.0 * election_ms).ceil(),
        }
    }
}

/// What one initiator is told.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Which start of it: grows.
    pub incarnation: u64,
    /// Names of the keepers, the founder first.
    pub keepers: Vec<String>,
    /// Names of other initiators that it may ask where it reaches no keeper.
    pub neighbours: Vec<String>,
    /// How long a lease is.
    pub lease: Micros,
    /// By what part of it two clocks may differ over a lease.
    pub clock_error: f64,
    /// How long keepers hear no leader before they elect one.
    pub election: Micros,
    /// Seed of random numbers, another one at each start.
    pub seed: u64,
    /// The rules in its own file: their floor is what it acts on until it has a book.
    pub started_with: Rules,
    /// A fault that tests plant.
    #[doc(hidden)]
    pub planted: Planted,
}

/// What initiators and operators say to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// Between keepers.
    Keeper(Message),
    /// A member's ask, and how many times it was passed on.
    LeaseRequest(u8, LeaseRequest),
    /// Its answer.
    LeaseResponse(Box<LeaseResponse>),
    /// What an operator wants.
    Wish(Wish),
    /// What he is told.
    Reply(Reply),
}

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Wish {
    /// A new version, made from the one of this number.
    Propose(u64, Version),
    /// The version under way not to come in force; who says so, and when.
    Withdraw(u64, String, u64),
    /// An initiator that is gone for good not to be waited for.
    Forget(String),
    /// How things stand.
    Status,
    /// The book: versions and history.
    Book,
}

/// What an operator is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// It was agreed on; the version's number, where there is one.
    Agreed(u64),
    /// It was not, and why.
    Refused(String),
    /// Only the leader can say; its name, where one is known.
    Elsewhere(Option<String>),
    /// How things stand.
    Status(Box<Report>),
    /// The book and its index; none: not known here.
    Book(Option<Box<(u64, Book)>>),
}

/// How things stand, as one initiator sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Who tells.
    pub name: String,
    /// What it is among the keepers; none: it is no keeper.
    pub keeper: Option<String>,
    /// Who leads, where that is known.
    pub leader: Option<String>,
    /// The keepers' term.
    pub term: u64,
    /// Who votes.
    pub electorate: Vec<String>,
    /// Of a leader: keepers that it does not hear.
    pub silent: Vec<String>,
    /// What it acts on, in words.
    pub acting: String,
    /// For how long yet, if it hears nothing, milliseconds.
    pub lease_ms: u64,
    /// The version in force and the one under way.
    pub versions: (u64, Option<u64>),
    /// The stage.
    pub stage: u64,
    /// Of a leader: who holds the passage up.
    pub holds: Vec<Blocker>,
    /// Of a leader: members; whether they have a lease, whether they confirmed, and when they were heard, ms ago.
    pub members: Vec<(String, bool, bool, u64)>,
}

/// Where a word goes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum To {
    /// The initiator of this name.
    Peer(String),
    /// Back on the connection that the owner numbered so.
    Back(u64),
}

/// Where an ask came from.
#[derive(Clone, Copy, Debug)]
struct Route {
    conn: u64,
    since: Micros,
}

/// The agreement of one initiator.
#[derive(Debug)]
pub struct Agreement {
    config: Config,
    keeper: Option<Keeper>,
    leases: Option<LeaseManager>,
    member: Member,
    /// A keeper's book, made of what was agreed on, and its index.
    book: (u64, Book),
    routes: BTreeMap<(String, u64), Route>,
    /// By index: who waits for it.
    wishes: BTreeMap<u64, u64>,
    homes: Vec<String>,
    home: usize,
    answered_at: Micros,
    words: VecDeque<(To, Word)>,
    acted: Option<(Acting, u64)>,
    /// The host's calendar when the clock was 0, microseconds since 1970.
    calendar: u64,
}

/// What was found in the folder of a keeper.
#[derive(Debug, Default)]
pub struct Found {
    /// Its state; none: it is new, or its disk was lost.
    pub state: Option<State>,
    /// Segments in the folder.
    pub segments: Vec<u64>,
}

impl Agreement {
    /// The agreement of an initiator that starts. `found`: a keeper's folder. `saved`: the book that it saved.
    pub fn new(
        config: Config,
        found: Option<Found>,
        saved: Option<(u64, Book)>,
        calendar: u64,
        now: Micros,
    ) -> Agreement {
        let keeper = found.map(|found| {
            let keeper = KeeperConfig {
                name: config.name.clone(),
                names: config.keepers.clone(),
                election: config.election,
                heartbeat: Micros(config.election.0 / 5),
                seed: config.seed,
                begins_with: Book::default().bytes(),
                planted: config.planted,
            };
            Keeper::start(keeper, found.state, found.segments, now)
        });
        let others = |names: &[String]| -> Vec<String> {
            names.iter().filter(|n| **n != config.name).cloned().collect()
        };
        let mut homes = others(&config.keepers);
        // Members spread over the keepers by their names; whoever reaches none goes on to its neighbours.
        let turn = config.name.bytes().fold(0usize, |sum, b| sum.wrapping_mul(31) + usize::from(b));
        let keepers = homes.len().max(1);
        homes.rotate_left(turn % keepers);
        homes.extend(others(&config.neighbours));
        let member =
            Member::new(config.name.clone(), config.incarnation, saved, config.lease, config.planted, now);
        Agreement {
            keeper,
            leases: None,
            member,
            book: (0, Book::default()),
            routes: BTreeMap::new(),
            wishes: BTreeMap::new(),
            homes,
            home: 0,
            answered_at: now,
            words: VecDeque::new(),
            acted: None,
            calendar,
            config,
        }
    }

    /// A word came, on the connection that the owner numbered so. `from`: the initiator that said it, none for an
    /// operator.
    pub fn heard(&mut self, conn: u64, from: Option<&str>, word: Word, now: Micros) {
        match (word, from) {
            (Word::Keeper(message), Some(name)) if message.from.name == name => {
                if let Some(keeper) = &mut self.keeper {
                    keeper.receive(message, now);
                }
            }
            (Word::LeaseRequest(hops, ask), Some(_)) if hops <= HOPS_MOST => {
                self.asked(Some(conn), hops, ask, now)
            }
            (Word::LeaseResponse(answer), Some(_)) => self.answered(*answer, now),
            (Word::Wish(wish), None) => self.wished(conn, wish, now),
            (word, from) => warn!(?from, ?word, "a word that has no place here"),
        }
        self.settle(now);
    }

    /// Word of the time.
    pub fn tick(&mut self, now: Micros) {
        if let Some(keeper) = &mut self.keeper
            && keeper.wake() <= now
        {
            keeper.tick(now);
        }
        self.settle(now);
        if let Some(ask) = self.member.ask(now) {
            // A home that has not answered for half a lease is left.
            if now.since(self.answered_at) > Micros(self.config.lease.0 / 2) && !self.homes.is_empty() {
                self.home = (self.home + 1) % self.homes.len();
                self.answered_at = now;
                debug!(home = self.homes[self.home], "another home");
            }
            self.asked(None, 0, ask, now);
        }
        let old = Micros(self.config.lease.0);
        self.routes.retain(|_, route| now.since(route.since) < old);
    }

    /// When `tick` is to be called at the latest.
    pub fn wake(&self, now: Micros) -> Micros {
        let keeper = self.keeper.as_ref().map(Keeper::wake);
        keeper.into_iter().chain([self.member.wake(now)]).min().expect("one at least")
    }

    /// What a keeper has to store next.
    pub fn batch(&mut self, now: Micros) -> Option<Batch> {
        self.keeper.as_mut()?.batch(now)
    }

    /// How that went.
    pub fn stored(&mut self, well: bool, now: Micros) {
        if let Some(keeper) = &mut self.keeper {
            keeper.stored(well, now);
        }
        self.settle(now);
    }

    /// The book to be saved in place of the one before, if it changed: at once, before words go out.
    pub fn take_unsaved(&mut self) -> Option<Vec<u8>> {
        let (index, book) = self.member.take_unsaved()?;
        Some(postcard::to_stdvec(&(index, book)).expect("plain values can be written"))
    }

    /// Reads what `take_unsaved` made.
    ///
    /// # Errors
    /// It is no saved book.
    pub fn read_saved(bytes: &[u8]) -> Result<(u64, Book), postcard::Error> {
        postcard::from_bytes(bytes)
    }

    /// What is to be said, and to whom.
    pub fn take_words(&mut self) -> Vec<(To, Word)> {
        let mut words: Vec<(To, Word)> = self.words.drain(..).collect();
        if let Some(keeper) = &mut self.keeper {
            let messages = keeper.take_messages();
            words.extend(
                messages.into_iter().map(|message| (To::Peer(message.to.clone()), Word::Keeper(message))),
            );
        }
        words
    }

    /// The rules to act on from now on, if they are others than at the last call. To be called in each turn before
    /// anything is sent: a lease that ran out while the process stood still is noticed here.
    pub fn passage(&mut self, now: Micros) -> Option<Rules> {
        let acting = self.member.acting(now);
        let stage = self.member.book().map_or(0, |(_, b)| b.stage);
        if self.acted == Some((acting, stage)) {
            return None;
        }
        let cause = match (self.acted, acting) {
            (None, _) => "start",
            (Some(_), Acting::Floor) => "no lease",
            (Some((Acting::Floor, _)), _) => "a lease",
            _ => "a passage was agreed on",
        };
        info!(from = ?self.acted.map(|(a, _)| a), to = ?acting, stage, cause, "rules");
        self.acted = Some((acting, stage));
        Some(self.member.rules(&self.config.started_with, now))
    }

    /// What it acts on.
    pub fn acting(&self, now: Micros) -> Acting {
        self.member.acting(now)
    }

    /// The version whose rules are acted on, for those who note it: 0 on the floor.
    pub fn version(&self, now: Micros) -> u64 {
        match self.member.acting(now) {
            Acting::Floor => 0,
            Acting::Between(v, _) | Acting::Alone(v) => v,
        }
    }

    /// The lease is given back; the process is about to end.
    pub fn leave(&mut self, now: Micros) {
        self.member.leave(now);
        self.tick(now);
    }

    /// The keeper's state, if it is one.
    pub fn keeper(&self, now: Micros) -> Option<Status> {
        self.keeper.as_ref().map(|k| k.status(now))
    }

    /// The book as it is known here.
    pub fn book(&self) -> Option<(u64, &Book)> {
        self.member.book()
    }

    /// See [`LeaseManager::members_examined`]; 0 where this initiator does not lead.
    #[doc(hidden)]
    pub fn members_examined(&self) -> u64 {
        self.leases.as_ref().map_or(0, LeaseManager::members_examined)
    }

    fn leads(&self, now: Micros) -> Option<Micros> {
        self.keeper.as_ref()?.leads_until(now)
    }

    fn leader(&self) -> Option<String> {
        self.keeper.as_ref()?.leader().map(str::to_owned)
    }

    /// What keepers agreed on goes into the book; a leader tends leases and passages.
    fn settle(&mut self, now: Micros) {
        let Some(keeper) = &mut self.keeper else { return };
        for agreed in keeper.take_agreed() {
            match agreed {
                Agreed::State(index, bytes) => match Book::read(&bytes) {
                    Ok(book) => self.book = (index, book),
                    Err(error) => warn!(%error, index, "a snapshot that is no book"),
                },
                Agreed::Change(index, bytes) => {
                    let outcome = match postcard::from_bytes::<Change>(&bytes) {
                        Ok(change) => self.book.1.apply(change),
                        Err(e) => Err(format!("a newer build wrote it: {e}")),
                    };
                    self.book.0 = index;
                    if let Err(why) = &outcome {
                        info!(index, why, "a change that changes nothing");
                    }
                    if let Some(conn) = self.wishes.remove(&index) {
                        let reply = outcome.map_or_else(Reply::Refused, Reply::Agreed);
                        self.words.push_back((To::Back(conn), Word::Reply(reply)));
                    }
                }
            }
        }
        if keeper.compactable() > ENTRIES_MOST {
            keeper.compact(self.book.1.bytes());
        }
        if self.book.1.stage > 0 {
            self.member.learn(self.book.0, &self.book.1);
        }
        if keeper.leads() {
            let (span, error, planted) = (self.config.lease, self.config.clock_error, self.config.planted);
            let leases = self.leases.get_or_insert_with(|| LeaseManager::new(span, error, planted, now));
            leases.at_stage(self.book.1.stage);
            // Only while nobody else can lead: leases that another gave are not known here.
            let sure = keeper.leads_until(now).is_some_and(|until| now < until);
            let pending = keeper.last() > keeper.committed();
            if sure
                && !pending
                && let Some(change) = leases.change_in_force(&self.book.1, self.calendar + now.0, now)
            {
                let _ = keeper.propose(change.bytes(), now);
            }
        } else {
            self.leases = None;
            for conn in std::mem::take(&mut self.wishes).into_values() {
                let why = "the leader was lost before it was agreed on: look at the history, and try again";
                self.words.push_back((To::Back(conn), Word::Reply(Reply::Refused(why.into()))));
            }
        }
    }

    /// An ask, our own or another's: answered by the leader, passed on by all others.
    fn asked(&mut self, conn: Option<u64>, hops: u8, ask: LeaseRequest, now: Micros) {
        let until = self.leads(now);
        if let (Some(leases), Some(until)) = (&mut self.leases, until) {
            let decision = leases.decide(&ask, self.book.0, &self.book.1, until, now);
            let answer = decision.response;
            if decision.joins && self.book.1.stage > 0 {
                self.take_in(ask.name.clone(), now);
            }
            match conn {
                Some(conn) => self.words.push_back((To::Back(conn), Word::LeaseResponse(Box::new(answer)))),
                None => self.answered(answer, now),
            }
            return;
        }
        let leader = self.leader().filter(|l| *l != self.config.name);
        // A keeper knows who leads; one without a leader has nobody to pass asks on to.
        let to = match (&self.keeper, leader) {
            (Some(_), leader) => leader,
            (None, _) => self.homes.get(self.home).cloned(),
        };
        let Some(to) = to else { return };
        if let Some(conn) = conn {
            if self.routes.len() >= ROUTES_MOST {
                return;
            }
            self.routes.insert((ask.name.clone(), ask.seq), Route { conn, since: now });
        }
        self.words.push_back((To::Peer(to), Word::LeaseRequest(hops + 1, ask)));
    }

    fn take_in(&mut self, name: String, now: Micros) {
        if let Some(keeper) = &mut self.keeper {
            let _ = keeper.propose(Change::Join(name).bytes(), now);
        }
    }

    fn answered(&mut self, answer: LeaseResponse, now: Micros) {
        if answer.name == self.config.name {
            self.answered_at = now;
            return self.member.answered(&answer, now);
        }
        if let Some(route) = self.routes.remove(&(answer.name.clone(), answer.seq)) {
            self.words.push_back((To::Back(route.conn), Word::LeaseResponse(Box::new(answer))));
        }
    }

    fn wished(&mut self, conn: u64, wish: Wish, now: Micros) {
        let change = match wish {
            Wish::Status => Err(Reply::Status(Box::new(self.report(now)))),
            Wish::Book => {
                Err(Reply::Book(self.member.book().map(|(index, book)| Box::new((index, book.clone())))))
            }
            Wish::Propose(base, version) => {
                self.fit(&version, now).map(|()| Change::Propose { base, version })
            }
            Wish::Withdraw(number, by, at) => Ok(Change::Withdraw { number, by, at }),
            Wish::Forget(name) => self.gone(&name, now).map(|()| Change::Forget(name)),
        };
        let proposed = change.and_then(|change| {
            if self.leads(now).is_none() {
                return Err(Reply::Elsewhere(self.leader()));
            }
            if self.wishes.len() >= WISHES_MOST {
                return Err(Reply::Refused("too much is being agreed on: try again later".into()));
            }
            let keeper = self.keeper.as_mut().expect("it leads");
            keeper.propose(change.bytes(), now).map_err(|e| match e {
                ProposeError::NotLeader { leader } => Reply::Elsewhere(leader),
                other => Reply::Refused(other.to_string()),
            })
        });
        match proposed {
            Ok((_, index)) => drop(self.wishes.insert(index, conn)),
            Err(reply) => self.words.push_back((To::Back(conn), Word::Reply(reply))),
        }
    }

    /// Whether a version may be proposed now.
    fn fit(&self, version: &Version, now: Micros) -> Result<(), Reply> {
        let Some(leases) = &self.leases else { return Ok(()) };
        let refused = |why: String| Err(Reply::Refused(why));
        if version.text.len() > TEXT_MOST {
            return refused(format!("a file of {} bytes, at most {TEXT_MOST} are taken", version.text.len()));
        }
        let size = postcard::to_stdvec(&version.rules).map_or(usize::MAX, |b| b.len());
        if size > RULES_MOST {
            return refused(format!("rules of {size} bytes, at most {RULES_MOST} are taken"));
        }
        // No third stage before everyone has left the first.
        let blockers = leases.blockers(&self.book.1, now);
        if self.book.1.acting.number > 0 && self.book.1.next.is_none() && !blockers.is_empty() {
            let who: Vec<String> =
                blockers.iter().take(4).map(|b| format!("{} ({})", b.who, b.why)).collect();
            return refused(format!("the passage before is not over: {}", who.join("; ")));
        }
        Ok(())
    }

    /// Whether a member may be forgotten: not while it has a lease.
    fn gone(&self, name: &str, now: Micros) -> Result<(), Reply> {
        let Some(leases) = &self.leases else { return Ok(()) };
        match leases.members(now).iter().find(|(n, ..)| n == name) {
            Some((_, true, ..)) => Err(Reply::Refused(format!("{name} has a lease: it is there"))),
            _ => Ok(()),
        }
    }

    /// How things stand.
    pub fn report(&self, now: Micros) -> Report {
        let keeper = self.keeper.as_ref().map(|k| k.status(now));
        let book = self.member.book().map(|(_, b)| b);
        let acting = match self.member.acting(now) {
            Acting::Floor => "the floor".to_owned(),
            Acting::Between(v, next) => format!("what versions {v} and {next} both allow"),
            Acting::Alone(v) => format!("version {v}"),
        };
        let lease = self.member.lease_until().map_or(0, |until| until.since(now).0 / 1000);
        Report {
            name: self.config.name.clone(),
            keeper: keeper.as_ref().map(|k| format!("{:?}", k.standing).to_lowercase()),
            leader: keeper.as_ref().and_then(|k| k.leader.clone()),
            term: keeper.as_ref().map_or(0, |k| k.term),
            electorate: keeper
                .as_ref()
                .map_or(Vec::new(), |k| k.electorate.iter().map(|m| m.name.clone()).collect()),
            silent: keeper.map_or(Vec::new(), |k| k.silent),
            acting,
            lease_ms: lease,
            versions: book.map_or((0, None), |b| (b.acting.number, b.next.as_ref().map(|n| n.number))),
            stage: book.map_or(0, |b| b.stage),
            holds: match (&self.leases, book) {
                (Some(leases), Some(_)) => leases.blockers(&self.book.1, now),
                _ => Vec::new(),
            },
            members: self.leases.as_ref().map_or(Vec::new(), |leases| leases.members(now)),
        }
    }
}
