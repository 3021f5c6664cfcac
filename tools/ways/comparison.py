"""Runs the plays of several ways and stores their outcomes."""

from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
import dataclasses
import pathlib
import time

from tools.ways import plays
from tools.ways import results

PlayRunner = Callable[[results.Play], results.Outcome]


@dataclasses.dataclass(slots=True, frozen=True)
class Way:
    """One alternative of a design decision.

    Attributes:
      name: its name in the table.
      revision: the git revision that implements it.
    """

    name: str
    revision: str


def parse_way(text: str) -> Way:
    """Parses ``NAME=REVISION``.

    Raises:
      ValueError: the text has another form.
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
    """Returns all plays; those of one day and seed are consecutive."""
    return [
        results.Play(way.name, site, day, seed, small)
        for site in sites
        for day in days
        for seed in seeds
        for way in ways
    ]


def run_missing_plays(
    wanted: list[results.Play],
    result_file: results.ResultFile,
    run: PlayRunner,
    jobs: int,
    log: Callable[[str], None],
) -> None:
    """Runs the plays that have no outcome yet.

    A play that gives no report is logged and skipped.

    Args:
      wanted: the plays.
      result_file: outcomes of earlier plays; new ones are added.
      run: runs one play.
      jobs: number of concurrent plays.
      log: called with each line about the progress.
    """
    missing = [play for play in wanted if play not in result_file.outcomes]
    log(f"{len(wanted) - len(missing)} plays are kept, {len(missing)} to go")
    begun_s = time.monotonic()
    with futures.ThreadPoolExecutor(jobs) as pool:
        running = {pool.submit(run, play): play for play in missing}
        for count, done in enumerate(futures.as_completed(running), 1):
            play = running[done]
            mean_s = (time.monotonic() - begun_s) / count
            remaining = f"{mean_s * (len(missing) - count):.0f} s left"
            try:
                outcome = done.result()
            except plays.PlayError as error:
                log(f"{play.way} {play.site} {play.day}: {error}")
                continue
            result_file.add(play, outcome)
            log(
                f"{play.way} {play.site} {play.day} seed {play.seed}: "
                f"{outcome.worth:.3f}, {remaining}"
            )


def make_play_runner(
    bench: plays.BenchmarkProgram, copies: dict[str, pathlib.Path], why: str
) -> PlayRunner:
    """Returns a function that runs a play in the copy of its way.

    Args:
      bench: the benchmark program.
      copies: folder of the copy of the code, by the name of its way.
      why: reason that the benchmark program records in its journal.
    """

    def run(play: results.Play) -> results.Outcome:
        line = f"{why}: {play.way}"
        return plays.run_play(bench, play, copies[play.way], line)

    return run
