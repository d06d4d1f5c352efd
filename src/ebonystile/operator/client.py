"""Query many processes in parallel; each gives an answer or an error."""

import dataclasses
import random
import typing
from collections import abc
from concurrent import futures

from ebonystile import clock, errors
from ebonystile.core import view
from ebonystile.operator import messages
from ebonystile.peer import bulk, seal

STEP = "ask process"


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """A process to query, as named by the platform, another process or the operator."""

    name: str
    role: str
    address: view.Address


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The result of querying one process: its answer, or None and the error."""

    process: Process
    answer: messages.Answer | None
    error: str = ""


QuestionFactory = abc.Callable[[bytes], messages.Question]


@dataclasses.dataclass(frozen=True, slots=True)
class Client:
    """Queries processes: the keys, the timeout of an exchange, and the number of parallel ones."""

    keys: tuple[seal.Key, ...]
    randomness: random.Random
    wait_ms: int
    parallel: int

    def ask_all(self, processes: abc.Sequence[Process], make: QuestionFactory) -> list[Reply]:
        """Query every process and return one reply for each, in the given order.

        `wait_ms` bounds each exchange, not the whole call: with more than `parallel` unreachable
        processes the call takes a multiple of it.
        """
        if not processes:
            return []
        with futures.ThreadPoolExecutor(min(self.parallel, len(processes))) as pool:
            return list(pool.map(lambda process: self.ask(process, make), processes))

    def ask(self, process: Process, make: QuestionFactory) -> Reply:
        """Query one process; turn an `EbonystileError` into a reply with its reason."""
        try:
            return Reply(process, self.exchange(process, make))
        except errors.EbonystileError as error:
            return Reply(process, None, error.reason)

    def exchange(self, process: Process, make: QuestionFactory) -> messages.Answer:
        """Return the answer of one process; raise an `EbonystileError` if there is none."""
        question = make(self.randomness.randbytes(messages.ID_BYTES))
        own_seal = seal.make_seal(self.keys, self.randomness.getrandbits(64))
        data = own_seal.seal(messages.OPERATOR.to_items(question))
        wait_until = clock.now() + self.wait_ms
        reply = bulk.exchange(process.address, messages.PATH, data, wait_until)
        answer = messages.OPERATOR.from_items(own_seal.open(reply).body)
        if not isinstance(answer, messages.Answer) or answer.id != question.id:
            raise errors.PeerError(
                "the answer is to another question", step=STEP, peer=process.name
            )
        if isinstance(answer, messages.Refused):
            raise errors.PeerError(answer.reason, step=STEP, peer=process.name)
        return answer


def make_client(
    keys: typing.Iterable[seal.Key], *, wait_ms: int, parallel: int, randomness: random.Random
) -> Client:
    """Return a client that signs with the first of the keys."""
    return Client(tuple(keys), randomness, wait_ms, parallel)
