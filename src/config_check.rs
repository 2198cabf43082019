//! `config check` command: checks a configuration before it is sent, and shows what it changes.

use std::{fs, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use anyhow::{Context, anyhow};
use serde::Serialize;

use crate::{
    adapter::{
        objects,
        store::{Freshness, Store},
    },
    exit::Exit,
    gateway::config::{Configuration, Route, RouteKind},
    teams::directory::{Directory, Note, Team},
};

/// What is wrong with a configuration, and what it changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Report {
    /// What keeps the configuration or an entry of it from taking effect.
    pub errors: Vec<Finding>,
    /// Entries without effect, and limits that contradict each other.
    pub warnings: Vec<Finding>,
    /// Differences from the version in force.
    pub changes: Vec<Finding>,
}

/// A line of a report.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Finding {
    /// Entry of the configuration.
    pub place: String,
    /// What is to be said of it; never a key.
    pub text: String,
}

impl Finding {
    fn new(place: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            place: place.into(),
            text: text.into(),
        }
    }
}

/// Configuration in force with which a new one is compared.
#[derive(Debug, Clone)]
pub enum InForce {
    /// None is compared.
    Nothing,
    /// The one in a file.
    File(Arc<Path>),
    /// The one in the object store.
    Store(SocketAddr),
}

/// Checks the configuration in a file, and prints the report.
///
/// # Errors
///
/// Returns an error when a file or the store cannot be read.
pub fn run(file: &Path, in_force: &InForce, json: bool) -> anyhow::Result<Exit> {
    let text = read(file)?;
    let old = match in_force {
        InForce::Nothing => None,
        InForce::File(file) => Some(read(file)?),
        InForce::Store(address) => Some(read_store(*address)?),
    };
    let old = old.map(|text| objects::decode_config(&text)).transpose();
    let old = old.context("the version in force cannot be read")?;
    let report = match objects::decode_config(&text) {
        Ok(config) => check(&config, old.as_ref()),
        Err(e) => Report {
            errors: vec![Finding::new("configuration", format!("{e:#}"))],
            ..Report::default()
        },
    };
    if json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print(&report);
    }
    let is_valid = report.errors.is_empty();
    Ok(if is_valid { Exit::Success } else { Exit::Usage })
}

fn read(file: &Path) -> anyhow::Result<String> {
    fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))
}

fn read_store(address: SocketAddr) -> anyhow::Result<String> {
    let (kind, name) = objects::CONFIG;
    let store = Store::new(address);
    let read = smol::block_on(store.get(kind, name, Freshness::Latest));
    let object = read.map_err(|e| anyhow!("cannot read the store at {address}: {e}"))?;
    let object = object.with_context(|| format!("the store at {address} has no configuration"))?;
    Ok(object.spec)
}

fn print(report: &Report) {
    let parts = [
        ("error", &report.errors),
        ("warning", &report.warnings),
        ("change", &report.changes),
    ];
    for (name, findings) in parts {
        for Finding { place, text } in findings {
            println!("{name}: {place}: {text}");
        }
    }
    println!(
        "{} errors, {} warnings, {} changes",
        report.errors.len(),
        report.warnings.len(),
        report.changes.len()
    );
}

/// Checks a configuration, and compares it with the one in force.
pub fn check(config: &Configuration, in_force: Option<&Configuration>) -> Report {
    let mut report = Report::default();
    for (position, route) in config.routes.iter().enumerate() {
        check_route(&mut report, config, position, route);
    }
    check_services(&mut report, config);
    if let Some(teams) = &config.teams {
        check_teams(&mut report, teams);
    }
    if let Some(old) = in_force {
        compare(&mut report, old, config);
    }
    report
}

fn check_route(report: &mut Report, config: &Configuration, position: usize, route: &Route) {
    let place = format!("route {}", route.name);
    let is_path = route.prefix.starts_with('/') && route.prefix.ends_with('/');
    if !is_path {
        let text = "the path prefix has to begin and end with a slash";
        report.errors.push(Finding::new(&*place, text));
    }
    // Of two routes with the same prefix, the later one gets the calls.
    let same = |r: &&Arc<Route>| r.host == route.host && r.prefix == route.prefix;
    if let Some(other) = config.routes[position + 1..].iter().find(same) {
        let text = format!(
            "no call matches it: route {} has its host and prefix",
            other.name
        );
        report.errors.push(Finding::new(&*place, text));
    }
    let others = config.routes.iter().enumerate();
    let mut others = others.filter(|(other, _)| *other != position);
    if others.any(|(_, r)| r.name == route.name) {
        let text = "another route has its name";
        report.warnings.push(Finding::new(&*place, text));
    }
    if route.split.iter().all(|(_, weight)| *weight == 0) {
        let text = "it has no service with a weight above 0";
        report.errors.push(Finding::new(&*place, text));
    }
    for (service, weight) in &route.split {
        if !config.services.contains_key(service) {
            let text = format!("there is no service {service}");
            report.errors.push(Finding::new(&*place, text));
        } else if *weight == 0 {
            let text = format!("service {service} gets no calls, as its weight is 0");
            report.warnings.push(Finding::new(&*place, text));
        }
    }
    check_times(report, &place, route);
}

fn check_times(report: &mut Report, place: &str, route: &Route) {
    let mut warn = |text: String| report.warnings.push(Finding::new(place, text));
    if route.objective > route.timeout {
        let (objective, timeout) = (millis(route.objective), millis(route.timeout));
        warn(format!(
            "the objective of {objective} ms is longer than the timeout of {timeout} ms"
        ));
    }
    if route.attempts > 1 && !route.is_repeatable() {
        warn(format!(
            "{} attempts have no effect, as its calls run at most once",
            route.attempts
        ));
    }
    if let RouteKind::Batch(terms) = &route.kind
        && terms.due > terms.item_ttl
    {
        let (due, ttl) = (millis(terms.due), millis(terms.item_ttl));
        warn(format!(
            "items fail after {ttl} ms, before they are due at {due} ms"
        ));
    }
}

fn millis(time: Duration) -> u128 {
    time.as_millis()
}

fn check_services(report: &mut Report, config: &Configuration) {
    let mut names: Vec<_> = config.services.keys().collect();
    names.sort_unstable();
    for name in names {
        let uses = |r: &Arc<Route>| r.split.iter().any(|(s, weight)| s == name && *weight > 0);
        if !config.routes.iter().any(uses) {
            let finding = Finding::new(format!("service {name}"), "no route leads to it");
            report.warnings.push(finding);
        }
    }
}

fn check_teams(report: &mut Report, teams: &Directory) {
    for (team, note) in teams.notes() {
        let text = match note {
            Note::NoKey => "it has no key, so that nobody can call for it",
            Note::RepeatedKey => "it holds a key twice",
            Note::BurstWithoutRate => "its burst has no effect without a rate: it has no limit",
        };
        let place = format!("team {team}");
        report.warnings.push(Finding::new(place, text));
    }
}

fn compare(report: &mut Report, old: &Configuration, new: &Configuration) {
    if new.version <= old.version {
        let text = format!(
            "{} is not above {}, which is in force",
            new.version, old.version
        );
        report.errors.push(Finding::new("version", text));
    }
    let changes = &mut report.changes;
    let name = |r: &Arc<Route>| r.name.clone();
    compare_named(changes, "route", &old.routes, &new.routes, name, |a, b| {
        a == b
    });
    let services = |c: &Configuration| -> Vec<_> {
        let services = c.services.iter().map(|(n, s)| (n.clone(), s.clone()));
        services.collect()
    };
    let (before, after) = (services(old), services(new));
    compare_named(
        changes,
        "service",
        &before,
        &after,
        |s| s.0.clone(),
        |a, b| a == b,
    );
    if old.limits != new.limits {
        changes.push(Finding::new("limits", "changed"));
    }
    match (&old.teams, &new.teams) {
        (None, Some(_)) => changes.push(Finding::new("teams", "calls need a key from now on")),
        (Some(_), None) => changes.push(Finding::new("teams", "calls need no key any more")),
        _ => {}
    }
    let teams = |c: &Configuration| -> Vec<Arc<Team>> {
        let teams = c.teams.iter().flat_map(|t| t.teams().cloned());
        teams.collect()
    };
    let same = |a: &Arc<Team>, b: &Arc<Team>| a == b;
    compare_named(
        changes,
        "team",
        &teams(old),
        &teams(new),
        |t| t.name.clone(),
        same,
    );
    compare_keys(changes, old.teams.as_deref(), new.teams.as_deref());
}

/// Adds the entries that only one of two lists has, and those that differ.
fn compare_named<T>(
    changes: &mut Vec<Finding>,
    kind: &str,
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> Arc<str>,
    is_same: impl Fn(&T, &T) -> bool,
) {
    let mut found = Vec::new();
    for entry in new {
        match old.iter().find(|o| name(o) == name(entry)) {
            None => found.push((name(entry), "added")),
            Some(before) if !is_same(before, entry) => found.push((name(entry), "changed")),
            Some(_) => {}
        }
    }
    let is_removed = |o: &&T| !new.iter().any(|n| name(n) == name(o));
    found.extend(old.iter().filter(is_removed).map(|o| (name(o), "removed")));
    found.sort_unstable();
    let findings = found.into_iter();
    changes.extend(findings.map(|(name, text)| Finding::new(format!("{kind} {name}"), text)));
}

/// Adds the numbers of keys that come and go, by team.
fn compare_keys(changes: &mut Vec<Finding>, old: Option<&Directory>, new: Option<&Directory>) {
    let (Some(old), Some(new)) = (old, new) else {
        return;
    };
    let mut found = Vec::new();
    for team in new.teams() {
        let added = new.keys_missing_in(old, &team.name);
        let removed = old.keys_missing_in(new, &team.name);
        if added + removed > 0 {
            let text = format!("{added} keys added, {removed} taken away");
            found.push(Finding::new(format!("team {}", team.name), text));
        }
    }
    found.sort_unstable_by(|a, b| a.place.cmp(&b.place));
    changes.extend(found);
}
