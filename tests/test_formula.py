import pytest

from mallowvalve.membership import formula


def test_period_and_helpers_match_values_computed_by_hand():
    assert formula.expected_periods_to_ping(0.15) == pytest.approx(1.74647, abs=1e-5)
    assert formula.period(3.0, 0.15) == pytest.approx(1.71775, abs=1e-4)
    assert formula.helpers(1e-8, 0.15, 0.15) == 30


def test_helpers_are_the_fewest_that_keep_the_bound_on_mistakes():
    for mistake in (1e-3, 1e-5, 1e-8):
        helpers = formula.helpers(mistake, 0.15, 0.15)
        bound = lambda count: (
            0.85 * (1 - 0.85**2) * (1 - 0.85 * 0.85**4) ** count * formula.expected_periods_to_ping(0.15)
        )
        assert bound(helpers) <= mistake < bound(helpers - 1)


def test_more_loss_requires_more_helpers_and_faster_detection_a_shorter_period():
    assert formula.helpers(1e-8, 0.15, 0.05) < formula.helpers(1e-8, 0.15, 0.15)
    assert formula.period(1.0, 0.15) == pytest.approx(formula.period(3.0, 0.15) / 3)
