//! The `fault-injection` commands.

use super::*;

pub(super) fn inject_leases(
    seed: u64,
    seconds: f64,
    voters: usize,
    holders: usize,
    named: Option<PathBuf>,
) -> Result<(), Failure> {
    let simulator = std::env::current_exe().map_err(|e| Failure(1, e.to_string()))?;
    let command = [&simulator.to_string_lossy(), "fault-injection", "act"].map(str::to_owned).to_vec();
    let plan = processes::Plan { program: program(named)?, command, voters, holders, seconds, seed };
    let outcome = processes::play(&plan, &*stop_flag()?).map_err(|e| Failure(1, e))?;
    let (acts, refused) = outcome.acts;
    print(&format!(
        "seed={seed} voters={voters} holders={holders} seconds={seconds} faults={} replaced={} grants={} acts={acts} \
         refused_as_older={refused} violations={}\n",
        outcome.faults.len(),
        outcome.replaced,
        outcome.grants,
        outcome.violations.len()
    ))?;
    if outcome.violations.is_empty() {
        return Ok(());
    }
    let violations: Vec<String> = outcome.violations.iter().take(5).map(ToString::to_string).collect();
    Err(Failure(1, format!("{}\nfaults:\n{}", violations.join("\n"), outcome.faults.join("\n"))))
}

pub(super) fn inject_crowd(plan: &crowd::Plan) -> Result<(), Failure> {
    let outcome = crowd::play(plan, &*stop_flag()?).map_err(|e| Failure(1, e))?;
    let crowd::Plan { voters, clients, leases, seconds, grants, .. } = plan;
    let (p50, p99, max) = outcome.grant_ms;
    let list = |values: Vec<String>| values.join(",");
    print(&format!(
        "voters={voters} clients={clients} leases={leases} seconds={seconds} grants={grants} grant_p50_ms={p50:.2} \
         grant_p99_ms={p99:.2} grant_max_ms={max:.2} all_held_s={:.2} cores={} loopback_bytes_per_s={:.0} \
         rss_mib={} lost={} after_kill_s={} lost_to_kills={}\n",
        outcome.all_held,
        list(outcome.cores.iter().map(|c| format!("{c:.3}")).collect()),
        outcome.bytes,
        list(outcome.memory.iter().map(|(a, b)| format!("{a:.1}..{b:.1}")).collect()),
        outcome.lost,
        list(outcome.after_kill.iter().map(|s| format!("{s:.2}")).collect()),
        outcome.lost_to_kills
    ))
}

pub(super) fn inject_timed(
    seed: u64,
    histories: u64,
    clients: usize,
    mutant: Option<&str>,
) -> Result<(), Failure> {
    let named = |name: &str| Mutant::ALL.into_iter().find(|m| format!("{m:?}").eq_ignore_ascii_case(name));
    let known = || Mutant::ALL.map(|m| format!("{m:?}")).join(", ");
    let mutant = match mutant {
        Some(name) => Some(named(name).ok_or_else(|| {
            Failure(2, format!("--mutant: unknown mutant '{name}', expected one of {}", known()))
        })?),
        None => None,
    };
    let started_at = Instant::now();
    let summary = timed::play_many(seed..seed + histories, clients.max(1), mutant);
    let timed::Summary { faults, grants, effects, .. } = summary;
    print(&format!(
        "histories={} violated={} faults={faults} grants={grants} effects={effects} seconds={:.1}\n",
        summary.played,
        summary.violated,
        started_at.elapsed().as_secs_f64()
    ))?;
    let Some((seed, outcome)) = summary.first_violation else { return Ok(()) };
    let violations: Vec<String> = outcome.violations.iter().map(ToString::to_string).collect();
    Err(Failure(1, format!("seed {seed}: {}\nfaults:\n{}", violations.join("\n"), outcome.faults.join("\n"))))
}
