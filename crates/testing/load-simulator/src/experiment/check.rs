//! Checks of an experiment: one that cannot be run would never end or say nothing.

use super::*;

pub(super) type Check = Result<(), (String, String)>;

fn must(right: bool, path: impl Into<String>, problem: impl Into<String>) -> Check {
    if right {
        Ok(())
    } else {
        Err((path.into(), problem.into()))
    }
}

impl Experiment {
    /// Checks that the experiment can be run: a run of one that cannot would never end or say nothing.
    pub(super) fn check(&self) -> Check {
        let span = |path: &str, v: f64| {
            must(v.is_finite() && v >= 0.0, path, format!("should be finite and not negative, is {v}"))
        };
        let part =
            |path: &str, v: f64| must((0.0..=1.0).contains(&v), path, format!("should be 0 to 1, is {v}"));
        let above = |path: &str, v: f64| {
            must(v.is_finite() && v > 0.0, path, format!("should be finite and above 0, is {v}"))
        };
        let range = |path: &str, v: [f64; 2]| {
            must(
                v.iter().all(|v| v.is_finite() && *v >= 0.0) && v[0] <= v[1],
                path,
                format!("should be [low, high], both not negative, is {v:?}"),
            )
        };
        must(
            (0.0..=86_400.0).contains(&self.length_s) && self.length_s > 0.0,
            "length_s",
            format!("should be above 0 and at most 86400, is {}", self.length_s),
        )?;
        must(
            (0.0..self.length_s).contains(&self.warm_up_s),
            "warm_up_s",
            format!("should be under length_s, is {}", self.warm_up_s),
        )?;
        above("scale", self.scale)?;
        if self.load.captured.is_none() {
            above("load.rate", self.load.rate)?;
        }
        part("load.swing", self.load.swing)?;
        above("load.period_s", self.load.period_s)?;
        must(self.callers.retries <= 100, "callers.retries", "should be at most 100")?;
        span("callers.wait_ms", self.callers.wait_ms)?;
        part("callers.follow_advice", self.callers.follow_advice)?;
        range("callers.patience", self.callers.patience)?;
        must(
            self.callers.patience[0] > 0.0 && self.callers.patience[1] <= 1.0,
            "callers.patience",
            "should lie above 0 and at most at 1",
        )?;
        span("callers.front_notice_s", self.callers.front_notice_s)?;
        span("network.one_way_ms", self.network.one_way_ms)?;
        span("network.jitter", self.network.jitter)?;
        span("network.cross_zone_ms", self.network.cross_zone_ms)?;
        must((1..=64).contains(&self.network.zones), "network.zones", "should be 1 to 64")?;
        range("discovery.notice_s", self.discovery.notice_s)?;
        span("discovery.call_ms", self.discovery.call_ms)?;
        above("discovery.timeout_ms", self.discovery.timeout_ms)?;
        above("discovery.watch_s", self.discovery.watch_s)?;
        must((1..=16).contains(&self.limits.attempts), "limits.attempts", "should be 1 to 16")?;
        span("limits.retry_after_s", self.limits.retry_after_s)?;
        above("limits.connect_timeout_ms", self.limits.connect_timeout_ms)?;
        above("limits.conn_idle_s", self.limits.conn_idle_s)?;
        above("limits.tick_ms", self.limits.tick_ms)?;
        span("rules.answer_slack_ms", self.rules.answer_slack_ms)?;
        span("rules.drain_grace_s", self.rules.drain_grace_s)?;
        above("rules.overload_factor", self.rules.overload_factor)?;
        above("rules.fall_s", self.rules.fall_s)?;
        must(!self.tier.is_empty(), "tier", "there should be at least one [[tier]]")?;
        must(self.tier.len() <= 8, "tier", "there should be at most 8")?;
        let mut nodes = 0.0;
        for (t, tier) in self.tier.iter().enumerate() {
            let at = |key: &str| format!("tier[{t}].{key}");
            must((1..=100_000).contains(&tier.sidecars), at("sidecars"), "should be 1 to 100000")?;
            span(&at("work"), tier.work)?;
            range(&at("calls"), tier.calls)?;
            must(tier.calls[1] <= 64.0, at("calls"), "should be at most 64")?;
            above(&at("report.period_ms"), tier.report.period_ms)?;
            span(&at("report.delay_ms"), tier.report.delay_ms)?;
            span(&at("report.noise"), tier.report.noise)?;
            part(&at("report.missing"), tier.report.missing)?;
            let count: usize = tier.kind.iter().map(|k| k.count).sum();
            must(
                count > 0,
                at("kind"),
                "the tier has no nodes; a [[tier.kind]] with a count above 0 is needed",
            )?;
            nodes += count as f64 * self.scale;
            for (k, kind) in tier.kind.iter().enumerate() {
                let at = |key: &str| format!("tier[{t}].kind[{k}].{key}");
                must((1..=1024).contains(&kind.cores), at("cores"), "should be 1 to 1024")?;
                above(&at("speed"), kind.speed)?;
                part(&at("speed_spread"), kind.speed_spread)?;
                must(kind.slots >= 1, at("slots"), "should be at least 1")?;
                span(&at("crowd_at"), kind.crowd_at)?;
                span(&at("crowd_cost"), kind.crowd_cost)?;
                must(
                    kind.cold_from > 0.0 && kind.cold_from <= 1.0,
                    at("cold_from"),
                    "should be above 0, up to 1",
                )?;
                span(&at("cold_s"), kind.cold_s)?;
                part(&at("error_rate"), kind.error_rate)?;
                must(kind.connections >= 1, at("connections"), "should be at least 1")?;
                span(&at("handshake_ms"), kind.handshake_ms)?;
                span(&at("handshake_trips"), kind.handshake_trips)?;
                span(&at("probe_ms"), kind.probe_ms)?;
                if let Some(jam) = &kind.jam {
                    let at = |key: &str| at(&format!("jam.{key}"));
                    above(&at("at"), jam.at)?;
                    span(&at("over_s"), jam.over_s)?;
                    must(jam.slower >= 1.0 && jam.slower.is_finite(), at("slower"), "should be at least 1")?;
                    span(&at("below"), jam.below)?;
                    span(&at("rest_s"), jam.rest_s)?;
                    above(&at("most_s"), jam.most_s)?;
                }
            }
        }
        must(
            nodes <= MOST_NODES as f64,
            "tier",
            format!("there should be at most {MOST_NODES} nodes, are {nodes}"),
        )?;
        must(!self.class.is_empty(), "class", "there should be at least one [[class]]")?;
        for (c, class) in self.class.iter().enumerate() {
            let at = |key: &str| format!("class[{c}].{key}");
            span(&at("share"), class.share)?;
            above(&at("work_ms"), class.work_ms)?;
            span(&at("cv"), class.cv)?;
            span(&at("attempt_noise"), class.attempt_noise)?;
            above(&at("aim_s"), class.aim_s)?;
            above(&at("deadline_s"), class.deadline_s)?;
            must(class.deadline_s <= 600.0, at("deadline_s"), "should be at most 600")?;
            span(&at("worth"), class.worth)?;
        }
        must(self.class.iter().any(|c| c.share > 0.0), "class[0].share", "all shares are 0")?;
        for (n, tenant) in self.tenant.iter().enumerate() {
            let at = |key: &str| format!("tenant[{n}].{key}");
            span(&at("share"), tenant.share)?;
            must(tenant.allowance_per_s >= 0.0, at("allowance_per_s"), "should not be negative")?;
            part(&at("over_worth"), tenant.over_worth)?;
        }
        must(
            self.tenant.is_empty() || self.tenant.iter().any(|t| t.share > 0.0),
            "tenant[0].share",
            "all shares are 0",
        )?;
        for (n, trouble) in self.trouble.iter().enumerate() {
            let at = |key: &str| format!("trouble[{n}].{key}");
            span(&at("from_s"), trouble.from_s)?;
            span(&at("for_s"), trouble.for_s)?;
            part(&at("part"), trouble.part)?;
            if let Some(size) = trouble.size {
                span(&at("size"), size)?;
            }
            must(
                trouble.kind != TroubleKind::Slow || trouble.size() >= 1.0,
                at("size"),
                "a slow node should be at least 1 times slower",
            )?;
            if let Some(name) = &trouble.tier {
                self.named(name, self.tier.iter().map(|t| &t.name), &at("tier"))?;
            }
            if let Some(name) = &trouble.class {
                self.named(name, self.class.iter().map(|c| &c.name), &at("class"))?;
            }
            must(trouble.zone < self.network.zones, at("zone"), "there is no such zone")?;
        }
        let goal = &self.goal;
        for (key, v) in [("whole", goal.whole), ("worst_window", goal.worst_window)] {
            span(&format!("goal.{key}"), v)?;
        }
        for (key, v) in [("worst_class", goal.worst_class), ("worst_tenant", goal.worst_tenant)] {
            span(&format!("goal.{key}"), v)?;
        }
        above("goal", goal.whole + goal.worst_window + goal.worst_class + goal.worst_tenant)
    }

    fn named<'a>(&self, name: &str, names: impl Iterator<Item = &'a String>, path: &str) -> Check {
        let names: Vec<&String> = names.collect();
        let nearest = names
            .iter()
            .max_by(|a, b| strsim::jaro_winkler(name, a).total_cmp(&strsim::jaro_winkler(name, b)));
        let hint = nearest.map_or(String::new(), |n| format!("; the nearest name is `{n}`"));
        must(names.iter().any(|n| *n == name), path, format!("there is no `{name}`{hint}"))
    }
}
