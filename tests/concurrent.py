"""Linearizable concurrent histories: the answers of a single-threaded service, with calls spread around each answer."""

import random

import msgspec

from verification.histories import (
    AmendItem,
    DrawNumber,
    FreeLock,
    ObjectKind,
    Operation,
    OperationOutcome,
    PutValue,
    ReadObject,
    TakeLock,
)

DONE, REFUSED, UNKNOWN = OperationOutcome.DONE, OperationOutcome.REFUSED, OperationOutcome.UNKNOWN


def make_operation(kind, call, begun, ended, number=0, value=None, outcome=DONE, name="x"):
    return Operation(kind, name, "c", call, begun, ended, outcome, number, value)


def lock(call, begun, ended, token=0, outcome=DONE):
    return make_operation(ObjectKind.LOCK, call, begun, ended, token, None, outcome, "l")


def draw(begun, ended, number, outcome=DONE):
    return make_operation(ObjectKind.NUMBER, DrawNumber(), begun, ended, number, None, outcome, "n")


def put(begun, ended, value, revision=0, base=None, outcome=DONE):
    return make_operation(ObjectKind.KEY, PutValue(value, base), begun, ended, revision, None, outcome, "k")


def read(begun, ended, value, revision):
    return make_operation(ObjectKind.KEY, ReadObject(), begun, ended, revision, value, DONE, "k")


def read_revision(begun, ended, revision):
    return make_operation(ObjectKind.KEY, ReadObject(shows_value=False), begun, ended, revision, None, DONE, "k")


def amend(begun, ended, version, content, outcome=DONE):
    return make_operation(ObjectKind.ITEM, AmendItem(version, content), begun, ended, version, None, outcome, "i")


def read_item(begun, ended, version, content):
    return make_operation(ObjectKind.ITEM, ReadObject(), begun, ended, version, content, DONE, "i")


class SequentialService:
    """A single-threaded service that answers at once; a history spreads each call around the time of its answer."""

    def __init__(self, rng):
        self.rng, self.now, self.token, self.revision = rng, 0.0, 0, 0
        self.current_hold, self.number = None, 0
        self.key_state, self.item_state = (None, 0), (0, None)

    def step(self, call_number):
        self.now += self.rng.choice((0.0, 0.25, 1.0))
        return self.rng.choice((self.take, self.free, self.draw, self.put, self.read, self.amend, self.read_item))(
            call_number
        )

    def take(self, call_number):
        holder, until = self.rng.choice("ab"), self.now + self.rng.choice((0.5, 2.0))
        if self.current_hold is not None and self.current_hold[0] != holder and self.current_hold[2] > self.now:
            return lock(TakeLock(holder, until), self.now, self.now, outcome=REFUSED)
        if self.current_hold is not None and self.current_hold[0] == holder and self.current_hold[2] > self.now:
            until = max(until, self.current_hold[2])
        self.token += self.rng.choice((1, 3))
        self.current_hold = holder, self.token, until
        return lock(TakeLock(holder, until), self.now, self.now, self.token)

    def free(self, call_number):
        if self.current_hold is None:
            return self.draw(call_number)
        holder, token, _ = self.current_hold
        self.current_hold = None
        return lock(FreeLock(holder, token), self.now, self.now)

    def draw(self, call_number):
        self.number += self.rng.choice((1, 2))
        return draw(self.now, self.now, self.number)

    def put(self, call_number):
        base = self.rng.choice((None, self.key_state[1], self.key_state[1] + 1))
        if base not in (None, self.key_state[1]):
            return put(self.now, self.now, f"v{call_number}", 0, base, REFUSED)
        self.revision += self.rng.choice((1, 2))
        value = self.rng.choice((f"v{call_number}", f"v{call_number}", None))
        self.key_state = value, self.revision if value is not None else 0
        return put(self.now, self.now, value, self.revision, base)

    def read(self, call_number):
        if self.rng.random() < 0.5:
            return read_revision(self.now, self.now, self.key_state[1])
        return read(self.now, self.now, *self.key_state)

    def amend(self, call_number):
        version, content = (
            max(1, self.item_state[0] + self.rng.choice((-1, 0, 1, 2))),
            self.rng.choice(("p", "q", None)),
        )
        if version == self.item_state[0] and content != self.item_state[1]:
            return amend(self.now, self.now, version, content, REFUSED)
        self.item_state = max(self.item_state, (version, content), key=lambda versioned: versioned[0])
        return amend(self.now, self.now, version, content)

    def read_item(self, call_number):
        version, content = self.item_state
        return read_item(self.now, self.now, version if content is not None else 0, content)


def spread(rng, operation):
    """Returns the operation with its call before it took effect, and its answer afterwards or absent."""
    begun, ended = operation.begun - rng.uniform(0, 1.0), operation.ended + rng.uniform(0, 1.0)
    if operation.outcome is DONE and not isinstance(operation.call, ReadObject) and rng.random() < 0.1:
        return msgspec.structs.replace(operation, begun=begun, ended=None, outcome=UNKNOWN, number=0)
    return msgspec.structs.replace(operation, begun=begun, ended=ended)


def concurrent(seed, size):
    rng = random.Random(seed)
    service = SequentialService(rng)
    operations = [spread(rng, service.step(call_number)) for call_number in range(size)]
    rng.shuffle(operations)
    return operations
