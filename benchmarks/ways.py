r"""Compares ways of one decision on the same days and seeds.

Each way is a revision of the code, played in a copy of its own. Outcomes are
kept in one file; a comparison that was stopped goes on where it was:

    python -m benchmarks.ways --decision state --way whole=REVISION \
        --way changes=HEAD --site adwoa-file --day quiet-1 --seed 1 --seed 2
"""

import pathlib
import sys

import click

from tools.ways import comparison
from tools.ways import plays
from tools.ways import results
from tools.ways import table

ROOT = pathlib.Path(__file__).resolve().parent.parent


@click.command()
@click.option("--decision", required=True, help="names the result file")
@click.option("--way", "texts", multiple=True, required=True, help="NAME=REV")
@click.option("--site", "sites", multiple=True, required=True)
@click.option("--day", "days", multiple=True, required=True)
@click.option("--seed", "seeds", multiple=True, type=int, default=(0,))
@click.option("--small", is_flag=True, help="plays the small twins")
@click.option("--processor", is_flag=True, help="charges processor time")
@click.option("--jobs", default=2, show_default=True, help="plays at once")
@click.option("--bench", required=True, type=click.Path(path_type=pathlib.Path))
@click.option(
    "--sites-folder", required=True, type=click.Path(path_type=pathlib.Path)
)
@click.option(
    "--copies",
    type=click.Path(path_type=pathlib.Path),
    default=ROOT.parent / "ways",
    help="folder for the copies of the code",
)
def main(
    decision: str,
    texts: tuple[str, ...],
    sites: tuple[str, ...],
    days: tuple[str, ...],
    seeds: tuple[int, ...],
    small: bool,
    processor: bool,
    jobs: int,
    bench: pathlib.Path,
    sites_folder: pathlib.Path,
    copies: pathlib.Path,
) -> None:
    """Plays all ways and prints the table."""
    try:
        ways = [comparison.parse_way(text) for text in texts]
        program = plays.BenchmarkProgram(bench, sites_folder, processor)
        for site in sites:
            program.find_site(site)
        folders = {way.name: copies / way.revision for way in ways}
        for way in ways:
            plays.copy_code(ROOT, way.revision, folders[way.name])
    except (ValueError, plays.PlayError) as error:
        sys.exit(str(error))
    result_file = results.ResultFile(
        ROOT / "benchmarks" / "ways" / f"{decision}.jsonl"
    )
    comparison.run_missing_plays(
        comparison.list_plays(ways, sites, days, seeds, small),
        result_file,
        comparison.make_play_runner(program, folders, f"ways of {decision}"),
        jobs,
        click.echo,
    )
    click.echo(
        table.format_table(result_file.outcomes, [way.name for way in ways])
    )


if __name__ == "__main__":
    main()
