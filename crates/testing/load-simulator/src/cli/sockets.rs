//! The commands that use sockets: fleets, loads and measurements.

use super::*;

/// Returns the named program or, by default, the passrelay program in this program's folder.
pub(super) fn program(named: Option<PathBuf>) -> Result<PathBuf, Failure> {
    if let Some(path) = named {
        return Ok(path);
    }
    let own = std::env::current_exe()
        .map_err(|e| Failure(1, format!("cannot determine the path of this program: {e}")))?;
    let path = own.with_file_name("passrelay");
    if path.is_file() {
        return Ok(path);
    }
    Err(Failure(1, format!("{}: not found; build it, or set --program", path.display())))
}

/// Returns a flag that SIGINT and SIGTERM set, so that started processes are ended.
pub(super) fn stop_flag() -> Result<Arc<AtomicBool>, Failure> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, stop.clone())
            .map_err(|e| Failure(1, format!("cannot register signal handlers: {e}")))?;
    }
    Ok(stop)
}

pub(super) fn demo(named: Option<PathBuf>) -> Result<(), Failure> {
    let e = Experiment::parse(include_str!("../../demo.toml"))?;
    let stop = stop_flag()?;
    print(&format!("{}. Half a minute; Ctrl-C ends it.\n", e.about))?;
    let show = |l: &Live| {
        let now = if (12.0..20.0).contains(&l.at_s) { "a node is down" } else { "" };
        live(l);
        eprint!("{now:16}");
    };
    let played = bench::on_sockets(&program(named)?, &e, e.seed, &stop, show);
    let (outcome, _) = played.map_err(|problem| Failure(1, problem))?;
    eprintln!();
    print(&tables::outcome(&outcome))
}

pub(super) fn fleet(
    file: &Path,
    seconds: f64,
    seed: Option<u64>,
    config: Option<&Path>,
) -> Result<(), Failure> {
    let e = bench::one_tier(&Experiment::read(file, &[])?, 0);
    let seed = seed.unwrap_or(e.seed);
    let stop = stop_flag()?;
    let fleet = Fleet::start(&e, 0, seed)
        .map_err(|e| Failure(1, format!("{}: the fleet cannot be started: {e}", file.display())))?;
    print(&format!("discovery {}\n", fleet.discovery))?;
    for (n, node) in fleet.nodes.iter().enumerate() {
        print(&format!("node s-{n} {node}\n"))?;
    }
    if let Some(path) = config {
        let listen = free_address().map_err(|e| Failure(1, format!("no free port: {e}")))?;
        let text = sidecar_config(&e, 0, listen, fleet.discovery, seed).to_string();
        std::fs::write(path, text).map_err(|e| Failure(1, format!("{}: {e}", path.display())))?;
        print(&format!("sidecar {listen} by {}\n", path.display()))?;
    }
    let began = Instant::now();
    while began.elapsed().as_secs_f64() < seconds && !stop.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(50));
    }
    let counts = &fleet.counts;
    let (begun, shed) = (counts.begun.load(Ordering::Relaxed), counts.shed.load(Ordering::Relaxed));
    print(&format!("{begun} requests worked on, {shed} turned away\n"))
}

pub(super) fn load(
    file: &Path,
    to: std::net::SocketAddr,
    seed: Option<u64>,
    as_json: bool,
) -> Result<(), Failure> {
    if !to.ip().is_loopback() {
        return Err(Failure(2, format!("--to {to}: load is put on addresses of loopback only")));
    }
    let e = Experiment::read(file, &[])?;
    let seed = seed.unwrap_or(e.seed);
    let stop = stop_flag()?;
    let mut load = Load::new(&e, to, seed).map_err(|problem| Failure(2, problem))?;
    let mut outcome = load.play(&stop, live).map_err(|e| Failure(1, e.to_string()))?;
    outcome.seed = seed;
    eprintln!("calls went out {:.1} ms late at the worst", 1e3 * load.live().late_s);
    print(&if as_json { json(&outcome)? } else { tables::outcome(&outcome) })
}

pub(super) fn live(l: &Live) {
    eprint!(
        "\r{:5.1} s  {} calls, {} served, {} refused, {} failed, {} open   ",
        l.at_s, l.calls, l.served, l.refused, l.failed, l.open
    );
}

pub(super) fn calibrate(
    file: &Path,
    named: Option<PathBuf>,
    seed: Option<u64>,
    set: &[String],
    as_json: bool,
) -> Result<(), Failure> {
    let e = Experiment::read(file, &pairs(set)?)?;
    let both = bench::calibrate(&program(named)?, &e, seed.unwrap_or(e.seed), live);
    let both = both.map_err(|problem| Failure(1, problem))?;
    eprintln!(
        "\rcalls went out {:.1} ms late at the worst                                ",
        1e3 * both.late_s
    );
    print(&if as_json { json(&both)? } else { tables::calibration(&both) })
}

pub(super) fn floor(
    named: Option<PathBuf>,
    fleet: Option<&Path>,
    nodes: usize,
    callers: usize,
    rounds: usize,
    seconds: f64,
    as_json: bool,
) -> Result<(), Failure> {
    if !(1..=400).contains(&nodes) || !(1..=400).contains(&callers) || !(0.1..=600.0).contains(&seconds) {
        return Err(Failure(2, "--nodes and --callers should be 1 to 400, --seconds 0.1 to 600".to_owned()));
    }
    let show = |r: &bench::Round| eprintln!("{:?}: {:.0} requests a second", r.between, r.per_second);
    let time = Duration::from_secs_f64(seconds);
    let all = bench::floor(&program(named)?, fleet, nodes, callers, rounds, time, show);
    let all = all.map_err(|e| Failure(1, e.to_string()))?;
    print(&if as_json { json(&all)? } else { tables::floor(&all, nodes, callers) })
}
