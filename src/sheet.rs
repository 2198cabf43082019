//! The sheet: the declared state of the fleet (services, models, jobs with deadlines, teams).

use std::sync::Arc;

use anyhow::{anyhow, bail};
use serde::{Deserialize, Serialize};

use crate::{
    ids::{JobId, Map, ModelId, ServiceId, Set, TargetId, TeamId},
    settings::is_name,
};

/// A sheet as it is written in the file, not yet validated. Every field is described in
/// docs/settings.md.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawSheet {
    /// Name of the deployment.
    pub deployment: String,
    /// Weight of batch throughput against online tail latency, 0 to 1.
    pub throughput_weight: f64,
    /// Models to serve.
    #[serde(default)]
    pub models: Vec<RawModel>,
    /// Services.
    #[serde(default)]
    pub services: Vec<RawService>,
    /// Expected batch jobs with their deadlines.
    #[serde(default)]
    pub jobs: Vec<RawJob>,
    /// Teams with their limits.
    #[serde(default)]
    pub teams: Vec<RawTeam>,
    /// Whether engines refuse an order with an old fencing number, unless listed otherwise.
    #[serde(default)]
    pub engines_check_fence: bool,
    /// Targets that differ from `engines_check_fence`.
    #[serde(default)]
    pub fence_exceptions: Vec<String>,
}

/// A model in a raw sheet.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawModel {
    /// Name.
    pub name: String,
    /// Version of the weights.
    pub version: String,
    /// Adapters to load with it.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Minimum number of workers in each zone.
    #[serde(default)]
    pub min_workers: u32,
    /// Maximum number of concurrent streams on a worker of this model.
    pub slots: u32,
}

/// A service in a raw sheet.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Name.
    pub name: String,
    /// Model that answers its calls; absent for a plain service.
    #[serde(default)]
    pub model: Option<String>,
    /// Calls of a plain service that may not be repeated, as `METHOD /path`.
    #[serde(default)]
    pub no_repeat: Vec<String>,
}

/// A job in a raw sheet.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawJob {
    /// Name.
    pub name: String,
    /// Model.
    pub model: String,
    /// Deadline, in seconds since 1970-01-01 UTC.
    pub deadline: u64,
}

/// A team in a raw sheet.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawTeam {
    /// Name.
    pub name: String,
    /// Maximum number of online requests in flight at one entry instance.
    pub online_limit: u32,
}

/// A validated sheet.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Sheet {
    /// Name of the deployment.
    pub deployment: Arc<str>,
    /// Weight of batch throughput against online tail latency, 0 to 1.
    pub weight: f64,
    /// Models by name.
    pub models: Map<ModelId, Model>,
    /// Services by name.
    pub services: Map<ServiceId, Service>,
    /// Expected jobs by name.
    pub jobs: Map<JobId, SheetJob>,
    /// Limits of teams by name.
    pub teams: Map<TeamId, TeamLimit>,
    /// Which engines check fencing numbers.
    pub fencing: Fencing,
}

/// A model to serve.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Version of the weights.
    pub version: Arc<str>,
    /// Adapters to load with it.
    pub adapters: Vec<Arc<str>>,
    /// Minimum number of workers in each zone.
    pub workers: u32,
    /// Maximum number of concurrent streams on a worker.
    pub slots: u32,
}

/// A service that answers online calls.
#[derive(Debug, Clone, PartialEq)]
pub enum Service {
    /// Answered by a model.
    Model(ModelId),
    /// A plain service, with its calls that may not be repeated.
    Plain(Set<Call>),
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Call {
    /// HTTP method, in capitals.
    pub method: Arc<str>,
    /// Path below the service.
    pub path: Arc<str>,
}

/// A job that the sheet expects.
#[derive(Debug, Clone, PartialEq)]
pub struct SheetJob {
    /// Model.
    pub model: ModelId,
    /// Deadline, in seconds since 1970-01-01 UTC.
    pub deadline: u64,
}

/// Limits of a team.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamLimit {
    /// Maximum number of online requests in flight at one entry instance.
    pub online: u32,
}

/// Which engines refuse an order that carries an old fencing number.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Fencing {
    /// Whether targets check fencing numbers by default.
    pub check: bool,
    /// Targets that differ from the default.
    pub exceptions: Set<TargetId>,
}

impl Fencing {
    /// Returns whether a target refuses orders with an old fencing number.
    pub fn checks(&self, target: &str) -> bool {
        self.check != self.exceptions.contains(target)
    }
}

impl Sheet {
    /// Returns the deadline of a job, in seconds since 1970-01-01 UTC: that of the sheet, or else
    /// the one it was submitted with.
    pub fn deadline(&self, job: &str, submitted: u64) -> u64 {
        self.jobs.get(job).map_or(submitted, |j| j.deadline)
    }

    /// Parses and validates the text of a sheet.
    ///
    /// # Errors
    ///
    /// Returns one line that names the field, the value and the remedy.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        Self::try_from(&parse_raw(text)?)
    }
}

/// Parses the text of a sheet without validating its content.
///
/// # Errors
///
/// Returns one line that names the field and what is wrong with it.
pub fn parse_raw(text: &str) -> anyhow::Result<RawSheet> {
    let mut reader = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut reader)
        .map_err(|e| anyhow!("sheet field '{}': {}", e.path(), e.inner()))
}

impl TryFrom<&RawSheet> for Sheet {
    type Error = anyhow::Error;

    fn try_from(raw: &RawSheet) -> anyhow::Result<Self> {
        if !(0.0..=1.0).contains(&raw.throughput_weight) {
            bail!(
                "sheet field 'throughput_weight': {} is out of range; use 0 to 1",
                raw.throughput_weight
            );
        }
        let mut sheet = Self {
            deployment: name("deployment", &raw.deployment)?,
            weight: raw.throughput_weight,
            fencing: Fencing {
                check: raw.engines_check_fence,
                exceptions: raw
                    .fence_exceptions
                    .iter()
                    .map(|t| t.as_str().into())
                    .collect(),
            },
            ..Self::default()
        };
        for (i, m) in raw.models.iter().enumerate() {
            let field = format!("models[{i}]");
            let id = name(&format!("{field}.name"), &m.name)?;
            unique(
                &field,
                &m.name,
                sheet.models.insert(id, check_model(&field, m)?),
            )?;
        }
        for (i, s) in raw.services.iter().enumerate() {
            let field = format!("services[{i}]");
            let id = name(&format!("{field}.name"), &s.name)?;
            let service = check_service(&field, s, &sheet)?;
            unique(&field, &s.name, sheet.services.insert(id, service))?;
        }
        for (i, j) in raw.jobs.iter().enumerate() {
            let field = format!("jobs[{i}]");
            let id = name(&format!("{field}.name"), &j.name)?;
            let model = known_model(&format!("{field}.model"), &j.model, &sheet)?;
            let job = SheetJob {
                model,
                deadline: j.deadline,
            };
            unique(&field, &j.name, sheet.jobs.insert(id, job))?;
        }
        for (i, t) in raw.teams.iter().enumerate() {
            let field = format!("teams[{i}]");
            let id = name(&format!("{field}.name"), &t.name)?;
            let limit = TeamLimit {
                online: positive(&format!("{field}.online_limit"), t.online_limit)?,
            };
            unique(&field, &t.name, sheet.teams.insert(id, limit))?;
        }
        Ok(sheet)
    }
}

fn check_model(field: &str, raw: &RawModel) -> anyhow::Result<Model> {
    Ok(Model {
        version: name(&format!("{field}.version"), &raw.version)?,
        adapters: raw
            .adapters
            .iter()
            .map(|a| name(&format!("{field}.adapters"), a))
            .collect::<anyhow::Result<_>>()?,
        workers: raw.min_workers,
        slots: positive(&format!("{field}.slots"), raw.slots)?,
    })
}

fn check_service(field: &str, raw: &RawService, sheet: &Sheet) -> anyhow::Result<Service> {
    if let Some(model) = &raw.model {
        if !raw.no_repeat.is_empty() {
            bail!(
                "sheet field '{field}.no_repeat': only a plain service has it; remove it or 'model'"
            );
        }
        return known_model(&format!("{field}.model"), model, sheet).map(Service::Model);
    }
    let calls = raw
        .no_repeat
        .iter()
        .map(|c| check_call(&format!("{field}.no_repeat"), c))
        .collect::<anyhow::Result<_>>()?;
    Ok(Service::Plain(calls))
}

fn check_call(field: &str, text: &str) -> anyhow::Result<Call> {
    let parts = text.split_once(' ');
    let Some((method, path)) = parts.filter(|(m, p)| !m.is_empty() && p.starts_with('/')) else {
        bail!(
            "sheet field '{field}': '{text}' is not a call; use METHOD /path, for example POST /receipts"
        );
    };
    Ok(Call {
        method: method.to_ascii_uppercase().into(),
        path: path.into(),
    })
}

fn known_model(field: &str, model: &str, sheet: &Sheet) -> anyhow::Result<ModelId> {
    if !sheet.models.contains_key(model) {
        bail!("sheet field '{field}': no model '{model}'; add it to 'models' or correct the name");
    }
    Ok(model.into())
}

fn name(field: &str, value: &str) -> anyhow::Result<Arc<str>> {
    if !is_name(value) {
        bail!(
            "sheet field '{field}': '{value}' is not a name; use 1 to 128 of a-z, A-Z, 0-9, '-', '_'"
        );
    }
    Ok(value.into())
}

fn positive(field: &str, value: u32) -> anyhow::Result<u32> {
    if value == 0 {
        bail!("sheet field '{field}': 0 is out of range; use 1 or more");
    }
    Ok(value)
}

fn unique<T>(field: &str, name: &str, earlier: Option<T>) -> anyhow::Result<()> {
    if earlier.is_some() {
        bail!("sheet field '{field}.name': '{name}' stands twice; remove one");
    }
    Ok(())
}
