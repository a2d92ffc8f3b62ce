//! What daemons tell each other about ended targets and the requests that ran in them.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use model::InstanceId;
use smol_str::SmolStr;

use crate::fingerprint::Fingerprint;

/// Identifies one end of a target; chosen at random by the daemon beside it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{_0:016x}")]
pub struct EndKey(pub u64);

/// The end of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndReport {
    /// Identifies the end.
    pub key: EndKey,
    /// The target that ended.
    pub target: InstanceId,
    /// The daemon beside it.
    pub daemon: SmolStr,
    /// Time since then.
    pub age: Duration,
    /// Requests that were in flight.
    pub suspects: Vec<Fingerprint>,
}

/// Reports that one daemon sends to another.
///
/// Reports of the same end are merged, so their order and repetitions don't matter.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashNews {
    /// Ends of targets.
    pub ends: Vec<EndReport>,
    /// Requests that did not cause an end, as a run of them came back whole.
    pub cleared: Vec<(Fingerprint, EndKey)>,
}

impl CrashNews {
    /// True if it reports nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.cleared.is_empty()
    }
}

/// Separated by semicolons: ends, each as key, target, daemon, age in milliseconds and suspects
/// separated by commas; and cleared requests, each as fingerprint and end.
impl fmt::Display for CrashNews {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for end in &self.ends {
            let (target, daemon) = (word(end.target.as_str()), word(&end.daemon));
            let age = end.age.as_millis();
            write!(f, "{separator}end {} {target} {daemon} {age} ", end.key)?;
            for (i, suspect) in end.suspects.iter().enumerate() {
                write!(f, "{}{suspect}", if i == 0 { "" } else { "," })?;
            }
            separator = ";";
        }
        for (fingerprint, end) in &self.cleared {
            write!(f, "{separator}cleared {fingerprint} {end}")?;
            separator = ";";
        }
        Ok(())
    }
}

/// Returns a name as one word, so that it can't be taken for something else.
fn word(name: &str) -> SmolStr {
    let is_plain = |c: char| c.is_ascii_graphic() && c != ';';
    if name.is_empty() {
        return "-".into();
    }
    name.chars()
        .map(|c| if is_plain(c) { c } else { '_' })
        .collect()
}

/// The error of parsing [`CrashNews`].
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("malformed report of ended targets")]
pub struct MalformedNews;

impl FromStr for CrashNews {
    type Err = MalformedNews;

    fn from_str(text: &str) -> Result<Self, MalformedNews> {
        let mut news = CrashNews::default();
        for entry in text.split(';').filter(|entry| !entry.is_empty()) {
            let fields: Vec<&str> = entry.split(' ').collect();
            match fields[..] {
                ["end", key, target, daemon, age, suspects] => news.ends.push(EndReport {
                    key: parse_key(key)?,
                    target: target.into(),
                    daemon: daemon.into(),
                    age: Duration::from_millis(age.parse().map_err(|_| MalformedNews)?),
                    suspects: suspects
                        .split(',')
                        .filter(|suspect| !suspect.is_empty())
                        .map(|suspect| Fingerprint::parse(suspect).ok_or(MalformedNews))
                        .collect::<Result<_, _>>()?,
                }),
                ["cleared", fingerprint, end] => {
                    let fingerprint = Fingerprint::parse(fingerprint).ok_or(MalformedNews)?;
                    news.cleared.push((fingerprint, parse_key(end)?));
                }
                _ => return Err(MalformedNews),
            }
        }
        Ok(news)
    }
}

fn parse_key(text: &str) -> Result<EndKey, MalformedNews> {
    let key = u64::from_str_radix(text, 16).map_err(|_| MalformedNews)?;
    Ok(EndKey(key))
}
