//! The keys of each section: question, allowed values and default answer.

use config::check::{CONNECTIONS, DEADLINE_MS, RETRY_BUDGET, RETRY_PERCENT, SLOTS, WORTH};

use crate::value::Kind;

/// A key of the answers file and the question that asks for its value.
#[derive(Debug)]
pub struct Key {
    /// Name of the key in the answers file.
    pub name: &'static str,
    /// Question shown in the terminal.
    pub question: &'static str,
    /// Explanation of what the answer affects.
    pub help: &'static str,
    /// Default answer, if there is one.
    pub(crate) default: Option<&'static str>,
    pub(crate) kind: Kind,
}

const fn key(
    name: &'static str,
    kind: Kind,
    default: Option<&'static str>,
    question: &'static str,
    help: &'static str,
) -> Key {
    Key {
        name,
        question,
        help,
        default,
        kind,
    }
}

const fn count(unit: &'static str, allowed: std::ops::RangeInclusive<u64>) -> Kind {
    Kind::Count { unit, allowed }
}

/// Keys of `[fleet]`, in the order in which they are asked.
pub(crate) static FLEET: [Key; 6] = [
    key(
        "name",
        Kind::Name,
        None,
        "What is the fleet called?",
        "Appears in reports only.",
    ),
    key(
        "goal",
        Kind::Goal,
        Some("goodput"),
        "Which comes first under overload, goodput or recovery?",
        "goodput: among requests of one class, those worth most per slot time run first. \
         recovery: those that are sure to finish in time run first, so that the overload ends \
         sooner.",
    ),
    key(
        "data_centres",
        Kind::Names,
        None,
        "Which data centres are there?",
        "Names separated by commas, as in the settings of the instances.",
    ),
    key(
        "retry_budget",
        count("retries", RETRY_BUDGET),
        Some("3"),
        "How many retries may one request cost over its whole call chain?",
        "A strict bound over all hops together. 0 turns retries off.",
    ),
    key(
        "retry_percent",
        count("percent", RETRY_PERCENT),
        Some("10"),
        "How many retries per hundred first tries may one service send to another?",
        "Keeps retries from feeding an overload. There are none while the called service sheds.",
    ),
    key(
        "services",
        Kind::Names,
        None,
        "Which services are there?",
        "Names separated by commas, internal ones included.",
    ),
];

/// Keys of `[service NAME]`, in the order in which they are asked.
pub(crate) static SERVICE: [Key; 5] = [
    key(
        "targets_per_data_centre",
        count("targets", 1..=100_000),
        Some("1"),
        "How many targets does it have in each data centre?",
        "Used to check objectives against capacity; the fleet itself follows the instance list.",
    ),
    key(
        "slots",
        count("slots", SLOTS),
        None,
        "How many requests does one target run at a time?",
        "The ceiling of the limit; the daemon lowers it by itself while answers are slow.",
    ),
    key(
        "connections",
        count("connections", CONNECTIONS),
        None,
        "How many connections does one target accept?",
        "The daemon stays below it. At least as many as slots.",
    ),
    key(
        "refusal_means_not_run",
        Kind::YesNo,
        Some("no"),
        "Does status 503 from the target itself always mean that nothing was run?",
        "Answer yes only if the target decides before it does anything. With no, such a call \
         ends as unknown and a non-repeatable one is never sent again.",
    ),
    key(
        "operations",
        Kind::Names,
        None,
        "Which operations does it have?",
        "Names separated by commas; each is the first segment of the path after the service.",
    ),
];

/// Keys of `[operation SERVICE/NAME]`, in the order in which they are asked.
pub(crate) static OPERATION: [Key; 9] = [
    key(
        "class",
        Kind::Class,
        Some("standard"),
        "How important is a request that enters here?",
        "critical: bookings, deposits, pledges, invoices. standard: reads that must answer but \
         may wait. browse: browsing and listings. bulk: large transfers. Shed from bulk upwards; \
         calls made on behalf of a request inherit its class.",
    ),
    key(
        "worth",
        count("units", WORTH),
        Some("1"),
        "What is one whole answer in time worth?",
        "In any unit of your own, the same for all operations. Decides within a class and in \
         the report.",
    ),
    key(
        "repeatable",
        Kind::YesNo,
        None,
        "May it be run twice for one request?",
        "Answer no if a second run charges, books, pledges or invoices again. Callers from \
         outside then need a ticket and an idempotency key.",
    ),
    key(
        "entry",
        Kind::YesNo,
        Some("yes"),
        "May callers outside the fleet call it?",
        "With no, only targets of the fleet may.",
    ),
    key(
        "calls",
        Kind::Calls,
        Some(""),
        "Which operations does it call?",
        "Written service/operation, separated by commas; empty if none.",
    ),
    key(
        "deadline_ms",
        count("milliseconds", DEADLINE_MS),
        Some("1000"),
        "In how many milliseconds is an answer still of use?",
        "Later answers count as lost. At least as long as that of any operation it calls.",
    ),
    key(
        "usual_ms",
        count("milliseconds", 1..=3_600_000),
        Some("20"),
        "For how many milliseconds does one run usually hold a slot?",
        "Waiting for called operations included. Used to check objectives against capacity.",
    ),
    key(
        "rate_per_s",
        count("requests per second", 0..=10_000_000),
        None,
        "How many requests a second enter here at the busiest usual time?",
        "From outside, over the whole fleet; 0 if it is called only from within. Used to check \
         capacity and as the mix of berylctl load.",
    ),
    key(
        "objective_percent",
        Kind::Percent,
        Some("99"),
        "What share of requests is promised a whole answer in time?",
        "In percent with at most one decimal. The report burns the rest as error budget.",
    ),
];

/// Finds a key by its name.
pub(crate) fn find(keys: &'static [Key], name: &str) -> Option<&'static Key> {
    keys.iter().find(|key| key.name == name)
}

/// Suggests a key for an unknown name: the first one with the same first word, ignoring case.
///
/// This finds a key written with another unit, such as `deadline_s` for `deadline_ms`.
pub(crate) fn suggest(keys: &'static [Key], name: &str) -> Option<&'static Key> {
    let first_word = |text: &str| {
        text.split(['_', '-', ' '])
            .next()
            .map(str::to_ascii_lowercase)
    };
    keys.iter()
        .find(|key| first_word(key.name) == first_word(name))
}
