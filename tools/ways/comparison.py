"""Plays several ways of one decision on the same days and seeds."""

from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
import dataclasses
import pathlib
import time

from tools.ways import plays
from tools.ways import results

Player = Callable[[results.Play], results.Outcome]


@dataclasses.dataclass(slots=True, frozen=True)
class Way:
    """One way of a decision.

    Attributes:
      name: its name in the table.
      revision: the revision of the code that has it.
    """

    name: str
    revision: str


def parse_way(text: str) -> Way:
    """Reads ``NAME=REVISION``.

    Raises:
      ValueError: it has another form.
    """
    name, sign, revision = text.partition("=")
    if not (name and sign and revision):
        raise ValueError(f"{text!r} is not NAME=REVISION")
    return Way(name, revision)


def list_plays(
    ways: Iterable[Way],
    sites: Iterable[str],
    days: Iterable[str],
    seeds: Iterable[int],
    small: bool,
) -> list[results.Play]:
    """Returns all plays, those of one day and seed behind each other."""
    return [
        results.Play(way.name, site, day, seed, small)
        for site in sites
        for day in days
        for seed in seeds
        for way in ways
    ]


def play_all(
    wanted: list[results.Play],
    kept: results.ResultFile,
    run: Player,
    jobs: int,
    tell: Callable[[str], None],
) -> None:
    """Plays what is not kept yet.

    A play that gives no report is told and left out.

    Args:
      wanted: the plays.
      kept: outcomes of earlier plays; takes new ones.
      run: plays one.
      jobs: plays at once.
      tell: takes lines about the progress.
    """
    missing = [play for play in wanted if play not in kept.outcomes]
    tell(f"{len(wanted) - len(missing)} plays are kept, {len(missing)} to go")
    begun_s = time.monotonic()
    with futures.ThreadPoolExecutor(jobs) as pool:
        running = {pool.submit(run, play): play for play in missing}
        for count, done in enumerate(futures.as_completed(running), 1):
            play = running[done]
            each_s = (time.monotonic() - begun_s) / count
            left = f"{each_s * (len(missing) - count):.0f} s left"
            try:
                outcome = done.result()
            except plays.PlayError as error:
                tell(f"{play.way} {play.site} {play.day}: {error}")
                continue
            kept.add(play, outcome)
            tell(
                f"{play.way} {play.site} {play.day} seed {play.seed}: "
                f"{outcome.worth:.3f}, {left}"
            )


def make_player(
    bench: plays.Bench, copies: dict[str, pathlib.Path], why: str
) -> Player:
    """Returns what plays a day in the copy that has its way.

    Args:
      bench: the bench.
      copies: the copy of the code by the name of a way.
      why: line for the journal of plays.
    """

    def run(play: results.Play) -> results.Outcome:
        line = f"{why}: {play.way}"
        return plays.run_play(bench, play, copies[play.way], line)

    return run
