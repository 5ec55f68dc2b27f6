//! Plots over the time of a run.

use std::error::Error;

use plotters::prelude::*;
use wingspar_world::TargetName;

use crate::experiment::{Results, ServiceResult};

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (900, 300);
const MARGIN: u32 = 10;
const LABELS: u32 = 50;

/// One plot.
pub(crate) struct Plot {
    pub(crate) title: String,
    /// An `svg` element.
    pub(crate) svg: String,
}

/// A line with its name.
pub(crate) struct Line {
    pub(crate) name: String,
    /// Seconds and values.
    pub(crate) points: Vec<(f64, f64)>,
}

/// All plots of a run.
pub(super) fn all(results: &Results) -> Vec<Plot> {
    let mut plots = vec![
        plot("Latency of answered requests, ms", &latencies(results)),
        plot("Requests a second by outcome", &outcomes(results)),
    ];
    for service in results.services.iter().filter(|one| one.keyed) {
        let title = format!("{}: share of the ring by owner, %", service.service);
        plots.push(plot(&title, &owners(results, service)));
        let title = format!("{}: highest over mean share of the ring", service.service);
        plots.push(plot(&title, &[imbalance(service)]));
        let title = format!("{}: share of the ring without owner, %", service.service);
        plots.push(plot(&title, &[unserved(service)]));
    }
    plots
}

fn latencies(results: &Results) -> Vec<Line> {
    let line = |name: &str, value: fn(&crate::experiment::SecondResult) -> f64| Line {
        name: name.to_owned(),
        points: per_second(results, value),
    };
    vec![
        line("p50", |second| second.p50_ms),
        line("p99", |second| second.p99_ms),
    ]
}

fn outcomes(results: &Results) -> Vec<Line> {
    let line = |name: &str, value: fn(&crate::experiment::SecondResult) -> f64| Line {
        name: name.to_owned(),
        points: per_second(results, value),
    };
    vec![
        line("ran", |second| second.ran as f64),
        line("not run", |second| second.not_run as f64),
        line("unknown", |second| second.unknown as f64),
    ]
}

fn per_second(
    results: &Results,
    value: fn(&crate::experiment::SecondResult) -> f64,
) -> Vec<(f64, f64)> {
    let seconds = results.seconds.iter().enumerate();
    seconds
        .map(|(second, result)| (second as f64, value(result)))
        .collect()
}

fn owners(results: &Results, service: &ServiceResult) -> Vec<Line> {
    let spec = results.experiment.cluster.service(&service.service);
    let targets = spec.map(|spec| spec.target_names()).unwrap_or_default();
    let line = |target: &TargetName| Line {
        name: target.to_string(),
        points: steps(service, |shares| {
            shares.get(target).copied().unwrap_or(0.0) * 100.0
        }),
    };
    targets.iter().map(line).collect()
}

fn imbalance(service: &ServiceResult) -> Line {
    let points = steps(service, |shares| {
        let sum: f64 = shares.values().sum();
        let highest = shares
            .values()
            .fold(0.0_f64, |high, share| high.max(*share));
        match sum > 0.0 {
            true => highest * shares.len() as f64 / sum,
            false => 0.0,
        }
    });
    Line {
        name: "imbalance".to_owned(),
        points,
    }
}

fn unserved(service: &ServiceResult) -> Line {
    let points = steps(service, |shares| {
        (1.0 - shares.values().sum::<f64>()).max(0.0) * 100.0
    });
    Line {
        name: "unserved".to_owned(),
        points,
    }
}

/// A value that holds until the next change.
fn steps(
    service: &ServiceResult,
    value: impl Fn(&std::collections::BTreeMap<TargetName, f64>) -> f64,
) -> Vec<(f64, f64)> {
    let mut points: Vec<(f64, f64)> = Vec::new();
    for change in &service.owners {
        if let Some((_, before)) = points.last().copied() {
            points.push((change.at_s, before));
        }
        points.push((change.at_s, value(&change.shares)));
    }
    points
}

/// Draws lines over the seconds of a run.
pub(crate) fn plot(title: &str, lines: &[Line]) -> Plot {
    let mut svg = String::new();
    if let Err(error) = draw(&mut svg, lines) {
        svg = format!("<p>this plot can't be drawn: {error}</p>");
    }
    Plot {
        title: title.to_owned(),
        svg,
    }
}

fn draw(svg: &mut String, lines: &[Line]) -> Result<(), String> {
    let points = lines.iter().flat_map(|line| &line.points);
    let (mut right, mut top) = (1.0_f64, 1.0_f64);
    for (x, y) in points {
        right = right.max(*x);
        top = top.max(*y);
    }
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(text_of)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN)
        .x_label_area_size(LABELS)
        .y_label_area_size(LABELS)
        .build_cartesian_2d(0.0..right, 0.0..top * 1.05)
        .map_err(text_of)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .draw()
        .map_err(text_of)?;
    for (number, line) in lines.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let series = LineSeries::new(line.points.iter().copied(), color.stroke_width(2));
        let drawn = chart.draw_series(series).map_err(text_of)?;
        let legend = move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color);
        drawn.label(&line.name).legend(legend);
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(text_of)?;
    area.present().map_err(text_of)?;
    Ok(())
}

fn text_of(error: impl Error) -> String {
    error.to_string()
}
