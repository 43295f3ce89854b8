//! Clients: a steady load over all hosts and shards, on connections that are kept.

use super::events::{Event, Input};
use super::list_service::TargetId;
use super::simulation::Simulation;
use flaxstand_gateway::machine::Micros;
use flaxstand_platform::TargetState;

/// Which part of the requests is for new objects, which any target may take.
const NEW_OBJECTS: f64 = 0.2;
/// Least and longest time that a client waits, ms.
const WAITS: (f64, f64) = (300.0, 1000.0);
const CLASSES: [&str; 3] = ["read", "once", "keyed"];

impl Simulation {
    /// A client asks one of the hosts that run, and the next one comes a little later.
    pub(super) fn next_client(&mut self) {
        let pause = self.draw.millis(0.0, 2000.0 / self.day.asks_per_second);
        self.events.at(self.now.after(pause), Event::NextClient);
        let running: Vec<usize> = (0..self.hosts.len()).filter(|host| self.hosts[*host].runs()).collect();
        if running.is_empty() || self.now >= super::day::START.after(self.day.length) {
            return;
        }
        let host = self.draw.pick(&running);
        let shard = match self.draw.chance(NEW_OBJECTS) {
            true => None,
            false => Some(self.draw.below(self.targets.shards())),
        };
        let wait = self.draw.millis(WAITS.0, WAITS.1);
        let servable = shard.is_none_or(|shard| self.is_up(self.targets.of_shard(shard)));
        let request = self.audit.asked(host, servable, self.now.after(wait), self.now);
        let class = self.draw.pick(&CLASSES);
        let text = request_text(request, class, shard, wait);
        let life = self.hosts[host].life;
        self.reaches(host, life, self.now, Input::Ask(request, text));
    }

    fn is_up(&self, target: TargetId) -> bool {
        self.service.target(target).state == TargetState::Up
    }
}

fn request_text(request: usize, class: &str, shard: Option<usize>, wait: Micros) -> String {
    let shard = shard.map_or(-1, |shard| shard as i64);
    let text = super::harness::http_request(
        &format!("r{request}"),
        class,
        shard,
        &format!("{:.3}", wait.ms() / 1000.0),
    );
    match class {
        "keyed" => text.replace("\r\n\r\n", &format!("\r\nIdempotency-Key: k{request}\r\n\r\n")),
        _ => text,
    }
}
