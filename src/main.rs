//! Entry point: parses the command line, checks it, runs the command and returns an exit code.

use std::{path::Path, process::ExitCode};

use clap::Parser;
use gentianpath::{
    cli::{Command, Options, SettingsCommand, SheetCommand},
    exit::Exit,
    gateway::{
        self,
        settings::{KeeperSettings, RawSettings},
    },
    remote,
    replay::{self, Plan},
    serve,
    settings::Settings,
    sheet::Sheet,
};

fn main() -> ExitCode {
    let options = Options::parse();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let exit = run(options.command).unwrap_or_else(|e| {
        eprintln!("gentianpath: {e:#}");
        Exit::Usage
    });
    exit.into()
}

fn run(command: Command) -> anyhow::Result<Exit> {
    match command {
        Command::Serve { settings } => run_serve(&settings),
        Command::Gateway { settings } => run_gateway(&settings),
        Command::Keeper { settings } => run_keeper(&settings),
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
    serve::serve(settings).or_else(|e| {
        eprintln!("gentianpath: {e:#}");
        Ok(Exit::Failure)
    })
}

fn run_gateway(file: &Path) -> anyhow::Result<Exit> {
    let settings = RawSettings::load(file)?.try_into()?;
    gateway::serve::serve(settings, serve::new_session()).or_else(|e| {
        eprintln!("gentianpath: {e:#}");
        Ok(Exit::Failure)
    })
}

fn run_keeper(file: &Path) -> anyhow::Result<Exit> {
    let settings = KeeperSettings::from(RawSettings::load(file)?);
    gateway::serve::keep(&settings)
}
