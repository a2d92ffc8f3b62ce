//! Logarithmic buckets and integer arithmetic on durations.

use std::time::Duration;

/// Bucket of a value on a logarithmic scale with `1 << SUB_BITS` buckets per octave.
pub(crate) fn log_bucket<const SUB_BITS: u32>(value: u64) -> u32 {
    let value = value.max(1);
    let octave = value.ilog2();
    let steps = 1_u64 << SUB_BITS;
    let mantissa = if octave >= SUB_BITS {
        value >> (octave - SUB_BITS)
    } else {
        value << (SUB_BITS - octave)
    };
    let step = u32::try_from(mantissa & (steps - 1)).unwrap_or(0);
    (octave << SUB_BITS) + step
}

/// Lower bound of a bucket.
pub(crate) fn log_value<const SUB_BITS: u32>(bucket: u32) -> u64 {
    let octave = bucket >> SUB_BITS;
    let steps = 1_u64 << SUB_BITS;
    let step = u64::from(bucket) & (steps - 1);
    ((steps + step) << octave) >> SUB_BITS
}

/// A duration in microseconds, saturating.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Exponentially weighted moving average: moves it `1 / 2^SHIFT` of the way to a sample.
pub(crate) fn ewma<const SHIFT: u32>(average: u64, sample: u64) -> u64 {
    if sample >= average {
        average + ((sample - average) >> SHIFT)
    } else {
        average - ((average - sample) >> SHIFT)
    }
}

/// Halves a value once per full half-life of its age.
pub(crate) fn decayed(value: u64, age: Duration, half_life: Duration) -> u64 {
    let halvings = u32::try_from(age.as_millis() / half_life.as_millis()).unwrap_or(u32::MAX);
    value.checked_shr(halvings).unwrap_or(0)
}

/// Scales a duration to between 50% and 150% of itself, by the bits of a hash.
pub(crate) fn jitter(duration: Duration, hash: u64) -> Duration {
    let span = hash.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 54;
    Duration::from_micros(micros(duration).saturating_mul(512 + span) / 1024)
}
