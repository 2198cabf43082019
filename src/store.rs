//! Data folder: stores the last sheet for a restart without platform and peers.

use std::{
    fs::{self, File},
    io::{self, Write},
    path::Path,
};

use serde::{Deserialize, Serialize};

use crate::{ids::Version, sheet_log::Snapshot};

/// File name of the saved sheet.
const SHEET_FILE: &str = "sheet.json";
/// File name of a new sheet until it replaces the saved one.
const SHEET_TEMP: &str = "sheet.json.new";

/// A sheet as saved in the data folder.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SavedSheet {
    /// Version of the last change of the sheet in the object service.
    pub version: Version,
    /// The sheet at its last revision.
    pub snapshot: Snapshot,
}

/// Replaces the saved sheet atomically: after a crash either the old or the new one is there.
///
/// # Errors
///
/// Returns an I/O error of the file system.
pub fn save_sheet(folder: &Path, sheet: &SavedSheet) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let temp = folder.join(SHEET_TEMP);
    let mut file = File::create(&temp)?;
    file.write_all(&serde_json::to_vec(sheet)?)?;
    file.sync_all()?;
    fs::rename(&temp, folder.join(SHEET_FILE))?;
    File::open(folder)?.sync_all()
}

/// Reads the saved sheet; `None` when none was saved.
///
/// # Errors
///
/// Returns an I/O error of the file system, or an error when the file is malformed.
pub fn load_sheet(folder: &Path) -> io::Result<Option<SavedSheet>> {
    match fs::read(folder.join(SHEET_FILE)) {
        Ok(text) => Ok(Some(serde_json::from_slice(&text)?)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}
