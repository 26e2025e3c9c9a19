//! Rate at which the paces of a service's endpoints change.
//!
//! Two readings of one endpoint show how well the earlier one predicts the later one at their distance in time.
//! The prediction of [`EndpointPace`](super::pace::EndpointPace) is made with several half-lives, and the one
//! whose predictions differ least from the readings is used.

use std::time::Duration;

use super::pace::PaceReading;

/// Shortest half-life. With a shorter one, a reading would be forgotten before the next call.
const HALF_LIFE_MIN: Duration = Duration::from_millis(25);

/// Number of half-lives that are compared, each twice as long as the one before. The longest one is 13 s.
const HALF_LIVES: usize = 10;

/// Index of the half-life before the first comparison: 200 ms, the age that a reading of another host has on
/// average in a fleet of 60 hosts.
const INITIAL_INDEX: usize = 3;

/// Initial square error of a half-life for each step between its index and `INITIAL_INDEX`. It keeps the first few
/// comparisons from changing the half-life by chance, and decays as comparisons are recorded.
const INITIAL_SQUARE_ERROR: f64 = 0.0005;

/// Weight of the latest comparison in a mean square error, which thus covers about 500 comparisons. The paces of 30
/// endpoints give as many in a few seconds.
const SMOOTHING: f64 = 0.002;

/// How well readings predict later ones, for each half-life.
#[derive(Debug)]
pub(super) struct PaceChange {
    /// Mean square of the prediction's error.
    square_errors: [f64; HALF_LIVES],
    best: usize,
}

impl Default for PaceChange {
    fn default() -> Self {
        let mut square_errors = [0.0; HALF_LIVES];
        for (index, square_error) in square_errors.iter_mut().enumerate() {
            let steps = u32::try_from(index.abs_diff(INITIAL_INDEX)).unwrap_or(u32::MAX);
            *square_error = INITIAL_SQUARE_ERROR * f64::from(steps);
        }
        Self {
            square_errors,
            best: INITIAL_INDEX,
        }
    }
}

impl PaceChange {
    /// Returns the age at which a reading has lost half of its weight.
    pub(super) fn half_life(&self) -> Duration {
        half_life(self.best)
    }

    /// Compares a reading with an earlier one of the same endpoint.
    pub(super) fn record(&mut self, earlier: PaceReading, reading: PaceReading) {
        let age = reading.read_at.saturating_duration_since(earlier.read_at);
        for (index, square_error) in self.square_errors.iter_mut().enumerate() {
            let weight = (-age.div_duration_f64(half_life(index))).exp2();
            let error = reading.log_pace - earlier.log_pace * weight;
            *square_error += (error * error - *square_error) * SMOOTHING;
        }
        let errors = self.square_errors.iter().enumerate();
        let best = errors.min_by(|(_, a), (_, b)| a.total_cmp(b));
        self.best = best.map_or(INITIAL_INDEX, |(index, _)| index);
    }
}

fn half_life(index: usize) -> Duration {
    HALF_LIFE_MIN * (1 << index)
}
