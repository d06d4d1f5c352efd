"""The exceptions that ebonystile raises, each with the step and the peer at which it occurred."""


class EbonystileError(Exception):
    """Base of all errors that ebonystile raises on purpose.

    `step` names the operation ("read settings", "pull configuration"), `peer` the other side of it
    (an address, a file, "platform"). Both are part of the message.
    """

    def __init__(self, reason: str, *, step: str, peer: str):
        super().__init__(f"{step}: {peer}: {reason}")
        self.reason = reason
        self.step = step
        self.peer = peer


class UserError(EbonystileError):
    """Report a fault that the user of the command line can fix; shown as one line."""


class SettingsError(UserError):
    """Report invalid settings or documents, with all faults in `faults`."""

    def __init__(self, faults: list[str], *, step: str, peer: str):
        super().__init__("; ".join(faults), step=step, peer=peer)
        self.faults = faults


class DatagramError(EbonystileError):
    """Report an invalid datagram, which is counted and dropped."""


class PlatformError(EbonystileError):
    """Report that the platform gave no valid answer."""


class UpstreamError(EbonystileError):
    """Report that the upstream gave no valid answer.

    `may_have_run` is False only if the request was certainly not run; `retry_at` is the time in ms
    from which the upstream accepts a retry, None if it named none.
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
    """Report that another process of the system gave no valid answer."""


class CallError(EbonystileError):
    """Base of the errors that a caller receives as the final outcome of a request."""


class NotRunError(CallError):
    """Report that the request was not run and will not be; it may be retried at `retry_at` (ms)."""

    def __init__(self, reason: str, *, step: str, peer: str, retry_at: int):
        super().__init__(reason, step=step, peer=peer)
        self.retry_at = retry_at


class OutcomeUnknownError(CallError):
    """Report that it can't be determined whether the request was run."""
