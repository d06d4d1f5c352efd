"""The exceptions that ebonystile raises, each with the step and the peer at which it arose."""


class EbonystileError(Exception):
    """Base of all errors that ebonystile raises on purpose.

    `step` names what was being done ("read settings", "pull configuration"), `peer` with whom
    (an address, a file, "platform"), so that one line tells an operator where to look.
    """

    def __init__(self, reason: str, *, step: str, peer: str):
        super().__init__(f"{step}: {peer}: {reason}")
        self.reason = reason
        self.step = step
        self.peer = peer


class UserError(EbonystileError):
    """Report a fault that the person at the command line can mend; shown as one line."""


class SettingsError(UserError):
    """Report settings or documents that do not hold, every fault at once in `faults`."""

    def __init__(self, faults: list[str], *, step: str, peer: str):
        super().__init__("; ".join(faults), step=step, peer=peer)
        self.faults = faults


class DatagramError(EbonystileError):
    """Report a datagram that cannot be used: it is counted and dropped."""


class PlatformError(EbonystileError):
    """Report that the platform gave no usable answer."""


class UpstreamError(EbonystileError):
    """Report that the upstream gave no usable answer.

    `may_have_run` is False only where the request was surely not run; `retry_at` (ms) is when the
    upstream wants to be asked again, where it said so.
    """

    def __init__(
        self,
        reason: str,
        *,
        step: str,
        peer: str,
        may_have_run: bool = True,
        retry_at: int | None = None,
    ):
        super().__init__(reason, step=step, peer=peer)
        self.may_have_run = may_have_run
        self.retry_at = retry_at


class PeerError(EbonystileError):
    """Report that another process of the system gave no usable answer."""


class CallError(EbonystileError):
    """Base of the final answers a caller gets instead of a result."""


class NotRunError(CallError):
    """Report that the request was not run and never will be; come back at `retry_at` (ms)."""

    def __init__(self, reason: str, *, step: str, peer: str, retry_at: int):
        super().__init__(reason, step=step, peer=peer)
        self.retry_at = retry_at


class OutcomeUnknownError(CallError):
    """Report that nobody can tell any more whether the request was run."""
