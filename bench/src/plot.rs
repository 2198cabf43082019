//! Plot of online p99 ratio against batch throughput as SVG.

use std::fmt::Write;

/// Width and height of a panel's axes, in pixels.
const SIDE: f64 = 360.0;
/// Space around a panel, in pixels.
const MARGIN: f64 = 60.0;
/// Ratio at the top of the logarithmic axis.
const HIGHEST: f64 = 64.0;
/// Ratio at the bottom of the axis.
const LOWEST: f64 = 0.8;
/// Colours of the policies in the order of the table.
const COLOURS: [&str; 8] = [
    "#005f99", "#3399cc", "#66c2a5", "#d62728", "#ff7f0e", "#9467bd", "#8c564b", "#7f7f7f",
];

/// One policy on one trace.
#[derive(Debug, Clone)]
pub struct Point {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Name of the policy.
    pub policy: String,
    /// Batch tokens as a fraction of the useful idle capacity.
    pub filled: f64,
    /// Ratio of online p99 time to first token to the trace without batch work.
    pub ratio: f64,
}

/// Draws a panel per deployment with a circle per policy and trace.
pub fn plot(points: &[Point]) -> String {
    let (width, height) = ((SIDE + MARGIN * 2.0) * 2.0 + 140.0, SIDE + MARGIN * 2.0);
    let mut svg = String::new();
    let _ = writeln!(
        svg,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>"
    );
    let names = distinct(points.iter().map(|p| p.deployment.to_string()));
    let policies = distinct(points.iter().map(|p| p.policy.clone()));
    for (i, name) in names.iter().enumerate() {
        let left = MARGIN + i as f64 * (SIDE + MARGIN * 1.5);
        axes(&mut svg, left, name);
        for point in points.iter().filter(|p| p.deployment == name) {
            circle(&mut svg, left, point, &policies);
        }
    }
    legend(
        &mut svg,
        MARGIN + 2.0 * (SIDE + MARGIN * 1.5) - 40.0,
        &policies,
    );
    svg.push_str("</svg>\n");
    svg
}

fn axes(svg: &mut String, left: f64, name: &str) {
    let bottom = MARGIN + SIDE;
    let _ = writeln!(
        svg,
        "<text x=\"{left}\" y=\"30\" font-size=\"14\">{name}: online p99 ratio (log) against idle \
         capacity filled</text>\n\
         <rect x=\"{left}\" y=\"{MARGIN}\" width=\"{SIDE}\" height=\"{SIDE}\" fill=\"none\" \
         stroke=\"black\"/>"
    );
    for step in 0..=5 {
        let part = f64::from(step) / 5.0;
        let x = left + part * SIDE;
        let _ = writeln!(
            svg,
            "<text x=\"{x:.1}\" y=\"{:.1}\" text-anchor=\"middle\">{:.0}%</text>",
            bottom + 18.0,
            part * 100.0
        );
    }
    for ratio in [1.0, 1.1, 1.25, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0] {
        let y = height_of(ratio);
        let _ = writeln!(
            svg,
            "<line x1=\"{left}\" x2=\"{:.1}\" y1=\"{y:.1}\" y2=\"{y:.1}\" stroke=\"#dddddd\"/>\n\
             <text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{ratio}</text>",
            left + SIDE,
            left - 6.0,
            y + 4.0
        );
    }
}

fn circle(svg: &mut String, left: f64, point: &Point, policies: &[String]) {
    let colour = policies.iter().position(|p| *p == point.policy);
    let _ = writeln!(
        svg,
        "<circle cx=\"{:.1}\" cy=\"{:.1}\" r=\"5\" fill=\"{}\" fill-opacity=\"0.8\"/>",
        left + point.filled.clamp(0.0, 1.0) * SIDE,
        height_of(point.ratio),
        COLOURS[colour.unwrap_or(0) % COLOURS.len()]
    );
}

fn legend(svg: &mut String, left: f64, policies: &[String]) {
    for (i, policy) in policies.iter().enumerate() {
        let y = MARGIN + 20.0 * i as f64;
        let _ = writeln!(
            svg,
            "<circle cx=\"{left:.1}\" cy=\"{y:.1}\" r=\"5\" fill=\"{}\"/>\n\
             <text x=\"{:.1}\" y=\"{:.1}\">{policy}</text>",
            COLOURS[i % COLOURS.len()],
            left + 12.0,
            y + 4.0
        );
    }
}

fn height_of(ratio: f64) -> f64 {
    let part = (ratio.clamp(LOWEST, HIGHEST) / LOWEST).ln() / (HIGHEST / LOWEST).ln();
    MARGIN + SIDE * (1.0 - part)
}

fn distinct(names: impl Iterator<Item = String>) -> Vec<String> {
    let mut list = Vec::new();
    for name in names {
        if !list.contains(&name) {
            list.push(name);
        }
    }
    list
}
