//! The burn report as one self-contained HTML page: no scripts, no external files.

use {
    crate::report::{BurnReport, BurnRow},
    std::fmt::Write,
};

/// Width of one plot, in pixels.
const PLOT_WIDTH: u64 = 360;

/// Height of one plot, in pixels.
const PLOT_HEIGHT: u64 = 60;

/// Renders the report as an HTML page; names of nodes, queues and organisations are escaped.
pub fn render_html(report: &BurnReport) -> String {
    let mut html = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>Service-level burn</title>\
         <style>body{font:14px sans-serif;margin:2em}td,th{padding:.3em .8em;text-align:right}\
         td:first-child,th:first-child{text-align:left}.over{color:#b00}</style>\
         <h1>Service-level burn</h1>",
    );
    let _ = write!(html, "<p>Nodes: {}", escape(&report.nodes.join(", ")));
    if !report.unreachable.is_empty() {
        let _ = write!(
            html,
            "; <b class=\"over\">missing: {}</b>",
            escape(&report.unreachable.join(", "))
        );
    }
    html.push_str(
        "</p><table><tr><th>Work<th>Objective<th>Answers<th>Budget left<th>Burn 5 min<th>Burn 1 h\
         <th>Late<th>Refused<th>Upstream<th>Retried<th>Wait p99 ms<th>Last hour</tr>",
    );
    for row in &report.rows {
        push_row(&mut html, row);
    }
    html.push_str("</table>");
    html
}

fn push_row(html: &mut String, row: &BurnRow) {
    let class = if row.burn_long > 1.0 {
        " class=\"over\""
    } else {
        ""
    };
    let _ = write!(
        html,
        "<tr><td>{} / {}<td>{}% in {} ms<td>{}<td{class}>{:.1}%<td>{:.2}<td{class}>{:.2}\
         <td>{}<td>{}<td>{}<td>{}<td>{}<td>{}</tr>",
        escape(row.queue.as_str()),
        escape(row.organisation.as_str()),
        row.objective_percent,
        row.within_ms,
        row.total,
        row.budget_left_percent,
        row.burn_short,
        row.burn_long,
        row.spent.late,
        row.spent.refusals,
        row.spent.upstream,
        row.spent.retries,
        row.wait_p99_ms,
        render_plot(row),
    );
}

/// Renders the bad fraction of each minute as a bar, over a baseline where there were requests.
fn render_plot(row: &BurnRow) -> String {
    let mut svg = format!("<svg width=\"{PLOT_WIDTH}\" height=\"{PLOT_HEIGHT}\" role=\"img\">");
    let count = row.minutes.len().max(1) as u64;
    let step = PLOT_WIDTH / count;
    for (n, (bad, total)) in row.minutes.iter().enumerate() {
        let height = PLOT_HEIGHT * bad / (*total).max(1);
        let baseline = u64::from(*total > 0);
        let _ = write!(
            svg,
            "<rect x=\"{}\" y=\"{}\" width=\"{}\" height=\"{}\" fill=\"#b00\"/>\
             <rect x=\"{}\" y=\"{}\" width=\"{}\" height=\"{baseline}\" fill=\"#888\"/>",
            n as u64 * step,
            PLOT_HEIGHT - height,
            step.saturating_sub(1),
            height,
            n as u64 * step,
            PLOT_HEIGHT - 1,
            step.saturating_sub(1),
        );
    }
    svg.push_str("</svg>");
    svg
}

/// Escapes text for element content and double-quoted attributes.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('"', "&quot;")
}
