"""Endpoints of the soak that say in their answers that they leave."""

from collections.abc import Mapping

from rhubarblock.platform import names
from tools.soak import evidence as evidences


def note_answer(
    evidence: evidences.Evidence, headers: Mapping[str, str], process_id: int
) -> None:
    """Takes in whether a process passed on that an endpoint leaves."""
    if names.LEAVING not in headers:
        return
    # The signature is the mark of a rate watch, which begins with the id.
    endpoint_id = headers.get(names.SEAL, "").partition(".")[0]
    told = (endpoint_id, process_id)
    evidence.leaving_s.setdefault(told, evidences.read_clock())


def check_arrival(
    evidence: evidences.Evidence, request_id: str, endpoint_id: str
) -> None:
    """Checks that a process sends nothing new to an endpoint that leaves."""
    sent = evidence.sent.get(request_id)
    if sent is None:
        return
    told_s = evidence.leaving_s.get((endpoint_id, sent.process_id))
    if told_s is None or evidence.was_disturbed(sent.process_id, told_s):
        return
    late_s = sent.at_s - told_s
    if late_s > evidences.DRAIN_S:
        evidence.faults.append(
            f"{request_id} reached {endpoint_id} and was sent {late_s:.2f} s "
            f"after process {sent.process_id} passed on that it leaves"
        )
