//! The report of played days: one line of figures for each, and a page with what went wrong and how requests fared beside it.

use std::fmt::Write;
use std::time::Instant;

use self::figures::Figures;
use self::figures::RouteFigures;
use super::judge::Verdict;
use super::record::DayRecord;

pub mod figures;
mod plots;
pub mod resumed;
#[cfg(test)]
mod tests;

/// Number of findings of a day that the page shows.
const SHOWN_FINDINGS: usize = 200;
const STYLE: &str = "body{font-family:sans-serif;max-width:1100px;margin:2em auto;padding:0 1em;color:#222}\
    table{border-collapse:collapse;margin:1em 0}td,th{border-bottom:1px solid #ccc;padding:.2em .7em;text-align:right}\
    td.t,th.t{text-align:left}td.w{white-space:pre-wrap;word-break:break-word}svg{max-width:100%;height:auto}.bad{color:#b00}";

/// A played day with all that its report is of.
#[derive(Clone, Copy, Debug)]
pub struct PlayedDay<'a> {
    /// What was recorded.
    pub record: &'a DayRecord,
    /// What the judge says of it.
    pub verdict: &'a Verdict,
    /// Names of the files in which the gateways' logs are kept.
    pub logs: &'a [String],
}

/// Returns a page, whole in itself, that shows the days one after the other.
pub fn page(days: &[PlayedDay<'_>]) -> String {
    let mut page =
        String::from("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
    let sections: Vec<String> = days.iter().map(section).collect();
    page.push_str("<title>Played days</title><style>");
    page.push_str(STYLE);
    page.push_str("</style></head><body>\n<h1>Played days</h1>\n");
    for section in sections {
        page.push_str(&section);
    }
    page.push_str("</body></html>\n");
    page
}

fn section(played: &PlayedDay<'_>) -> String {
    let PlayedDay {
        record,
        verdict,
        logs,
    } = *played;
    let requests = figures::requests(record);
    let figures = Figures::of(record, verdict, &requests);
    let mut text = format!(
        "<h2>{}: {}, seed {}</h2>\n<p>{} s, {} requests in {} attempts. Streams begun {}, out of order {}. \
        Plain answers {}, wrong {}. Callers sent 99 of 100 requests within {:.0} ms after they were due.</p>\n",
        escaped(&record.sheet),
        escaped(&record.day),
        record.seed,
        figures.seconds.round(),
        figures.requests,
        figures.attempts,
        figures.begun_streams,
        figures.streams_out_of_order,
        figures.plain_answers,
        figures.plain_answers_wrong,
        figures.callers_late_p99_ms,
    );
    for (title, plot) in [
        ("Requests and troubles", plots::time_line(record, &requests)),
        (
            "Time to the answer or the first event",
            plots::latencies(record, &requests),
        ),
        (
            "Longest pauses of streams",
            plots::pauses(record, &requests),
        ),
    ] {
        // A picture that can't be drawn leaves the rest of the page as it is.
        let plot = plot.unwrap_or_else(|err| format!("<p class=bad>{}</p>", escaped(&err)));
        append(&mut text, format_args!("<h3>{title}</h3>\n{plot}\n"));
    }
    text.push_str(&route_table(&figures.routes));
    text.push_str(&trouble_table(record));
    text.push_str(&finding_table(record, verdict, logs));
    text
}

fn route_table(routes: &[RouteFigures]) -> String {
    let mut text = String::from(
        "<table><tr><th class=t>Route<th>Requests<th>Served<th>Late<th>Refused<th>Failed<th>Left\
        <th>p50 ms<th>p95 ms<th>p99 ms</tr>\n",
    );
    for route in routes {
        let percent = |part: f64| format!("{:.2} %", part * 100.0);
        append(
            &mut text,
            format_args!(
                "<tr><td class=t>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{:.0}<td>{:.0}<td>{:.0}</tr>\n",
                escaped(&route.route),
                route.requests,
                percent(route.served),
                percent(route.late),
                percent(route.refused),
                percent(route.failed),
                route.left,
                route.p50_ms,
                route.p95_ms,
                route.p99_ms
            ),
        );
    }
    text + "</table>\n"
}

fn trouble_table(record: &DayRecord) -> String {
    let mut text =
        String::from("<table><tr><th>From s<th>To s<th class=t>Trouble<th class=t>Of what</tr>\n");
    for trouble in &record.troubles {
        let end = trouble.end.unwrap_or(record.ended);
        append(
            &mut text,
            format_args!(
                "<tr><td>{:.2}<td>{:.2}<td class=t>{}<td class=\"t w\">{}</tr>\n",
                seconds(record, trouble.start),
                seconds(record, end),
                escaped(&trouble.kind),
                escaped(&trouble.detail)
            ),
        );
    }
    text + "</table>\n"
}

fn finding_table(record: &DayRecord, verdict: &Verdict, logs: &[String]) -> String {
    if verdict.findings.is_empty() {
        return "<p>No rule was broken.</p>\n".to_owned();
    }
    let mut text = format!(
        "<p class=bad>{} findings with seed {}; logs: {}</p>\n\
        <table><tr><th class=t>Rule<th>At s<th class=t>Requests<th class=t>Detail</tr>\n",
        verdict.findings.len(),
        record.seed,
        escaped(&logs.join(", "))
    );
    for finding in verdict.findings.iter().take(SHOWN_FINDINGS) {
        append(
            &mut text,
            format_args!(
                "<tr><td class=t>{}<td>{:.3}<td class=\"t w\">{}<td class=\"t w\">{}</tr>\n",
                finding.rule,
                seconds(record, finding.at),
                escaped(&finding.ids.join(" ")),
                escaped(&finding.detail)
            ),
        );
    }
    text + "</table>\n"
}

fn append(text: &mut String, more: std::fmt::Arguments<'_>) {
    text.write_fmt(more).expect("texts can be written to");
}

/// Returns the time since the start of the day in seconds.
fn seconds(record: &DayRecord, at: Instant) -> f64 {
    at.saturating_duration_since(record.started).as_secs_f64()
}

/// Returns the text as it stands in a page.
fn escaped(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            _ if character.is_control() && character != '\n' => escaped.push('\u{fffd}'),
            _ => escaped.push(character),
        }
    }
    escaped
}
