//! What callers were told, held against what ran.

use standin::Ledger;

use crate::sender::Told;
use crate::story::{Fate, Habit, Story};

impl Story {
    /// What contradicts the record of runs.
    #[must_use]
    pub fn contradictions(&self, ledger: &Ledger) -> Vec<String> {
        let key = self.call.key.as_deref().unwrap_or_default();
        let runs = ledger.count_of_key(key);
        let below = ledger.count_of_key(&format!("{key}.0"));
        let most = match self.habit {
            Habit::Keeps | Habit::Floods | Habit::Library => 1,
            Habit::Ignores => 0,
            Habit::Restarts => self.presented.len(),
        };
        let mut found = Vec::new();
        if runs > most || below > most {
            found.push(format!("at most {most}, ran {runs} times, below {below}"));
        }
        // Each ticket of a caller that starts over is another story.
        if self.habit != Habit::Restarts {
            match self.fate {
                Fate::NotRun if runs + below > 0 => {
                    found.push(format!("told not run, ran {runs} times, below {below}"));
                }
                Fate::Answered if runs != 1 => {
                    found.push(format!("answered, ran {runs} times"));
                }
                _ => {}
            }
        }
        let foreign = |(_, told): &(_, Told)| *told == Told::Answered { own: false };
        if self.told.iter().any(foreign) {
            found.push("answered with what is not its own whole answer".to_owned());
        }
        let tell = |what| {
            let Story {
                seed, habit, told, ..
            } = self;
            format!("seed {seed}, {habit} {key}: {what}; told {told:?}")
        };
        found.into_iter().map(tell).collect()
    }
}
