import pytest

from amaranthferry.tokens import estimate_tokens, prefix_hashes


@pytest.mark.parametrize(
    ("characters", "tokens"), [(0, 1), (3, 1), (8, 2), (4000, 1000)]
)
def test_tokens_follow_length(characters, tokens):
    assert estimate_tokens("a" * characters) == tokens


@pytest.mark.parametrize(
    ("characters", "count"), [(255, 0), (256, 1), (511, 1), (512, 2), (8192, 6)]
)
def test_prefix_count_grows_logarithmically(characters, count):
    assert len(prefix_hashes("a" * characters)) == count


def test_texts_share_the_hashes_of_their_common_prefix():
    one = prefix_hashes("a" * 1024 + "b" * 1024)
    two = prefix_hashes("a" * 1024 + "c" * 1024)
    assert one[:3] == two[:3]
    assert one[3] != two[3]
