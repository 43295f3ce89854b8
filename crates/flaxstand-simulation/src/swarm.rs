//! Searches for a day on which a rule breaks: generates days from seeds (site, fleet, clients, overlapping
//! faults), plays each on virtual time, and shrinks the first failing one to a small day file that still
//! fails the same way.

use crate::day::Day;
use crate::{between, random, world};
use flaxstand_gateway::core::Policy;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::fmt::Write as _;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// A generated day, in a form that can be shrunk.
#[derive(Clone, Debug, PartialEq)]
pub struct GeneratedDay {
    /// Seed that it was generated from.
    pub seed: u64,
    /// Duration of the traffic, seconds.
    pub seconds: f64,
    /// Operations per second.
    pub rate: f64,
    /// All other blocks, as KDL: site, classes, plans, fleet, clients.
    common: String,
    /// Faults, as KDL, one each.
    pub faults: Vec<String>,
}

/// A failing day.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The day as generated.
    pub generated: GeneratedDay,
    /// The day after shrinking.
    pub shrunk: GeneratedDay,
    /// Failure of the shrunk day.
    pub failure: String,
}

/// Result of a search.
#[derive(Clone, Debug, Default)]
pub struct SearchResult {
    /// Number of days played, without those of the shrinking.
    pub days: u64,
    /// Number of the clients' tries on them.
    pub tries: u64,
    /// The first failure.
    pub found: Option<Failure>,
}

impl GeneratedDay {
    /// Generates a day.
    pub fn new(seed: u64) -> GeneratedDay {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x7377_6172_6d00);
        let r = &mut rng;
        let initiators = integer(r, 1, 6);
        let nodes = integer(r, 1, 10);
        let seconds = between(r, (4.0, 14.0));
        let unit_work = between(r, (4.0, 20.0));
        let load = between(r, (0.2, 1.3));
        // Each node has two cores of speed 1; requests have two units on average.
        let rate = f64::from(nodes) * 2.0 * load / (unit_work * 2.0 / 1000.0);
        let mut common = String::new();
        write_site(&mut common, r, initiators);
        write_classes(&mut common, r);
        let volumes = nodes * integer(r, 2, 6);
        write_plans(&mut common, r, rate * 2.0 / f64::from(volumes), initiators);
        write_fleet(&mut common, r, nodes, unit_work);
        let _ = writeln!(common, "net one-way-ms={:.2}", [0.05, 0.3, 2.0][integer(r, 0, 2) as usize]);
        let traffic = format!(
            "    volumes {volumes}\n    nodes 1 {}\n    units 4\n    clients {}\n    retries {}\n    retry-wait-ms {} {}\n    honour {:.2}\n",
            integer(r, 1, 4),
            integer(r, 1, 3),
            integer(r, 0, 4),
            integer(r, 0, 50),
            integer(r, 50, 400),
            random(r),
        );
        let _ = write!(common, "traffic {{\n    rate RATE\n{traffic}}}\n");
        let count = integer(r, 0, 7);
        let faults = (0..count).map(|_| generate_fault(r, seconds, nodes, initiators)).collect();
        GeneratedDay { seed, seconds, rate, common, faults }
    }

    /// Returns the day's file.
    pub fn text(&self) -> String {
        let mut out = format!(
            "// Generated from seed {} and shrunk.\n\nday \"drawn {}\" {{\n    seconds {:.2}\n    seed {}\n    transit-ms 20\n}}\n",
            self.seed, self.seed, self.seconds, self.seed
        );
        out.push_str(&self.common.replace("RATE", &format!("{:.2}", self.rate)));
        self.faults.iter().for_each(|fault| {
            out.push_str(fault);
            out.push('\n');
        });
        out
    }

    /// Plays the day. Returns the number of tries, and the failure if there is one.
    pub fn play(&self, policy: Policy) -> (u64, Option<String>) {
        let text = self.text();
        let day = match Day::read("drawn", &text, None) {
            Ok(day) => day,
            Err(e) => return (0, Some(format!("invalid day: {e}"))),
        };
        // A panic counts as a failure; the state that it leaves behind is discarded.
        match catch_unwind(AssertUnwindSafe(|| world::play(&day, self.seconds, policy))) {
            Ok(played) => {
                let tries = played.report.classes.iter().map(|c| c.tries).sum();
                let overdue: u64 = played.counts.iter().map(|c| c.overdue).sum();
                let breach = played.report.audit.breaches.first().map(ToString::to_string);
                let overdue = (overdue > 0).then(|| format!("the module left {overdue} requests unanswered"));
                (tries, breach.or(overdue))
            }
            Err(_) => (0, Some("panic during the play".into())),
        }
    }

    /// Returns each variant of the day that is smaller in one respect.
    fn reductions(&self) -> Vec<GeneratedDay> {
        let mut all = Vec::new();
        for i in 0..self.faults.len() {
            let mut less = self.clone();
            less.faults.remove(i);
            all.push(less);
        }
        for seconds in [self.seconds / 2.0, self.seconds * 0.8] {
            if seconds >= 0.3 {
                all.push(GeneratedDay { seconds, ..self.clone() });
            }
        }
        for rate in [self.rate / 4.0, self.rate / 2.0, self.rate * 0.8] {
            if rate >= 1.0 {
                all.push(GeneratedDay { rate, ..self.clone() });
            }
        }
        all
    }

    /// Shrinks the day while the same rule still breaks, with at most `budget` plays.
    fn shrink(&self, policy: Policy, failure: &str, budget: u32) -> (GeneratedDay, String) {
        let rule = |failure: &str| failure.split(':').next().unwrap_or("").to_owned();
        let wanted = rule(failure);
        let (mut best, mut found, mut left) = (self.clone(), failure.to_owned(), budget);
        'again: loop {
            for less in best.reductions() {
                if left == 0 {
                    break 'again;
                }
                left -= 1;
                if let (_, Some(failure)) = less.play(policy)
                    && rule(&failure) == wanted
                {
                    (best, found) = (less, failure);
                    continue 'again;
                }
            }
            break;
        }
        (best, found)
    }
}

/// Draws an integer from a range, both ends included.
fn integer(r: &mut Pcg64Mcg, low: u32, high: u32) -> u32 {
    low + (random(r) * f64::from(high - low + 1)) as u32
}

fn write_site(common: &mut String, r: &mut Pcg64Mcg, initiators: u32) {
    let list = if random(r) < 0.3 { "on-request" } else { "pushed" };
    let _ = write!(
        common,
        "site {{\n    initiators {initiators}\n    list \"{list}\"\n    max-attempts {}\n    retry-after-most-ms {}\n    \
         unit-mean 2\n    unit-most 4\n    drain-grace-ms {}\n    key-rest-ms {}\n    tick-ms {}\n",
        integer(r, 1, 5),
        integer(r, 0, 800),
        integer(r, 100, 1000),
        integer(r, 0, 200),
        [0.2, 1.0, 2.0][integer(r, 0, 2) as usize],
    );
    let _ = writeln!(
        common,
        "    cold from={:.2} warm-ms={} fall-multiple={:.1} fall-ms={} bears-units={}",
        between(r, (0.1, 0.4)),
        integer(r, 2000, 10_000),
        between(r, (2.0, 4.0)),
        integer(r, 800, 2000),
        integer(r, 4, 8),
    );
    if random(r) < 0.5 {
        let (floor, ratio, span) = (integer(r, 0, 5), between(r, (0.05, 0.3)), integer(r, 2000, 6000));
        let _ = writeln!(common, "    budget floor={floor} ratio={ratio:.2} span-ms={span}");
    }
    common.push_str("}\n");
}

fn write_classes(common: &mut String, r: &mut Pcg64Mcg) {
    for class in ["one", "two", "three"] {
        let effect = match integer(r, 0, 5) {
            0 | 1 => "\"repeatable\"".to_owned(),
            2 => "\"once\"".to_owned(),
            n => {
                let group = ["all", "zone", "shard"][n as usize - 3];
                format!("\"keyed\"\n    group \"{group}\"\n    window-ms {}", integer(r, 500, 4000))
            }
        };
        let (latency_objective, order) = (integer(r, 50, 600), random(r) < 0.25);
        let deadline = latency_objective + integer(r, 100, 2500);
        let _ = write!(
            common,
            "class \"{class}\" {{\n    effect {effect}\n    aim-ms {latency_objective}\n    deadline-ms {deadline}\n    worth {}\n    \
             late-value 0.2\n    in-order #{order}\n}}\n",
            integer(r, 1, 4)
        );
        let (write, new) = (random(r) < 0.4, between(r, (0.0, 1.0)));
        let items = [3, 50, 1 << 20][integer(r, 0, 2) as usize];
        let _ = writeln!(
            common,
            "mix \"{class}\" share={:.2} write=#{write} new={new:.2} reread={:.2} items={items}",
            between(r, (0.1, 1.0)),
            between(r, (0.0, 0.6)),
        );
    }
}

/// Writes the plans and their volumes. `size`: mean demand of a volume, in units per second.
fn write_plans(common: &mut String, r: &mut Pcg64Mcg, size: f64, initiators: u32) {
    let _ = writeln!(common, "plan \"plain\" base-rate={size:.2}");
    let _ =
        writeln!(common, "plan \"reserved\" base-rate={size:.2} reserve-rate={:.2} price=1.2", size * 1.2);
    let (limit, burst) = (size * between(r, (0.4, 1.5)), between(r, (30.0, 60.0)));
    let _ =
        writeln!(common, "plan \"capped\" base-rate={size:.2} limit-rate={limit:.2} limit-burst={burst:.1}");
    for plan in ["plain", "reserved", "capped"] {
        let hosts = integer(r, 1, initiators);
        let _ = writeln!(common, "volumes \"{plan}\" share={:.2} hosts={hosts}", between(r, (0.1, 1.0)));
    }
}

fn write_fleet(common: &mut String, r: &mut Pcg64Mcg, nodes: u32, unit_work: f64) {
    let _ = write!(
        common,
        "fleet {{\n    nodes {nodes}\n    zones {}\n    speed 0.7 1.3\n    slots {}\n    queue {}\n    unit-work-ms {unit_work:.1}\n    \
         seek {:.2}\n    remembers {}\n    put-off {:.2}\n    put-off-every-ms {}\n    cancels #{}\n    list-late-ms {}\n    \
         warm-by \"{}\"\n    thrash {:.2}\n    thrash-at {}\n    connections {}\n    handshake-us {}\n}}\n",
        integer(r, 1, 3),
        integer(r, 1, 8),
        integer(r, 0, 64),
        between(r, (0.0, 0.6)),
        integer(r, 0, 4),
        between(r, (0.0, 0.7)),
        integer(r, 500, 4000),
        random(r) < 0.5,
        integer(r, 0, 3000),
        ["time", "work"][integer(r, 0, 1) as usize],
        between(r, (0.0, 0.4)),
        integer(r, 2, 8),
        integer(r, 2, 20),
        integer(r, 0, 2000),
    );
}

/// Kinds of the generated faults. Their order decides which kind a seed draws.
const FAULTS: [&str; 24] = [
    "crash",
    "replace",
    "stall",
    "pauses",
    "slow",
    "neighbour",
    "hang",
    "drop",
    "errors",
    "full",
    "refuse",
    "deaf",
    "reset",
    "cut-in",
    "cut-out",
    "heavy",
    "list-late",
    "list-silent",
    "list-fails",
    "list-cut",
    "kill-initiator",
    "restart-initiator",
    "burst",
    "plan-burst",
];

fn generate_fault(r: &mut Pcg64Mcg, seconds: f64, nodes: u32, initiators: u32) -> String {
    let at = random(r) * seconds;
    let length = between(r, (0.2, seconds * 0.6));
    let subset = |r: &mut Pcg64Mcg, of: u32| -> String {
        let mut picked: Vec<String> = (0..of).filter(|_| random(r) < 0.35).map(|n| n.to_string()).collect();
        if picked.is_empty() {
            picked.push(((random(r) * f64::from(of)) as u32).to_string());
        }
        picked.join(" ")
    };
    let kind = FAULTS[(random(r) * FAULTS.len() as f64) as usize];
    let needs = match kind {
        "stall" => format!(" ms={:.0}", between(r, (50.0, 2000.0))),
        "pauses" => {
            format!(" ms={:.0} every-ms={:.0}", between(r, (20.0, 400.0)), between(r, (500.0, 2000.0)))
        }
        "slow" => format!(" times={:.1}", between(r, (2.0, 10.0))),
        "neighbour" | "drop" | "errors" => format!(" share={:.2}", between(r, (0.05, 0.95))),
        "heavy" => format!(
            " class=\"one\" share={:.3} times={:.0}",
            between(r, (0.005, 0.05)),
            between(r, (5.0, 30.0))
        ),
        "list-late" => format!(" ms={:.0}", between(r, (0.0, 4000.0))),
        "burst" => format!(" times={:.1}", between(r, (0.2, 3.0))),
        "plan-burst" => format!(" plan=\"plain\" times={:.1}", between(r, (2.0, 6.0))),
        _ => String::new(),
    };
    let place = match kind {
        "kill-initiator" | "restart-initiator" => {
            format!(" {{\n    initiators {}\n}}", subset(r, initiators))
        }
        "list-late" | "list-silent" | "list-fails" | "list-cut" | "burst" | "plan-burst" => String::new(),
        _ => format!(" {{\n    nodes {}\n}}", subset(r, nodes)),
    };
    format!("fault \"{kind}\" at={at:.2} for={length:.2}{needs}{place}")
}

/// Plays generated days from the seed `first` on, in parallel, and stops at the first failure. Of several
/// failures in flight the one with the lowest seed is returned.
pub fn search(
    policy: Policy,
    first: u64,
    days: u64,
    threads: usize,
    each: impl Fn(u64) + Sync,
) -> SearchResult {
    let (next, tries, played) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    let stop = AtomicBool::new(false);
    let found: Mutex<Option<(GeneratedDay, String)>> = Mutex::new(None);
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    if n >= days {
                        break;
                    }
                    let generated = GeneratedDay::new(first + n);
                    let (count, failure) = generated.play(policy);
                    tries.fetch_add(count, Ordering::Relaxed);
                    each(played.fetch_add(1, Ordering::Relaxed) + 1);
                    if let Some(failure) = failure {
                        stop.store(true, Ordering::Relaxed);
                        let mut found = found.lock().expect("no holder panics");
                        if found.as_ref().is_none_or(|(d, _)| generated.seed < d.seed) {
                            *found = Some((generated, failure));
                        }
                    }
                }
            });
        }
    });
    let found = found.into_inner().expect("no holder panics").map(|(generated, failure)| {
        let (shrunk, failure) = generated.shrink(policy, &failure, 400);
        Failure { generated, shrunk, failure }
    });
    SearchResult { days: played.into_inner(), tries: tries.into_inner(), found }
}
