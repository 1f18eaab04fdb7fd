"""A simulated folder of a file system that loses power.

Replaces `os` (and `fcntl`) in mallowvalve/storage/disk.py. Each operation that changes the folder is a step, and a test
can let the power fail during any step. A power loss keeps all synced data. Each unsynced write is independently kept,
lost or torn at any byte; each unsynced creation, renaming or removal of a name is independently kept or lost.
"""

import errno
import os

import msgspec

ROOT = "/data"
KEPT = 0
MISSING = 1
TORN = 2


class PowerLossError(Exception):
    """The power failed; later operations of the process have no effect."""


class Inode:
    def __init__(self, data=b""):
        self.data = bytearray(data)
        self.synced = bytearray(data)
        self.writes = []

    def write(self, data):
        self.writes.append((len(self.data), data))
        self.data += data

    def sync(self):
        self.synced, self.writes = bytearray(self.data), []

    def lose(self, rng):
        after = bytearray(self.synced)
        for offset, data in self.writes:
            outcome = rng.randrange(3)
            if outcome == MISSING or not data:
                continue
            kept = data if outcome == KEPT else data[: rng.randrange(len(data))]
            after += bytes(max(0, offset - len(after)))
            after[offset : offset + len(kept)] = kept
        self.data = after
        self.sync()


class NameCreated(msgspec.Struct):
    name: str
    inode: object


class NameRemoved(msgspec.Struct):
    name: str


class NameRenamed(msgspec.Struct):
    name: str
    to: str
    inode: object


class OpenFile(msgspec.Struct):
    """An open file, the folder itself (`folder`), or a parent folder, whose sync does not affect the names here."""

    inode: object = None
    folder: bool = False
    offset: int = 0


class PowerLossFileSystem:
    """The functions of `os` that the storage uses.

    `power_loss_in` and `error_in` count down the steps to a power loss or an I/O error. While `full` is set, steps that
    need space fail.
    """

    O_RDONLY, O_WRONLY, O_RDWR = os.O_RDONLY, os.O_WRONLY, os.O_RDWR
    O_APPEND, O_CREAT, O_TRUNC = os.O_APPEND, os.O_CREAT, os.O_TRUNC
    LOCK_EX = LOCK_NB = 0
    path = os.path

    def __init__(self, rng):
        self.rng = rng
        self.names: dict[str, Inode] = {}
        self.synced_names: dict[str, Inode] = {}
        self.unsynced_changes: list = []
        self.files: dict[int, OpenFile] = {}
        self.fd = 10
        self.steps = 0
        self.power_loss_in: int | None = None
        self.error_in: int | None = None
        self.full = self.dead = False

    def flock(self, fd, operation):
        pass

    def step(self, needs_space=False):
        """Counts a step; returns True if the power fails during it."""
        if self.dead:
            raise PowerLossError
        self.steps += 1
        if self.full and needs_space:
            raise OSError(errno.ENOSPC, "no space left")
        if self.error_in is not None:
            self.error_in -= 1
            if self.error_in < 0:
                self.error_in = None
                raise OSError(errno.EIO, "input or output error")
        if self.power_loss_in is None:
            return False
        self.power_loss_in -= 1
        return self.power_loss_in < 0

    def lose_power_now(self):
        self.dead = True
        raise PowerLossError

    def mkdir(self, path):
        raise FileExistsError

    def open(self, path, flags, mode=0o777):
        if self.dead:
            raise PowerLossError
        name = self.name(path)
        inode = self.names.get(name) if name is not None else None
        if name is not None and inode is None:
            if not flags & os.O_CREAT:
                raise FileNotFoundError(name)
            power_lost = self.step(needs_space=True)
            inode = self.names[name] = Inode()
            self.unsynced_changes.append(NameCreated(name, inode))
            if power_lost:
                self.lose_power_now()
        elif inode is not None and flags & os.O_TRUNC and inode.data:
            inode.data.clear()
            inode.writes.clear()
        self.fd += 1
        self.files[self.fd] = OpenFile(inode, os.fspath(path) == ROOT)
        return self.fd

    def name(self, path):
        path = os.fspath(path)
        return path[len(ROOT) + 1 :] if path.startswith(ROOT + "/") else None

    def close(self, fd):
        self.files.pop(fd, None)

    def read(self, fd, size):
        file = self.files[fd]
        part = bytes(file.inode.data[file.offset : file.offset + size])
        file.offset += len(part)
        return part

    def write(self, fd, data):
        data = bytes(data)
        try:
            power_lost = self.step(needs_space=True)
        except OSError:
            self.files[fd].inode.write(data[: self.rng.randrange(len(data))])
            raise
        part = data[: self.rng.randint(1, len(data))] if self.rng.random() < 0.1 else data
        self.files[fd].inode.write(part)
        if power_lost:
            self.lose_power_now()
        return len(part)

    def fdatasync(self, fd):
        self.fsync(fd)

    def fsync(self, fd):
        if self.step():
            self.lose_power_now()
        file = self.files[fd]
        if file.inode is not None:
            file.inode.sync()
        if file.folder:
            self.synced_names, self.unsynced_changes = dict(self.names), []

    def ftruncate(self, fd, size):
        power_lost = self.step()
        inode = self.files[fd].inode
        if power_lost:
            self.lose_power_now()
        del inode.data[size:]
        inode.writes = [(offset, data[: max(0, size - offset)]) for offset, data in inode.writes]

    def replace(self, path, to):
        power_lost = self.step()
        name, to = self.name(path), self.name(to)
        inode = self.names.pop(name)
        self.names[to] = inode
        self.unsynced_changes.append(NameRenamed(name, to, inode))
        if power_lost:
            self.lose_power_now()

    def unlink(self, path):
        name = self.name(path)
        if name not in self.names:
            raise FileNotFoundError(name)
        power_lost = self.step()
        del self.names[name]
        self.unsynced_changes.append(NameRemoved(name))
        if power_lost:
            self.lose_power_now()

    def listdir(self, path):
        if self.dead:
            raise PowerLossError
        return list(self.names)

    def kill_process(self):
        """Ends the process; its writes remain, because the machine keeps running."""
        self.files.clear()
        self.power_loss_in = self.error_in = None

    def lose_power(self, survives=None):
        """Restarts the machine; `survives` may select the name changes that survive, instead of a random choice."""
        self.kill_process()
        self.dead = False
        names = dict(self.synced_names)
        for change in self.unsynced_changes:
            if not (survives(change) if survives is not None else self.rng.random() < 0.5):
                continue
            match change:
                case NameCreated():
                    names[change.name] = change.inode
                case NameRemoved():
                    names.pop(change.name, None)
                case NameRenamed():
                    names.pop(change.name, None)
                    names[change.to] = change.inode
        self.names, self.synced_names, self.unsynced_changes = names, dict(names), []
        for inode in {id(i): i for i in names.values()}.values():
            inode.lose(self.rng)
