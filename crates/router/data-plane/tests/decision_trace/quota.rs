//! History of token requests, grants, spending and expiry at `QuotaShares`.

use crate::support::{Digest, Draws};
use passrelay_data_plane::quota::{Grant, QuotaShares, TenantTokens, TokenRequest};
use rstest::rstest;
use std::time::Duration;

struct QuotaHistory {
    draws: Draws,
    digest: Digest,
    now: Duration,
    shares: QuotaShares,
    /// Client requests that wait for tokens: tenant and number of tokens.
    waiting: Vec<(u64, u64)>,
    /// Probability, in percent, that an attempt to answer a token request succeeds.
    answer_percent: u64,
    /// Unanswered token requests: request id and tokens wanted by each tenant.
    unanswered: Vec<(u64, Vec<TenantTokens>)>,
}

impl QuotaHistory {
    fn request_tokens(&mut self) {
        let Some(request) = self.shares.next_request(self.now) else { return };
        self.digest.number(request.request_id);
        let TokenRequest { wanted, overdrawn, .. } = request;
        for TenantTokens { tenant, tokens } in wanted.iter().chain(&overdrawn) {
            self.digest.number(*tenant);
            self.digest.number(*tokens);
        }
        self.digest.number(wanted.len() as u64);
        self.unanswered.push((request.request_id, wanted));
    }

    fn answer_request(&mut self) {
        if self.unanswered.is_empty() || !self.draws.percent(self.answer_percent) {
            return;
        }
        let index = self.draws.below(self.unanswered.len() as u64) as usize;
        let (request_id, wanted) = self.unanswered.swap_remove(index);
        let mut grants = Vec::new();
        for TenantTokens { tenant, tokens } in wanted {
            if self.draws.percent(90) {
                let granted = if self.draws.percent(60) { tokens * 2 } else { self.draws.below(tokens + 1) };
                grants.push(Grant { tenant, tokens: granted, reserve: self.draws.below(900) });
            }
        }
        self.shares.apply_grants(self.now, request_id, &grants);
    }

    fn advance_waiting(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        let index = self.draws.below(self.waiting.len() as u64) as usize;
        let (tenant, tokens) = self.waiting[index];
        let spent = self.shares.spend(self.now, tenant, tokens);
        self.digest.number(u64::from(spent.is_some()));
        if let Some(spent) = spent.filter(|_| self.draws.percent(10)) {
            self.shares.refund(self.now, tenant, spent);
        }
        if spent.is_some() || self.draws.percent(15) {
            self.waiting.swap_remove(index);
            self.shares.remove_demand(tenant, tokens);
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_micros(self.draws.below(15_000));
        // In 1 % of the steps, the grantor sends nothing for up to 3 s.
        if self.draws.percent(1) {
            self.now += Duration::from_millis(self.draws.below(3_000));
        }
        match self.draws.below(100) {
            0..=29 => {
                let tenant = self.draws.below(6);
                let tokens = self.draws.below(300);
                self.shares.add_demand(tenant, tokens);
                self.waiting.push((tenant, tokens));
            }
            30..=54 => self.request_tokens(),
            55..=69 => self.answer_request(),
            70..=98 => self.advance_waiting(),
            _ => {
                let dropped = self.draws.below(40);
                self.shares.retain(|tenant| tenant != dropped);
            }
        }
        let tenant = self.draws.below(7);
        let since = self.now.saturating_sub(Duration::from_millis(self.draws.below(400)));
        self.digest.number(u64::from(self.shares.is_exhausted_since(tenant, since)));
        self.digest.number(u64::from(self.shares.is_grantor_unreachable(tenant, self.now)));
    }
}

#[rstest]
#[case::grantor_answers(11, 100, 0xc482_227a_dfde_9cbf)]
#[case::some_answers_are_lost(12, 60, 0x03bc_cd47_df83_0087)]
#[case::grantor_is_mostly_silent(13, 5, 0x5415_6a4c_6fa9_ca7a)]
fn quota_decisions_match_the_recorded_digest(
    #[case] seed: u64,
    #[case] answer_percent: u64,
    #[case] expected: u64,
) {
    let mut history = QuotaHistory {
        draws: Draws(seed),
        digest: Digest::new(),
        now: Duration::ZERO,
        shares: QuotaShares::new(Duration::from_millis(1_500)),
        waiting: Vec::new(),
        answer_percent,
        unanswered: Vec::new(),
    };
    (0..40_000).for_each(|_| history.step());
    assert_eq!(history.digest.0, expected, "the new digest is 0x{:016x}", history.digest.0);
}
