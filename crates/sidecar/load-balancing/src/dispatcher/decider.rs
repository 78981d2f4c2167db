//! The interface between the dispatcher and the policy behind it.

use crate::api::{Action, Event, Settings, SettingsError};
use crate::state::Balancer;

/// A policy behind the dispatcher: takes events and returns actions. The sidecar uses [`Balancer`]. Other
/// implementations can replace it, for comparison; the dispatcher ensures one final answer per request for them too.
pub trait Decider {
    /// Handles one event at time `now` and appends the resulting actions.
    fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>);

    /// Replaces the settings by those of a later generation; see [`Balancer::update_settings`]. The default
    /// implementation ignores them.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the settings can't be applied. Nothing is changed in that case.
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
