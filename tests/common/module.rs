//! The decision module and its plain version behind one trait, for tests that compare them.
#![allow(dead_code)]

use crate::plain;
use flaxstand::api::*;
use flaxstand::brain;

/// What both versions can do.
pub trait Module {
    const NAME: &'static str;
    fn start(settings: Settings, seed: u64, now: Ms) -> Self;
    fn tell(&mut self, event: Event, now: Ms, actions: &mut Vec<Action>);
    fn pace(&self, node: NodeId) -> Option<Ms>;
}

impl Module for brain::Brain {
    const NAME: &'static str = "indexed";

    fn start(settings: Settings, seed: u64, now: Ms) -> Self {
        Self::new(settings, seed, now)
    }

    fn tell(&mut self, event: Event, now: Ms, actions: &mut Vec<Action>) {
        self.handle(event, now, actions);
    }

    fn pace(&self, node: NodeId) -> Option<Ms> {
        self.pace_of(node)
    }
}

impl Module for plain::brain::Brain {
    const NAME: &'static str = "plain";

    fn start(settings: Settings, seed: u64, now: Ms) -> Self {
        Self::new(settings, seed, now)
    }

    fn tell(&mut self, event: Event, now: Ms, actions: &mut Vec<Action>) {
        self.handle(event, now, actions);
    }

    fn pace(&self, node: NodeId) -> Option<Ms> {
        self.pace_of(node)
    }
}
