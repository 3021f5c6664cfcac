"""Generates a day file with random faults for the users' benchmark program.

The program itself combines only the faults that a site file lists. This tool
draws a few overlapping ones from all kinds and variants that may occur, and
prints a day file. The same seed gives the same day.
"""

import argparse
import dataclasses
import random


@dataclasses.dataclass(slots=True, frozen=True)
class FaultKind:
    """One kind of fault or planned work.

    Attributes:
      name: its name in a day file.
      variants: values of the field ``how``; an empty one omits the field.
      shares: least and greatest share of the targets that it affects; None
        omits the field.
      magnitudes: least and greatest value of the field ``x``; None omits it.
      durations_s: shortest and longest duration in seconds; None omits it.
      gap_s: seconds between its steps; 0 omits the field.
      count: most targets that it affects, instead of a share; 0 omits it.
      planned: whether it is planned work and no fault.
      extra: further fields, in the syntax of a day file.
      needs_health_checks: whether it needs a deployment with health checks.
    """

    name: str
    variants: tuple[str, ...] = ("",)
    shares: tuple[float, float] | None = None
    magnitudes: tuple[float, float] | None = None
    durations_s: tuple[float, float] | None = None
    gap_s: float = 0.0
    count: int = 0
    planned: bool = False
    extra: str = ""
    needs_health_checks: bool = False


_SHORT_S = (2.0, 7.0)

KINDS = (
    FaultKind("burst", magnitudes=(0.4, 2.2), durations_s=_SHORT_S),
    FaultKind("hot_key", shares=(0.2, 0.7), durations_s=_SHORT_S),
    FaultKind(
        "retry_abuse",
        shares=(0.2, 0.6),
        magnitudes=(2, 5),
        durations_s=_SHORT_S,
    ),
    FaultKind("give_up", ("", "once"), shares=(0.1, 0.5), durations_s=_SHORT_S),
    FaultKind(
        "srv_crash",
        ("", "dark", "gone", "domain", "joined", "rack", "dark across"),
        shares=(0.08, 0.25),
        durations_s=_SHORT_S,
    ),
    FaultKind(
        "srv_slow", shares=(0.1, 0.3), magnitudes=(3, 8), durations_s=_SHORT_S
    ),
    FaultKind(
        "srv_grey",
        ("errors", "shed", "busy", "hang", "reset", "mute", "slow"),
        shares=(0.1, 0.3),
        magnitudes=(0.2, 0.9),
        durations_s=_SHORT_S,
    ),
    FaultKind(
        "srv_flap",
        shares=(0.1, 0.2),
        durations_s=_SHORT_S,
        gap_s=1.2,
        needs_health_checks=True,
    ),
    FaultKind(
        "srv_lying_health",
        shares=(0.1, 0.3),
        durations_s=_SHORT_S,
        needs_health_checks=True,
    ),
    FaultKind(
        "release", shares=(0.2, 0.6), magnitudes=(1, 3), gap_s=0.8, planned=True
    ),
    FaultKind(
        "scale_in",
        ("", "spot", "reclaim"),
        shares=(0.08, 0.2),
        durations_s=(5, 9),
        planned=True,
    ),
    FaultKind("scale_out", shares=(0.1, 0.4), gap_s=2.0, planned=True),
    FaultKind(
        "answer_lost",
        ("", "reset"),
        shares=(0.3, 0.8),
        magnitudes=(0.02, 0.3),
        durations_s=_SHORT_S,
    ),
    FaultKind(
        "garble",
        ("", "extra", "unframed", "early", "extra late"),
        shares=(0.2, 0.7),
        magnitudes=(0.01, 0.1),
        durations_s=_SHORT_S,
    ),
    FaultKind(
        "node_kill", ("", "power"), shares=(0.1, 0.4), durations_s=_SHORT_S
    ),
    FaultKind(
        "node_kill",
        ("leader", "meet drain", "leader race drain", "reader", "hard"),
        durations_s=_SHORT_S,
        count=2,
        extra='on = "core"',
    ),
    FaultKind("node_freeze", shares=(0.1, 0.5), durations_s=_SHORT_S),
    FaultKind(
        "node_freeze",
        ("leader", "reader", "meet"),
        durations_s=_SHORT_S,
        count=2,
        extra='on = "core"',
    ),
    FaultKind(
        "node_slow", shares=(0.1, 0.4), magnitudes=(3, 8), durations_s=_SHORT_S
    ),
    FaultKind(
        "roll_term",
        ("", "busy", "leader", "remove"),
        shares=(0.3, 1.0),
        magnitudes=(1, 1),
        gap_s=1.4,
        planned=True,
    ),
    FaultKind(
        "herd_kill", ("", "power"), shares=(0.4, 1.0), durations_s=(1, 3)
    ),
    FaultKind("add_nodes", planned=True),
    FaultKind("replace_core", ("", "planned", "seed"), magnitudes=(1, 3)),
    FaultKind("after_ack_kill", ("kill", "timed"), count=2),
    FaultKind("hup", shares=(0.3, 1.0), gap_s=1.0, planned=True),
    FaultKind("zone_cut", ("", "refuse", "reset"), durations_s=_SHORT_S),
    FaultKind(
        "core_cut",
        ("", "reset", "one_way", "leader race", "reader", "near", "all"),
        durations_s=_SHORT_S,
        count=3,
    ),
    FaultKind(
        "node_cut",
        ("", "all", "servers"),
        shares=(0.1, 0.4),
        durations_s=_SHORT_S,
    ),
    FaultKind("lossy", magnitudes=(0.02, 0.12), durations_s=_SHORT_S),
    FaultKind("platform_down", ("silent", "busy", "reset"), durations_s=(2, 8)),
    FaultKind(
        "platform_down",
        (
            "nodes busy",
            "nodes many revoke meet",
            "nodes reset",
            "nodes silent revoke meet drain",
            "nodes leader busy",
        ),
        shares=(0.2, 0.7),
        durations_s=(3, 9),
    ),
    FaultKind("platform_slow", magnitudes=(20, 200), durations_s=_SHORT_S),
    FaultKind(
        "platform_lost",
        ("", "late"),
        magnitudes=(0.2, 0.7),
        durations_s=_SHORT_S,
    ),
    FaultKind(
        "platform_compact",
        ("", "drain"),
        magnitudes=(2, 6),
        durations_s=(5, 12),
    ),
    FaultKind(
        "config_change",
        ("route", "weights", "timeout", "tenant", "topup", "idle"),
        planned=True,
    ),
    FaultKind("config_storm", durations_s=(2, 5), gap_s=0.33, planned=True),
    FaultKind("big_config", count=400, planned=True),
    FaultKind("revoke", ("", "last"), gap_s=0.8, count=3, planned=True),
    FaultKind(
        "applied_late",
        ("", "orders", "grants", "all"),
        magnitudes=(0.2, 0.7),
        durations_s=_SHORT_S,
    ),
    FaultKind(
        "srv_cut",
        ("", "fronts", "some", "some lossy", "one_way", "reset", "reborn"),
        shares=(0.1, 0.4),
        magnitudes=(0.2, 0.6),
        durations_s=_SHORT_S,
    ),
    FaultKind(
        "replace_with_reuse",
        ("", "drain", "dark"),
        shares=(0.1, 0.25),
    ),
    FaultKind(
        "clock_step",
        ("", "back", "ahead"),
        shares=(0.2, 0.7),
        magnitudes=(1000, 9000),
        durations_s=_SHORT_S,
    ),
    FaultKind("reset_conns", shares=(0.1, 0.6), magnitudes=(0.3, 0.9)),
)
CLOSINGS = ("power_off_all", "kill_all", "")


def format_fault(kind: FaultKind, at_s: float, rng: random.Random) -> str:
    """Returns the entry of a day file for one fault or piece of planned work.

    Args:
      kind: its kind.
      at_s: when it begins, in seconds.
      rng: chooses the values of the other fields.
    """
    fields = [f"at = {at_s:.2f}", f'kind = "{kind.name}"']
    variant = rng.choice(kind.variants)
    if variant:
        fields.append(f'how = "{variant}"')
    for name, bounds in (
        ("share", kind.shares),
        ("x", kind.magnitudes),
        ("for_s", kind.durations_s),
    ):
        if bounds is not None:
            fields.append(f"{name} = {rng.uniform(*bounds):.3f}")
    if kind.gap_s:
        fields.append(f"gap_s = {kind.gap_s}")
    if kind.count:
        fields.append(f"count = {rng.randint(1, kind.count)}")
    if kind.extra:
        fields.append(kind.extra)
    return f"  {{ {', '.join(fields)} }},"


def draw_day(
    seed: int, length_s: float, troubles: int, with_health: bool = False
) -> str:
    """Returns a day file with random faults.

    Args:
      seed: determines all choices; part of the name of the day.
      length_s: its length in seconds.
      troubles: how many faults and pieces of planned work it has.
      with_health: whether the deployment has health checks.
    """
    rng = random.Random(seed)
    plan = []
    faults = []
    kinds = [
        kind for kind in KINDS if with_health or not kind.needs_health_checks
    ]
    for kind in rng.choices(kinds, k=troubles):
        entry = format_fault(kind, rng.uniform(1.0, length_s - 6.0), rng)
        (plan if kind.planned else faults).append(entry)
    closing = rng.choice(CLOSINGS)
    lines = ["[[day]]", f'name = "drawn-{seed}"', 'slot = "trouble"']
    lines += [f"seed = {seed}", f"length_s = {length_s}"]
    lines += ["one = 0.9", "zero = 0.1"]
    if closing:
        lines.append(f'closing = {{ kind = "{closing}", down_s = 0.7 }}')
    lines += ["plan = [", *plan, "]", "faults = [", *faults, "]"]
    return "\n".join(lines) + "\n"


def main() -> None:
    """Prints the day file of a seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seed", type=int)
    parser.add_argument("--length-s", type=float, default=40.0)
    parser.add_argument("--troubles", type=int, default=7)
    parser.add_argument("--health", action="store_true")
    args = parser.parse_args()
    day = draw_day(args.seed, args.length_s, args.troubles, args.health)
    print(day, end="")


if __name__ == "__main__":
    main()
