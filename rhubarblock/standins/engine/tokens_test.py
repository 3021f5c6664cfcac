import re

from rhubarblock.standins.engine import tokens as enginetokens


def test_tokens_are_a_space_and_six_hexadecimal_digits():
    for index in range(100):
        token = enginetokens.make_token("digest", index)
        assert re.fullmatch(" [0-9a-f]{6}", token)


def test_tokens_never_change():
    # Tests compare answers across versions, so the text must stay the same.
    assert enginetokens.expected_text("d", 18, 22) == (
        " 213f10 4f155f c5176a 0e264b"
    )


def test_tokens_differ_by_digest_and_index():
    tokens = {
        enginetokens.make_token(digest, index)
        for digest in ("a", "b", "1:a")
        for index in range(100)
    }
    assert len(tokens) == 300


def test_a_text_is_the_concatenation_of_its_tokens():
    for first, last in ((0, 0), (3, 4), (0, 20), (19, 21), (5, 95)):
        tokens = [
            enginetokens.make_token("d", index) for index in range(first, last)
        ]
        assert enginetokens.expected_text("d", first, last) == "".join(tokens)
