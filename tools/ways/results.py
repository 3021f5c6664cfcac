"""Outcomes of plays, appended to a file so that an abort loses none."""

import dataclasses
import json
import pathlib
from typing import Any

_WHOLE_DAY_PART = "whole day"
_WORST_WINDOWS_PART = "worst windows"


@dataclasses.dataclass(slots=True, frozen=True)
class Play:
    """One simulated day at a site, run with one way.

    Attributes:
      way: name of the way.
      site: name of the site file, without its extension.
      day: name of a standard day, or path of a day file.
      seed: seed of the play; 0 keeps that of the day.
      small: whether the reduced variant of the site is simulated.
    """

    way: str
    site: str
    day: str
    seed: int
    small: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """The scores of one play.

    Attributes:
      worth: total score: credit less prices.
      worst_windows: share of the credit that the two worst windows reached.
      whole_day: share of the credit that the whole day reached.
      prices: sum of the prices, as a fraction of the credit.
      broken: names of violated rules, and the fault that ended the play.
    """

    worth: float
    worst_windows: float
    whole_day: float
    prices: float
    broken: tuple[str, ...]


def read_report(fields: dict[str, Any]) -> Outcome:
    """Converts a report of the benchmark program.

    Raises:
      KeyError: a field is missing.
    """
    parts = {name: value for name, _, value in fields["parts"]}
    faults = [fields["fault"]] if fields["fault"] else []
    return Outcome(
        worth=fields["G"],
        worst_windows=parts[_WORST_WINDOWS_PART],
        whole_day=parts[_WHOLE_DAY_PART],
        prices=sum(price for _, _, price in fields["prices"]),
        broken=tuple([*fields["breaks"], *faults]),
    )


class ResultFile:
    """Outcomes by play, one line of JSON each."""

    def __init__(self, path: pathlib.Path):
        """Loads the outcomes of earlier plays.

        Args:
          path: file of the outcomes; it need not exist.
        """
        self._path = path
        self.outcomes: dict[Play, Outcome] = {}
        if path.exists():
            for line in path.read_text().splitlines():
                self._load_line(json.loads(line))

    def add(self, play: Play, outcome: Outcome) -> None:
        """Adds an outcome and appends it to the file."""
        self.outcomes[play] = outcome
        line = {**dataclasses.asdict(play), **dataclasses.asdict(outcome)}
        self._path.parent.mkdir(parents=True, exist_ok=True)
        with self._path.open("a") as lines:
            lines.write(json.dumps(line) + "\n")

    def _load_line(self, fields: dict[str, Any]) -> None:
        names = [field.name for field in dataclasses.fields(Play)]
        play = Play(**{name: fields.pop(name) for name in names})
        broken = tuple(fields.pop("broken"))
        self.outcomes[play] = Outcome(broken=broken, **fields)
