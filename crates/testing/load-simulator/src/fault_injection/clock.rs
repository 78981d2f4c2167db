//! Clocks that run fast or slow.

use std::time::Duration;

/// A process's clock against true time, in straight pieces.
#[derive(Clone, Debug)]
pub struct Clock {
    /// True time, clock's time, rate from there on; in seconds.
    pieces: Vec<(f64, f64, f64)>,
}

impl Clock {
    /// A clock that shows this at true time 0 and runs at this rate.
    pub fn new(shows: f64, rate: f64) -> Clock {
        Clock { pieces: vec![(0.0, shows, rate)] }
    }

    /// What it shows at a true time.
    pub fn shows(&self, at: f64) -> Duration {
        let later = self.pieces.iter().rev().find(|(t, ..)| *t <= at);
        let (t, shown, rate) = later.copied().unwrap_or(self.pieces[0]);
        Duration::from_secs_f64(shown + (at - t) * rate)
    }

    /// The true time at which it shows this, as far as its rate is known.
    pub fn when(&self, shows: Duration) -> f64 {
        let shows = shows.as_secs_f64();
        let piece = self.pieces.iter().rev().find(|(_, s, _)| *s <= shows);
        let (t, shown, rate) = piece.copied().unwrap_or(self.pieces[0]);
        t + (shows - shown) / rate
    }

    /// Runs at another rate from now on.
    pub fn run_at(&mut self, at: f64, rate: f64) {
        let shows = self.shows(at).as_secs_f64();
        self.pieces.push((at, shows, rate));
    }
}
