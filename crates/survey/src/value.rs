//! Values of the questionnaire: what is allowed, and how text is read.

use std::ops::RangeInclusive;

use config::check::is_name;
use model::{Class, Goal};
use smol_str::{SmolStr, format_smolstr};

/// What a key of the questionnaire takes.
#[derive(Clone, Debug)]
pub(crate) enum Kind {
    /// One name.
    Name,
    /// At least one name, separated by commas.
    Names,
    /// Operations written `service/operation`, separated by commas; may be empty.
    Calls,
    /// A whole number of the unit.
    Count {
        unit: &'static str,
        allowed: RangeInclusive<u64>,
    },
    /// `yes` or `no`.
    YesNo,
    /// A class.
    Class,
    /// A goal.
    Goal,
    /// Percent with at most one decimal.
    Percent,
}

/// Why a text is no value of its kind, and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct InvalidValue {
    pub(crate) problem: SmolStr,
    pub(crate) remedy: SmolStr,
}

impl Kind {
    /// Finds out whether a text is a value of this kind.
    pub(crate) fn check(&self, text: &str) -> Result<(), InvalidValue> {
        match self {
            Kind::Name => name(text).map(drop),
            Kind::Names => names(text).map(drop),
            Kind::Calls => calls(text).map(drop),
            Kind::Count { unit, allowed } => count(text, unit, allowed).map(drop),
            Kind::YesNo => yes_no(text).map(drop),
            Kind::Class => class(text).map(drop),
            Kind::Goal => goal(text).map(drop),
            Kind::Percent => permille(text).map(drop),
        }
    }
}

fn invalid(text: &str, what: &str, remedy: impl Into<SmolStr>) -> InvalidValue {
    InvalidValue {
        problem: format_smolstr!("{} is not {what}", quote(text)),
        remedy: remedy.into(),
    }
}

/// Quotes a text for one line of output, however long or odd it is.
pub(crate) fn quote(text: &str) -> String {
    const SHOWN_CHARS: usize = 60;
    if text.chars().count() <= SHOWN_CHARS {
        return format!("{text:?}");
    }
    let head: String = text.chars().take(SHOWN_CHARS).collect();
    format!("{head:?}...")
}

pub(crate) fn name(text: &str) -> Result<SmolStr, InvalidValue> {
    if is_name(text) {
        return Ok(text.into());
    }
    Err(invalid(
        text,
        "a name",
        "allowed: 1 to 63 ASCII letters, digits, '-', '_' and '.', \
         beginning with a letter or digit",
    ))
}

fn list<T>(
    text: &str,
    item: impl Fn(&str) -> Result<T, InvalidValue>,
) -> Result<Vec<T>, InvalidValue> {
    let mut seen = std::collections::HashSet::new();
    let mut items = Vec::new();
    for part in text.split(',').map(str::trim) {
        if !seen.insert(part) {
            return Err(InvalidValue {
                problem: format_smolstr!("{} is there twice", quote(part)),
                remedy: "remove one of them".into(),
            });
        }
        items.push(item(part)?);
    }
    Ok(items)
}

pub(crate) fn names(text: &str) -> Result<Vec<SmolStr>, InvalidValue> {
    list(text, name)
}

pub(crate) fn calls(text: &str) -> Result<Vec<SmolStr>, InvalidValue> {
    if text.is_empty() {
        return Ok(Vec::new());
    }
    list(text, |part| match part.split_once('/') {
        Some((service, operation)) if is_name(service) && is_name(operation) => Ok(part.into()),
        _ => Err(invalid(
            part,
            "an operation",
            "write service/operation, or leave the value empty",
        )),
    })
}

pub(crate) fn count(
    text: &str,
    unit: &str,
    allowed: &RangeInclusive<u64>,
) -> Result<u64, InvalidValue> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    if !digits {
        return Err(invalid(
            text,
            "a whole number",
            format_smolstr!(
                "write digits only, in {unit}, {} to {}",
                allowed.start(),
                allowed.end()
            ),
        ));
    }
    match text.parse::<u64>() {
        Ok(value) if allowed.contains(&value) => Ok(value),
        _ => Err(InvalidValue {
            problem: format_smolstr!("{} is out of range", quote(text)),
            remedy: format_smolstr!("allowed: {} to {} {unit}", allowed.start(), allowed.end()),
        }),
    }
}

pub(crate) fn yes_no(text: &str) -> Result<bool, InvalidValue> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(invalid(text, "yes or no", "allowed: yes, no")),
    }
}

pub(crate) fn class(text: &str) -> Result<Class, InvalidValue> {
    let remedy = "allowed: critical, standard, browse, bulk";
    text.parse().map_err(|_| invalid(text, "a class", remedy))
}

pub(crate) fn goal(text: &str) -> Result<Goal, InvalidValue> {
    match text {
        "goodput" => Ok(Goal::Goodput),
        "recovery" => Ok(Goal::Recovery),
        _ => Err(invalid(text, "a goal", "allowed: goodput, recovery")),
    }
}

/// Reads a percentage as a whole number of thousandths.
pub(crate) fn permille(text: &str) -> Result<u16, InvalidValue> {
    let wrong = || {
        let remedy = "write a number from 0.1 to 100 with at most one decimal, such as 99.5";
        invalid(text, "a percentage", remedy)
    };
    let (whole, tenths) = text.split_once('.').unwrap_or((text, "0"));
    let digits = |part: &str, most: usize| {
        !part.is_empty() && part.len() <= most && part.bytes().all(|b| b.is_ascii_digit())
    };
    if !digits(whole, 3) || !digits(tenths, 1) {
        return Err(wrong());
    }
    let parse = |part: &str| part.parse::<u16>().map_err(|_| wrong());
    let permille = parse(whole)? * 10 + parse(tenths)?;
    if (1..=1_000).contains(&permille) {
        Ok(permille)
    } else {
        Err(wrong())
    }
}

/// Writes thousandths as a percentage.
pub(crate) fn percent(permille: u16) -> SmolStr {
    match permille % 10 {
        0 => format_smolstr!("{}", permille / 10),
        tenths => format_smolstr!("{}.{tenths}", permille / 10),
    }
}
