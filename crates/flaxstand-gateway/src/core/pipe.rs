//! The baseline beside the module: each request is sent at once, to its shard's node or to the nodes in
//! turn, and tried once. For measurements only.

use flaxstand::api::{Action, Event, ListScope, NodeEntry, NodeId, Outcome, Readiness, RequestId, ShardId};
use std::collections::BTreeMap;

/// Sends everything at once.
#[derive(Debug, Default)]
pub struct Pipe {
    nodes: BTreeMap<NodeId, NodeEntry>,
    by_shard: BTreeMap<ShardId, NodeId>,
    serving: Vec<NodeId>,
    turn: usize,
}

impl Pipe {
    /// Takes one event; what is to be done is added to `actions`.
    pub fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::List(ListScope::Failed, _) => actions.push(Action::Subscribe),
            Event::List(scope, entries) => self.listed(scope, entries),
            Event::Arrived(a) => {
                let node = match a.shard {
                    Some(shard) => self.by_shard.get(&shard).copied(),
                    None => self.next(),
                };
                actions.push(match node {
                    Some(node) => Action::Send { request: a.id, node },
                    None => Action::Refuse { request: a.id, retry_after: 0.0 },
                });
            }
            Event::Ended(e) if !e.complete => actions.push(Self::answer(e.request, e.outcome)),
            _ => {}
        }
    }

    fn answer(request: RequestId, outcome: Outcome) -> Action {
        match outcome {
            Outcome::Full | Outcome::ConnectFailed | Outcome::Moot => {
                Action::Refuse { request, retry_after: 0.0 }
            }
            _ => Action::Fail { request },
        }
    }

    fn next(&mut self) -> Option<NodeId> {
        self.turn += 1;
        self.serving.get(self.turn % self.serving.len().max(1)).copied()
    }

    fn listed(&mut self, scope: ListScope, entries: Vec<NodeEntry>) {
        if scope != ListScope::Changes {
            self.nodes.clear();
        }
        self.nodes.extend(entries.into_iter().map(|e| (e.node, e)));
        let serving = || self.nodes.values().filter(|e| e.readiness == Readiness::Serving);
        self.serving = serving().map(|e| e.node).collect();
        let mut newest: Vec<&NodeEntry> = serving().collect();
        newest.sort_by(|x, y| x.booted_at.unwrap_or(0.0).total_cmp(&y.booted_at.unwrap_or(0.0)));
        self.by_shard = newest.into_iter().map(|e| (e.shard, e.node)).collect();
    }
}
