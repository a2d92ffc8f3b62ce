//! The kinds of values in an answers file and their parsers.

use std::ops::RangeInclusive;

use config::check::is_name;
use model::{Class, Goal};
use smol_str::{SmolStr, format_smolstr};

/// Kind of value that a key accepts.
#[derive(Clone, Debug)]
pub(crate) enum Kind {
    /// One name.
    Name,
    /// One or more distinct names, separated by commas.
    Names,
    /// Distinct operations as `service/operation`, separated by commas; may be empty.
    Calls,
    /// A whole number in the given unit.
    Count {
        unit: &'static str,
        allowed: RangeInclusive<u64>,
    },
    /// `yes` or `no`.
    YesNo,
    /// Priority class of a request.
    Class,
    /// Goal of the fleet under overload.
    Goal,
    /// A percentage from 0.1 to 100 with at most one decimal.
    Percent,
}

/// Why a text is not a valid value of a kind, and what is allowed instead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct InvalidValue {
    pub(crate) problem: SmolStr,
    pub(crate) remedy: SmolStr,
}

impl Kind {
    /// Checks that `text` is a valid value of this kind.
    pub(crate) fn check(&self, text: &str) -> Result<(), InvalidValue> {
        match self {
            Kind::Name => parse_name(text).map(drop),
            Kind::Names => parse_names(text).map(drop),
            Kind::Calls => parse_calls(text).map(drop),
            Kind::Count { unit, allowed } => parse_count(text, unit, allowed).map(drop),
            Kind::YesNo => parse_yes_no(text).map(drop),
            Kind::Class => parse_class(text).map(drop),
            Kind::Goal => parse_goal(text).map(drop),
            Kind::Percent => parse_permille(text).map(drop),
        }
    }
}

fn invalid(text: &str, expected: &str, remedy: impl Into<SmolStr>) -> InvalidValue {
    InvalidValue {
        problem: format_smolstr!("{} is not {expected}", quote(text)),
        remedy: remedy.into(),
    }
}

/// Quotes a text for a message: escaped, so that it stays on one line, and truncated if long.
pub(crate) fn quote(text: &str) -> String {
    const MAX_CHARS: usize = 60;
    if text.chars().count() <= MAX_CHARS {
        return format!("{text:?}");
    }
    let head: String = text.chars().take(MAX_CHARS).collect();
    format!("{head:?}...")
}

pub(crate) fn parse_name(text: &str) -> Result<SmolStr, InvalidValue> {
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

fn parse_list<T>(
    text: &str,
    parse_item: impl Fn(&str) -> Result<T, InvalidValue>,
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
        items.push(parse_item(part)?);
    }
    Ok(items)
}

pub(crate) fn parse_names(text: &str) -> Result<Vec<SmolStr>, InvalidValue> {
    parse_list(text, parse_name)
}

pub(crate) fn parse_calls(text: &str) -> Result<Vec<SmolStr>, InvalidValue> {
    if text.is_empty() {
        return Ok(Vec::new());
    }
    parse_list(text, |part| match part.split_once('/') {
        Some((service, operation)) if is_name(service) && is_name(operation) => Ok(part.into()),
        _ => Err(invalid(
            part,
            "an operation",
            "write service/operation, or leave the value empty",
        )),
    })
}

pub(crate) fn parse_count(
    text: &str,
    unit: &str,
    allowed: &RangeInclusive<u64>,
) -> Result<u64, InvalidValue> {
    let is_digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    if !is_digits {
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

pub(crate) fn parse_yes_no(text: &str) -> Result<bool, InvalidValue> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(invalid(text, "yes or no", "allowed: yes, no")),
    }
}

pub(crate) fn parse_class(text: &str) -> Result<Class, InvalidValue> {
    let remedy = "allowed: critical, standard, browse, bulk";
    text.parse().map_err(|_| invalid(text, "a class", remedy))
}

pub(crate) fn parse_goal(text: &str) -> Result<Goal, InvalidValue> {
    match text {
        "goodput" => Ok(Goal::Goodput),
        "recovery" => Ok(Goal::Recovery),
        _ => Err(invalid(text, "a goal", "allowed: goodput, recovery")),
    }
}

/// Parses a percentage into thousandths, from 1 to 1000.
pub(crate) fn parse_permille(text: &str) -> Result<u16, InvalidValue> {
    let invalid_percentage = || {
        let remedy = "write a number from 0.1 to 100 with at most one decimal, such as 99.5";
        invalid(text, "a percentage", remedy)
    };
    let (whole, tenths) = text.split_once('.').unwrap_or((text, "0"));
    let is_digits = |part: &str, max_len: usize| {
        !part.is_empty() && part.len() <= max_len && part.bytes().all(|b| b.is_ascii_digit())
    };
    if !is_digits(whole, 3) || !is_digits(tenths, 1) {
        return Err(invalid_percentage());
    }
    let parse = |part: &str| part.parse::<u16>().map_err(|_| invalid_percentage());
    let permille = parse(whole)? * 10 + parse(tenths)?;
    if (1..=1_000).contains(&permille) {
        Ok(permille)
    } else {
        Err(invalid_percentage())
    }
}

/// Formats thousandths as a percentage.
pub(crate) fn format_percent(permille: u16) -> SmolStr {
    match permille % 10 {
        0 => format_smolstr!("{}", permille / 10),
        tenths => format_smolstr!("{}.{tenths}", permille / 10),
    }
}
