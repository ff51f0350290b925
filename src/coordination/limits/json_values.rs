//! Memory that a parsed JSON body takes, which may be many times its length.

/// Memory of one value while a body is parsed, in bytes. A request is held as two trees of `serde_json`. In each, a value has
/// 32 bytes, for which a list may have twice the room, and 32 bytes on the heap for a short string.
const VALUE_BYTES: usize = 192;

/// Upper estimate of the memory, in bytes, of the values of a JSON text, besides its own length. Commas, colons and opening
/// brackets outside of strings are counted, as each of them may begin a value.
///
/// ```
/// use fulmarproxy::coordination::limits::json_values;
/// assert_eq!(json_values::memory(br#""text, with [many: {signs \" ,""#), 0);
/// assert_eq!(json_values::memory(b"[0,0,0]"), 3 * 192);
/// assert_eq!(json_values::memory(br#"{"a":[{}]}"#), 4 * 192);
/// ```
pub fn memory(text: &[u8]) -> usize {
    let (mut values, mut is_string, mut is_escaped) = (0_usize, false, false);
    for byte in text {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if is_string => is_escaped = true,
            b'"' => is_string = !is_string,
            b',' | b':' | b'[' | b'{' if !is_string => values += 1,
            _ => (),
        }
    }
    values.saturating_mul(VALUE_BYTES)
}
