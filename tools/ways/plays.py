"""Runs one play of the benchmark program on a copy of one revision."""

import dataclasses
import json
import pathlib
import subprocess

from tools.ways import results

# Last lines of the output that an error quotes.
_SHOWN_LINES = 5


class PlayError(Exception):
    """A play could not be run or gave no report."""


@dataclasses.dataclass(slots=True, frozen=True)
class BenchmarkProgram:
    """Locations and options of the benchmark program.

    Attributes:
      program: the executable.
      sites: folder with the site files, at any depth.
      with_processor: whether processor time is charged; otherwise the outcome
        of a play is mostly repeatable.
    """

    program: pathlib.Path
    sites: pathlib.Path
    with_processor: bool = False

    def find_site(self, name: str) -> pathlib.Path:
        """Returns the file of a site.

        Raises:
          PlayError: the site or the benchmark program does not exist.
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
    """Clones a revision of the code, unless the copy exists.

    Raises:
      PlayError: git failed, for instance because the revision is unknown.
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
    bench: BenchmarkProgram, play: results.Play, copy: pathlib.Path, why: str
) -> results.Outcome:
    """Runs one play.

    Args:
      bench: the benchmark program.
      play: the play.
      copy: folder with the code under test.
      why: reason that the benchmark program records in its journal.

    Raises:
      PlayError: the program wrote no report.
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
