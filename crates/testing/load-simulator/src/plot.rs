//! Plots as SVG or PNG, chosen by the file name's extension.

use crate::meter::{NodeLoad, Outcome};
use crate::results::Row;
use crate::stats::Mean;
use crate::tables::Compared;
use plotters::coord::Shift;
use plotters::prelude::*;
use plotters::style::{register_font, FontStyle};
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;
use std::path::Path;

const SIZE: (u32, u32) = (1000, 620);
const FONT: &str = "sans-serif";

/// An error that prevented a plot, with its description.
#[derive(Debug)]
pub struct PlotError(String);

impl fmt::Display for PlotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Error for PlotError {}

fn plot_error(e: impl fmt::Display) -> PlotError {
    PlotError(format!("cannot plot: {e}"))
}

/// Draws to a file in the format that its extension gives.
fn draw_to_file<F>(path: &Path, draw: F) -> Result<(), PlotError>
where
    F: Fn(&mut dyn Canvas) -> Result<(), PlotError>,
{
    // The bitmap backend has no built-in font.
    let _ = register_font(FONT, FontStyle::Normal, dejavu::sans::regular());
    match path.extension().and_then(|e| e.to_str()) {
        Some("svg") => draw(&mut Svg(SVGBackend::new(path, SIZE).into_drawing_area())),
        Some("png") => draw(&mut Png(BitMapBackend::new(path, SIZE).into_drawing_area())),
        _ => Err(PlotError(format!("{}: the file should end in .svg or .png", path.display()))),
    }
}

/// A drawing area of either file format.
trait Canvas {
    fn lines(&mut self, plot: &Lines) -> Result<(), PlotError>;
    fn heat(&mut self, plot: &Heat) -> Result<(), PlotError>;
    fn bars(&mut self, plot: &Bars) -> Result<(), PlotError>;
}

struct Svg<'a>(DrawingArea<SVGBackend<'a>, Shift>);
struct Png<'a>(DrawingArea<BitMapBackend<'a>, Shift>);

macro_rules! canvas {
    ($kind:ident) => {
        impl Canvas for $kind<'_> {
            fn lines(&mut self, plot: &Lines) -> Result<(), PlotError> {
                plot.draw(&self.0)
            }
            fn heat(&mut self, plot: &Heat) -> Result<(), PlotError> {
                plot.draw(&self.0)
            }
            fn bars(&mut self, plot: &Bars) -> Result<(), PlotError> {
                plot.draw(&self.0)
            }
        }
    };
}
canvas!(Svg);
canvas!(Png);

/// A line: its name, and points with x, y and the half-width of the interval around y.
type Line = (String, Vec<(f64, f64, f64)>);

struct Lines {
    title: String,
    x: String,
    y: String,
    log_x: bool,
    lines: Vec<Line>,
}

fn colour(n: usize) -> RGBColor {
    let (r, g, b) = Palette99::pick(n).to_rgba().rgb();
    RGBColor(r, g, b)
}

impl Lines {
    fn draw<B: DrawingBackend>(&self, area: &DrawingArea<B, Shift>) -> Result<(), PlotError>
    where
        B::ErrorType: 'static,
    {
        area.fill(&WHITE).map_err(plot_error)?;
        let points = || self.lines.iter().flat_map(|l| &l.1);
        let fold = |f: &dyn Fn(&(f64, f64, f64)) -> f64, least: bool| {
            points().map(f).fold(if least { f64::INFINITY } else { f64::NEG_INFINITY }, |a, b| {
                if least {
                    a.min(b)
                } else {
                    a.max(b)
                }
            })
        };
        let (x0, x1) = (fold(&|p| p.0, true), fold(&|p| p.0, false));
        let (y0, y1) = (fold(&|p| p.1 - p.2, true).min(0.0), fold(&|p| p.1 + p.2, false) * 1.05);
        if !(x0.is_finite() && x1 > x0 && y1 > y0) {
            return Err(PlotError("nothing to plot: a line needs at least two points".to_owned()));
        }
        let mut builder = ChartBuilder::on(area);
        builder.caption(&self.title, (FONT, 20)).margin(12).x_label_area_size(44).y_label_area_size(64);
        macro_rules! finish {
            ($chart:expr) => {{
                let mut chart = $chart.map_err(plot_error)?;
                chart
                    .configure_mesh()
                    .x_desc(&self.x)
                    .y_desc(&self.y)
                    .label_style((FONT, 14))
                    .light_line_style(WHITE)
                    .draw()
                    .map_err(plot_error)?;
                for (n, (name, points)) in self.lines.iter().enumerate() {
                    let colour = colour(n);
                    chart
                        .draw_series(LineSeries::new(
                            points.iter().map(|p| (p.0, p.1)),
                            colour.stroke_width(2),
                        ))
                        .map_err(plot_error)?
                        .label(name)
                        .legend(move |(x, y)| {
                            PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2))
                        });
                    chart
                        .draw_series(points.iter().filter(|p| p.2 > 0.0 && p.2.is_finite()).map(|p| {
                            PathElement::new([(p.0, p.1 - p.2), (p.0, p.1 + p.2)], colour.stroke_width(1))
                        }))
                        .map_err(plot_error)?;
                }
                chart
                    .configure_series_labels()
                    .background_style(WHITE.mix(0.85))
                    .border_style(BLACK.mix(0.3))
                    .label_font((FONT, 14))
                    .draw()
                    .map_err(plot_error)?;
            }};
        }
        if self.log_x && x0 > 0.0 {
            finish!(builder.build_cartesian_2d((x0..x1).log_scale(), y0..y1));
        } else {
            finish!(builder.build_cartesian_2d(x0..x1, y0..y1));
        }
        area.present().map_err(plot_error)
    }
}

struct Heat<'a> {
    title: String,
    nodes: &'a [NodeLoad],
}

impl Heat<'_> {
    fn draw<B: DrawingBackend>(&self, area: &DrawingArea<B, Shift>) -> Result<(), PlotError>
    where
        B::ErrorType: 'static,
    {
        area.fill(&WHITE).map_err(plot_error)?;
        let width = self.nodes.iter().map(|n| n.util.len()).max().unwrap_or(0);
        if width == 0 {
            return Err(PlotError("nothing to plot: the run has no node loads".to_owned()));
        }
        let mut chart = ChartBuilder::on(area)
            .caption(&self.title, (FONT, 20))
            .margin(12)
            .x_label_area_size(44)
            .y_label_area_size(64)
            .build_cartesian_2d(0..width, 0..self.nodes.len())
            .map_err(plot_error)?;
        chart
            .configure_mesh()
            .disable_mesh()
            .x_desc("seconds")
            .y_desc("node (white idle, red busy, dark for each 10 held)")
            .label_style((FONT, 14))
            .draw()
            .map_err(plot_error)?;
        let cells = self.nodes.iter().enumerate().flat_map(|(y, n)| {
            n.util.iter().zip(&n.held).enumerate().map(move |(x, (util, held))| {
                let busy = f64::from(*util).clamp(0.0, 1.0);
                let dark = 1.0 - 0.8 * (f64::from(*held) / 30.0).min(1.0);
                let shade = |v: f64| (255.0 * v * dark) as u8;
                let fill = RGBColor(shade(1.0), shade(1.0 - 0.85 * busy), shade(1.0 - busy));
                Rectangle::new([(x, y), (x + 1, y + 1)], fill.filled())
            })
        });
        chart.draw_series(cells).map_err(plot_error)?;
        area.present().map_err(plot_error)
    }
}

struct Bars {
    title: String,
    groups: Vec<(String, Vec<(String, f64)>)>,
}

impl Bars {
    fn draw<B: DrawingBackend>(&self, area: &DrawingArea<B, Shift>) -> Result<(), PlotError>
    where
        B::ErrorType: 'static,
    {
        area.fill(&WHITE).map_err(plot_error)?;
        let names: Vec<&String> =
            self.groups.first().map_or(Vec::new(), |g| g.1.iter().map(|b| &b.0).collect());
        if names.is_empty() {
            return Err(PlotError("nothing to plot: there are no results".to_owned()));
        }
        let count = self.groups.len();
        let label = |x: &f64| {
            let at = x.floor().max(0.0) as usize;
            self.groups
                .get(at)
                .filter(|_| (x.fract() - 0.5).abs() < 0.3)
                .map_or(String::new(), |g| g.0.clone())
        };
        let mut chart = ChartBuilder::on(area)
            .caption(&self.title, (FONT, 20))
            .margin(12)
            .x_label_area_size(30)
            .y_label_area_size(150)
            .build_cartesian_2d(0.0..1.0, 0.0..count as f64)
            .map_err(plot_error)?;
        chart
            .configure_mesh()
            .y_labels(2 * count + 1)
            .y_label_formatter(&label)
            .x_desc("goal")
            .label_style((FONT, 13))
            .light_line_style(WHITE)
            .draw()
            .map_err(plot_error)?;
        for (n, name) in names.iter().enumerate() {
            let colour = colour(n);
            let height = 0.84 / names.len() as f64;
            let bars = self.groups.iter().enumerate().filter_map(|(g, (_, bars))| {
                let value = bars.iter().find(|b| b.0 == **name)?.1;
                let from = g as f64 + 0.08 + n as f64 * height;
                Some(Rectangle::new([(0.0, from), (value, from + height * 0.9)], colour.filled()))
            });
            chart
                .draw_series(bars)
                .map_err(plot_error)?
                .label(name.as_str())
                .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 14, y + 5)], colour.filled()));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.85))
            .border_style(BLACK.mix(0.3))
            .label_font((FONT, 13))
            .draw()
            .map_err(plot_error)?;
        area.present().map_err(plot_error)
    }
}

/// Plots median and 99th percentile of latency over time.
///
/// # Errors
///
/// Returns an error if there is nothing to plot or the file cannot be written.
pub fn latency(o: &Outcome, path: &Path) -> Result<(), PlotError> {
    let line = |name: &str, f: &dyn Fn(&crate::meter::Second) -> f64| {
        let points = o.seconds.iter().enumerate().map(|(n, s)| (n as f64, f(s), 0.0)).collect();
        (name.to_owned(), points)
    };
    let plot = Lines {
        title: format!("{}, {}, seed {}", o.experiment, o.policy, o.seed),
        x: "seconds".to_owned(),
        y: "latency of served calls, ms".to_owned(),
        log_x: false,
        lines: vec![line("median", &|s| s.p50), line("99th percentile", &|s| s.p99)],
    };
    draw_to_file(path, |canvas| canvas.lines(&plot))
}

/// Plots the utilisation of each node over time as a heat map.
///
/// # Errors
///
/// Returns an error if there is nothing to plot or the file cannot be written.
pub fn nodes(o: &Outcome, path: &Path) -> Result<(), PlotError> {
    let title = format!("{}, {}, seed {}: load of nodes", o.experiment, o.policy, o.seed);
    draw_to_file(path, |canvas| canvas.heat(&Heat { title: title.clone(), nodes: &o.nodes }))
}

/// Plots the goal of each policy over one of the varied keys of a sweep.
///
/// # Errors
///
/// Returns an error if there is nothing to plot or the file cannot be written.
pub fn goal_over(rows: &[Row], key: &str, path: &Path) -> Result<(), PlotError> {
    let mut points: BTreeMap<&str, BTreeMap<u64, Vec<f64>>> = BTreeMap::new();
    for row in rows {
        let value = row.set.iter().find(|(k, _)| k == key).and_then(|(_, v)| v.parse::<f64>().ok());
        let value = value.filter(|v| *v >= 0.0);
        let value =
            value.ok_or_else(|| PlotError(format!("a run has no non-negative number for '{key}'")))?;
        // Non-negative floats have the same order as their bit patterns.
        points
            .entry(&row.outcome.policy)
            .or_default()
            .entry(value.to_bits())
            .or_default()
            .push(row.outcome.goal);
    }
    let lines: Vec<Line> = points
        .into_iter()
        .map(|(policy, points)| {
            let points = points.into_iter().map(|(x, goals)| {
                let goal = Mean::of(&goals);
                (f64::from_bits(x), goal.mean, if goal.half.is_finite() { goal.half } else { 0.0 })
            });
            (policy.to_owned(), points.collect())
        })
        .collect();
    let ends =
        lines.iter().flat_map(|l| &l.1).fold((f64::INFINITY, 0.0_f64), |e, p| (e.0.min(p.0), e.1.max(p.0)));
    let name = rows.first().map_or("", |r| &r.outcome.experiment);
    let plot = Lines {
        title: format!("{name}: goal by policy over {key}"),
        x: key.to_owned(),
        y: "goal (95% interval)".to_owned(),
        log_x: ends.1 >= 30.0 * ends.0,
        lines,
    };
    draw_to_file(path, |canvas| canvas.lines(&plot))
}

/// Plots the goals of a comparison as bars.
///
/// # Errors
///
/// Returns an error if there is nothing to plot or the file cannot be written.
pub fn comparison(all: &[Compared], path: &Path) -> Result<(), PlotError> {
    let mut groups: BTreeMap<&str, Vec<(String, f64)>> = BTreeMap::new();
    for c in all {
        groups.entry(&c.experiment).or_default().push((c.policy.clone(), c.goal.mean));
    }
    let groups = groups.into_iter().map(|(name, bars)| (name.to_owned(), bars)).collect();
    let bars = Bars { title: "goal by experiment and policy".to_owned(), groups };
    draw_to_file(path, |canvas| canvas.bars(&bars))
}
