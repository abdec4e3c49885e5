"""Work plans: the record of a placement, as ledgers keep it and boxes send it to each other.

*Work* is one placement of a request on its targets, from the choice until it leaves them.
"""

from dataclasses import dataclass

from ..gossip.wire.ttypes import WorkNote

__all__ = ["WorkPlan", "box_of", "note_from_plan", "plan_from_note", "request_of", "work_id_of"]

_NEVER_S = float("inf")


@dataclass(frozen=True, slots=True)
class WorkPlan:
    """A placement as recorded in ledgers and sent to peers.

    Parameters
    ----------
    work_id : str
        Unique to the placement: `work_id_of`, and a suffix for each question to a coordinator.
    targets : tuple of str
        The target that answers, then its helpers.
    prompt_tokens, answer_tokens : int
        Size of the request.
    worth : float
        Worth of serving it in time, see `expected_loss.worth_of`.
    first_due_in_s : float
        Seconds until its first event is due.
    pause_limit_s : float
        Longest acceptable pause between events, in seconds.
    reserved : bool
        Whether each target holds the part of the prompt that it reads.
    caller_leaves_in_s : float
        Seconds until serving it is useless, see `choosing.Demand`.
    digest : bytes
        Digest of the request's content if it is suspected of ending targets, else empty.
    alone : bool
        Whether no other request may run on its targets.
    parts : tuple of bytes
        Digests of the parts of its prompt that it tests, see `scheduling.part_tests`.
    """

    work_id: str
    targets: tuple[str, ...]
    prompt_tokens: int = 0
    answer_tokens: int = 0
    worth: float = 1.0
    first_due_in_s: float = 1.0
    pause_limit_s: float = 1.0
    reserved: bool = False
    caller_leaves_in_s: float = float("inf")
    digest: bytes = b""
    alone: bool = False
    parts: tuple[bytes, ...] = ()

    def held_tokens(self, main: bool) -> float:
        """Return the memory it takes on the answering target, or on each helper, in tokens."""
        answer = self.answer_tokens if main else 0
        if self.reserved:
            return self.prompt_tokens / len(self.targets) + answer
        return self.prompt_tokens + answer if main else 0.0


def work_id_of(box: str, number: int) -> str:
    """Return the id of a box's work; suffixes that start with a dot may be appended."""
    return f"{box}_{number}"


def box_of(work_id: str) -> str:
    """Return the box that an id of work belongs to."""
    return work_id.rpartition("_")[0]


def request_of(work_id: str) -> str:
    """Return an id of work without its suffixes; it stays the same while a request waits."""
    box, _separator, number = work_id.rpartition("_")
    return f"{box}_{number.partition('.')[0]}"


def note_from_plan(plan: WorkPlan, change: int) -> WorkNote:
    """Return the note that tells peers that work was placed, has ended or has otherwise changed."""
    return WorkNote(
        plan.work_id,
        change,
        list(plan.targets),
        plan.prompt_tokens,
        plan.answer_tokens,
        plan.worth,
        plan.first_due_in_s,
        plan.pause_limit_s,
        plan.reserved,
        plan.caller_leaves_in_s,
        plan.digest or None,
        plan.alone or None,
        list(plan.parts) or None,
    )


def plan_from_note(note: WorkNote) -> WorkPlan:
    """Return the plan in a peer's note."""
    return WorkPlan(
        note.work_id or "",
        tuple(note.targets or ()),
        note.prompt_tokens or 0,
        note.answer_tokens or 0,
        note.value or 1.0,
        note.first_due_in_s or 0.0,
        note.pause_limit_s or 1.0,
        bool(note.reserved),
        _NEVER_S if note.lost_in_s is None else note.lost_in_s,
        note.digest or b"",
        bool(note.alone),
        tuple(note.parts or ()),
    )
