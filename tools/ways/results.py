"""What plays of the bench gave, kept in a file so that a stop loses nothing."""

import dataclasses
import json
import pathlib
from typing import Any

_WHOLE_DAY = "whole day"
_WORST_WINDOWS = "worst windows"


@dataclasses.dataclass(slots=True, frozen=True)
class Play:
    """One day to play.

    Attributes:
      way: name of the way of the decision.
      site: name of the site file, without its ending.
      day: name of a standard day, or path of a day file.
      seed: seed of the play; 0 leaves the day's own.
      small: whether the small twin is played.
    """

    way: str
    site: str
    day: str
    seed: int
    small: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """What one play gave.

    Attributes:
      worth: credit less prices.
      worst_windows: share of the credit in the two worst windows.
      whole_day: share of the credit over the whole day.
      prices: sum of the prices, as a part of the credit.
      broken: names of the rules that were broken, and of faults.
    """

    worth: float
    worst_windows: float
    whole_day: float
    prices: float
    broken: tuple[str, ...]


def read_report(fields: dict[str, Any]) -> Outcome:
    """Reads the report that the bench wrote of a play.

    Raises:
      KeyError: a field is missing.
    """
    parts = {name: value for name, _, value in fields["parts"]}
    faults = [fields["fault"]] if fields["fault"] else []
    return Outcome(
        worth=fields["G"],
        worst_windows=parts[_WORST_WINDOWS],
        whole_day=parts[_WHOLE_DAY],
        prices=sum(price for _, _, price in fields["prices"]),
        broken=tuple([*fields["breaks"], *faults]),
    )


class ResultFile:
    """Outcomes by play, one line of JSON each."""

    def __init__(self, path: pathlib.Path):
        """Reads what is there.

        Args:
          path: file of the results; it need not exist.
        """
        self._path = path
        self.outcomes: dict[Play, Outcome] = {}
        if path.exists():
            for line in path.read_text().splitlines():
                self._take(json.loads(line))

    def add(self, play: Play, outcome: Outcome) -> None:
        """Keeps one more outcome."""
        self.outcomes[play] = outcome
        line = {**dataclasses.asdict(play), **dataclasses.asdict(outcome)}
        self._path.parent.mkdir(parents=True, exist_ok=True)
        with self._path.open("a") as lines:
            lines.write(json.dumps(line) + "\n")

    def _take(self, fields: dict[str, Any]) -> None:
        names = [field.name for field in dataclasses.fields(Play)]
        play = Play(**{name: fields.pop(name) for name in names})
        broken = tuple(fields.pop("broken"))
        self.outcomes[play] = Outcome(broken=broken, **fields)
