//! The agreement of one initiator: its keeper, if it is one, its membership, and the ways between. What the owner
//! (the gateway's core, or a test) calls; messages in, messages out, no I/O.
//!
//! A member's lease requests go to its *upstream*: a keeper, or a neighbour where it reaches none. Each passes on
//! what it can't decide on, the leader responds, and responses go back the way the requests came. An upstream that
//! does not answer is left for the next.
//!
//! - `protocol`: what initiators and operators say to each other
//! - `routing`: the way of lease requests and responses
//! - `replication`: the replicated state, and what a leader does by itself
//! - `admission`: which hosts a leader lets join
//! - `operators`: what operators ask for
//! - `terms`: what follows from the settings

mod admission;
mod operators;
mod protocol;
mod replication;
mod routing;
mod terms;

pub use protocol::{Reply, Report, To, Wish, Word};
pub use terms::Terms;

use crate::book::Book;
use crate::journal::State;
use crate::keeper::{Config as KeeperConfig, Keeper, Planted, Status};
use crate::lease_manager::LeaseManager;
use crate::member::{Acting, Member};
use crate::rules::Rules;
use admission::Admission;
use flaxstand_proto::Micros;
use flaxstand_storage::Batch;
use replication::Applied;
use routing::{HOPS_MOST, RequestId, Route, Upstreams};
use std::collections::{BTreeMap, VecDeque};
use tracing::{info, warn};

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

/// The agreement of one initiator.
#[derive(Debug)]
pub struct Agreement {
    config: Config,
    keeper: Option<Keeper>,
    leases: Option<LeaseManager>,
    member: Member,
    /// Of a keeper: the replicated state.
    applied: Applied,
    admission: Admission,
    /// Requests of others that were passed on.
    routes: BTreeMap<RequestId, Route>,
    /// By index of the entry that it waits for: an operator's connection.
    wishes: BTreeMap<u64, u64>,
    upstreams: Upstreams,
    /// When the upstream answered last, or was taken.
    answered_at: Micros,
    words: VecDeque<(To, Word)>,
    /// What the owner was told to act on, and of which stage.
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
        let keeper = found.map(|found| start_keeper(&config, found, now));
        let upstreams = Upstreams::new(&config.name, &config.keepers, &config.neighbours);
        let member =
            Member::new(config.name.clone(), config.incarnation, saved, config.lease, config.planted, now);
        Agreement {
            keeper,
            leases: None,
            member,
            applied: Applied::default(),
            admission: Admission::new(),
            routes: BTreeMap::new(),
            wishes: BTreeMap::new(),
            upstreams,
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
            (Word::LeaseRequest(hops, request), Some(_)) if hops <= HOPS_MOST => {
                self.lease_requested(Some(conn), hops, request, now);
            }
            (Word::LeaseResponse(response), Some(_)) => self.lease_response(*response, now),
            (Word::Wish(wish), None) => self.operator_asked(conn, wish, now),
            (word, from) => warn!(?from, ?word, "a message that has no place here"),
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
        self.renew_lease(now);
        self.expire_routes(now);
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

    /// Lowers the number of members that this initiator admits while it leads: for tests of what happens beyond
    /// it. `MEMBERS_MOST` can't be raised.
    #[doc(hidden)]
    pub fn limit_members(&mut self, members_most: usize) {
        self.admission.limit(members_most);
    }

    /// Of a leader: until when nobody else can lead.
    fn leads_until(&self, now: Micros) -> Option<Micros> {
        self.keeper.as_ref()?.leads_until(now)
    }

    /// Who leads, as far as this keeper knows.
    fn leader(&self) -> Option<String> {
        self.keeper.as_ref()?.leader().map(str::to_owned)
    }
}

/// How many times a leader sends heartbeats in the time after which it is taken for lost.
const HEARTBEATS: u64 = 5;

fn start_keeper(config: &Config, found: Found, now: Micros) -> Keeper {
    let keeper_config = KeeperConfig {
        name: config.name.clone(),
        names: config.keepers.clone(),
        election: config.election,
        heartbeat: Micros(config.election.0 / HEARTBEATS),
        seed: config.seed,
        begins_with: Book::default().bytes(),
        planted: config.planted,
    };
    Keeper::start(keeper_config, found.state, found.segments, now)
}
