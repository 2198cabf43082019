//! `explain` command: shows the history of a request, item or job from the logs of several processes.

use std::{
    collections::BTreeSet,
    fs::File,
    io::{self, BufRead, BufReader, Read, Write},
    path::{Path, PathBuf},
};

use anyhow::Context;
use jiff::{SignedDuration, Timestamp};

use crate::exit::Exit;

/// Keys whose values are ids.
const ID_KEYS: [&str; 3] = ["request", "item", "job"];
/// Events that change the state of a process and may be the reason for a decision.
const CONTEXT_EVENTS: [&str; 15] = [
    "config-confirmed",
    "config-in-force",
    "config-unconfirmed",
    "member-left",
    "platform-back",
    "platform-lost",
    "stop-began",
    "team-limited",
    "instance-ready",
    "worker-changes",
    "worker-withdrawn",
    "workers-changed",
    "worker-kept",
    "zone-silent",
    "lines-omitted",
];
/// Time before the first and after the last line of an id in which context events are shown.
const CONTEXT_SPAN: SignedDuration = SignedDuration::from_secs(3);

/// A line of a log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Time of the line.
    pub time: Timestamp,
    /// Process that wrote it.
    pub instance: String,
    /// Name of its event; empty for other messages.
    pub event: String,
    /// All keys and values after the instance, unchanged.
    pub text: String,
    ids: Vec<(&'static str, String)>,
}

impl Line {
    /// Parses a line, or returns `None` if it is not a log line of this program. Text before the
    /// time, such as a prefix added by a log collector, is ignored.
    pub fn parse(line: &str) -> Option<Self> {
        let start = line.find("time=")?;
        let mut fields = fields(&line[start..]);
        let (_, time) = fields.next()?;
        let time = time.parse().ok()?;
        let mut instance = String::new();
        let mut event = String::new();
        let mut ids = Vec::new();
        for (key, value) in fields {
            match key {
                "instance" if instance.is_empty() => instance = value.to_owned(),
                "event" => event = value.to_owned(),
                key => {
                    if let Some(known) = ID_KEYS.iter().find(|k| **k == key) {
                        ids.push((*known, value.to_owned()));
                    }
                }
            }
        }
        let after = line[start..].split_once(&format!("instance={instance} "));
        Some(Self {
            time,
            text: after.map_or(&line[start..], |(_, t)| t).trim_end().into(),
            instance,
            event,
            ids,
        })
    }

    fn mentions(&self, id: &str) -> bool {
        self.ids.iter().any(|(_, v)| v == id)
    }

    fn job(&self) -> Option<&str> {
        let job = self.ids.iter().find(|(key, _)| *key == "job");
        job.map(|(_, id)| id.as_str())
    }

    /// Returns whether the line concerns a job as a whole.
    fn concerns_job(&self, job: &str) -> bool {
        self.job() == Some(job) && self.ids.len() == 1
    }
}

/// Splits `key=value` fields; a value may be in double quotes.
fn fields(line: &str) -> impl Iterator<Item = (&str, &str)> {
    let mut rest = line;
    std::iter::from_fn(move || {
        let (key, after) = rest.trim_start().split_once('=')?;
        let key = key.rsplit(' ').next().unwrap_or(key);
        let end = match after.strip_prefix('"') {
            Some(quoted) => quoted.find('"').map_or(after.len(), |at| at + 2),
            None => after.find(' ').unwrap_or(after.len()),
        };
        let (value, next) = after.split_at(end);
        rest = next;
        Some((key, value.trim_matches('"')))
    })
}

/// Returns the history of an id in chronological order: the lines that mention it, for an item also
/// those of its job, and the context events of the processes involved.
pub fn select(lines: &[Line], id: &str) -> Vec<Line> {
    let direct = lines.iter().filter(|l| l.mentions(id));
    let jobs: BTreeSet<&str> = direct.clone().filter_map(Line::job).collect();
    let concerns = |l: &Line| l.mentions(id) || jobs.iter().any(|j| l.concerns_job(j));
    let instances: BTreeSet<&str> = lines
        .iter()
        .filter(|l| concerns(l))
        .map(|l| l.instance.as_str())
        .collect();
    let times = lines.iter().filter(|l| concerns(l)).map(|l| l.time);
    let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
        return Vec::new();
    };
    let near = |l: &Line| l.time + CONTEXT_SPAN >= first && l.time <= last + CONTEXT_SPAN;
    let context = |l: &Line| {
        let listed = CONTEXT_EVENTS.contains(&l.event.as_str());
        listed && near(l) && instances.contains(l.instance.as_str())
    };
    let chosen = lines.iter().filter(|l| concerns(l) || context(l));
    let mut chosen: Vec<Line> = chosen.cloned().collect();
    chosen.sort_by(|a, b| (a.time, &a.instance).cmp(&(b.time, &b.instance)));
    chosen
}

/// Reads log files, or standard input if none is given, and prints the history of an id.
///
/// # Errors
///
/// Returns an error when a file cannot be read.
pub fn explain(id: &str, files: &[PathBuf]) -> anyhow::Result<Exit> {
    let mut lines = Vec::new();
    if files.is_empty() {
        read(io::stdin().lock(), &mut lines).context("cannot read standard input")?;
    }
    for file in files {
        read_file(file, &mut lines).with_context(|| format!("cannot read {}", file.display()))?;
    }
    let count = lines.len();
    let chosen = select(&lines, id);
    let Some(first) = chosen.first() else {
        let omitted = lines.iter().filter(|l| l.event == "lines-omitted").count();
        eprintln!(
            "gentianpath: none of {count} lines mentions {id}; {omitted} lines report omitted ones"
        );
        return Ok(Exit::Failure);
    };
    let mut out = io::stdout().lock();
    for line in &chosen {
        let elapsed = line.time.duration_since(first.time).as_secs_f64();
        writeln!(out, "{elapsed:9.3} s  {}  {}", line.instance, line.text)?;
    }
    Ok(Exit::Success)
}

fn read_file(file: &Path, lines: &mut Vec<Line>) -> io::Result<()> {
    read(File::open(file)?, lines)
}

fn read(input: impl Read, lines: &mut Vec<Line>) -> io::Result<()> {
    let mut input = BufReader::new(input);
    let mut bytes = Vec::new();
    while input.read_until(b'\n', &mut bytes)? > 0 {
        lines.extend(Line::parse(&String::from_utf8_lossy(&bytes)));
        bytes.clear();
    }
    Ok(())
}
