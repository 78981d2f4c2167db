//! Validation of experiments. A run of an invalid one might never end or give no results.

use super::*;

pub(super) type Check = Result<(), (String, String)>;

fn ensure(condition: bool, path: impl Into<String>, problem: impl Into<String>) -> Check {
    if condition {
        Ok(())
    } else {
        Err((path.into(), problem.into()))
    }
}

impl Experiment {
    /// Checks that the experiment can be run. Returns the path of the first invalid key and the problem.
    pub(super) fn check(&self) -> Check {
        let not_negative = |path: &str, v: f64| {
            ensure(v.is_finite() && v >= 0.0, path, format!("should be finite and not negative, is {v}"))
        };
        let fraction =
            |path: &str, v: f64| ensure((0.0..=1.0).contains(&v), path, format!("should be 0 to 1, is {v}"));
        let positive = |path: &str, v: f64| {
            ensure(v.is_finite() && v > 0.0, path, format!("should be finite and above 0, is {v}"))
        };
        let range = |path: &str, v: [f64; 2]| {
            ensure(
                v.iter().all(|v| v.is_finite() && *v >= 0.0) && v[0] <= v[1],
                path,
                format!("should be [low, high], both not negative, is {v:?}"),
            )
        };
        ensure(
            (0.0..=86_400.0).contains(&self.length_s) && self.length_s > 0.0,
            "length_s",
            format!("should be above 0 and at most 86400, is {}", self.length_s),
        )?;
        ensure(
            (0.0..self.length_s).contains(&self.warm_up_s),
            "warm_up_s",
            format!("should be under length_s, is {}", self.warm_up_s),
        )?;
        positive("scale", self.scale)?;
        if self.load.captured.is_none() {
            positive("load.rate", self.load.rate)?;
        }
        fraction("load.swing", self.load.swing)?;
        positive("load.period_s", self.load.period_s)?;
        ensure(self.callers.retries <= 100, "callers.retries", "should be at most 100")?;
        not_negative("callers.wait_ms", self.callers.wait_ms)?;
        fraction("callers.follow_advice", self.callers.follow_advice)?;
        range("callers.patience", self.callers.patience)?;
        ensure(
            self.callers.patience[0] > 0.0 && self.callers.patience[1] <= 1.0,
            "callers.patience",
            "should lie above 0 and at most at 1",
        )?;
        not_negative("callers.front_notice_s", self.callers.front_notice_s)?;
        not_negative("network.one_way_ms", self.network.one_way_ms)?;
        not_negative("network.jitter", self.network.jitter)?;
        not_negative("network.cross_zone_ms", self.network.cross_zone_ms)?;
        ensure((1..=64).contains(&self.network.zones), "network.zones", "should be 1 to 64")?;
        range("discovery.notice_s", self.discovery.notice_s)?;
        not_negative("discovery.call_ms", self.discovery.call_ms)?;
        positive("discovery.timeout_ms", self.discovery.timeout_ms)?;
        positive("discovery.watch_s", self.discovery.watch_s)?;
        ensure((1..=16).contains(&self.limits.attempts), "limits.attempts", "should be 1 to 16")?;
        not_negative("limits.retry_after_s", self.limits.retry_after_s)?;
        positive("limits.connect_timeout_ms", self.limits.connect_timeout_ms)?;
        positive("limits.conn_idle_s", self.limits.conn_idle_s)?;
        positive("limits.tick_ms", self.limits.tick_ms)?;
        not_negative("rules.answer_slack_ms", self.rules.answer_slack_ms)?;
        not_negative("rules.drain_grace_s", self.rules.drain_grace_s)?;
        positive("rules.overload_factor", self.rules.overload_factor)?;
        positive("rules.fall_s", self.rules.fall_s)?;
        ensure(!self.tier.is_empty(), "tier", "there should be at least one [[tier]]")?;
        ensure(self.tier.len() <= 8, "tier", "there should be at most 8")?;
        let mut nodes = 0.0;
        for (t, tier) in self.tier.iter().enumerate() {
            let at = |key: &str| format!("tier[{t}].{key}");
            ensure((1..=100_000).contains(&tier.sidecars), at("sidecars"), "should be 1 to 100000")?;
            not_negative(&at("work"), tier.work)?;
            range(&at("calls"), tier.calls)?;
            ensure(tier.calls[1] <= 64.0, at("calls"), "should be at most 64")?;
            positive(&at("report.period_ms"), tier.report.period_ms)?;
            not_negative(&at("report.delay_ms"), tier.report.delay_ms)?;
            not_negative(&at("report.noise"), tier.report.noise)?;
            fraction(&at("report.missing"), tier.report.missing)?;
            let count: usize = tier.kind.iter().map(|k| k.count).sum();
            ensure(
                count > 0,
                at("kind"),
                "the tier has no nodes; a [[tier.kind]] with a count above 0 is needed",
            )?;
            nodes += count as f64 * self.scale;
            for (k, kind) in tier.kind.iter().enumerate() {
                let at = |key: &str| format!("tier[{t}].kind[{k}].{key}");
                ensure((1..=1024).contains(&kind.cores), at("cores"), "should be 1 to 1024")?;
                positive(&at("speed"), kind.speed)?;
                fraction(&at("speed_spread"), kind.speed_spread)?;
                ensure(kind.slots >= 1, at("slots"), "should be at least 1")?;
                not_negative(&at("crowd_at"), kind.crowd_at)?;
                not_negative(&at("crowd_cost"), kind.crowd_cost)?;
                ensure(
                    kind.cold_from > 0.0 && kind.cold_from <= 1.0,
                    at("cold_from"),
                    "should be above 0, up to 1",
                )?;
                not_negative(&at("cold_s"), kind.cold_s)?;
                fraction(&at("error_rate"), kind.error_rate)?;
                ensure(kind.connections >= 1, at("connections"), "should be at least 1")?;
                not_negative(&at("handshake_ms"), kind.handshake_ms)?;
                not_negative(&at("handshake_trips"), kind.handshake_trips)?;
                not_negative(&at("probe_ms"), kind.probe_ms)?;
                if let Some(jam) = &kind.jam {
                    let at = |key: &str| at(&format!("jam.{key}"));
                    positive(&at("at"), jam.at)?;
                    not_negative(&at("over_s"), jam.over_s)?;
                    ensure(
                        jam.slower >= 1.0 && jam.slower.is_finite(),
                        at("slower"),
                        "should be at least 1",
                    )?;
                    not_negative(&at("below"), jam.below)?;
                    not_negative(&at("rest_s"), jam.rest_s)?;
                    positive(&at("most_s"), jam.most_s)?;
                }
            }
        }
        ensure(
            nodes <= MAX_NODES as f64,
            "tier",
            format!("there should be at most {MAX_NODES} nodes, are {nodes}"),
        )?;
        ensure(!self.class.is_empty(), "class", "there should be at least one [[class]]")?;
        for (c, class) in self.class.iter().enumerate() {
            let at = |key: &str| format!("class[{c}].{key}");
            not_negative(&at("share"), class.share)?;
            positive(&at("work_ms"), class.work_ms)?;
            not_negative(&at("cv"), class.cv)?;
            not_negative(&at("attempt_noise"), class.attempt_noise)?;
            positive(&at("aim_s"), class.aim_s)?;
            positive(&at("deadline_s"), class.deadline_s)?;
            ensure(class.deadline_s <= 600.0, at("deadline_s"), "should be at most 600")?;
            not_negative(&at("worth"), class.worth)?;
        }
        ensure(self.class.iter().any(|c| c.share > 0.0), "class[0].share", "all shares are 0")?;
        for (n, tenant) in self.tenant.iter().enumerate() {
            let at = |key: &str| format!("tenant[{n}].{key}");
            not_negative(&at("share"), tenant.share)?;
            ensure(tenant.allowance_per_s >= 0.0, at("allowance_per_s"), "should not be negative")?;
            fraction(&at("over_worth"), tenant.over_worth)?;
        }
        ensure(
            self.tenant.is_empty() || self.tenant.iter().any(|t| t.share > 0.0),
            "tenant[0].share",
            "all shares are 0",
        )?;
        for (n, trouble) in self.trouble.iter().enumerate() {
            let at = |key: &str| format!("trouble[{n}].{key}");
            not_negative(&at("from_s"), trouble.from_s)?;
            not_negative(&at("for_s"), trouble.for_s)?;
            fraction(&at("part"), trouble.part)?;
            if let Some(size) = trouble.size {
                not_negative(&at("size"), size)?;
            }
            ensure(
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
            ensure(trouble.zone < self.network.zones, at("zone"), "there is no such zone")?;
        }
        let goal = &self.goal;
        for (key, v) in [("whole", goal.whole), ("worst_window", goal.worst_window)] {
            not_negative(&format!("goal.{key}"), v)?;
        }
        for (key, v) in [("worst_class", goal.worst_class), ("worst_tenant", goal.worst_tenant)] {
            not_negative(&format!("goal.{key}"), v)?;
        }
        positive("goal", goal.whole + goal.worst_window + goal.worst_class + goal.worst_tenant)
    }

    fn named<'a>(&self, name: &str, names: impl Iterator<Item = &'a String>, path: &str) -> Check {
        let names: Vec<&String> = names.collect();
        let nearest = names
            .iter()
            .max_by(|a, b| strsim::jaro_winkler(name, a).total_cmp(&strsim::jaro_winkler(name, b)));
        let hint = nearest.map_or(String::new(), |n| format!("; the nearest name is `{n}`"));
        ensure(names.iter().any(|n| *n == name), path, format!("there is no `{name}`{hint}"))
    }
}
