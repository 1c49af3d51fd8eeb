//! Plots of load reports in SVG.

use std::path::Path;

use plotters::prelude::*;
use thiserror::Error;

use crate::report::Report;

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (720, 420);

/// Why a plot could not be drawn.
#[derive(Debug, Error)]
#[error("plot: {reason}")]
pub struct PlotError {
    reason: String,
}

struct Line {
    label: &'static str,
    color: RGBColor,
    points: Vec<(f64, f64)>,
}

/// Draws two plots against the load: the 99th percentile of response over ideal
/// into `response`, and the messages per task into `messages`.
///
/// # Errors
///
/// Returns [`PlotError`] when a file cannot be written.
pub fn draw(reports: &[Report], response: &Path, messages: &Path) -> Result<(), PlotError> {
    let mut sorted: Vec<&Report> = reports.iter().collect();
    sorted.sort_by(|a, b| a.load.total_cmp(&b.load));
    let points_of =
        |of: fn(&Report) -> f64| sorted.iter().map(|r| (r.load, of(r))).collect::<Vec<_>>();
    let lines = [
        Line {
            label: "measured",
            color: BLUE,
            points: points_of(|r| r.response_over_ideal.measured.p99),
        },
        Line {
            label: "central queue",
            color: BLACK,
            points: points_of(|r| r.response_over_ideal.central.p99),
        },
        Line {
            label: "power of two",
            color: GREEN,
            points: points_of(|r| r.response_over_ideal.power_of_two.p99),
        },
        Line {
            label: "random",
            color: RED,
            points: points_of(|r| r.response_over_ideal.random.p99),
        },
    ];
    chart(response, "p99 of response over ideal", &lines)?;
    let per_task = [Line {
        label: "messages per task",
        color: BLUE,
        points: points_of(|r| r.messages.per_task),
    }];
    chart(messages, "messages per task", &per_task)
}

fn chart(path: &Path, title: &str, lines: &[Line]) -> Result<(), PlotError> {
    try_chart(path, title, lines).map_err(|error| PlotError {
        reason: error.to_string(),
    })
}

fn try_chart(path: &Path, title: &str, lines: &[Line]) -> Result<(), Box<dyn std::error::Error>> {
    let points = || lines.iter().flat_map(|line| &line.points);
    let min_x = points().map(|point| point.0).fold(f64::INFINITY, f64::min);
    let max_x = points().map(|point| point.0).fold(0.0, f64::max);
    let max_y = points().map(|point| point.1).fold(0.0, f64::max) * 1.1;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(16)
        .caption(title, ("sans-serif", 18))
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(min_x..max_x + 0.001, 0.0..max_y)?;
    chart.configure_mesh().x_desc("load").y_desc(title).draw()?;
    for line in lines {
        let color = line.color;
        chart
            .draw_series(LineSeries::new(line.points.clone(), color.stroke_width(2)))?
            .label(line.label)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}
