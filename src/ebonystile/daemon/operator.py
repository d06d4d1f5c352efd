"""Pass operators' questions from the TCP server to the core's owner thread, and return answers."""

import threading
from collections import abc
from concurrent import futures

from ebonystile import errors
from ebonystile.operator import messages
from ebonystile.peer import seal

ANSWER_TIMEOUT_S = 5
"""Longest time for which a question waits for the owner thread, in seconds."""

Ask = abc.Callable[[messages.Question], "futures.Future[messages.Answer]"]


class Handler:
    """Open a question, have the owner thread answer it, and seal the answer.

    It has its own seal, which the connections' threads share under a lock, so that operators'
    messages don't enter the replay windows of the packet path.
    """

    def __init__(self, keys: abc.Sequence[seal.Key], incarnation: int, ask: Ask):
        self.seal = seal.make_seal(keys, incarnation)
        self.lock = threading.Lock()
        self.ask = ask

    def __call__(self, data: bytes) -> bytes:
        """Return the sealed answer; raise `DatagramError` or `PeerError` where there is none."""
        with self.lock:
            opened = self.seal.open(data)
        question = messages.OPERATOR.from_items(opened.body)
        if not isinstance(question, messages.Question):
            raise errors.DatagramError("not a question", step="answer operator", peer="operator")
        try:
            answer = self.ask(question).result(ANSWER_TIMEOUT_S)
        except (futures.TimeoutError, futures.CancelledError) as error:
            reason = "the process is too busy"
            raise errors.PeerError(reason, step="answer operator", peer="operator") from error
        with self.lock:
            return self.seal.seal(messages.OPERATOR.to_items(answer))


def make_handler(keys: abc.Sequence[seal.Key], incarnation: int, ask: Ask) -> Handler:
    """Return the server's handler for `messages.PATH`.

    `ask` posts the question to the owner thread and returns a future of the answer, which that
    thread computes with `answers.answer`.
    """
    return Handler(keys, incarnation, ask)
