//! What operators ask for, and what they are told.

use super::{Agreement, Reply, Report, To, Wish, Word};
use crate::book::{Change, RULES_MOST, TEXT_MOST, Version};
use crate::keeper::ProposeError;
use crate::member::Acting;
use flaxstand_proto::Micros;

/// Operators' wishes that are not agreed on yet, most.
const WISHES_MOST: usize = 16;

impl Agreement {
    /// An operator asks for something, on a connection.
    pub(super) fn operator_asked(&mut self, connection: u64, wish: Wish, now: Micros) {
        let change = match wish {
            Wish::Status => Err(Reply::Status(Box::new(self.report(now)))),
            Wish::Book => {
                Err(Reply::Book(self.member.book().map(|(index, book)| Box::new((index, book.clone())))))
            }
            Wish::Propose(base, version) => {
                self.check_version(&version, now).map(|()| Change::Propose { base, version })
            }
            Wish::Withdraw(number, by, at) => Ok(Change::Withdraw { number, by, at }),
            Wish::Forget(name) => self.check_gone(&name, now).map(|()| Change::Forget(name)),
        };
        match change.and_then(|change| self.propose(&change, now)) {
            Ok(index) => drop(self.wishes.insert(index, connection)),
            Err(reply) => self.reply(connection, reply),
        }
    }

    /// Proposes a change. Returns its index.
    fn propose(&mut self, change: &Change, now: Micros) -> Result<u64, Reply> {
        let leads = self.leads_until(now).is_some();
        let Some(keeper) = self.keeper.as_mut().filter(|_| leads) else {
            return Err(Reply::Elsewhere(self.leader()));
        };
        if self.wishes.len() >= WISHES_MOST {
            return Err(Reply::Refused("too much is being agreed on: try again later".into()));
        }
        match keeper.propose(change.bytes(), now) {
            Ok((_term, index)) => Ok(index),
            Err(ProposeError::NotLeader { leader }) => Err(Reply::Elsewhere(leader)),
            Err(error) => Err(Reply::Refused(error.to_string())),
        }
    }

    pub(super) fn reply(&mut self, connection: u64, reply: Reply) {
        self.words.push_back((To::Back(connection), Word::Reply(reply)));
    }

    /// Whether a version may be proposed now.
    fn check_version(&self, version: &Version, now: Micros) -> Result<(), Reply> {
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
        let blockers = leases.blockers(&self.applied.book, now);
        if self.applied.book.acting.number > 0 && self.applied.book.next.is_none() && !blockers.is_empty() {
            let who: Vec<String> =
                blockers.iter().take(4).map(|b| format!("{} ({})", b.who, b.why)).collect();
            return refused(format!("the passage before is not over: {}", who.join("; ")));
        }
        Ok(())
    }

    /// Whether a member may be forgotten: not while it has a lease.
    fn check_gone(&self, name: &str, now: Micros) -> Result<(), Reply> {
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
                (Some(leases), Some(_)) => leases.blockers(&self.applied.book, now),
                _ => Vec::new(),
            },
            members: self.leases.as_ref().map_or(Vec::new(), |leases| leases.members(now)),
        }
    }
}
