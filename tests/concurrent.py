"""Concurrent histories that are right: what a single-threaded service answered, its calls spread around each answer."""

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


def operation(kind, call, begun, ended, number=0, value=None, outcome=DONE, name="x"):
    return Operation(kind, name, "c", call, begun, ended, outcome, number, value)


def lock(call, begun, ended, token=0, outcome=DONE):
    return operation(ObjectKind.LOCK, call, begun, ended, token, None, outcome, "l")


def draw(begun, ended, number, outcome=DONE):
    return operation(ObjectKind.NUMBER, DrawNumber(), begun, ended, number, None, outcome, "n")


def put(begun, ended, value, revision=0, base=None, outcome=DONE):
    return operation(ObjectKind.KEY, PutValue(value, base), begun, ended, revision, None, outcome, "k")


def read(begun, ended, value, revision):
    return operation(ObjectKind.KEY, ReadObject(), begun, ended, revision, value, DONE, "k")


def read_revision(begun, ended, revision):
    return operation(ObjectKind.KEY, ReadObject(shows_value=False), begun, ended, revision, None, DONE, "k")


def amend(begun, ended, version, content, outcome=DONE):
    return operation(ObjectKind.ITEM, AmendItem(version, content), begun, ended, version, None, outcome, "i")


def read_item(begun, ended, version, content):
    return operation(ObjectKind.ITEM, ReadObject(), begun, ended, version, content, DONE, "i")


class SequentialService:
    """A single-threaded service that answers at once; the time it answers at is what the histories are spread around."""

    def __init__(self, rng):
        self.rng, self.now, self.token, self.revision = rng, 0.0, 0, 0
        self.held, self.number = None, 0
        self.key, self.item = (None, 0), (0, None)

    def step(self, n):
        self.now += self.rng.choice((0.0, 0.25, 1.0))
        return self.rng.choice((self.take, self.free, self.draw, self.put, self.read, self.amend, self.look))(n)

    def take(self, n):
        who, until = self.rng.choice("ab"), self.now + self.rng.choice((0.5, 2.0))
        if self.held is not None and self.held[0] != who and self.held[2] > self.now:
            return lock(TakeLock(who, until), self.now, self.now, outcome=REFUSED)
        if self.held is not None and self.held[0] == who and self.held[2] > self.now:
            until = max(until, self.held[2])
        self.token += self.rng.choice((1, 3))
        self.held = who, self.token, until
        return lock(TakeLock(who, until), self.now, self.now, self.token)

    def free(self, n):
        if self.held is None:
            return self.draw(n)
        who, token, _ = self.held
        self.held = None
        return lock(FreeLock(who, token), self.now, self.now)

    def draw(self, n):
        self.number += self.rng.choice((1, 2))
        return draw(self.now, self.now, self.number)

    def put(self, n):
        base = self.rng.choice((None, self.key[1], self.key[1] + 1))
        if base not in (None, self.key[1]):
            return put(self.now, self.now, f"v{n}", 0, base, REFUSED)
        self.revision += self.rng.choice((1, 2))
        value = self.rng.choice((f"v{n}", f"v{n}", None))
        self.key = value, self.revision if value is not None else 0
        return put(self.now, self.now, value, self.revision, base)

    def read(self, n):
        if self.rng.random() < 0.5:
            return read_revision(self.now, self.now, self.key[1])
        return read(self.now, self.now, *self.key)

    def amend(self, n):
        version, content = max(1, self.item[0] + self.rng.choice((-1, 0, 1, 2))), self.rng.choice(("p", "q", None))
        if version == self.item[0] and content != self.item[1]:
            return amend(self.now, self.now, version, content, REFUSED)
        self.item = max(self.item, (version, content), key=lambda i: i[0])
        return amend(self.now, self.now, version, content)

    def look(self, n):
        version, content = self.item
        return read_item(self.now, self.now, version if content is not None else 0, content)


def spread(rng, o):
    """The same operation with a call before it took effect and an answer after, or none."""
    begun, ended = o.begun - rng.uniform(0, 1.0), o.ended + rng.uniform(0, 1.0)
    if o.outcome is DONE and not isinstance(o.call, ReadObject) and rng.random() < 0.1:
        return msgspec.structs.replace(o, begun=begun, ended=None, outcome=UNKNOWN, number=0)
    return msgspec.structs.replace(o, begun=begun, ended=ended)


def concurrent(seed, size):
    rng = random.Random(seed)
    model = SequentialService(rng)
    some = [spread(rng, model.step(n)) for n in range(size)]
    rng.shuffle(some)
    return some
