//! The record of a run: what was sent, answered and run, with times in seconds.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        let file = Arc::new(Mutex::new(BufWriter::new(file)));
        Ok(Self {
            start: Instant::now(),
            file,
        })
    }

    /// Returns the time since the start of the run in seconds.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn write(&self, text: &str) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:8.3} {text}");
    }

    /// Writes a line that is also printed.
    pub fn say(&self, text: &str) {
        self.write(text);
        println!("{:8.3} {text}", self.now());
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
