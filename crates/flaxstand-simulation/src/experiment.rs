//! Compares variants of the settings: plays days × seeds × variants on virtual time. All variants of one
//! day and seed get the same arrivals and the same faults. The result is the mean of the paired
//! differences, its confidence interval and the number of pairs.

use crate::day::{Day, DayError, RetryPolicy};
use crate::world;
use flaxstand_gateway::core::Policy;
use flaxstand_gateway::settings::{Block, SettingsError, Source};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, Write as _};
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A variant of how a day is played.
#[derive(Clone, Debug)]
pub struct Variant {
    /// Its name.
    pub name: String,
    /// Scheduling policy.
    pub policy: Policy,
    /// Factor on the day's request rate.
    pub rate: f64,
    /// Replaces the site's `tick-ms`, if given.
    pub tick: Option<f64>,
    /// Replaces the site's number of initiators, if given. The traffic stays the same: each takes less.
    pub initiators: Option<u32>,
    /// Turns off write-back: writes go through to the nodes.
    pub through: bool,
    /// Whether retry storms are damped as the day's site says; if not, damping is off.
    pub damping: bool,
    /// Replaces the day's share of clients that honour the wait of a refusal, if given.
    pub honour: Option<f64>,
    /// Replaces the day's retry policy of clients, if given.
    pub retry_policy: Option<RetryPolicy>,
}

/// An experiment: days, seeds and variants.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// Days.
    pub days: Vec<Day>,
    /// Seeds with which each day is played.
    pub seeds: Vec<u64>,
    /// Variants; the first is the baseline of the comparison.
    pub variants: Vec<Variant>,
    /// Replaces each day's length in seconds, if given.
    pub seconds: Option<f64>,
    /// Restricts the service figure to this class: its share served in time.
    pub class: Option<String>,
}

/// Result of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The day's name.
    pub day: String,
    /// The seed.
    pub seed: u64,
    /// The variant's name.
    pub variant: String,
    /// Weight of the operations served in time, divided by the weight of all operations.
    pub service: f64,
    /// Lowest share served in time of any class.
    pub worst_class: f64,
    /// Number of rule violations.
    pub breaches: u64,
    /// Seconds from when the last node was warm until service recovered; none: it did not, or the day has
    /// no faults.
    #[serde(default)]
    pub back_after: Option<f64>,
}

/// Comparison of a variant with the baseline, on one day or over all.
#[derive(Clone, Debug, Serialize)]
pub struct Difference {
    /// The day, or `all days`.
    pub day: String,
    /// The variant.
    pub variant: String,
    /// Mean service of the variant.
    pub service: f64,
    /// Mean difference to the first variant's.
    pub mean: f64,
    /// Half-width of the 95% confidence interval of that mean.
    pub half: f64,
    /// Number of pairs.
    pub pairs: usize,
    /// Runs with a rule violation.
    pub broken: usize,
    /// Runs in which service recovered after the faults.
    pub back: usize,
    /// Mean recovery time in those runs, in seconds from when the last node was warm.
    pub back_after: f64,
}

/// Results of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Its name.
    pub name: String,
    /// Every run.
    pub runs: Vec<Run>,
    /// Every comparison; the baseline is compared with itself.
    pub differences: Vec<Difference>,
}

impl Experiment {
    /// Reads an experiment and its days, whose paths are relative to the experiment's file.
    ///
    /// # Errors
    /// A file can't be read, or holds errors; all of them are listed.
    pub fn load(path: &Path) -> Result<Experiment, DayError> {
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|cause| DayError::Io { path: name.clone(), cause })?;
        let (mut experiment, files) = Experiment::read(&name, &text)?;
        for file in files {
            experiment.days.push(Day::load(&path.with_file_name(file))?.0);
        }
        Ok(experiment)
    }

    /// Reads an experiment and the paths of its days' files.
    ///
    /// # Errors
    /// All errors of the file, each with its line.
    pub fn read(name: &str, text: &str) -> Result<(Experiment, Vec<String>), SettingsError> {
        let source = Source::new(name, text);
        let document = source.parse()?;
        let root = Block::document(&source, &document);
        let mut read = Experiment {
            name: String::new(),
            days: Vec::new(),
            seeds: Vec::new(),
            variants: Vec::new(),
            seconds: None,
            class: None,
        };
        let mut files = Vec::new();
        if let Some(b) = root.required_block("experiment") {
            read.name = b.name();
            files = b.parsed_list("day", "a day's file", |t| Some(t.to_owned()));
            let (first, last) = b.range("seeds", 0.0..=1e9, None);
            read.seeds = (first as u64..=last as u64).take(10_000).collect();
            let seconds = b.number("seconds", 0.0..=86_400.0, Some(0.0));
            read.seconds = (seconds > 0.0).then_some(seconds);
            let class = b.text("class", Some(""));
            read.class = (!class.is_empty()).then_some(class);
            for v in b.blocks("variant") {
                let tick = v.number("tick-ms", -1.0..=1000.0, Some(-1.0));
                let initiators = v.integer("initiators", 0..=100_000, Some(0)) as u32;
                read.variants.push(Variant {
                    name: v.name(),
                    policy: v.choice("policy", &Policy::ALL, Some(Policy::Module)).unwrap_or_default(),
                    rate: v.number("rate", 0.001..=1000.0, Some(1.0)),
                    tick: (tick >= 0.0).then_some(tick),
                    initiators: (initiators > 0).then_some(initiators),
                    through: v.flag("through", false),
                    damping: v.flag("damping", true),
                    retry_policy: v.choice("manners", &RetryPolicy::CHOICE, Some(None)).flatten(),
                    honour: Some(v.number("honour", -1.0..=1.0, Some(-1.0))).filter(|h| *h >= 0.0),
                });
                v.reject_unknown_keys();
            }
            if read.variants.is_empty() {
                b.report("variant is missing, expected one or more".into());
            }
            b.reject_unknown_keys();
        }
        root.reject_unknown_keys();
        source.finish()?;
        Ok((read, files))
    }

    /// Plays every run that the file `resume` does not hold yet, and appends it there. Calls `each` with
    /// the number of finished runs and the number of all runs.
    ///
    /// # Errors
    /// The file can't be read or opened. A truncated last line is ignored.
    pub fn run(
        &self,
        resume: Option<&Path>,
        threads: usize,
        each: impl Fn(usize, usize) + Sync,
    ) -> io::Result<Outcome> {
        let mut runs: Vec<Run> = match resume {
            Some(path) if path.exists() => {
                std::fs::read_to_string(path)?.lines().filter_map(|l| serde_json::from_str(l).ok()).collect()
            }
            _ => Vec::new(),
        };
        let is_done = |day: &Day, seed: u64, v: &Variant| {
            runs.iter().any(|r| (&r.day, r.seed, &r.variant) == (&day.name, seed, &v.name))
        };
        let mut todo = Vec::new();
        for day in &self.days {
            for seed in &self.seeds {
                let missing = self.variants.iter().filter(|v| !is_done(day, *seed, v));
                todo.extend(missing.map(|v| (day, *seed, v)));
            }
        }
        let all = runs.len() + todo.len();
        let file =
            resume.map(|p| std::fs::OpenOptions::new().create(true).append(true).open(p)).transpose()?;
        let (next, done) = (AtomicUsize::new(0), AtomicUsize::new(runs.len()));
        let output = Mutex::new((Vec::new(), file));
        std::thread::scope(|scope| {
            for _ in 0..threads.max(1) {
                scope.spawn(|| {
                    while let Some((day, seed, variant)) = todo.get(next.fetch_add(1, Ordering::Relaxed)) {
                        let run = self.play_run(day, *seed, variant);
                        let mut output = output.lock().expect("no holder panics");
                        if let Some(file) = &mut output.1 {
                            // A run that can't be written is played again on the next resume; this result
                            // has it all the same.
                            let _ = serde_json::to_string(&run).map(|line| writeln!(file, "{line}"));
                        }
                        output.0.push(run);
                        each(done.fetch_add(1, Ordering::Relaxed) + 1, all);
                    }
                });
            }
        });
        runs.append(&mut output.into_inner().expect("no holder panics").0);
        // Threads finish in any order; sorting makes the result deterministic.
        runs.sort_by(|x, y| (&x.day, x.seed, &x.variant).cmp(&(&y.day, y.seed, &y.variant)));
        Ok(Outcome { name: self.name.clone(), differences: self.differences(&runs), runs })
    }

    fn play_run(&self, day: &Day, seed: u64, variant: &Variant) -> Run {
        let mut day = Day { seed, ..day.clone() };
        day.traffic.rate *= variant.rate;
        let settings = &mut day.site.site.settings;
        settings.tick = variant.tick.unwrap_or(settings.tick);
        settings.initiators = variant.initiators.unwrap_or(settings.initiators);
        let count = settings.initiators;
        day.faults.iter_mut().for_each(|f| f.initiators.retain(|i| *i < count));
        day.traffic.retry_policy = variant.retry_policy.unwrap_or(day.traffic.retry_policy);
        day.traffic.honour = variant.honour.unwrap_or(day.traffic.honour);
        if !variant.damping {
            day.site.site.retry_throttle = None;
        }
        if variant.through {
            day.site.site.write_back = None;
            day.site.site.classes.iter_mut().for_each(|c| c.is_buffered = false);
        }
        let report = world::play(&day, self.seconds.unwrap_or(day.seconds), variant.policy).report;
        let used = report.classes.iter().filter(|c| c.wanted > 0);
        Run {
            day: day.name,
            seed,
            variant: variant.name.clone(),
            service: match &self.class {
                None => report.service,
                Some(name) => report.classes.iter().find(|c| c.name == *name).map_or(0.0, |c| c.share()),
            },
            worst_class: used.map(|c| c.share()).fold(1.0, f64::min),
            breaches: report.audit.breaches.len() as u64,
            back_after: report.recovery.and_then(|r| r.back_after),
        }
    }

    fn differences(&self, runs: &[Run]) -> Vec<Difference> {
        let Some(first) = self.variants.first() else { return Vec::new() };
        let service: BTreeMap<(&str, u64, &str), &Run> =
            runs.iter().map(|r| ((&r.day[..], r.seed, &r.variant[..]), r)).collect();
        let mut names: Vec<&str> = self.days.iter().map(|d| &d.name[..]).collect();
        names.push("all days");
        let mut all = Vec::new();
        for day in names {
            for v in &self.variants {
                let variant_runs =
                    runs.iter().filter(|r| r.variant == v.name && (r.day == day || day == "all days"));
                let variant_runs: Vec<&Run> = variant_runs.collect();
                let pairs: Vec<f64> = variant_runs
                    .iter()
                    .filter_map(|r| {
                        service.get(&(&r.day[..], r.seed, &first.name[..])).map(|f| r.service - f.service)
                    })
                    .collect();
                let (mean, half) = interval(&pairs);
                let recovery_times: Vec<f64> = variant_runs.iter().filter_map(|r| r.back_after).collect();
                all.push(Difference {
                    day: day.to_owned(),
                    variant: v.name.clone(),
                    service: variant_runs.iter().map(|r| r.service).sum::<f64>()
                        / variant_runs.len().max(1) as f64,
                    mean,
                    half,
                    pairs: pairs.len(),
                    broken: variant_runs.iter().filter(|r| r.breaches > 0).count(),
                    back: recovery_times.len(),
                    back_after: recovery_times.iter().sum::<f64>() / recovery_times.len().max(1) as f64,
                });
            }
        }
        all
    }
}

/// Student's t for a two-sided 95% interval, by degrees of freedom; the last value is used from 30 on.
const STUDENT_T: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
];

/// Returns the mean and the half-width of its 95% confidence interval; infinite for fewer than two values.
pub fn interval(values: &[f64]) -> (f64, f64) {
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n.max(1.0);
    if values.len() < 2 {
        return (mean, f64::INFINITY);
    }
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0);
    let t = STUDENT_T[(values.len() - 2).min(STUDENT_T.len() - 1)];
    (mean, t * (variance / n).sqrt())
}

impl Difference {
    /// Returns whether the interval shows a difference.
    pub fn verdict(&self) -> &'static str {
        if self.pairs < 2 {
            "too few pairs"
        } else if self.mean - self.half > 0.0 {
            "better"
        } else if self.mean + self.half < 0.0 {
            "worse"
        } else {
            "no difference shown"
        }
    }
}

impl Outcome {
    /// Formats the results as a table.
    pub fn text(&self) -> String {
        let mut out = format!("{}\n\n", self.name);
        let _ = writeln!(
            out,
            "{:20} {:16} {:>8} {:>11} {:>9} {:>6} {:>7} {:>5} {:>7}  verdict",
            "day", "variant", "service", "difference", "+/-", "pairs", "broken", "back", "after s"
        );
        let first = self.differences.first().map(|d| d.variant.clone()).unwrap_or_default();
        for d in &self.differences {
            let (mean, half, verdict) = if d.variant == first {
                (String::new(), String::new(), "held against")
            } else {
                (format!("{:+.4}", d.mean), format!("{:.4}", d.half), d.verdict())
            };
            let _ = writeln!(
                out,
                "{:20} {:16} {:>8.4} {mean:>11} {half:>9} {:>6} {:>7} {:>5} {:>7.1}  {verdict}",
                d.day, d.variant, d.service, d.pairs, d.broken, d.back, d.back_after
            );
        }
        out
    }
}
