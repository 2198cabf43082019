//! Plays the cases of the review: `review-cases CASE FOLDER WORK`, in the root of the
//! repository. The record goes into FOLDER, all other files into WORK.

mod client;
mod flood;
mod http;
mod instance;
mod memory;
mod proxy;
mod record;
mod side;
mod silent;
mod store;
mod successor;
mod timeouts;
mod versions;
mod worker;

use std::{path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let case = words.next().unwrap_or_default();
    let folder = PathBuf::from(words.next().unwrap_or_else(|| ".".into()));
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".into());
    let work = PathBuf::from(words.next().unwrap_or_else(|| ".".into()));
    let result = match case.as_str() {
        "flood" => flood::run(&folder, &work, &trouble),
        "memory" => memory::run(&folder, &work, &trouble),
        "silent" => silent::run(&folder, &work, &trouble),
        "successor" => successor::run(&folder, &work, &trouble),
        "timeouts" => timeouts::run(&folder, &work, &trouble),
        "versions" => versions::run(&folder, &work, &trouble),
        other => Err(format!("there is no case {other}")),
    };
    match result {
        Ok(false) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(true) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            println!("not run: {reason}");
            ExitCode::from(2)
        }
    }
}
