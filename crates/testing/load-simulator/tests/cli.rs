//! Tests of the simulator's program as a process: its output, exit codes and result files.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const SMALL: &str =
    "length_s = 6\n[load]\nrate = 20\n[[tier]]\nname = \"front\"\n[[tier.kind]]\nname = \"std\"\n\
                     count = 3\n[[class]]\nname = \"look\"\nwork_ms = 60\n";

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_passrelay-load-simulator")).args(arguments).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A file of this test's own.
fn file(name: &str, content: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).unwrap();
    path
}

#[test]
fn the_same_run_prints_the_same_bytes() {
    let path = file("same.toml", SMALL);
    let run = || lab(&["run", path.to_str().unwrap(), "--seed", "4", "--json", "--nodes", "--quiet"]);
    let first = run();
    assert!(first.status.success() && first.stderr.is_empty(), "{}", text(&first.stderr));
    assert_eq!(first.stdout, run().stdout);
    let other = lab(&["run", path.to_str().unwrap(), "--seed", "5", "--json", "--nodes", "--quiet"]);
    assert_ne!(first.stdout, other.stdout);
}

/// Guards against runs that hang or give no results because the experiment is invalid.
#[test]
fn invalid_experiments_are_reported_with_their_position() {
    let cases = [
        ("rate = 20", "rat = 20", ":3:1: unknown field `rat`", "did you mean `rate`?"),
        ("rate = 20", "rate = 0", ":3:1: load.rate", "above 0"),
        ("count = 3", "count = 0", ":6:8: tier[0].kind", "no nodes"),
        ("count = 3", "speed = 0", ":8:1: tier[0].kind[0].speed", "above 0"),
        ("count = 3", "count = three", ":8:", "expected"),
        ("work_ms = 60", "work_ms = -1", ":11:1: class[0].work_ms", "above 0"),
        ("length_s = 6", "length_s = 1e9", ":1:1: length_s", "at most 86400"),
    ];
    for (n, (from, to, place, problem)) in cases.into_iter().enumerate() {
        let path = file(&format!("faulty-{n}.toml"), &SMALL.replacen(from, to, 1));
        for command in ["check", "run"] {
            let out = lab(&[command, path.to_str().unwrap()]);
            let said = text(&out.stderr);
            assert_eq!(out.status.code(), Some(2), "{to}: {said}");
            assert!(said.contains(place) && said.contains(problem), "{to}: {said}");
        }
    }
    let set = lab(&["run", file("set.toml", SMALL).to_str().unwrap(), "--set", "tier.back.work=1"]);
    assert!(set.status.code() == Some(2) && text(&set.stderr).contains("there is no 'back' in 'tier'"));
}

/// Guards against a sweep that plays again what it has, or trips over the line that it was stopped in.
#[test]
fn a_sweep_goes_on_where_it_was_stopped() {
    let path = file("sweep.toml", SMALL);
    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join("sweep.jsonl");
    let _ = std::fs::remove_file(&out);
    let (path, out) = (path.to_str().unwrap(), out.to_str().unwrap());
    let sweep = || {
        lab(&["sweep", path, "--vary", "load.rate=10,30", "--seeds", "2", "--out", out, "--quiet", "--json"])
    };
    let first = sweep();
    assert!(first.status.success(), "{}", text(&first.stderr));
    let whole = std::fs::read_to_string(out).unwrap();
    assert_eq!(whole.lines().count(), 4);
    let lines: Vec<&str> = whole.lines().collect();
    // Two runs are there, the third was torn in the middle.
    std::fs::write(out, format!("{}\n{}\n{}", lines[0], lines[1], &lines[2][..50])).unwrap();
    let second = sweep();
    // Also to the last digit: what is read back from the file is what was written.
    assert!(first.stdout == second.stdout, "{}", text(&second.stderr));
    let again = std::fs::read_to_string(out).unwrap();
    assert!(again.starts_with(&format!("{}\n{}\n", lines[0], lines[1])) && again.lines().count() == 4);
    std::fs::write(out, format!("{}\nnonsense\n{}\n", lines[0], lines[1])).unwrap();
    let third = sweep();
    assert!(third.status.code() == Some(1) && text(&third.stderr).contains("sweep.jsonl:2:"));
}

#[test]
fn the_gallery_is_in_order() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../experiments");
    let list = lab(&["list", folder.to_str().unwrap()]);
    let said = text(&list.stdout);
    assert!(list.status.success() && said.contains("quito-calm.toml") && !said.contains("FAULTY"), "{said}");
}

#[test]
fn plots_are_written_as_their_ending_says() {
    let path = file("plot.toml", SMALL);
    let path = path.to_str().unwrap();
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    for (name, start) in [("plot.svg", &b"<svg"[..]), ("plot.png", &b"\x89PNG"[..])] {
        let out = folder.join(name);
        for kind in ["latency", "nodes"] {
            let done = lab(&["plot", kind, path, "--quiet", "-o", out.to_str().unwrap()]);
            assert!(done.status.success(), "{}", text(&done.stderr));
            assert!(std::fs::read(&out).unwrap().starts_with(start), "{name}");
        }
    }
    let bad = lab(&["plot", "latency", path, "--quiet", "-o", folder.join("plot.gif").to_str().unwrap()]);
    assert!(bad.status.code() == Some(1) && text(&bad.stderr).contains(".svg or .png"));
}

/// Guards against load on somebody else's machine.
#[test]
fn load_goes_to_loopback_only() {
    let path = file("load.toml", SMALL);
    let out = lab(&["load", path.to_str().unwrap(), "--to", "192.0.2.1:80"]);
    assert!(out.status.code() == Some(2) && text(&out.stderr).contains("loopback only"));
}

/// The stand-in nodes answer the load by themselves: all that the sockets need but the sidecar.
#[test]
fn a_fleet_answers_load_and_its_troubles_show() {
    use passrelay_load_simulator::experiment::Experiment;
    use passrelay_load_simulator::sockets::{fleet::Fleet, load::Load};
    use std::sync::atomic::{AtomicBool, Ordering};
    let calm = SMALL.replace("length_s = 6", "length_s = 1.5").replace("count = 3", "count = 1");
    let failing = format!("{calm}\n[[trouble]]\nkind = \"fail_fast\"\nfrom_s = 0\nfor_s = 60\nsize = 1\n");
    for (text, all) in [(&calm, true), (&failing, false)] {
        let e = Experiment::parse(text).unwrap();
        let fleet = Fleet::start(&e, 0, 1).unwrap();
        let mut load = Load::new(&e, fleet.nodes[0], 1).unwrap();
        let o = load.play(&AtomicBool::new(false), |_| ()).unwrap();
        let calls = o.classes["look"].0.calls;
        assert!(calls > 10 && fleet.counts.begun.load(Ordering::SeqCst) >= calls);
        assert!(if all { o.served_share == 1.0 } else { o.served_share < 0.2 }, "{}", o.served_share);
    }
}

// Guards against a word that people type and that a renaming takes from them.
#[test]
fn the_command_is_found_under_its_former_name() {
    let told = |word| lab(&[word, "timed", "--histories", "1", "--seed", "3"]);
    let (new, former) = (told("fault-injection"), told("siege"));
    assert!(new.status.success() && !new.stdout.is_empty(), "{}", text(&new.stderr));
    // All that the seed decides is the same; the last figure is the time that the machine took.
    let decided = |told: &std::process::Output| {
        let line = text(&told.stdout).to_string();
        let (figures, seconds) = line.rsplit_once(" seconds=").expect("the time comes last");
        assert!(seconds.trim().parse::<f64>().is_ok(), "{line}");
        figures.to_owned()
    };
    assert_eq!(decided(&new), decided(&former));
}
