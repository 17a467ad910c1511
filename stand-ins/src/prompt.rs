//! Prompts whose responses can be checked: each prompt has a unique text, and the stand-in engine
//! puts a digest of the request body into its response.

/// The digest of a request body that the stand-in engine puts into its response.
///
/// ```
/// assert_eq!(stand_ins::prompt::digest(b"a").len(), 64);
/// ```
pub fn digest(body: &[u8]) -> String {
    use sha2::Digest as _;
    sha2::Sha256::digest(body).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The request body of a prompt in the text-generation format.
///
/// ```
/// assert!(stand_ins::prompt::body(7, 5, 16).contains("max_new_tokens"));
/// ```
pub fn body(number: u64, words: usize, new_tokens: u64) -> String {
    let text = vec!["word"; words].join(" ");
    serde_json::json!({
        "inputs": format!("prompt {number} {text}"),
        "parameters": { "max_new_tokens": new_tokens },
    })
    .to_string()
}

/// The events of the streamed response to a request body, in order.
///
/// ```
/// let events = stand_ins::prompt::events(b"a", 3);
/// assert_eq!(events.len(), 3);
/// assert!(events[2].contains("generated_text"));
/// ```
pub fn events(body: &[u8], count: usize) -> Vec<String> {
    let digest = digest(body);
    (0..count)
        .map(|index| {
            let last = index + 1 == count;
            let text = last.then(|| digest.clone());
            let event = serde_json::json!({
                "index": index, "token": { "text": &digest[index % 60..index % 60 + 4] },
                "generated_text": text,
            });
            format!("data:{event}\n\n")
        })
        .collect()
}
