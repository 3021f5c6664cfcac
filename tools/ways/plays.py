"""Plays one day with the bench, in a copy of the code that has one way."""

import dataclasses
import json
import pathlib
import subprocess

from tools.ways import results

# Lines of the bench's output that an error shows.
_SHOWN_LINES = 5


class PlayError(Exception):
    """The bench gave no report."""


@dataclasses.dataclass(slots=True, frozen=True)
class Bench:
    """Where the bench and its sites are.

    Attributes:
      program: the bench.
      sites: folder in which the site files lie, at any depth.
      with_processor: whether processor time is charged; without, a play mostly
        repeats.
    """

    program: pathlib.Path
    sites: pathlib.Path
    with_processor: bool = False

    def find_site(self, name: str) -> pathlib.Path:
        """Returns the file of a site.

        Raises:
          PlayError: there is none, or the bench itself is missing.
        """
        if not self.program.exists():
            raise PlayError(f"there is no bench at {self.program}")
        found = sorted(self.sites.rglob(f"{name}.toml"))
        if not found:
            raise PlayError(f"there is no site {name} below {self.sites}")
        return found[0]


def copy_code(
    repository: pathlib.Path, revision: str, copy: pathlib.Path
) -> None:
    """Makes a copy of a revision of the code, unless it is there.

    Raises:
      PlayError: there is no such revision.
    """
    if copy.exists():
        return
    for command in (
        ["git", "clone", "--quiet", str(repository), str(copy)],
        ["git", "-C", str(copy), "checkout", "--quiet", revision],
    ):
        done = subprocess.run(command, capture_output=True, text=True)
        if done.returncode:
            raise PlayError(done.stderr.strip())


def run_play(
    bench: Bench, play: results.Play, copy: pathlib.Path, why: str
) -> results.Outcome:
    """Plays one day.

    Args:
      bench: the bench.
      play: what to play.
      copy: the code to play with.
      why: line for the journal of plays.

    Raises:
      PlayError: the bench gave no report.
    """
    report = copy.parent / f"{copy.name}-{play.site}-{_name_day(play)}.json"
    report.unlink(missing_ok=True)
    command = [str(bench.program), "run", str(bench.find_site(play.site))]
    command += [play.day, "--report", str(report), "--why", why]
    if play.seed:
        command += ["--seed", str(play.seed)]
    if play.small:
        command.append("--small")
    if not bench.with_processor:
        command.append("--no-cpu")
    done = subprocess.run(command, cwd=copy, capture_output=True, text=True)
    if not report.exists():
        lines = (done.stdout + done.stderr).splitlines()[-_SHOWN_LINES:]
        raise PlayError("the bench gave no report: " + " / ".join(lines))
    return results.read_report(json.loads(report.read_text()))


def _name_day(play: results.Play) -> str:
    return f"{pathlib.Path(play.day).stem}-{play.seed}"
