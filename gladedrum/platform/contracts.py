"""Contracts that a deployment lists in its settings, and the settings that each of them implies."""

from ..config import Item, Settings
from ..utils.machine import machine_memory_bytes

__all__ = ["contract_buffer_mb", "memory_bytes"]

_CONTRACTS = Item(
    "platform", "contracts", (),
    "Contracts of the deployment. `pressure`: callers and targets may read slowly, and the box "
    "must stay within its memory; turns on the buffer of answers with a quarter of memory_mb, "
    "unless [forward] answer_buffer_mb sets it. Names that the box does not know imply nothing.",
)  # fmt: skip
_MEMORY_MB = Item(
    "platform", "memory_mb", 0.0,
    "The memory of this box; 0: not known. The buffer of answers is then that of a box of 200 MB, "
    "and the limits on callers follow from the memory of the machine.",
    unit="MB", minimum=0,
)  # fmt: skip

PRESSURE = "pressure"
"""Callers and targets may read slowly, and a process above its memory limit is killed."""

BUFFER_SHARE = 0.25
"""Share of the box's memory that requests and answers may use by the counts of the budget. On the
smallest boxes (200 MB) the process needs about 40 MB, and 50 MB are counted. As much again is
allowed for what is not counted: spare room in buffers, copies in transports, the state of each
connection and the fragmentation of the heap. That gives 140 MB. Measured: a process of 64 MB grew
to 134 MB at most with 300 to 900 callers that read slowly or not at all and a limit of 50 MB."""

SMALLEST_MEMORY_MB = 200.0
"""The memory of the smallest boxes, assumed where it is not set."""


def memory_bytes(cfg: Settings) -> float:
    """Return the memory of this box in bytes; that of the machine if the settings don't say."""
    return 1_000_000 * cfg.get(_MEMORY_MB) or machine_memory_bytes()


def contract_buffer_mb(cfg: Settings) -> float:
    """Return the size of the buffer of answers that the contracts imply, in MB; 0 for none."""
    if PRESSURE not in cfg.get(_CONTRACTS):
        return 0.0
    return BUFFER_SHARE * (cfg.get(_MEMORY_MB) or SMALLEST_MEMORY_MB)
