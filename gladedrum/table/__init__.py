"""The table of weights and limits of organisations and classes of requests.

Operators change the table by edits, which are kept in the store (the platform's key-value store).
Its rows are organisations and classes of requests, its columns are knobs, and every accepted edit
makes a new revision.

On each box one task brings new revisions into force: `TableFollower` on a box that forwards
requests, `TableReplicator` on a box that serves the OpenAI interface.
"""

from .core import *
from .core import __all__ as _core_all
from .edits import *
from .edits import __all__ as _edits_all
from .follow import *
from .follow import __all__ as _follow_all
from .knobs import *
from .knobs import __all__ as _knobs_all
from .replication import *
from .replication import __all__ as _replication_all
from .store import *
from .store import __all__ as _store_all

__all__ = [*_core_all, *_edits_all, *_knobs_all, *_follow_all, *_replication_all, *_store_all]
