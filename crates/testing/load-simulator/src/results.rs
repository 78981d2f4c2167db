//! Runs of many experiments, policies and seeds on all cores, and the file that keeps what they came to.
//!
//! The file holds a JSON object a line, in the order in which runs ended. A run whose line is there is not played
//! again, so that a sweep that was stopped goes on where it was. A last line that is torn is passed over and cut.

use crate::experiment::Experiment;
use crate::meter::Outcome;
use crate::random::hash_of;
use crate::rivals::Policy;
use crate::world::{play, RunError, Wanted};
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;
use std::sync::Mutex;

/// One run that is wanted.
#[derive(Clone, Debug)]
pub struct Job {
    /// The experiment, with all that was set.
    pub experiment: Experiment,
    /// What was set, by key.
    pub set: Vec<(String, String)>,
    /// What decides.
    pub policy: Policy,
    /// The seed.
    pub seed: u64,
}

impl Job {
    /// Tells this run from all others: a change to the experiment is another run.
    pub fn key(&self) -> String {
        let text = serde_json::to_string(&self.experiment).unwrap_or_default();
        let hash = hash_of(&text);
        format!("{hash:016x}-{}-{}", self.policy.name(), self.seed)
    }
}

/// What a run came to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// See [`Job::key`].
    pub key: String,
    /// What was set, by key.
    pub set: Vec<(String, String)>,
    /// The outcome.
    pub outcome: Outcome,
}

/// Why a series of runs stopped.
#[derive(Debug)]
pub enum SeriesError {
    /// The file of results cannot be used.
    File(String, io::Error),
    /// A line of it cannot be read, and it is not the last.
    Line(String, usize, serde_json::Error),
    /// A run could not be played.
    Run(String, RunError),
}

impl std::fmt::Display for SeriesError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SeriesError::File(path, e) => write!(f, "{path}: {e}"),
            SeriesError::Line(path, line, e) => write!(f, "{path}:{line}: cannot be read: {e}"),
            SeriesError::Run(name, e) => write!(f, "{name}: {e}"),
        }
    }
}

impl std::error::Error for SeriesError {}

/// Reads a file of results. What stands behind the last whole line is a torn one; its place is given.
///
/// # Errors
///
/// Names the file and the line that cannot be read.
pub fn read(path: &Path) -> Result<(Vec<Row>, u64), SeriesError> {
    let name = path.display().to_string();
    let mut text = String::new();
    let mut file = File::open(path).map_err(|e| SeriesError::File(name.clone(), e))?;
    file.read_to_string(&mut text).map_err(|e| SeriesError::File(name.clone(), e))?;
    let whole = text.rfind('\n').map_or(0, |at| at + 1);
    let mut rows = Vec::new();
    for (n, line) in text[..whole].lines().enumerate().filter(|(_, l)| !l.trim().is_empty()) {
        rows.push(serde_json::from_str(line).map_err(|e| SeriesError::Line(name.clone(), n + 1, e))?);
    }
    Ok((rows, whole as u64))
}

/// What a series keeps and shows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Keep {
    /// The seconds of each run.
    pub seconds: bool,
    /// No progress on standard error.
    pub quiet: bool,
}

/// Plays all jobs on all cores and gives their rows in the order of the jobs, whatever order they ended in. With a
/// file, rows that it holds are taken from it, and each new one is written to it at once.
///
/// # Errors
///
/// Says why the file cannot be used or a run cannot be played.
pub fn series(jobs: &[Job], file: Option<&Path>, keep: Keep) -> Result<Vec<Row>, SeriesError> {
    let mut done: HashMap<String, Row> = HashMap::new();
    let mut out = None;
    if let Some(path) = file {
        let name = path.display().to_string();
        let fault = |e| SeriesError::File(name.clone(), e);
        let mut whole = 0;
        if path.exists() {
            let (rows, end) = read(path)?;
            whole = end;
            done = rows.into_iter().map(|r| (r.key.clone(), r)).collect();
        }
        let mut opened =
            OpenOptions::new().create(true).truncate(false).write(true).open(path).map_err(fault)?;
        // Guards against a line that was torn when an earlier series was stopped.
        opened.set_len(whole).map_err(fault)?;
        opened.seek(SeekFrom::End(0)).map_err(fault)?;
        out = Some(Mutex::new(opened));
    }
    let bar = if keep.quiet { ProgressBar::hidden() } else { ProgressBar::new(jobs.len() as u64) };
    if let Ok(style) = ProgressStyle::with_template("{pos}/{len} runs {wide_bar} {elapsed} left {eta} {msg}")
    {
        bar.set_style(style);
    }
    let rows = jobs.par_iter().map(|job| {
        let key = job.key();
        if let Some(row) = done.get(&key) {
            bar.inc(1);
            return Ok(row.clone());
        }
        let outcome = play(&job.experiment, job.policy, job.seed, Wanted::default());
        let mut outcome = outcome.map_err(|e| SeriesError::Run(job.experiment.name.clone(), e))?;
        if !keep.seconds {
            outcome.seconds.clear();
        }
        let row = Row { key, set: job.set.clone(), outcome };
        if let (Some(out), Some(path)) = (&out, file) {
            let mut line = serde_json::to_string(&row).unwrap_or_default();
            line.push('\n');
            let mut out = out.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            out.write_all(line.as_bytes()).map_err(|e| SeriesError::File(path.display().to_string(), e))?;
        }
        bar.inc(1);
        Ok(row)
    });
    let rows = rows.collect::<Result<Vec<_>, _>>();
    bar.finish_and_clear();
    rows
}
