//! Simulated clocks that run fast or slow.

use std::time::Duration;

/// A process's clock as a piecewise linear function of true time.
#[derive(Clone, Debug)]
pub struct Clock {
    /// Start in true time, clock reading at the start, both in seconds, and the rate from there on.
    segments: Vec<(f64, f64, f64)>,
}

impl Clock {
    /// Creates a clock that reads `reading` seconds at true time 0 and runs at `rate`.
    pub fn new(reading: f64, rate: f64) -> Clock {
        Clock { segments: vec![(0.0, reading, rate)] }
    }

    /// Returns the clock's reading at a true time in seconds.
    pub fn reading(&self, at: f64) -> Duration {
        let segment = self.segments.iter().rev().find(|(t, ..)| *t <= at);
        let (t, start_reading, rate) = segment.copied().unwrap_or(self.segments[0]);
        Duration::from_secs_f64(start_reading + (at - t) * rate)
    }

    /// Returns the true time in seconds of a reading. Beyond the last change of rate, that rate is extrapolated.
    pub fn true_time(&self, reading: Duration) -> f64 {
        let reading = reading.as_secs_f64();
        let segment = self.segments.iter().rev().find(|(_, s, _)| *s <= reading);
        let (t, start_reading, rate) = segment.copied().unwrap_or(self.segments[0]);
        t + (reading - start_reading) / rate
    }

    /// Changes the rate from true time `at` on; the reading stays continuous.
    pub fn set_rate(&mut self, at: f64, rate: f64) {
        let reading = self.reading(at).as_secs_f64();
        self.segments.push((at, reading, rate));
    }
}
