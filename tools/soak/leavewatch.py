"""Checks that instances send nothing new to endpoints that leave."""

from collections.abc import Mapping

from rhubarblock.platform import names
from tools.soak import evidence as evidences


def note_answer(
    evidence: evidences.Evidence, headers: Mapping[str, str], process_id: int
) -> None:
    """Records whether a process forwarded that an endpoint leaves."""
    if names.LEAVING not in headers:
        return
    # The signature is the announcement id of a RateWatch, which begins with
    # the id of the endpoint.
    endpoint_id = headers.get(names.SEAL, "").partition(".")[0]
    key = (endpoint_id, process_id)
    evidence.leaving_forwarded_s.setdefault(key, evidences.read_clock())


def check_arrival(
    evidence: evidences.Evidence, request_id: str, endpoint_id: str
) -> None:
    """Checks that a process sends nothing new to an endpoint that leaves.

    The check applies once the process has forwarded the announcement to a
    caller, which shows that it has received it. Processes that were frozen
    since are exempt.
    """
    sent = evidence.sent.get(request_id)
    if sent is None:
        return
    forwarded_s = evidence.leaving_forwarded_s.get(
        (endpoint_id, sent.process_id)
    )
    if forwarded_s is None or evidence.was_disturbed(
        sent.process_id, forwarded_s
    ):
        return
    late_s = sent.at_s - forwarded_s
    if late_s > evidences.DRAIN_NOTICE_S:
        evidence.violations.append(
            f"{request_id} reached {endpoint_id} and was sent {late_s:.2f} s "
            f"after process {sent.process_id} passed on that it leaves"
        )
