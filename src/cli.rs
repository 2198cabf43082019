//! Command line.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Args, Parser, Subcommand};

/// Serves online and batch inference on one fleet of model engines and plain services.
#[derive(Debug, Clone)]
#[derive(Parser)]
#[command(version, about)]
pub struct Options {
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Commands of the program.
#[derive(Debug, Clone)]
#[derive(Subcommand)]
pub enum Command {
    /// Run one entry instance.
    Serve {
        /// Settings file (JSON).
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Run one entry instance on a platform with its own registry of routes and workers.
    Gateway {
        /// Settings file (JSON).
        #[arg(long, value_name = "FILE", env = "GENTIANPATH_SETTINGS")]
        settings: PathBuf,
        /// Only check the settings.
        #[arg(long)]
        check: bool,
    },
    /// Handle the operator's requests to empty a machine with a disk.
    Keeper {
        /// Settings file (JSON).
        #[arg(long, value_name = "FILE", env = "GENTIANPATH_SETTINGS")]
        settings: PathBuf,
    },
    /// Show the history of a request, item or job from the logs of all processes.
    Explain {
        /// Id of the request, item or job.
        #[arg(value_name = "ID")]
        id: String,
        /// Log files; standard input if none is given.
        #[arg(value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Work with configurations of routes, services and teams.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Work with settings files.
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Work with sheets.
    #[command(subcommand)]
    Sheet(SheetCommand),
    /// Work with batch jobs.
    #[command(subcommand)]
    Job(JobCommand),
    /// Show the state of an entry instance.
    Status {
        /// Operators' address of the instance.
        #[command(flatten)]
        remote: Remote,
    },
    /// Send a recorded trace to a running system and check the stated outcomes.
    ///
    /// The trace has one JSON object per line: arrival time, kind, prompt, length, flags. The exit
    /// code is 4 if an outcome is missed.
    Replay {
        /// Trace file (JSON lines).
        #[arg(value_name = "TRACE")]
        trace: PathBuf,
        /// Model of online requests and batch items.
        #[arg(long, value_name = "MODEL")]
        model: String,
        /// Service that plain calls are sent to.
        #[arg(long, value_name = "SERVICE")]
        service: Option<String>,
        /// Further callers' addresses; requests are distributed round robin.
        #[arg(long, value_name = "ADDRESS")]
        also: Vec<SocketAddr>,
        /// Callers' address of an entry instance.
        #[command(flatten)]
        remote: Remote,
    },
}

/// Entry instance that a command connects to.
#[derive(Debug, Clone)]
#[derive(Args)]
pub struct Remote {
    /// Address of the entry instance, as IP:PORT.
    #[arg(long, value_name = "ADDRESS")]
    pub address: SocketAddr,
    /// Print JSON for scripts.
    #[arg(long)]
    pub json: bool,
}

/// Commands on configurations.
#[derive(Debug, Clone)]
#[derive(Subcommand)]
pub enum ConfigCommand {
    /// Check a configuration before it is sent.
    ///
    /// Shows errors, entries without effect, limits that contradict each other, and what differs from the
    /// version in force if that is given. The exit code is 2 if there are errors. No key is printed.
    Check {
        /// Configuration (JSON).
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// Configuration in force (JSON).
        #[arg(long, value_name = "FILE", conflicts_with = "store")]
        against: Option<PathBuf>,
        /// Object store that has the configuration in force, as IP:PORT.
        #[arg(long, value_name = "ADDRESS")]
        store: Option<SocketAddr>,
        /// Print JSON for scripts.
        #[arg(long)]
        json: bool,
    },
}

/// Commands on settings files.
#[derive(Debug, Clone)]
#[derive(Subcommand)]
pub enum SettingsCommand {
    /// Check a settings file.
    Check {
        /// Settings file (JSON).
        #[arg(value_name = "FILE")]
        file: PathBuf,
    },
}

/// Commands on sheets.
#[derive(Debug, Clone)]
#[derive(Subcommand)]
pub enum SheetCommand {
    /// Check a sheet file.
    Check {
        /// Sheet file (JSON).
        #[arg(value_name = "FILE")]
        file: PathBuf,
    },
    /// Push a sheet; fails with exit code 3 if another operator's push came first.
    Push {
        /// Sheet file (JSON).
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// Revision that the sheet is based on; the one in force if omitted.
        #[arg(long, value_name = "REVISION")]
        base: Option<u64>,
        /// Operators' address of an entry instance.
        #[command(flatten)]
        remote: Remote,
    },
    /// Show the sheet in force.
    Show {
        /// Operators' address of an entry instance.
        #[command(flatten)]
        remote: Remote,
    },
}

/// Commands on batch jobs.
#[derive(Debug, Clone)]
#[derive(Subcommand)]
pub enum JobCommand {
    /// Submit a batch job; the same name with the same items is the same job.
    Submit {
        /// Items file (JSON lines).
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// Name of the job.
        #[arg(long, value_name = "NAME")]
        name: String,
        /// Name of the model.
        #[arg(long, value_name = "MODEL")]
        model: String,
        /// Deadline, in seconds since 1970-01-01 UTC.
        #[arg(long, value_name = "SECONDS")]
        deadline: u64,
        /// Team that the job belongs to; the default team if omitted.
        #[arg(long, value_name = "TEAM")]
        team: Option<String>,
        /// Callers' address of an entry instance.
        #[command(flatten)]
        remote: Remote,
    },
    /// Show the progress of a job.
    Status {
        /// Name of the job.
        #[arg(value_name = "NAME")]
        name: String,
        /// Callers' address of an entry instance.
        #[command(flatten)]
        remote: Remote,
    },
    /// Print the results of a job (JSON lines).
    Results {
        /// Name of the job.
        #[arg(value_name = "NAME")]
        name: String,
        /// Callers' address of an entry instance.
        #[command(flatten)]
        remote: Remote,
    },
    /// Cancel a job.
    Cancel {
        /// Name of the job.
        #[arg(value_name = "NAME")]
        name: String,
        /// Callers' address of an entry instance.
        #[command(flatten)]
        remote: Remote,
    },
}
