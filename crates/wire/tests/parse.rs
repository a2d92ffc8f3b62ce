//! Properties of the parsers: arbitrary input yields a value within its bounds or an error, never a
//! panic, and formatted values parse back to themselves.

use std::time::Duration;

use bytes::BytesMut;
use http::{HeaderMap, HeaderName, HeaderValue};
use model::Class;
use proptest::collection::vec;
use proptest::prelude::*;
use prost::Message;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};
use wire::context::parse_target_request_id;
use wire::control::{Envelope, MAX_FRAME_BYTES};
use wire::{CallContext, header, parse};

const NAMES: [HeaderName; 9] = [
    header::REQUEST_ID,
    header::ATTEMPT,
    header::DEADLINE_MS,
    header::CLASS,
    header::WORTH,
    header::RETRIES,
    header::TICKET,
    header::RETRY_AFTER_MS,
    http::header::RETRY_AFTER,
];

/// Arbitrary header values, and values that are almost valid.
fn header_value() -> impl Strategy<Value = HeaderValue> {
    let arbitrary = vec(any::<u8>(), 0..700).prop_map(|bytes| {
        let allowed = |byte: &u8| (*byte >= 0x20 && *byte != 0x7f) || *byte == b'\t';
        bytes.into_iter().filter(allowed).collect::<Vec<u8>>()
    });
    let almost_valid = "[0-9a-f+-]{0,34}(\\.[0-9a-f]{0,18})?|critical|browse|[0-9]{1,30}";
    prop_oneof![arbitrary, almost_valid.prop_map(String::into_bytes)]
        .prop_map(|bytes| HeaderValue::from_bytes(&bytes).expect("valid header bytes"))
}

fn headers() -> impl Strategy<Value = HeaderMap> {
    vec((0..NAMES.len(), header_value()), 0..16).prop_map(|fields| {
        let mut headers = HeaderMap::new();
        for (name, value) in fields {
            headers.append(NAMES[name].clone(), value);
        }
        headers
    })
}

proptest! {
    #[test]
    fn parsed_values_are_within_their_bounds(headers in headers()) {
        for name in &NAMES {
            if let Ok(Some(text)) = parse::text(&headers, name) {
                prop_assert!(text.len() <= parse::MAX_VALUE_BYTES);
                prop_assert_eq!(headers.get_all(name).iter().count(), 1);
            }
            if let Ok(Some(number)) = parse::number::<u64>(&headers, name) {
                let text = parse::text(&headers, name).ok().flatten();
                let canonical = text.map(|text| text.trim_start_matches('0').to_owned());
                let expected = if number == 0 { String::new() } else { number.to_string() };
                prop_assert_eq!(canonical, Some(expected));
            }
        }
        for time in [parse::time_left(&headers), parse::retry_after(&headers)] {
            if let Ok(Some(time)) = time {
                prop_assert!(time <= parse::MAX_DEADLINE);
            }
        }
        let _ = parse::attempt(&headers);
    }

    #[test]
    fn call_context_round_trips(
        root in any::<u128>(),
        (class, worth, attempt, retries) in (0..Class::ALL.len(), any::<u32>(), any::<u16>(), any::<u16>()),
        ms in 0..3_600_000_u64,
    ) {
        let context = CallContext {
            root: root.into(),
            class: Class::ALL[class],
            worth,
            attempt,
            time_left: Duration::from_millis(ms),
            retries,
        };
        let mut headers = HeaderMap::new();
        context.write(&mut headers);
        prop_assert_eq!(CallContext::read(&headers).ok(), Some(context));
    }

    #[test]
    fn call_context_with_a_replaced_header_is_bounded_or_an_error(
        name in 0..NAMES.len(),
        value in header_value(),
    ) {
        let mut headers = HeaderMap::new();
        CallContext {
            root: 7.into(),
            class: Class::ALL[0],
            worth: 1,
            attempt: 0,
            time_left: Duration::from_secs(1),
            retries: 3,
        }
        .write(&mut headers);
        headers.insert(NAMES[name].clone(), value);
        if let Ok(context) = CallContext::read(&headers) {
            prop_assert!(context.time_left <= parse::MAX_DEADLINE);
        }
    }

    #[test]
    fn target_request_id_round_trips(text in "[ -~]{0,80}|[0-9a-f]{30,34}\\.[0-9a-f]{14,18}") {
        if let Some((root, execution)) = parse_target_request_id(&text) {
            let written = wire::context::target_request_id(root, execution);
            prop_assert_eq!(written, text.to_lowercase());
        }
    }

    #[test]
    fn arbitrary_bytes_decode_or_fail_without_panic(bytes in vec(any::<u8>(), 0..600)) {
        let mut codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        let mut buffer = BytesMut::from(bytes.as_slice());
        while let Ok(Some(frame)) = codec.decode(&mut buffer) {
            prop_assert!(frame.len() <= MAX_FRAME_BYTES);
            let _ = Envelope::decode(frame);
        }
        if let Ok(message) = Envelope::decode(bytes.as_slice()) {
            let again = Envelope::decode(message.encode_to_vec().as_slice());
            prop_assert_eq!(again.ok(), Some(message));
        }
    }
}
