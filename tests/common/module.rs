//! A common trait for the decision module and its reference implementation, for tests that compare them.
#![allow(dead_code)]

use crate::plain;
use flaxstand::api::*;
use flaxstand::scheduler;

/// Operations of both implementations.
pub trait Module {
    const NAME: &'static str;
    fn start(settings: Settings, seed: u64, now: Millis) -> Self;
    fn handle_event(&mut self, event: Event, now: Millis, actions: &mut Vec<Action>);
    fn service_time(&self, node: NodeId) -> Option<Millis>;
}

impl Module for scheduler::Scheduler {
    const NAME: &'static str = "indexed";

    fn start(settings: Settings, seed: u64, now: Millis) -> Self {
        Self::new(settings, seed, now)
    }

    fn handle_event(&mut self, event: Event, now: Millis, actions: &mut Vec<Action>) {
        self.handle(event, now, actions);
    }

    fn service_time(&self, node: NodeId) -> Option<Millis> {
        self.service_time_of(node)
    }
}

impl Module for plain::scheduler::Scheduler {
    const NAME: &'static str = "plain";

    fn start(settings: Settings, seed: u64, now: Millis) -> Self {
        Self::new(settings, seed, now)
    }

    fn handle_event(&mut self, event: Event, now: Millis, actions: &mut Vec<Action>) {
        self.handle(event, now, actions);
    }

    fn service_time(&self, node: NodeId) -> Option<Millis> {
        self.service_time_of(node)
    }
}
