//! Text tables of outcomes, comparisons and explanations.

use crate::meter::{Outcome, Worth};
use crate::results::Row;
use crate::stats::{Mean, Verdict};
use comfy_table::{presets, CellAlignment, Table};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

fn table(head: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(head.iter().copied());
    for at in 1..head.len() {
        if let Some(column) = table.column_mut(at) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    table
}

fn part(v: f64) -> String {
    format!("{v:.3}")
}

fn ms(v: f64) -> String {
    if v < 100.0 {
        format!("{v:.1}")
    } else {
        format!("{v:.0}")
    }
}

/// Formats the outcome of one run.
pub fn outcome(o: &Outcome) -> String {
    let mut out = format!("{}  policy {}  seed {}\n\n", o.experiment, o.policy, o.seed);
    let l = &o.latency_ms;
    let _ = writeln!(
        out,
        "goal {:.3}: whole {:.3}, worst 10 s {:.3}, worst class {:.3}, worst tenant {:.3}",
        o.goal, o.whole, o.worst_window, o.worst_class, o.worst_tenant
    );
    let _ = writeln!(
        out,
        "served {:.4} of the calls; latency ms: mean {} p50 {} p90 {} p99 {} p99.9 {} max {}",
        o.served_share,
        ms(l.mean),
        ms(l.p50),
        ms(l.p90),
        ms(l.p99),
        ms(l.p999),
        ms(l.max)
    );
    // Runs on sockets have no observer, so their request counts and rules are not shown.
    let emulated = o.events > 0;
    if emulated {
        let r = &o.requests;
        let _ = writeln!(
            out,
            "requests at sidecars: {} taken, {} served, {} refused, {} failed, {} given up, {} lost; {} attempts sent, \
             {} begun",
            r.taken, r.served, r.refused, r.failed, r.gone, r.lost, r.sent, r.begun
        );
    }
    let mut classes = table(&["class", "calls", "asked", "earned", "share", "p50 ms", "p99 ms"]);
    for (name, (worth, l)) in &o.classes {
        classes.add_row([
            name.clone(),
            worth.calls.to_string(),
            format!("{:.0}", worth.asked),
            format!("{:.0}", worth.earned),
            part(worth.share()),
            ms(l.p50),
            ms(l.p99),
        ]);
    }
    let _ = writeln!(out, "\n{classes}");
    if !o.lost.is_empty() {
        let _ = writeln!(out, "\n{}", lost(o));
    }
    if emulated && o.broken.is_empty() {
        out.push_str("\nrules: all held\n");
    } else if emulated {
        let broken: Vec<String> = o.broken.iter().map(|(rule, n)| format!("{rule} {n} times")).collect();
        let _ = writeln!(out, "\nrules BROKEN: {}", broken.join(", "));
    }
    out
}

fn lost(o: &Outcome) -> Table {
    let asked: f64 = o.classes.values().map(|c| c.0.asked).sum();
    let mut rows: Vec<_> = o.lost.iter().collect();
    rows.sort_by(|a, b| b.1.total_cmp(a.1));
    let mut lost = table(&["lost to", "worth", "of all"]);
    for (cause, worth) in rows {
        lost.add_row([
            cause.words().to_owned(),
            format!("{worth:.0}"),
            format!("{:.1}%", 100.0 * worth / asked.max(1e-9)),
        ]);
    }
    lost
}

/// Formats an explanation of where a run lost worth: by cause, class, tenant, time and node.
pub fn explain(o: &Outcome) -> String {
    let mut out = format!("{}  policy {}  seed {}\n", o.experiment, o.policy, o.seed);
    let asked: f64 = o.classes.values().map(|c| c.0.asked).sum();
    let earned: f64 = o.classes.values().map(|c| c.0.earned).sum();
    let all = asked - earned;
    let _ = writeln!(
        out,
        "earned {:.1}% of {asked:.0} worth asked for; {all:.0} lost\n\n{}",
        100.0 * earned / asked.max(1e-9),
        lost(o)
    );
    let mut classes = table(&["class", "lost", "of what it asked", "mostly"]);
    for (name, (worth, _)) in &o.classes {
        let causes = o.lost_by_class.get(name);
        let most = causes.and_then(|c| c.iter().max_by(|a, b| a.1.total_cmp(b.1)));
        classes.add_row([
            name.clone(),
            format!("{:.0}", worth.asked - worth.earned),
            format!("{:.1}%", 100.0 * (1.0 - worth.share())),
            most.map_or(String::new(), |(cause, w)| format!("{} ({w:.0})", cause.words())),
        ]);
    }
    let _ = writeln!(out, "\n{classes}");
    if !o.tenants.is_empty() {
        let mut tenants = table(&["tenant", "lost", "of what it asked"]);
        let mut rows: Vec<(&String, &Worth)> = o.tenants.iter().collect();
        rows.sort_by(|a, b| a.1.share().total_cmp(&b.1.share()));
        for (name, worth) in rows {
            tenants.add_row([
                name.clone(),
                format!("{:.0}", worth.asked - worth.earned),
                format!("{:.1}%", 100.0 * (1.0 - worth.share())),
            ]);
        }
        let _ = writeln!(out, "\n{tenants}");
    }
    if !o.seconds.is_empty() {
        let mut worst: Vec<(usize, f64)> = o
            .seconds
            .chunks(5)
            .enumerate()
            .map(|(n, c)| (n * 5, c.iter().map(|s| s.worth.asked - s.worth.earned).sum()))
            .filter(|(_, lost)| *lost > 0.0)
            .collect();
        worst.sort_by(|a, b| b.1.total_cmp(&a.1));
        let mut times = table(&["from s", "lost", "of all lost", "p99 ms"]);
        for (from, lost) in worst.into_iter().take(6) {
            let here = &o.seconds[from..(from + 5).min(o.seconds.len())];
            let p99 = here.iter().map(|s| s.p99).fold(0.0, f64::max);
            times.add_row([
                format!("{from}"),
                format!("{lost:.0}"),
                format!("{:.1}%", 100.0 * lost / all.max(1e-9)),
                ms(p99),
            ]);
        }
        let _ = writeln!(out, "\n{times}");
    }
    if !o.nodes.is_empty() {
        let mut busy: Vec<(&crate::meter::NodeLoad, f64, u32)> = o
            .nodes
            .iter()
            .map(|n| {
                let mean = n.util.iter().sum::<f32>() / n.util.len().max(1) as f32;
                (n, f64::from(mean), n.held.iter().copied().max().unwrap_or(0))
            })
            .collect();
        busy.sort_by(|a, b| b.2.cmp(&a.2).then(b.1.total_cmp(&a.1)).then(a.0.node.cmp(&b.0.node)));
        let mut nodes = table(&["node", "tier", "kind", "busy", "held at most"]);
        for (n, mean, held) in busy.into_iter().take(6) {
            nodes.add_row([
                n.node.to_string(),
                n.tier.clone(),
                n.kind.clone(),
                format!("{:.0}%", 100.0 * mean),
                held.to_string(),
            ]);
        }
        let _ = writeln!(out, "\nnodes that held most\n{nodes}");
    }
    out
}

/// Result of a policy compared with the baseline policy in one experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Compared {
    /// Name of the experiment.
    pub experiment: String,
    /// Name of the policy.
    pub policy: String,
    /// Goal of the policy, averaged over the seeds.
    pub goal: Mean,
    /// 99th percentile of latency in ms, averaged over the seeds.
    pub p99_ms: f64,
    /// Number of runs in which a rule was violated.
    pub broken_runs: usize,
    /// The baseline's goal minus the policy's, paired by seed.
    pub difference: Mean,
    /// Whether the baseline is better or worse than the policy.
    pub verdict: Verdict,
}

/// Compares all policies with a baseline for each experiment, paired by seed. Experiments without runs of the baseline
/// are left out.
pub fn compared(rows: &[Row], baseline: &str) -> Vec<Compared> {
    let mut by: BTreeMap<(&str, &str), BTreeMap<u64, &Outcome>> = BTreeMap::new();
    let mut order: Vec<&str> = Vec::new();
    for o in rows.iter().map(|r| &r.outcome) {
        by.entry((&o.experiment, &o.policy)).or_default().insert(o.seed, o);
        if !order.contains(&o.policy.as_str()) {
            order.push(&o.policy);
        }
    }
    let experiments: BTreeSet<&str> = by.keys().map(|k| k.0).collect();
    let mut all = Vec::new();
    for experiment in experiments {
        let Some(base) = by.get(&(experiment, baseline)) else { continue };
        for policy in &order {
            let Some(own) = by.get(&(experiment, policy)) else { continue };
            let goals: Vec<f64> = own.values().map(|o| o.goal).collect();
            let pairs = own.iter().filter_map(|(seed, o)| Some(base.get(seed)?.goal - o.goal));
            let difference = Mean::of(&pairs.collect::<Vec<_>>());
            all.push(Compared {
                experiment: experiment.to_owned(),
                policy: (*policy).to_owned(),
                goal: Mean::of(&goals),
                p99_ms: own.values().map(|o| o.latency_ms.p99).sum::<f64>() / own.len() as f64,
                broken_runs: own.values().filter(|o| !o.broken.is_empty()).count(),
                difference,
                verdict: Verdict::of(difference),
            });
        }
    }
    all
}

/// Formats a comparison as two tables: the goals, and the verdicts on the baseline.
pub fn comparison(all: &[Compared], baseline: &str) -> String {
    let mut policies: Vec<&str> = Vec::new();
    for c in all {
        if !policies.contains(&c.policy.as_str()) {
            policies.push(&c.policy);
        }
    }
    let experiments: BTreeSet<&str> = all.iter().map(|c| c.experiment.as_str()).collect();
    let find = |e: &str, p: &str| all.iter().find(|c| c.experiment == e && c.policy == p);
    let mut head = vec!["goal"];
    head.extend(&policies);
    let mut goals = table(&head);
    let mut verdicts =
        table(&head.iter().map(|h| if *h == "goal" { baseline } else { *h }).collect::<Vec<_>>());
    let mut tally: BTreeMap<&str, [usize; 3]> = BTreeMap::new();
    for e in experiments {
        let mut goal_row = vec![e.to_owned()];
        let mut verdict_row = vec![e.to_owned()];
        for p in &policies {
            let Some(c) = find(e, p) else {
                goal_row.push("-".to_owned());
                verdict_row.push("-".to_owned());
                continue;
            };
            let broken = if c.broken_runs > 0 { format!(" !{}", c.broken_runs) } else { String::new() };
            goal_row.push(format!("{:.3}{broken}", c.goal.mean));
            verdict_row.push(if *p == baseline {
                String::new()
            } else {
                let sign = match c.verdict {
                    Verdict::Better => "won",
                    Verdict::Worse => "lost",
                    Verdict::NoDifference => "even",
                };
                let counts = tally.entry(p).or_default();
                counts[c.verdict as usize] += 1;
                format!("{sign} {:+.3}±{:.3}", c.difference.mean, c.difference.half)
            });
        }
        goals.add_row(goal_row);
        verdicts.add_row(verdict_row);
    }
    let mut out = format!("{goals}\n\n!n: a rule was broken in n runs\n");
    if policies.len() > 1 {
        let _ = writeln!(
            out,
            "\n{baseline} against each, goal difference paired by seed, 95% interval\n{verdicts}\n"
        );
        for (p, [won, lost, even]) in tally {
            let _ = writeln!(out, "against {p}: won {won}, lost {lost}, no difference {even}");
        }
    }
    out
}

/// Formats a sweep as a table with a row for each setting and policy.
pub fn sweep(rows: &[Row]) -> String {
    let mut groups: Vec<(String, &str, Vec<&Outcome>)> = Vec::new();
    for row in rows {
        let set: Vec<String> = row.set.iter().map(|(k, v)| format!("{k}={v}")).collect();
        let set = set.join(" ");
        match groups.iter_mut().find(|g| g.0 == set && g.1 == row.outcome.policy) {
            Some(group) => group.2.push(&row.outcome),
            None => groups.push((set, &row.outcome.policy, vec![&row.outcome])),
        }
    }
    let mut out = table(&["setting", "policy", "goal", "±", "served", "p50 ms", "p99 ms", "broken"]);
    for (set, policy, outcomes) in groups {
        let goal = Mean::of(&outcomes.iter().map(|o| o.goal).collect::<Vec<_>>());
        let mean =
            |f: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(|o| f(o)).sum::<f64>() / outcomes.len() as f64;
        out.add_row([
            set,
            policy.to_owned(),
            part(goal.mean),
            if goal.half.is_finite() { part(goal.half) } else { "-".to_owned() },
            part(mean(&|o| o.served_share)),
            ms(mean(&|o| o.latency_ms.p50)),
            ms(mean(&|o| o.latency_ms.p99)),
            outcomes.iter().filter(|o| !o.broken.is_empty()).count().to_string(),
        ]);
    }
    format!("{out}\n")
}

/// Formats theoretical and simulated values side by side.
pub fn theory(points: &[crate::theory::Point]) -> String {
    let mut out = table(&[
        "system",
        "load",
        "mean: theory",
        "emulated",
        "error",
        "p99: theory",
        "emulated",
        "error",
        "calls",
    ]);
    for p in points {
        out.add_row([
            p.system.name(),
            format!("{:.2}", p.load),
            format!("{:.3}", p.expected),
            format!("{:.3}", p.emulated),
            format!("{:+.2}%", 100.0 * p.error()),
            p.expected_p99.map_or("-".to_owned(), |e| format!("{e:.2}")),
            p.expected_p99.map_or("-".to_owned(), |_| format!("{:.2}", p.emulated_p99)),
            p.error_p99().map_or("-".to_owned(), |e| format!("{:+.2}%", 100.0 * e)),
            p.calls.to_string(),
        ]);
    }
    format!("{out}\n")
}

/// Formats the simulated run and the one on sockets side by side.
pub fn calibration(both: &crate::sockets::bench::Calibration) -> String {
    let (a, b) = (&both.emulated, &both.sockets);
    let mut out = table(&["", "emulated", "sockets", "difference"]);
    let mut row = |name: &str, a: f64, b: f64, relative: bool| {
        let difference = if relative {
            format!("{:+.1}%", 100.0 * (b / a.max(1e-9) - 1.0))
        } else {
            format!("{:+.4}", b - a)
        };
        let text = |v: f64| if relative { ms(v) } else { format!("{v:.4}") };
        out.add_row([name.to_owned(), text(a), text(b), difference]);
    };
    row("served", a.served_share, b.served_share, false);
    row("goal", a.goal, b.goal, false);
    row("mean ms", a.latency_ms.mean, b.latency_ms.mean, true);
    row("p50 ms", a.latency_ms.p50, b.latency_ms.p50, true);
    row("p90 ms", a.latency_ms.p90, b.latency_ms.p90, true);
    row("p99 ms", a.latency_ms.p99, b.latency_ms.p99, true);
    format!("{}, one tier, seed {}\n\n{out}\n", a.experiment, a.seed)
}

/// Formats the rounds of a throughput measurement with the sidecar, a bare relay, and no relay.
pub fn floor(all: &[crate::sockets::bench::Round], nodes: usize, callers: usize) -> String {
    use crate::sockets::bench::Between;
    let mut out = table(&["between", "requests/s", "others", "CPU us each", "p50 us", "p99 us"]);
    for r in all {
        out.add_row([
            format!("{:?}", r.between).to_lowercase(),
            format!("{:.0}", r.per_second),
            r.others.to_string(),
            r.cpu_us.map_or("-".to_owned(), |c| format!("{c:.1}")),
            r.p50_us.to_string(),
            r.p99_us.to_string(),
        ]);
    }
    let mean = |b: Between| {
        let of: Vec<f64> = all.iter().filter(|r| r.between == b).map(|r| r.per_second).collect();
        of.iter().sum::<f64>() / of.len().max(1) as f64
    };
    let share = |a: Between, b: Between| mean(a) / mean(b).max(1e-9);
    let summary = match all.iter().any(|r| r.between == Between::Member) {
        true => {
            let share = share(Between::Member, Between::Sidecar);
            format!("with the fleet the sidecar carries {share:.3} of what it carries without")
        }
        false => {
            format!("the sidecar carries {:.2} of the bare relay", share(Between::Sidecar, Between::Floor))
        }
    };
    format!("{nodes} nodes, {callers} callers\n\n{out}\n\n{summary}\n")
}
