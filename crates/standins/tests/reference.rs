//! Tests of the reference model.

use dragonflyrill_standins::reference;

#[test]
fn the_output_depends_on_model_layers_and_positions() {
    let tokens = reference::expected_tokens("m", 4, &[1, 2, 3], 5);
    assert_eq!(tokens.len(), 5);
    assert!(tokens.iter().all(|&token| token < reference::VOCABULARY));
    assert_ne!(tokens, reference::expected_tokens("m", 3, &[1, 2, 3], 5));
    assert_ne!(tokens, reference::expected_tokens("n", 4, &[1, 2, 3], 5));
    assert_ne!(tokens, reference::expected_tokens("m", 4, &[2, 1, 3], 5));
}

#[test]
fn a_longer_output_begins_with_the_shorter_one() {
    let long = reference::expected_tokens("m", 4, &[7], 20);
    assert_eq!(reference::expected_tokens("m", 4, &[7], 5), long[..5]);
}

#[test]
fn an_empty_prompt_generates_nothing() {
    assert!(reference::expected_tokens("m", 4, &[], 5).is_empty());
}

#[test]
fn text_has_a_token_for_each_byte() {
    assert_eq!(reference::tokenize("aé"), [0x61, 0xc3, 0xa9]);
    assert_eq!(reference::detokenize(0xabc), " abc");
}
