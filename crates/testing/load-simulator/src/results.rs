//! Runs of many experiments, policies and seeds on all cores, and the file that stores their results.
//!
//! The file holds one JSON object per line, in the order in which runs ended. A run whose line is in the file is not
//! repeated, so that a sweep that was stopped continues where it was. An incomplete last line is ignored and cut off.

use crate::experiment::Experiment;
use crate::meter::Outcome;
use crate::random::hash_of;
use crate::rivals::Policy;
use crate::world::{play, RunError, RunOptions};
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;
use std::sync::Mutex;

/// One run of a series.
#[derive(Clone, Debug)]
pub struct Job {
    /// The experiment, with all overrides applied.
    pub experiment: Experiment,
    /// The overrides that vary within the series, as keys and values.
    pub set: Vec<(String, String)>,
    /// The load balancing policy.
    pub policy: Policy,
    /// Seed of the run.
    pub seed: u64,
}

impl Job {
    /// Returns a key that identifies the run by experiment, policy and seed. Any change to the experiment changes it.
    pub fn key(&self) -> String {
        let text = serde_json::to_string(&self.experiment).unwrap_or_default();
        let hash = hash_of(&text);
        format!("{hash:016x}-{}-{}", self.policy.name(), self.seed)
    }
}

/// The stored result of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// See [`Job::key`].
    pub key: String,
    /// The overrides that vary within the series, as keys and values.
    pub set: Vec<(String, String)>,
    /// Measurements of the run.
    pub outcome: Outcome,
}

/// Why a series of runs stopped.
#[derive(Debug)]
pub enum SeriesError {
    /// The results file, named first, cannot be read or written.
    File(String, io::Error),
    /// A complete line of the results file cannot be parsed: the file, the line from 1, and the error.
    Line(String, usize, serde_json::Error),
    /// A run of the named experiment failed.
    Run(String, RunError),
}

impl std::fmt::Display for SeriesError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SeriesError::File(path, e) => write!(f, "{path}: {e}"),
            SeriesError::Line(path, line, e) => write!(f, "{path}:{line}: cannot be parsed: {e}"),
            SeriesError::Run(name, e) => write!(f, "{name}: {e}"),
        }
    }
}

impl std::error::Error for SeriesError {}

/// Reads a results file. Returns its rows and the length in bytes of its complete lines; an incomplete line may follow.
///
/// # Errors
///
/// Returns an error that names the file, and the line if one cannot be parsed.
pub fn read(path: &Path) -> Result<(Vec<Row>, u64), SeriesError> {
    let name = path.display().to_string();
    let mut text = String::new();
    let mut file = File::open(path).map_err(|e| SeriesError::File(name.clone(), e))?;
    file.read_to_string(&mut text).map_err(|e| SeriesError::File(name.clone(), e))?;
    let complete_length = text.rfind('\n').map_or(0, |at| at + 1);
    let mut rows = Vec::new();
    for (n, line) in text[..complete_length].lines().enumerate().filter(|(_, l)| !l.trim().is_empty()) {
        rows.push(serde_json::from_str(line).map_err(|e| SeriesError::Line(name.clone(), n + 1, e))?);
    }
    Ok((rows, complete_length as u64))
}

/// What a series stores and shows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Keep {
    /// Whether the rows contain the results of each second.
    pub seconds: bool,
    /// Whether the progress bar on standard error is hidden.
    pub quiet: bool,
}

/// Runs all jobs on all cores and returns their rows in the order of the jobs. With a file, rows that it holds are
/// taken from it, and each new row is appended to it as soon as its run ends.
///
/// # Errors
///
/// Returns an error if the file cannot be used or a run fails.
pub fn series(jobs: &[Job], file: Option<&Path>, keep: Keep) -> Result<Vec<Row>, SeriesError> {
    let mut done: HashMap<String, Row> = HashMap::new();
    let mut out = None;
    if let Some(path) = file {
        let name = path.display().to_string();
        let file_error = |e| SeriesError::File(name.clone(), e);
        let mut complete_length = 0;
        if path.exists() {
            let (rows, end) = read(path)?;
            complete_length = end;
            done = rows.into_iter().map(|r| (r.key.clone(), r)).collect();
        }
        let mut results_file =
            OpenOptions::new().create(true).truncate(false).write(true).open(path).map_err(file_error)?;
        // Cuts off an incomplete line, left by a series that was stopped while writing.
        results_file.set_len(complete_length).map_err(file_error)?;
        results_file.seek(SeekFrom::End(0)).map_err(file_error)?;
        out = Some(Mutex::new(results_file));
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
        let outcome = play(&job.experiment, job.policy, job.seed, RunOptions::default());
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
