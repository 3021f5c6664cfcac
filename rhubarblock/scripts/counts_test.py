from click import testing

from rhubarblock.scripts import counts

LOG = """\
 1.0 e1 {"message": "counters", "up_s": 1.0, "counts": {"news.received": 9}}
 3.0 e1 {"message": "counters", "up_s": 2.0, "counts": {"news.received": 20}}
 4.0 e2 {"message": "counters", "up_s": 4.0, "counts": {"store.read.x": 8}}
 5.0 e1 {"message": "counters", "up_s": 1.0, "counts": {"news.received": 4}}
 6.0 e1 {"message": "counters", "up_s": 2.0, "cou
"""


def run(tmp_path, text):
    path = tmp_path / "all.log"
    path.write_text(text)
    return testing.CliRunner().invoke(counts.counts_command, [str(path)])


def test_counters_are_summed_over_restarts(tmp_path):
    assert (
        run(tmp_path, LOG).output
        == """\
counter                          total  middle/s busiest/s
news.received                       24      4.00      8.00
store.read.x                         8      1.00      2.00
"""
    )


def test_logs_without_counters_are_an_error(tmp_path):
    result = run(tmp_path, "no line of ours\n")
    assert result.exit_code == 1
    assert result.output == "Error: no line of the logs holds counters\n"
