//! Renders a day's report as one self-contained HTML page with plots: service by class over time, latency,
//! refusals, requests at each node, and the faults. Readable in light and dark mode.

use crate::day::Day;
use crate::experiment::{Difference, Outcome};
use crate::report::{Report, operations};
use flaxstand_audit::{Answer, AttemptLedger, Record};
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Bins on the time axis.
const BINS: usize = 60;
const WIDTH: u32 = 900;

/// Colours with enough contrast on white and on black.
const COLOURS: [RGBColor; 6] = [
    RGBColor(0x1f, 0x8a, 0xc9),
    RGBColor(0xd9, 0x7a, 0x1a),
    RGBColor(0x3d, 0xa3, 0x5a),
    RGBColor(0xc4, 0x4e, 0x8f),
    RGBColor(0x8a, 0x6f, 0xd1),
    RGBColor(0x9a, 0x8f, 0x2a),
];

type Rendered = Result<String, Box<dyn std::error::Error>>;

/// Time axis of a day, divided into bins.
struct Axis {
    start: u64,
    seconds: f64,
}

impl Axis {
    fn of(ledger: &AttemptLedger) -> Axis {
        let at = |r: &Record| match r {
            Record::Submitted { at, .. } | Record::Unreachable { at, .. } => Some(*at),
            _ => None,
        };
        let start = ledger.records.iter().find_map(at).unwrap_or(0);
        let end = ledger.records.iter().rev().find_map(at).unwrap_or(start);
        Axis { start, seconds: ((end - start) as f64 / 1e6).max(1.0) }
    }
    fn bin(&self, at: u64) -> usize {
        let part = at.saturating_sub(self.start) as f64 / 1e6 / self.seconds;
        ((part * BINS as f64) as usize).min(BINS - 1)
    }
    /// Returns the middle of a bin, in seconds.
    fn second(&self, bin: usize) -> f64 {
        (bin as f64 + 0.5) * self.seconds / BINS as f64
    }
}

struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

fn lines(axis: &Axis, top: f64, unit: &str, all: &[Line]) -> Rendered {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (WIDTH, 230)).into_drawing_area();
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..axis.seconds, 0.0..top.max(1e-9))?;
        chart.configure_mesh().x_desc("seconds").y_desc(unit).light_line_style(TRANSPARENT).draw()?;
        for (i, line) in all.iter().enumerate() {
            let colour = COLOURS[i % COLOURS.len()];
            let series = LineSeries::new(line.points.iter().copied(), colour.stroke_width(2));
            chart
                .draw_series(series)?
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(3)));
        }
        chart
            .configure_series_labels()
            .border_style(TRANSPARENT)
            .position(SeriesLabelPosition::LowerLeft)
            .draw()?;
        root.present()?;
    }
    Ok(svg)
}

fn by_class<T: Default + Clone>(day: &Day) -> Vec<Vec<T>> {
    vec![vec![T::default(); BINS]; day.site.site.classes.len()]
}

fn named(day: &Day, points: Vec<Vec<(f64, f64)>>) -> Vec<Line> {
    let names = day.site.site.classes.iter().map(|c| c.name.clone());
    names.zip(points).map(|(name, points)| Line { name, points }).collect()
}

fn service(day: &Day, ledger: &AttemptLedger, axis: &Axis) -> Rendered {
    let mut counts = by_class::<(u32, u32)>(day);
    for o in operations(ledger).values() {
        let latency_objective =
            day.site.site.settings.classes[usize::from(o.class)].latency_objective * 1000.0;
        let place = &mut counts[usize::from(o.class)][axis.bin(o.first)];
        place.0 += 1;
        place.1 +=
            u32::from(o.served.is_some_and(|at| at.saturating_sub(o.first) as f64 <= latency_objective));
    }
    let points = |bins: &Vec<(u32, u32)>| {
        let used = bins.iter().enumerate().filter(|(_, (wanted, _))| *wanted > 0);
        used.map(|(i, (wanted, served))| (axis.second(i), f64::from(*served) / f64::from(*wanted))).collect()
    };
    lines(axis, 1.02, "share in time", &named(day, counts.iter().map(points).collect()))
}

fn latency(day: &Day, ledger: &AttemptLedger, axis: &Axis) -> Rendered {
    let mut latencies = by_class::<Vec<u64>>(day);
    for o in operations(ledger).values() {
        if let Some(at) = o.served {
            latencies[usize::from(o.class)][axis.bin(o.first)].push(at.saturating_sub(o.first));
        }
    }
    let mut all = Vec::new();
    for (class, bins) in day.site.site.classes.iter().zip(&mut latencies) {
        let mut points = Vec::new();
        for (i, bin) in bins.iter_mut().enumerate().filter(|(_, bin)| !bin.is_empty()) {
            bin.sort_unstable();
            points.push((axis.second(i), bin[(bin.len() - 1) * 95 / 100] as f64 / 1000.0));
        }
        all.push(Line { name: class.name.clone(), points });
    }
    let top = all.iter().flat_map(|l| &l.points).map(|(_, y)| *y).fold(1.0, f64::max);
    lines(axis, top * 1.05, "ms, 95th percentile", &all)
}

fn refusals(day: &Day, ledger: &AttemptLedger, axis: &Axis) -> Rendered {
    let mut counts = by_class::<f64>(day);
    for t in &ledger.client_attempts {
        if let Some((at, Answer::Refused { .. } | Answer::Failed)) = t.answers.first() {
            counts[usize::from(t.class)][axis.bin(*at)] += BINS as f64 / axis.seconds;
        }
    }
    let points = |bins: &Vec<f64>| bins.iter().enumerate().map(|(i, n)| (axis.second(i), *n)).collect();
    let all = named(day, counts.iter().map(points).collect());
    let top = all.iter().flat_map(|l| &l.points).map(|(_, y)| *y).fold(1.0, f64::max);
    lines(axis, top * 1.05, "refused, failed a second", &all)
}

/// Plots the mean number of requests at each node, by bin.
fn load_heatmap(day: &Day, ledger: &AttemptLedger, axis: &Axis) -> Rendered {
    let shards = day.fleet.nodes.max(1) as usize;
    let mut load = vec![vec![0.0; BINS]; shards];
    let width = axis.seconds / BINS as f64;
    for a in ledger.requests.values().flat_map(|r| &r.attempts) {
        let Some(process) = ledger.processes.get(&(a.node, a.incarnation)) else { continue };
        let until = a.end.map(|(at, _)| at).or(a.completed_at).unwrap_or(a.at);
        let second = |at: u64| at.saturating_sub(axis.start) as f64 / 1e6;
        let (from, to) = (second(a.at), second(until));
        for (bin, place) in load[process.shard as usize % shards].iter_mut().enumerate().skip(axis.bin(a.at))
        {
            let begins = bin as f64 * width;
            if begins > to {
                break;
            }
            *place += ((to.min(begins + width) - from.max(begins)) / width).max(0.0);
        }
    }
    let most = load.iter().flatten().copied().fold(1.0, f64::max);
    let mut svg = String::new();
    {
        let height = (shards as u32 * 16 + 60).clamp(120, 700);
        let root = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..axis.seconds, 0.0..shards as f64)?;
        chart
            .configure_mesh()
            .disable_mesh()
            .x_desc("seconds")
            .y_desc("shard")
            .y_label_formatter(&|y| format!("{y:.0}"))
            .draw()?;
        for (shard, bins) in load.iter().enumerate() {
            chart.draw_series(bins.iter().enumerate().filter(|(_, n)| **n > 0.0).map(|(bin, n)| {
                let corner = |b: usize, s: usize| (b as f64 * width, s as f64);
                let style = COLOURS[1].mix((n / most).sqrt()).filled();
                Rectangle::new([corner(bin, shard), corner(bin + 1, shard + 1)], style)
            }))?;
        }
        root.present()?;
    }
    Ok(svg)
}

/// Plots the faults, one row each.
fn faults(day: &Day, axis: &Axis) -> Rendered {
    let rows: Vec<_> = day.faults.iter().filter(|f| f.at < axis.seconds).collect();
    let mut svg = String::new();
    {
        let height = (rows.len() as u32 * 22 + 44).max(110);
        let root = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        let count = rows.len().max(1) as f64;
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(26)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..axis.seconds, 0.0..count)?;
        chart.configure_mesh().disable_mesh().y_labels(0).draw()?;
        for (i, fault) in rows.iter().enumerate() {
            let (low, high) = (count - i as f64 - 0.9, count - i as f64 - 0.1);
            // A fault without a duration still gets a visible bar.
            let end = (fault.at + fault.length.max(axis.seconds / 300.0)).min(axis.seconds);
            let bar = Rectangle::new([(fault.at, low), (end, high)], COLOURS[3].mix(0.45).filled());
            chart.draw_series([bar])?;
            let places: Vec<String> =
                fault.nodes.iter().chain(&fault.initiators).map(u32::to_string).collect();
            let label = format!("{} {}", fault.name, places.join(" "));
            let style = ("sans-serif", 12).into_font().color(&BLACK);
            let at = fault.at.min(axis.seconds * 0.8);
            chart.draw_series([Text::new(label, (at, high - 0.15), style)])?;
        }
        root.present()?;
    }
    Ok(svg)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Plots the mean difference of service of each variant to the baseline, with its 95% interval.
fn comparison(outcome: &Outcome) -> Rendered {
    let first = outcome.differences.first().map(|d| d.variant.clone()).unwrap_or_default();
    let rows: Vec<&Difference> =
        outcome.differences.iter().filter(|d| d.variant != first && d.half.is_finite()).collect();
    let reach = rows.iter().map(|d| d.mean.abs() + d.half).fold(0.01, f64::max) * 1.05;
    let count = rows.len().max(1) as f64;
    let mut svg = String::new();
    {
        let height = (rows.len() as u32 * 24 + 60).clamp(120, 1600);
        let root = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(8)
            .build_cartesian_2d(-2.2 * reach..reach, 0.0..count)?;
        chart.configure_mesh().disable_y_mesh().y_labels(0).x_desc("difference of service").draw()?;
        chart.draw_series([PathElement::new([(0.0, 0.0), (0.0, count)], BLACK.stroke_width(1))])?;
        for (i, d) in rows.iter().enumerate() {
            let y = count - i as f64 - 0.5;
            let colour = match d.verdict() {
                "better" => COLOURS[2],
                "worse" => COLOURS[1],
                _ => COLOURS[4],
            };
            let bar = [(d.mean - d.half, y), (d.mean + d.half, y)];
            chart.draw_series([PathElement::new(bar, colour.stroke_width(4))])?;
            chart.draw_series([Circle::new((d.mean, y), 5, colour.filled())])?;
            let label = format!("{}: {} ({})", d.day, d.variant, d.verdict());
            let style = ("sans-serif", 12).into_font().color(&BLACK);
            chart.draw_series([Text::new(label, (-2.2 * reach, y + 0.25), style)])?;
        }
        root.present()?;
    }
    Ok(svg)
}

fn page_header(title: &str) -> String {
    format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\n<style>\n\
         :root {{ color-scheme: light dark; }}\n\
         body {{ font: 15px/1.5 sans-serif; max-width: 960px; margin: 2em auto; padding: 0 1em; }}\n\
         svg {{ max-width: 100%; height: auto; }}\n\
         pre {{ overflow-x: auto; font-size: 12px; }}\n\
         .broken {{ color: #d33; font-weight: bold; }}\n\
         </style></head><body>\n<h1>{title}</h1>\n"
    )
}

/// Adapts a plot to the page's theme: black becomes the text colour, white becomes transparent.
fn themed(svg: &str) -> String {
    svg.replace("#000000", "currentColor").replace("fill=\"#FFFFFF\"", "fill=\"none\"")
}

/// Renders the page of an experiment.
///
/// # Errors
/// The plot can't be drawn.
pub fn experiment_page(outcome: &Outcome) -> Rendered {
    let mut out = page_header(&escape(&outcome.name));
    let first = outcome.differences.first().map(|d| escape(&d.variant)).unwrap_or_default();
    let svg = themed(&comparison(outcome)?);
    let _ =
        writeln!(out, "<h2>Against {first}: mean difference of service, and its 95% interval</h2>\n{svg}");
    let _ = writeln!(out, "<h2>Figures</h2>\n<pre>{}</pre>\n</body></html>", escape(&outcome.text()));
    Ok(out)
}

/// Renders the page of a day.
///
/// # Errors
/// A plot can't be drawn.
pub fn page(day: &Day, ledger: &AttemptLedger, report: &Report) -> Rendered {
    let axis = Axis::of(ledger);
    let mut plots: BTreeMap<u32, (&str, String)> = BTreeMap::new();
    plots.insert(
        0,
        (
            "Service: share of what clients wanted that was served within its aim",
            service(day, ledger, &axis)?,
        ),
    );
    if !day.faults.is_empty() {
        plots.insert(1, ("What went wrong", faults(day, &axis)?));
    }
    plots.insert(2, ("Latency of what was served, from its first try", latency(day, ledger, &axis)?));
    plots.insert(3, ("Refusals and failures", refusals(day, ledger, &axis)?));
    plots.insert(4, ("Requests at each node (stronger: more)", load_heatmap(day, ledger, &axis)?));
    let title = escape(&day.name);
    let mut out = page_header(&title);
    let (initiators, nodes) = (day.site.site.settings.initiators, day.fleet.nodes);
    let verdict = match report.audit.breaches.len() {
        0 => "every rule kept".to_owned(),
        n => format!("<span class=\"broken\">rules broken: {n} times</span>"),
    };
    let _ = writeln!(
        out,
        "<p>{initiators} initiators, {nodes} nodes, {:.0} s, seed {}; service {:.3}; {verdict}.</p>",
        axis.seconds, day.seed, report.service
    );
    for (title, svg) in plots.values() {
        let _ = writeln!(out, "<h2>{title}</h2>\n{}", themed(svg));
    }
    let _ = writeln!(out, "<h2>Figures</h2>\n<pre>{}</pre>\n</body></html>", escape(&report.text()));
    Ok(out)
}
