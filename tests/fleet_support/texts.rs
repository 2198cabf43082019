//! What the texts of workers show: run of the test, version, service, request, run at the worker and
//! number of each event.

use std::fmt;

/// What is wrong with a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// A complete text lacks its last events.
    Short,
    /// A part of an event is missing or joined with another one.
    Torn,
    /// An event stands twice, or its number went back.
    Doubled,
    /// An event is missing.
    Gap,
    /// Events come from two versions of the software.
    Versions,
    /// An event belongs to another request, service or run of the test.
    Foreign,
    /// Events come from two runs at workers, of which the later one was not asked to go on after the
    /// last event of the earlier one.
    Joined,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Self::Short => "short",
            Self::Torn => "torn",
            Self::Doubled => "doubled",
            Self::Gap => "gap",
            Self::Versions => "mixed versions",
            Self::Foreign => "foreign",
            Self::Joined => "joined runs",
        };
        f.write_str(name)
    }
}

/// The text that a request should get.
#[derive(Debug, Clone, Copy)]
pub struct Expected<'a> {
    /// Name of the run of the test.
    pub run: &'a str,
    pub services: &'a [&'a str],
    /// Last segment of the path.
    pub name: &'a str,
    pub events: u64,
    /// Whether a run may go on where an earlier one ended.
    pub resumable: bool,
}

impl Expected<'_> {
    /// Checks the events that a caller has, and all that it has if the answer looks complete.
    ///
    /// # Errors
    ///
    /// Returns what is wrong first.
    pub fn check(&self, text: &str, complete: bool) -> Result<(), Fault> {
        let mut version = None;
        let mut origin = None;
        let mut count = 0;
        let mut rest = text;
        while let Some((event, later)) = rest.split_once("\n\n") {
            let (id, data) = event.split_once("\ndata: ").ok_or(Fault::Torn)?;
            let id: u64 = id
                .strip_prefix("id: ")
                .and_then(|id| id.parse().ok())
                .ok_or(Fault::Torn)?;
            let parts: Vec<&str> = data.split('.').collect();
            let [run, this, service, name, writer, number] = parts[..] else {
                return Err(Fault::Torn);
            };
            if run != self.run || name != self.name || !self.services.contains(&service) {
                return Err(Fault::Foreign);
            }
            if number.parse() != Ok(id) {
                return Err(Fault::Torn);
            }
            if *version.get_or_insert(this) != this {
                return Err(Fault::Versions);
            }
            if id < count {
                return Err(Fault::Doubled);
            }
            if id > count {
                return Err(Fault::Gap);
            }
            if origin.replace(writer) != Some(writer) && !self.may_begin(writer, id) {
                return Err(Fault::Joined);
            }
            count += 1;
            rest = later;
        }
        if count > self.events {
            return Err(Fault::Doubled);
        }
        if complete {
            return match (rest.is_empty(), count == self.events) {
                (true, true) => Ok(()),
                (true, false) => Err(Fault::Short),
                (false, _) => Err(Fault::Torn),
            };
        }
        self.check_part(rest, version, count)
    }

    /// Returns whether a run may have written an event that an earlier event of another run, or none,
    /// comes before. The name of a run ends with the event after which it was asked to go on.
    fn may_begin(&self, run: &str, event: u64) -> bool {
        let asked = run.rsplit('_').next().unwrap_or_default();
        match event.checked_sub(1) {
            None => asked == "-",
            Some(last) => self.resumable && asked.parse() == Ok(last),
        }
    }

    /// Checks the part of an event at the end of a broken answer.
    fn check_part(&self, part: &str, version: Option<&str>, number: u64) -> Result<(), Fault> {
        let parts: Vec<&str> = part.split('.').collect();
        let fits = |version: &str, service: &str| {
            let (run, name) = (self.run, self.name);
            let begin = format!("id: {number}\ndata: {run}.{version}.{service}.{name}.");
            match parts[..] {
                // The run at the worker may be any, and may be incomplete.
                [_, _, _, _, _] => part.starts_with(&begin),
                [_, _, _, _, writer, _] => {
                    format!("{begin}{writer}.{number}\n\n").starts_with(part)
                }
                _ => begin.starts_with(part),
            }
        };
        let version = version.or_else(|| parts.get(1).copied());
        let fits = match version {
            Some(version) => self.services.iter().any(|service| {
                let is_begun = parts.len() == 2;
                // The version itself may be incomplete.
                fits(version, service) || is_begun
            }),
            None => format!("id: {number}\ndata: {}.", self.run).starts_with(part),
        };
        if fits { Ok(()) } else { Err(Fault::Torn) }
    }

    /// Checks the output of an item.
    ///
    /// # Errors
    ///
    /// Returns what is wrong first.
    pub fn check_output(&self, output: &str) -> Result<(), Fault> {
        let events = output.lines().map(|line| {
            let number = line.rsplit('.').next().unwrap_or_default();
            format!("id: {number}\ndata: {line}\n\n")
        });
        self.check(&events.collect::<String>(), true)
    }
}
