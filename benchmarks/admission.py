"""Times decisions on admission and sizes the summaries of demand.

Run as ``python benchmarks/admission.py``. The traffic between instances is
counted by one instance per fleet size on the virtual clock, with one service
that stays pressed; without pressure nothing is sent.
"""

import json
import random
import time

from rhubarblock.exchange.peering import demandupdates
from rhubarblock.exchange.peering import table as peer_table
from rhubarblock.kernel import timers as timer_service
from rhubarblock.kernel import virtualloop
from rhubarblock.routing.admission import controller as controllers
from rhubarblock.routing.placement import jobtracker

ROUNDS = 20_000
SEED = 7
WORKSPACES = 24
RANKS = 3
PEERS = 64
ENGINES = 100
SLOTS = 8
FLEETS = (82, 300, 370)
# Requests a second that one instance decides for, and the length of a count of
# traffic in seconds.
RATE_PER_S = 50.0
LENGTH_S = 20.0
# Bytes of the headers of IP and UDP.
HEADER_BYTES = 28
OUTLOOK = controllers.Outlook(0.1, 0.05, 0.2)


def make_candidate(number: int) -> controllers.Candidate:
    """Returns one of a mix of requests over all ranks and workspaces."""
    return controllers.Candidate(
        service="pool",
        rank=number % RANKS,
        workspace=f"workspace-{number % WORKSPACES}",
        value=1.4,
        cost_s=0.3,
        objective_s=0.3,
        waited_s=0.1,
        left_s=8.0,
        is_returning=number % 5 == 0,
        patience_s=2.0,
    )


def make_controller(now_s: float) -> controllers.AdmissionController:
    """Returns a controller of a pressed service with summaries of peers."""
    made = controllers.AdmissionController(random.Random(SEED))
    demand = made.find_demand("pool")
    for number in range(RANKS * WORKSPACES * 4):
        candidate = make_candidate(number)
        demand.note(
            candidate.rank,
            candidate.workspace,
            candidate.cost_s,
            number % 7 < 3,
            False,
            now_s,
        )
    summary = demand.summarise(now_s)
    for number in range(PEERS):
        demand.receive(f"10.0.0.{number}:9000", summary, now_s)
    return made


def time_decision() -> float:
    """Returns the microseconds of a decision, the least of three."""
    taken = []
    for _ in range(3):
        controller = make_controller(0.0)
        candidates = [make_candidate(n) for n in range(RANKS * WORKSPACES)]
        begun = time.process_time()
        for number in range(ROUNDS):
            # Within the time for which the summaries count.
            now_s = 3.0 * number / ROUNDS
            controller.decide(
                candidates[number % len(candidates)], OUTLOOK, 0, now_s
            )
        taken.append((time.process_time() - begun) / ROUNDS)
    return 1e6 * min(taken)


def time_utilisation() -> float:
    """Returns the microseconds of a measurement, the least of three."""
    tracker = jobtracker.JobTracker()
    names = [f"e{number}" for number in range(ENGINES)]
    for number in range(3 * ENGINES):
        part = jobtracker.Part(names[number % ENGINES], 0.1, 5_000)
        tracker.add(
            jobtracker.Job(f"j{number}", (part,), 0.25, 5_000, 0.3), 0.0
        )
    taken = []
    for _ in range(3):
        begun = time.process_time()
        for number in range(ROUNDS):
            tracker.measure_utilisation(names, SLOTS, 1e-4 * number)
        taken.append((time.process_time() - begun) / ROUNDS)
    return 1e6 * min(taken)


class CountingUpdates:
    """Counts the datagrams that would be sent, and their bytes."""

    def __init__(self) -> None:
        self.datagrams = 0
        self.payload_bytes = 0

    def listen(self, kind: str, listener: object) -> None:
        """Ignores the listener: nothing is received."""

    def send_to(self, address: peer_table.Address, fields: list) -> None:
        """Counts one datagram."""
        self.datagrams += 1
        encoded = json.dumps(fields, separators=(",", ":"))
        self.payload_bytes += len(encoded.encode())


async def count_traffic(instances: int, is_pressed: bool) -> CountingUpdates:
    """Counts what one instance sends in ``LENGTH_S`` seconds."""
    timers = timer_service.LoopTimers()
    peers = peer_table.PeerTable("i0", "osu", timers)
    for number in range(1, instances):
        peers.add(f"10.0.{number // 250}.{number % 250}", 9000)
    counted = CountingUpdates()
    controller = controllers.AdmissionController(random.Random(SEED))
    updates = demandupdates.DemandUpdates(
        controller, counted, peers, timers, random.Random(SEED)
    )
    demand = controller.find_demand("pool")
    for number in range(int(RATE_PER_S * LENGTH_S)):
        candidate = make_candidate(number)
        demand.note(
            candidate.rank,
            candidate.workspace,
            candidate.cost_s,
            not is_pressed or number % 7 < 3,
            candidate.is_returning,
            timers.read_monotonic(),
        )
        updates.note_pressure()
        await timers.sleep(1.0 / RATE_PER_S)
    return counted


def main() -> None:
    """Prints the times and a table of the traffic."""
    print(f"decision, us: {time_decision():.1f}")
    print(f"utilisation of {ENGINES} engines, us: {time_utilisation():.1f}")
    print("instances  pressed  datagrams/s  summary bytes  bytes/s")
    for instances in FLEETS:
        for is_pressed in (True, False):
            counted = virtualloop.run(count_traffic(instances, is_pressed))
            sent = counted.datagrams
            size = counted.payload_bytes / sent if sent else 0.0
            rate = (counted.payload_bytes + HEADER_BYTES * sent) / LENGTH_S
            print(
                f"{instances:9} {is_pressed!s:>8} {sent / LENGTH_S:12.1f}"
                f" {size:14.0f} {rate:8.0f}"
            )


if __name__ == "__main__":
    main()
