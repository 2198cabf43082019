//! Entry point: parses the command line, checks it, runs the command and returns an exit code.

use std::{path::Path, process::ExitCode};

use clap::Parser;
use gentianpath::{
    cli::{Command, ConfigCommand, Options, SettingsCommand, SheetCommand},
    config_check::{self, InForce},
    exit::Exit,
    explain,
    gateway::{
        self,
        settings::{KeeperSettings, RawSettings},
    },
    logging, remote,
    replay::{self, Plan},
    serve,
    settings::{self, Settings},
    sheet::Sheet,
};

fn main() -> ExitCode {
    let options = Options::parse();
    let serves = matches!(
        options.command,
        Command::Serve { .. } | Command::Gateway { .. } | Command::Keeper { .. }
    );
    if !serves {
        logging::start_command();
    }
    let exit = run(options.command).unwrap_or_else(|e| {
        eprintln!("gentianpath: {e:#}");
        Exit::Usage
    });
    exit.into()
}

fn run(command: Command) -> anyhow::Result<Exit> {
    match command {
        Command::Serve { settings } => run_serve(&settings),
        Command::Gateway { settings, check } => run_gateway(&settings, check),
        Command::Keeper { settings } => run_keeper(&settings),
        Command::Explain { id, files } => explain::explain(&id, &files),
        Command::Config(ConfigCommand::Check {
            file,
            against,
            store,
            json,
        }) => {
            let in_force = match (against, store) {
                (Some(file), _) => InForce::File(file.into()),
                (None, Some(address)) => InForce::Store(address),
                (None, None) => InForce::Nothing,
            };
            config_check::run(&file, &in_force, json)
        }
        Command::Settings(SettingsCommand::Check { file }) => {
            Settings::load(&file)?;
            println!("{}: settings are valid", file.display());
            Ok(Exit::Success)
        }
        Command::Sheet(SheetCommand::Check { file }) => {
            let text = std::fs::read_to_string(&file)?;
            Sheet::parse(&text)?;
            println!("{}: sheet is valid", file.display());
            Ok(Exit::Success)
        }
        Command::Sheet(SheetCommand::Push { file, base, remote }) => {
            remote::push_sheet(&file, base, &remote)
        }
        Command::Sheet(SheetCommand::Show { remote }) => remote::show_sheet(&remote),
        Command::Job(command) => remote::job(&command),
        Command::Status { remote } => remote::status(&remote),
        Command::Replay {
            trace,
            model,
            service,
            also,
            remote,
        } => {
            let mut addresses = vec![remote.address];
            addresses.extend(also);
            let plan = Plan {
                addresses,
                model,
                service,
                json: remote.json,
            };
            replay::replay(&trace, plan)
        }
    }
}

fn run_serve(file: &Path) -> anyhow::Result<Exit> {
    let settings = Settings::load(file)?;
    let _flush = logging::start(&settings.instance)?;
    Ok(exit_of(serve::serve(settings)))
}

fn run_gateway(file: &Path, check: bool) -> anyhow::Result<Exit> {
    let settings: gateway::settings::Settings = settings::read::<RawSettings>(file)?.try_into()?;
    if check {
        println!("{}: settings are valid", file.display());
        return Ok(Exit::Success);
    }
    let _flush = logging::start(&settings.instance)?;
    let session = serve::new_session();
    Ok(exit_of(gateway::serve::serve(settings, session)))
}

fn run_keeper(file: &Path) -> anyhow::Result<Exit> {
    let settings = KeeperSettings::from(settings::read::<RawSettings>(file)?);
    let _flush = logging::start(&settings.instance)?;
    gateway::serve::run_keeper(&settings)
}

/// Returns the exit code of a process that served. An error while serving is a failure, not a
/// usage error.
fn exit_of(served: anyhow::Result<Exit>) -> Exit {
    served.unwrap_or_else(|e| {
        eprintln!("gentianpath: {e:#}");
        Exit::Failure
    })
}
