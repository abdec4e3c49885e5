"""A small fleet with short answers, for tests of the placement of long prompts."""

from gladedrum.scheduling.engine_model import EngineTraits
from gladedrum.scheduling.expected_loss import worth_of
from gladedrum.scheduling.ledger import LedgerRow, Stake

TRAITS = EngineTraits(
    slots=8,
    memory_tokens=405_000,
    step_s=0.00131,
    per_writer_s=1.8e-6,
    per_context_token_s=2.13e-9,
    read_tokens_per_s=154_000.0,
    per_pair_s=1.62e-10,
    stride=34,
    hop_s=0.0001,
)
ENGINES = 18


def short_row(name: str) -> LedgerRow:
    """Return a ledger row of a short answer that is being written."""
    stake = Stake(worth_of(5_000), -0.1, 0.25, 1.6)
    return LedgerRow(name, 5_000, 1.0, 1_300, 6_300, True, stake, -0.4, -0.3, 0.0)
