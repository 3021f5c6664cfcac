"""Runs the scenario briefly."""

import asyncio

from rhubarblock.experiments import listchanges


def test_every_change_is_applied(monkeypatch):
    monkeypatch.setattr(listchanges, "RUN_S", 0.5)
    result = asyncio.run(listchanges.measure(200, 1, 1_000.0))
    assert result.changes >= 400
    assert result.differing == 0
    assert result.lag_p99_ms is not None
    # The store answers at most once in a tenth of the time for configurations.
    assert result.answers <= 1 + 0.5 / 0.2 + 2
