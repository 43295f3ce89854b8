//! Clients: a steady load over all hosts and shards, on keep-alive connections.

use super::events::{Event, Input};
use super::list_service::TargetId;
use super::simulation::Simulation;
use flaxstand_gateway::machine::Micros;
use flaxstand_platform::TargetState;

/// The share of requests for new objects, which any target can serve.
const NEW_OBJECT_SHARE: f64 = 0.2;
/// Shortest and longest client time-out in milliseconds.
const TIMEOUT_RANGE: (f64, f64) = (300.0, 1000.0);
const CLASSES: [&str; 3] = ["read", "once", "keyed"];

impl Simulation {
    /// Issues a request to a random running host and schedules the next one.
    pub(super) fn next_request(&mut self) {
        let pause = self.random.millis(0.0, 2000.0 / self.day.requests_per_second);
        self.events.schedule(self.now.after(pause), Event::NextRequest);
        let running: Vec<usize> =
            (0..self.hosts.len()).filter(|host| self.hosts[*host].is_running()).collect();
        if running.is_empty() || self.now >= super::day::START.after(self.day.length) {
            return;
        }
        let host = self.random.pick(&running);
        let shard = match self.random.chance(NEW_OBJECT_SHARE) {
            true => None,
            false => Some(self.random.below(self.targets.shards())),
        };
        let timeout = self.random.millis(TIMEOUT_RANGE.0, TIMEOUT_RANGE.1);
        let servable = shard.is_none_or(|shard| self.is_up(self.targets.holder_of(shard)));
        let request = self.audit.request_issued(host, servable, self.now.after(timeout), self.now);
        let class = self.random.pick(&CLASSES);
        let text = request_text(request, class, shard, timeout);
        let incarnation = self.hosts[host].incarnation;
        self.schedule_input(host, incarnation, self.now, Input::Request(request, text));
    }

    fn is_up(&self, target: TargetId) -> bool {
        self.service.target(target).state == TargetState::Up
    }
}

fn request_text(request: usize, class: &str, shard: Option<usize>, timeout: Micros) -> String {
    let shard = shard.map_or(-1, |shard| shard as i64);
    let text = super::harness::http_request(
        &format!("r{request}"),
        class,
        shard,
        &format!("{:.3}", timeout.ms() / 1000.0),
    );
    match class {
        "keyed" => text.replace("\r\n\r\n", &format!("\r\nIdempotency-Key: k{request}\r\n\r\n")),
        _ => text,
    }
}
