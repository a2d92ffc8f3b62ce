//! Response bodies derived from the request alone, so that a caller can verify that a
//! response is complete and belongs to its own request.

use bytes::{BufMut, Bytes, BytesMut};

/// Largest chunk in which a body is produced, in bytes.
pub const CHUNK_BYTES: usize = 16 * 1024;

const WORD_BYTES: usize = 8;

/// Iterator over the chunks of one body.
#[derive(Clone, Debug)]
pub struct BodyChunks {
    state: u64,
    left: usize,
}

impl BodyChunks {
    /// The body of `bytes` bytes for the request that `token` identifies.
    #[must_use]
    pub fn new(service: &str, operation: &str, token: &str, bytes: usize) -> Self {
        let state = [service, operation, token]
            .iter()
            .flat_map(|part| part.bytes().chain([b'/']))
            .fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
                (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
            });
        BodyChunks { state, left: bytes }
    }

    /// True once every chunk has been produced.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.left == 0
    }
}

impl Iterator for BodyChunks {
    type Item = Bytes;

    fn next(&mut self) -> Option<Bytes> {
        if self.left == 0 {
            return None;
        }
        let length = self.left.min(CHUNK_BYTES);
        let mut chunk = BytesMut::with_capacity(length + WORD_BYTES);
        while chunk.len() < length {
            chunk.put_u64(next_word(&mut self.state));
        }
        chunk.truncate(length);
        self.left -= length;
        Some(chunk.freeze())
    }
}

/// The complete body that the caller of a request expects.
#[must_use]
pub fn expected_body(service: &str, operation: &str, token: &str, bytes: usize) -> Vec<u8> {
    BodyChunks::new(service, operation, token, bytes)
        .flat_map(|chunk| chunk.to_vec())
        .collect()
}

fn next_word(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut word = *state;
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
