//! Plays one case of the review: `review-case NAME FOLDER`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case couldn't run. `TROUBLE=0` leaves the disruption out.

mod drain;
mod endpoint;
mod fleet;
mod http;
mod keys;
mod record;
mod twice;

use record::Record;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

/// Whether the rule was broken.
pub type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder] = arguments.as_slice() else {
        eprintln!("usage: review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match play(name, &PathBuf::from(folder), trouble) {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("the case couldn't run: {problem}");
            ExitCode::from(2)
        }
    }
}

fn play(name: &str, folder: &PathBuf, trouble: bool) -> Verdict {
    let record = Arc::new(Record::create(folder)?);
    record.line(&format!(
        "case {name}, {}",
        if trouble { "with the disruption" } else { "without the disruption" }
    ));
    let broken = match name {
        "drain" => drain::play(&record, trouble)?,
        "keys" => keys::play(&record, trouble)?,
        "twice" => twice::play(&record, trouble)?,
        other => return Err(format!("unknown case {other}")),
    };
    record.say(if broken { "RULE BROKEN" } else { "the rule held" });
    Ok(broken)
}
