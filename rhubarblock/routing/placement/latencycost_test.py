import pytest

from rhubarblock.routing.placement import latencycost


@pytest.mark.parametrize(
    ("first_s", "cost"),
    [
        (0.0, 0.0),
        (1.5, 0.05),
        (2.625, 0.45875),
        (3.0, 0.835),
        (6.0, 0.845),
        (10.5, 1.11),
    ],
)
def test_delay_loss_of_a_long_prompt(first_s, cost):
    assert latencycost.compute_delay_loss(first_s, 3.0, 0.8) == pytest.approx(
        cost
    )


def test_caller_of_a_short_prompt_gives_up_after_two_seconds():
    late = latencycost.compute_delay_loss(1.6, 0.3, 0.2)
    given_up = latencycost.compute_delay_loss(1.8, 0.3, 0.2)
    assert late < 0.9
    assert given_up > 1.1


@pytest.mark.parametrize(
    ("predicted_s", "pause_s", "cost"),
    [
        (0.13, 0.2, 0.0),
        (0.17, 0.2, 0.375),
        (0.2, 0.2, 0.75),
        (5.0, 0.2, 0.75),
        (5.0, 0.0, 0.0),
    ],
)
def test_pause_loss(predicted_s, pause_s, cost):
    loss = latencycost.compute_pause_loss(predicted_s, pause_s)
    assert loss == pytest.approx(cost)


def test_value_grows_with_the_prompt_length():
    assert latencycost.compute_value(0) == 1.0
    assert latencycost.compute_value(24_000) == 3.0
