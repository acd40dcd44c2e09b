//! Line plots as SVG files.

use plotters::prelude::{
    ChartBuilder, Circle, EmptyElement, IntoDrawingArea, IntoFont, LineSeries, Palette, Palette99,
    PathElement, PointSeries, SVGBackend, WHITE,
};
use std::{error::Error, path::Path};

const WIDTH_PX: u32 = 760;
const HEIGHT_PX: u32 = 420;

/// A plot of several lines over a common horizontal axis.
#[derive(Debug)]
pub struct Plot {
    /// The title.
    pub title: String,
    /// The quantity on the horizontal axis, with its unit.
    pub x_label: String,
    /// The quantity on the vertical axis, with its unit.
    pub y_label: String,
    /// The lines.
    pub lines: Vec<Line>,
}

/// One line of a plot.
#[derive(Debug)]
pub struct Line {
    /// The name in the legend.
    pub name: String,
    /// The points, sorted by their horizontal coordinate.
    pub points: Vec<(f64, f64)>,
}

impl Plot {
    /// Writes the plot to a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written or the plot has no finite points.
    pub fn save(&self, path: &Path) -> Result<(), Box<dyn Error>> {
        let points = || self.lines.iter().flat_map(|line| &line.points);
        let x_end = points().map(|point| point.0).fold(f64::MIN, f64::max);
        let x_start = points().map(|point| point.0).fold(f64::MAX, f64::min);
        let y_end = points().map(|point| point.1).fold(f64::MIN, f64::max);
        let y_start = points().map(|point| point.1).fold(0.0, f64::min);
        let area = SVGBackend::new(path, (WIDTH_PX, HEIGHT_PX)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("sans-serif", 18).into_font())
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(x_start..x_end, y_start..y_end * 1.05)?;
        chart
            .configure_mesh()
            .x_desc(&self.x_label)
            .y_desc(&self.y_label)
            .draw()?;
        for (index, line) in self.lines.iter().enumerate() {
            chart
                .draw_series(LineSeries::new(
                    line.points.iter().copied(),
                    Palette99::pick(index),
                ))?
                .label(&line.name)
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 18, y)], Palette99::pick(index))
                });
            chart.draw_series(PointSeries::of_element(
                line.points.iter().copied(),
                2,
                Palette99::pick(index),
                &|at, size, color| EmptyElement::at(at) + Circle::new((0, 0), size, color),
            ))?;
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .draw()?;
        area.present()?;
        Ok(())
    }
}
