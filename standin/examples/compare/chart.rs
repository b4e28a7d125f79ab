//! Bar chart of the 99th percentile as SVG.

use std::fmt::{Error, Write as _};

use crate::policies::Cell;

const WIDTH: f64 = 760.0;
const HEIGHT: f64 = 360.0;
const LEFT: f64 = 56.0;
const TOP: f64 = 56.0;
const BOTTOM: f64 = 44.0;
const COLOURS: [&str; 6] = [
    "#8c8c8c", "#4e79a7", "#f28e2b", "#59a14f", "#1b6e3c", "#b07aa1",
];

/// Draws the cells, grouped by load.
///
/// # Errors
///
/// Returns an error only if formatting fails.
pub fn svg(cells: &[Cell]) -> Result<String, Error> {
    let most = cells.iter().map(|c| c.all.p99).fold(1.0, f64::max);
    let step = nice_step(most / 5.0);
    let top = (most / step).ceil() * step;
    let mut text = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n\
         <text x=\"{LEFT}\" y=\"20\" font-size=\"14\">Latency at the 99th percentile in ms, by \
         load</text>\n"
    );
    axis(&mut text, step, top)?;
    bars(&mut text, cells, top)?;
    legend(&mut text, cells)?;
    text += "</svg>\n";
    Ok(text)
}

fn y(value: f64, top: f64) -> f64 {
    HEIGHT - BOTTOM - value / top * (HEIGHT - TOP - BOTTOM)
}

/// Rounds up to 1, 2 or 5 times a power of ten.
fn nice_step(step: f64) -> f64 {
    let power = 10_f64.powf(step.log10().floor());
    let factors = [1.0, 2.0, 5.0, 10.0];
    let fits = factors.iter().find(|f| *f * power >= step);
    fits.unwrap_or(&10.0) * power
}

fn axis(text: &mut String, step: f64, top: f64) -> Result<(), Error> {
    let mut value = 0.0;
    while value <= top + step / 2.0 {
        let at = y(value, top);
        writeln!(
            text,
            "<line x1=\"{LEFT}\" x2=\"{WIDTH}\" y1=\"{at:.1}\" y2=\"{at:.1}\" stroke=\"#ddd\"/>\n\
             <text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{value}</text>",
            LEFT - 6.0,
            at + 4.0
        )?;
        value += step;
    }
    Ok(())
}

fn bars(text: &mut String, cells: &[Cell], top: f64) -> Result<(), Error> {
    let loads = distinct(cells.iter().map(|c| format!("{}%", c.load)));
    let names = distinct(cells.iter().map(|c| c.variant.name()));
    let group = (WIDTH - LEFT) / loads.len() as f64;
    let bar = group * 0.8 / names.len() as f64;
    for cell in cells {
        let load = position(&loads, &format!("{}%", cell.load));
        let name = position(&names, &cell.variant.name());
        let x = LEFT + group * (load as f64 + 0.1) + bar * name as f64;
        let at = y(cell.all.p99, top);
        writeln!(
            text,
            "<rect x=\"{x:.1}\" y=\"{at:.1}\" width=\"{:.1}\" height=\"{:.1}\" fill=\"{}\"/>\n\
             <text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"middle\" font-size=\"10\">{:.0}</text>",
            bar - 2.0,
            HEIGHT - BOTTOM - at,
            COLOURS[name % COLOURS.len()],
            x + bar / 2.0,
            at - 3.0,
            cell.all.p99
        )?;
    }
    for (index, load) in loads.iter().enumerate() {
        writeln!(
            text,
            "<text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"middle\">{load} load</text>",
            LEFT + group * (index as f64 + 0.5),
            HEIGHT - BOTTOM + 18.0
        )?;
    }
    Ok(())
}

fn legend(text: &mut String, cells: &[Cell]) -> Result<(), Error> {
    let names = distinct(cells.iter().map(|c| c.variant.name()));
    let width = (WIDTH - LEFT) / names.len() as f64;
    for (index, name) in names.iter().enumerate() {
        let x = LEFT + width * index as f64;
        writeln!(
            text,
            "<rect x=\"{x:.1}\" y=\"30\" width=\"10\" height=\"10\" fill=\"{}\"/>\n\
             <text x=\"{:.1}\" y=\"39\">{name}</text>",
            COLOURS[index % COLOURS.len()],
            x + 14.0
        )?;
    }
    Ok(())
}

fn distinct(names: impl Iterator<Item = String>) -> Vec<String> {
    let mut distinct = Vec::new();
    for name in names {
        if !distinct.contains(&name) {
            distinct.push(name);
        }
    }
    distinct
}

fn position(names: &[String], name: &str) -> usize {
    names.iter().position(|n| n == name).unwrap_or(0)
}
