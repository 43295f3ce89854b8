//! Clients that come. After a restart hundreds come at once, and those already served must not wait for
//! them: so many are greeted a step, and beyond the rate that this bears they are told when to come back.

use flaxstand_proto::Micros;

/// Greetings a second, and at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionRateLimit {
    /// A second.
    pub rate: f64,
    /// At once.
    pub burst: f64,
    /// Longest wait that one is told.
    pub max_wait: Micros,
}

impl Default for ConnectionRateLimit {
    fn default() -> Self {
        ConnectionRateLimit { rate: 200.0, burst: 100.0, max_wait: Micros(5_000_000) }
    }
}

/// Paces the greetings of clients.
#[derive(Debug)]
pub struct ConnectionRateLimiter {
    rules: ConnectionRateLimit,
    tokens: f64,
    at: Micros,
    /// Told to come back, and not expected earlier than now.
    promised: f64,
}

impl ConnectionRateLimiter {
    /// Nobody has come yet.
    pub fn new(rules: ConnectionRateLimit, now: Micros) -> Self {
        ConnectionRateLimiter { tokens: rules.burst, rules, at: now, promised: 0.0 }
    }

    fn fill(&mut self, now: Micros) {
        let gained = self.rules.rate * now.since(self.at).ms() / 1000.0;
        self.at = now;
        self.tokens = (self.tokens + gained).min(self.rules.burst);
        self.promised = (self.promised - gained).max(0.0);
    }

    /// A client comes. None: it is taken; else when it should come back. Each that is told so is reckoned to
    /// take its turn then, so that a crowd is spread over as long as it takes; `draw` (uniform in 0 to 1) spreads
    /// it within its turn.
    pub fn comes(&mut self, now: Micros, draw: f64) -> Option<Micros> {
        self.fill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return None;
        }
        self.promised += 1.0;
        let turn = (self.promised + draw) / self.rules.rate.max(1e-3);
        Some(Micros::from_ms(turn * 1000.0).min(self.rules.max_wait))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// 243 come at once, and each comes back when told: all are in within what the rate takes, none in a crowd.
    fn crowd(a: &mut ConnectionRateLimiter, from: Micros) -> (u64, usize) {
        let mut due: Vec<(Micros, u64)> = (0..243).map(|n| (from, n)).collect();
        let (mut last, mut at_once) = (from, 0);
        let mut in_step = std::collections::BTreeMap::<u64, usize>::new();
        let mut calls = 0;
        while let Some(i) = (0..due.len()).min_by_key(|i| due[*i]) {
            let (now, n) = due.swap_remove(i);
            calls += 1;
            assert!(calls < 2000, "they come back for ever");
            match a.comes(now, (n as f64 * 0.618) % 1.0) {
                None => {
                    last = now;
                    let step = in_step.entry(now.0 / 100_000).or_default();
                    *step += 1;
                    at_once = at_once.max(*step);
                }
                Some(wait) => due.push((now.after(wait), n)),
            }
        }
        (last.since(from).0, at_once)
    }

    #[test]
    fn a_crowd_is_taken_in_bounded_steps_also_twice_in_a_row() {
        let mut a = ConnectionRateLimiter::new(ConnectionRateLimit::default(), Micros(0));
        let (took, most) = crowd(&mut a, Micros(1_000_000));
        assert!((700_000..1_500_000).contains(&took), "{took} us for the 143 beyond the first hundred");
        assert!(most <= 125, "{most} within 100 ms");
        let (took, _) = crowd(&mut a, Micros(3_000_000));
        assert!(took < 2_500_000, "{took} us the second time");
    }

    #[test]
    fn few_are_never_kept_waiting() {
        let mut a = ConnectionRateLimiter::new(ConnectionRateLimit::default(), Micros(0));
        for n in 0..1000 {
            assert_eq!(a.comes(Micros(n * 10_000), 0.5), None);
        }
    }
}
