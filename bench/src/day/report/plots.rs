//! Pictures of a day as SVG.

use plotters::chart::ChartBuilder;
use plotters::chart::SeriesLabelPosition;
use plotters::coord::Shift;
use plotters::drawing::DrawingArea;
use plotters::drawing::IntoDrawingArea;
use plotters::element::PathElement;
use plotters::element::Rectangle;
use plotters::element::Text;
use plotters::prelude::IntoLogRange;
use plotters::prelude::SVGBackend;
use plotters::series::AreaSeries;
use plotters::series::LineSeries;
use plotters::style::Color;
use plotters::style::IntoFont;
use plotters::style::RGBColor;
use std::fmt::Display;
use std::time::Duration;

use super::super::record::DayRecord;
use super::figures::Outcome;
use super::figures::RequestFate;
use super::seconds;

const WIDTH: u32 = 1_080;
const CHART_HEIGHT: u32 = 340;
/// Height of a row of the troubles.
const ROW_HEIGHT: u32 = 16;
const MARGIN: u32 = 10;
const LEFT_AREA: u32 = 60;
const BOTTOM_AREA: u32 = 40;
const FONT: &str = "sans-serif";
const WHITE: RGBColor = RGBColor(255, 255, 255);
const BLACK: RGBColor = RGBColor(0, 0, 0);
const GRID: RGBColor = RGBColor(220, 220, 220);
const COLOURS: [RGBColor; 8] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(110, 80, 40),
    RGBColor(90, 90, 90),
];
/// Bounds of the axis of times, in milliseconds.
const TIMES: std::ops::Range<f64> = 0.5..20_000.0;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

fn failure(err: impl Display) -> String {
    format!("the picture can't be drawn: {err}")
}

fn colour_and_name(outcome: Outcome) -> (RGBColor, &'static str) {
    match outcome {
        Outcome::Served => (RGBColor(120, 190, 130), "served"),
        Outcome::Late => (RGBColor(240, 200, 80), "late"),
        Outcome::Refused => (RGBColor(90, 140, 210), "refused"),
        Outcome::Failed => (RGBColor(200, 50, 50), "failed"),
        Outcome::Left => (RGBColor(180, 180, 180), "left"),
    }
}

/// Draws what became of the requests of each second, and below it the troubles.
pub(super) fn time_line(
    record: &DayRecord,
    requests: &[RequestFate<'_>],
) -> Result<String, String> {
    let rows = record.troubles.len().max(1) as u32;
    let height = CHART_HEIGHT + rows * ROW_HEIGHT + 2 * MARGIN;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        area.fill(&WHITE).map_err(failure)?;
        let (upper, lower) = area.split_vertically(CHART_HEIGHT);
        outcomes(&upper, record, requests)?;
        troubles(&lower, record)?;
        area.present().map_err(failure)?;
    }
    Ok(svg)
}

/// Returns for each second how many requests ended as each of the outcomes, each added to those before it.
fn stacked_by_second(record: &DayRecord, requests: &[RequestFate<'_>]) -> Vec<[u32; 5]> {
    let length = seconds(record, record.ended).ceil().max(1.0) as usize;
    let mut by_second = vec![[0; 5]; length];
    for request in requests {
        let second = (seconds(record, request.sent) as usize).min(length - 1);
        let found = Outcome::ALL.iter().position(|it| *it == request.outcome);
        for count in &mut by_second[second][found.unwrap_or_default()..] {
            *count += 1;
        }
    }
    by_second
}

fn outcomes(
    area: &Area<'_>,
    record: &DayRecord,
    requests: &[RequestFate<'_>],
) -> Result<(), String> {
    let by_second = stacked_by_second(record, requests);
    let top = by_second.iter().map(|counts| counts[4]).max().unwrap_or(0);
    let mut chart = ChartBuilder::on(area)
        .margin(MARGIN)
        .x_label_area_size(BOTTOM_AREA)
        .y_label_area_size(LEFT_AREA)
        .build_cartesian_2d(
            0.0..by_second.len() as f64,
            0.0..f64::from(top.max(1)) * 1.1,
        )
        .map_err(failure)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .bold_line_style(GRID)
        .x_desc("seconds")
        .y_desc("requests a second")
        .draw()
        .map_err(failure)?;
    // The highest of the stack is drawn first, so that the others cover its lower part.
    for (number, outcome) in Outcome::ALL.into_iter().enumerate().rev() {
        let (colour, name) = colour_and_name(outcome);
        let steps = by_second.iter().enumerate().flat_map(|(second, counts)| {
            let (start, count) = (second as f64, f64::from(counts[number]));
            [(start, count), (start + 1.0, count)]
        });
        chart
            .draw_series(AreaSeries::new(steps, 0.0, colour.filled()))
            .map_err(failure)?
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], colour.filled()));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.8))
        .border_style(GRID)
        .draw()
        .map_err(failure)
}

/// Draws each trouble as a bar in a row of its own, by the axis of the picture above.
fn troubles(area: &Area<'_>, record: &DayRecord) -> Result<(), String> {
    let length = seconds(record, record.ended).ceil().max(1.0);
    let rows = record.troubles.len().max(1) as f64;
    let mut chart = ChartBuilder::on(area)
        .margin_left(MARGIN + LEFT_AREA)
        .margin_right(MARGIN)
        .margin_bottom(MARGIN)
        .build_cartesian_2d(0.0..length, rows..0.0)
        .map_err(failure)?;
    let bars = record.troubles.iter().enumerate().map(|(row, trouble)| {
        let start = seconds(record, trouble.start).min(length);
        let end = trouble.end.map_or(length, |end| seconds(record, end));
        // What lasts no time is a line.
        let end = end.clamp(start + length / 500.0, length.max(start + length / 500.0));
        let colour = if trouble.is_planned {
            COLOURS[5]
        } else {
            COLOURS[1]
        };
        let row = row as f64;
        Rectangle::new([(start, row + 0.15), (end, row + 0.85)], colour.filled())
    });
    chart.draw_series(bars).map_err(failure)?;
    let names = record.troubles.iter().enumerate().map(|(row, trouble)| {
        let start = seconds(record, trouble.start).min(length);
        // Names near the right edge end there.
        let at = start.min(length * 0.85) + length / 200.0;
        let style = (FONT, 12).into_font().color(&BLACK);
        Text::new(trouble.kind.clone(), (at, row as f64 + 0.15), style)
    });
    chart.draw_series(names).map_err(failure)?;
    Ok(())
}

/// Draws for each route which share of the requests was answered, or got the first event, within which time.
pub(super) fn latencies(
    record: &DayRecord,
    requests: &[RequestFate<'_>],
) -> Result<String, String> {
    let targets = |name: &str| {
        let routes = record.configs.last()?.routes.iter();
        let mut of_name = routes.filter(|route| route.name == name);
        Some(of_name.next()?.latency_target)
    };
    shares(requests, &|request| request.latency, &targets)
}

/// Draws for each route in which share of the streams the longest pause was within which time.
pub(super) fn pauses(record: &DayRecord, requests: &[RequestFate<'_>]) -> Result<String, String> {
    let targets = |name: &str| {
        let routes = record.configs.last()?.routes.iter();
        let mut of_name = routes.filter(|route| route.name == name);
        of_name.next()?.gap_target
    };
    shares(requests, &|request| request.longest_pause, &targets)
}

/// Draws the share of the requests of each route whose time is at most so long, and the route's target.
fn shares(
    requests: &[RequestFate<'_>],
    time: &dyn Fn(&RequestFate<'_>) -> Option<Duration>,
    target: &dyn Fn(&str) -> Option<Duration>,
) -> Result<String, String> {
    let mut times: Vec<(&str, Duration)> = requests
        .iter()
        .filter_map(|request| Some((request.route, time(request)?)))
        .collect();
    times.sort_unstable();
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, CHART_HEIGHT)).into_drawing_area();
        area.fill(&WHITE).map_err(failure)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(MARGIN)
            .x_label_area_size(BOTTOM_AREA)
            .y_label_area_size(LEFT_AREA)
            .build_cartesian_2d(TIMES.log_scale(), 0.0..1.0)
            .map_err(failure)?;
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .bold_line_style(GRID)
            .x_desc("milliseconds; dashes at targets")
            .y_desc("share")
            .draw()
            .map_err(failure)?;
        for (number, of_route) in times.chunk_by(|a, b| a.0 == b.0).enumerate() {
            let colour = COLOURS[number % COLOURS.len()];
            let name = of_route[0].0;
            chart
                .draw_series(LineSeries::new(curve(of_route), colour.stroke_width(2)))
                .map_err(failure)?
                .label(name)
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 12, y)], colour.stroke_width(2))
                });
            let target =
                target(name).map(|it| (it.as_secs_f64() * 1e3).clamp(TIMES.start, TIMES.end));
            // Routes may share a target, so each has its own part of the height.
            let dashes = target.into_iter().flat_map(|at| {
                let part = 1.0 / 32.0;
                let starts = (0..4).map(move |dash| f64::from(dash) / 4.0 + number as f64 * part);
                starts.map(move |start| {
                    PathElement::new([(at, start), (at, start + part)], colour.stroke_width(2))
                })
            });
            chart.draw_series(dashes).map_err(failure)?;
        }
        if !times.is_empty() {
            chart
                .configure_series_labels()
                .position(SeriesLabelPosition::LowerRight)
                .background_style(WHITE.mix(0.8))
                .border_style(GRID)
                .draw()
                .map_err(failure)?;
        }
        area.present().map_err(failure)?;
    }
    Ok(svg)
}

/// Returns the points of a curve of sorted times, fewer than there are times.
fn curve(sorted: &[(&str, Duration)]) -> Vec<(f64, f64)> {
    const POINTS: usize = 400;
    let count = sorted.len();
    let step = count.div_ceil(POINTS).max(1);
    let last = (count % step != 1 && step > 1).then_some(count - 1);
    let numbers = (0..count).step_by(step).chain(last);
    let points = numbers.map(|number| {
        let ms = sorted[number].1.as_secs_f64() * 1e3;
        (
            ms.clamp(TIMES.start, TIMES.end),
            (number + 1) as f64 / count as f64,
        )
    });
    points.collect()
}
