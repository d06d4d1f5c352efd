"""Order the states of a store that may be restored from an older copy.

After a restoration the store's revision is lower than before, and revisions are given out again.
The store counts its restorations in an epoch. A position holds the epoch in its upper bits and the
revision within the epoch in the lower ones, as the transaction ids of ZooKeeper do, so positions
are ordered as integers.
"""

REVISION_BITS = 40
"""Bits of the revision; 23 remain for the epoch, so positions fit signed integers of 64 bits."""

MAX_REVISION = (1 << REVISION_BITS) - 1
MAX_EPOCH = (1 << 23) - 1


def make_position(epoch: int, revision: int) -> int:
    """Return the position of a revision in an epoch.

    In epoch 0 a position is the revision itself, so a position may be given in place of a revision.
    """
    return (epoch << REVISION_BITS) + revision


def text_of(position: int) -> str:
    """Return a position for operators: the revision, after the epoch if that is not 0."""
    epoch, revision = epoch_of(position), revision_of(position)
    return f"{epoch}:{revision}" if epoch else str(revision)


def epoch_of(position: int) -> int:
    """Return the epoch of a position."""
    return position >> REVISION_BITS


def revision_of(position: int) -> int:
    """Return the revision within the epoch of a position."""
    return position & MAX_REVISION
