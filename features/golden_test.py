"""Compares a scripted session with a golden file.

The script is fixed, the clock is fake and every choice follows from a seed, so
each run gives the same log of what every caller received and when. A change of
routing may change the times in it, but nothing else. To accept such a change:

    REWRITE_GOLDEN=1 .venv/bin/python -m pytest features/golden_test.py
    git diff features/golden

Review the difference before committing it.
"""

import os
import pathlib

from returns import result

from rhubarblock.experiments import smallfleet_test as smallfleet

GOLDEN = pathlib.Path(__file__).parent / "golden"
REWRITE = "REWRITE_GOLDEN"


class Log:
    """Log of what each caller received, with times of the fake clock."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.start_s = fleet.now_s
        self.lines = []

    def note(self, text):
        self.lines.append((self.fleet.now_s, text))

    def watch(self, caller):
        """Logs the first piece that a caller receives, and its outcome."""
        write = caller.write

        async def note_first(chunk):
            if not caller.tokens and chunk.count:
                self.note_now(f"{caller.name} gets the first token")
            await write(chunk)

        caller.write = note_first
        caller.task.add_done_callback(lambda _: self.note_end(caller))
        return caller

    def note_now(self, text):
        now_s = self.fleet.simulation.timers.read_monotonic()
        self.lines.append((now_s, text))

    def note_end(self, caller):
        outcome = caller.outcome
        if isinstance(outcome, result.Failure):
            failure = outcome.failure()
            after = f" after {caller.tokens} tokens" if caller.tokens else ""
            self.note_now(
                f"{caller.name} is told {failure.verdict.value}"
                f"{after}: {failure.code.value}, {failure.message}"
            )
        elif caller.wanted:
            kind = "its whole answer" if caller.complete else "A WRONG ANSWER"
            done = outcome.unwrap()
            self.note_now(
                f"{caller.name} has {kind}: {done.prompt_tokens} + "
                f"{done.completion_tokens} tokens, {done.attempts} attempts"
            )
        else:
            kept = " again" if outcome.unwrap().replayed else ""
            answer = outcome.unwrap().body.decode()
            self.note_now(f"{caller.name} has the answer{kept}: {answer}")

    def format(self):
        return "".join(
            f"{at_s - self.start_s:9.3f} {text}\n" for at_s, text in self.lines
        )


def run_session(fleet, log):
    """Runs the script: prompts, notices, faults and a planned stop."""
    accra, tema = fleet.nodes[:2]

    def ask(name, tokens, node=accra, **fields):
        log.note(f"{name} asks {node.instance_id} for {tokens} tokens")
        return log.watch(fleet.ask(name, tokens, node=node, **fields))

    def call(name, key, node=accra):
        log.note(f"{name} calls {node.instance_id} under the key {key}")
        return log.watch(fleet.call(name, key, "/notices", node=node))

    log.note("the session begins; " + ", ".join(fleet.simulation.instances))
    ask("pick list 1", 1_000)
    ask("case file", 500_000, tema, output=12, deadline_s=120.0)
    fleet.advance(0.5)
    ask("pick list 2", 1_200, tema)
    ask("hopeless", 40_000, deadline_s=0.2)
    call("fee notice", "K7")
    call("fee notice", "K7", tema)
    fleet.advance(1.0)
    call("other notice", "K7", tema)
    broken = ask("convoy plan", 30_000, output=60)
    fleet.advance_until_tokens(broken, 20)
    engine = next(
        x
        for x in fleet.engines
        if any(name.startswith(broken.request_id) for name in x.kv_held())
    )
    engine.faults.cut_next = 1
    log.note(f"{engine.endpoint_id} cuts a stream")
    fleet.advance(2.0)
    dying = ask("flood brief", 200_000, tema, output=30, deadline_s=90.0)
    fleet.advance_until_tokens(dying, 5)
    engine = next(
        x
        for x in fleet.engines
        if any(name.startswith(dying.request_id) for name in x.kv_held())
    )
    fleet.call_in_loop(engine.die)
    log.note(f"{engine.endpoint_id} dies")
    fleet.advance(60.0)
    fleet.call_in_loop(fleet.simulation.store.faults.start_outage)
    log.note("the platform is down")
    call("late notice", "K8")
    ask("pick list 3", 1_000)
    fleet.advance(20.0)
    fleet.simulation.store.faults.end_outage()
    log.note("the platform is back")
    fleet.advance(5.0)
    call("late notice", "K8")
    log.note(f"{tema.instance_id} stops as planned")
    ask("pick list 4", 1_000, tema)
    fleet.run(fleet.simulation.stop_instance(tema))
    log.note(f"{tema.instance_id} has stopped")
    fleet.advance(5.0)
    held = sum(sum(x.kv_held().values()) for x in fleet.engines)
    runs = [run.key for run in fleet.simulation.runs.runs]
    log.note(f"engines hold {held} tokens; notices that ran: {runs}")


def test_session_matches_the_golden_file():
    path = GOLDEN / "session.txt"
    with smallfleet.open_fleet(engines=6, decoders=2) as fleet:
        fleet.advance(10.0)
        log = Log(fleet)
        run_session(fleet, log)
        text = log.format()
    if os.environ.get(REWRITE):
        path.write_text(text)
    assert text == path.read_text()
