//! The seam between the dispatcher and what decides.

use crate::api::{Action, Event, Settings, SettingsError};
use crate::state::Balancer;

/// Decides behind the dispatcher: takes events and returns actions. The sidecar's decider is [`Balancer`]; others may
/// take its place, for comparison, and get the same guarantees of one final answer.
pub trait Decider {
    /// Handles one event at time `now` and appends the resulting actions.
    fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>);

    /// Replaces the settings by those of a later generation; see [`Balancer::update_settings`]. By default they are ignored.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] when the settings can't be applied; nothing is changed then.
    fn update_settings(&mut self, _settings: &Settings) -> Result<(), SettingsError> {
        Ok(())
    }
}

impl Decider for Balancer {
    fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }

    fn update_settings(&mut self, settings: &Settings) -> Result<(), SettingsError> {
        Balancer::update_settings(self, settings.clone())
    }
}

impl<D: Decider + ?Sized> Decider for Box<D> {
    fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        (**self).handle(now, event, actions);
    }

    fn update_settings(&mut self, settings: &Settings) -> Result<(), SettingsError> {
        (**self).update_settings(settings)
    }
}
