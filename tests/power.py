"""One folder of a file system that loses power: what no sync covers is kept, missing or torn, each by itself.

Stands in for `os` (and `fcntl`) under mallowvalve/storage/disk.py. Each operation that changes anything is a step;
the power can be set to go inside any of them. A loss keeps what was synced and, for all else, throws a coin: for each
write of a file by itself (kept, missing or torn at any byte), for each name made, renamed or removed by itself.
"""

import errno
import os

import msgspec

ROOT = "/data"
KEPT, MISSING, TORN = range(3)


class PowerLossError(Exception):
    """The power went; nothing that the process does after this has any effect."""


class Inode:
    def __init__(self, data=b""):
        self.data = bytearray(data)
        self.safe = bytearray(data)
        self.writes = []

    def write(self, data):
        self.writes.append((len(self.data), data))
        self.data += data

    def sync(self):
        self.safe, self.writes = bytearray(self.data), []

    def lose(self, rng):
        after = bytearray(self.safe)
        for at, data in self.writes:
            fate = rng.randrange(3)
            if fate == MISSING or not data:
                continue
            kept = data if fate == KEPT else data[: rng.randrange(len(data))]
            after += bytes(max(0, at - len(after)))
            after[at : at + len(kept)] = kept
        self.data = after
        self.sync()


class Made(msgspec.Struct):
    name: str
    inode: object


class Removed(msgspec.Struct):
    name: str


class Renamed(msgspec.Struct):
    name: str
    to: str
    inode: object


class File(msgspec.Struct):
    """An open file, the folder itself (`folder`), or a folder above it, whose sync says nothing of these names."""

    inode: object = None
    folder: bool = False
    at: int = 0


class PowerSystem:
    """The calls of `os` that the folder uses. `fail_at` counts down over the steps; `full` refuses what needs room."""

    O_RDONLY, O_WRONLY, O_RDWR = os.O_RDONLY, os.O_WRONLY, os.O_RDWR
    O_APPEND, O_CREAT, O_TRUNC = os.O_APPEND, os.O_CREAT, os.O_TRUNC
    LOCK_EX = LOCK_NB = 0
    path = os.path

    def __init__(self, rng):
        self.rng = rng
        self.names: dict[str, Inode] = {}
        self.safe_names: dict[str, Inode] = {}
        self.changes: list = []
        self.files: dict[int, File] = {}
        self.fd = 10
        self.steps = 0
        self.fail_at: int | None = None
        self.error_at: int | None = None
        self.full = self.dead = False

    def flock(self, fd, how):
        pass

    def step(self, room=False):
        """One step; True where the power goes in the middle of it."""
        if self.dead:
            raise PowerLossError
        self.steps += 1
        if self.full and room:
            raise OSError(errno.ENOSPC, "no space left")
        if self.error_at is not None:
            self.error_at -= 1
            if self.error_at < 0:
                self.error_at = None
                raise OSError(errno.EIO, "input or output error")
        if self.fail_at is None:
            return False
        self.fail_at -= 1
        return self.fail_at < 0

    def go_dark(self):
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
            dark = self.step(room=True)
            inode = self.names[name] = Inode()
            self.changes.append(Made(name, inode))
            if dark:
                self.go_dark()
        elif inode is not None and flags & os.O_TRUNC and inode.data:
            inode.data.clear()
            inode.writes.clear()
        self.fd += 1
        self.files[self.fd] = File(inode, os.fspath(path) == ROOT)
        return self.fd

    def name(self, path):
        path = os.fspath(path)
        return path[len(ROOT) + 1 :] if path.startswith(ROOT + "/") else None

    def close(self, fd):
        self.files.pop(fd, None)

    def read(self, fd, size):
        f = self.files[fd]
        part = bytes(f.inode.data[f.at : f.at + size])
        f.at += len(part)
        return part

    def write(self, fd, data):
        data = bytes(data)
        try:
            dark = self.step(room=True)
        except OSError:
            self.files[fd].inode.write(data[: self.rng.randrange(len(data))])
            raise
        part = data[: self.rng.randint(1, len(data))] if self.rng.random() < 0.1 else data
        self.files[fd].inode.write(part)
        if dark:
            self.go_dark()
        return len(part)

    def fdatasync(self, fd):
        self.fsync(fd)

    def fsync(self, fd):
        if self.step():
            self.go_dark()
        f = self.files[fd]
        if f.inode is not None:
            f.inode.sync()
        if f.folder:
            self.safe_names, self.changes = dict(self.names), []

    def ftruncate(self, fd, size):
        dark = self.step()
        inode = self.files[fd].inode
        if dark:
            self.go_dark()
        del inode.data[size:]
        inode.writes = [(at, data[: max(0, size - at)]) for at, data in inode.writes]

    def replace(self, path, to):
        dark = self.step()
        name, to = self.name(path), self.name(to)
        inode = self.names.pop(name)
        self.names[to] = inode
        self.changes.append(Renamed(name, to, inode))
        if dark:
            self.go_dark()

    def unlink(self, path):
        name = self.name(path)
        if name not in self.names:
            raise FileNotFoundError(name)
        dark = self.step()
        del self.names[name]
        self.changes.append(Removed(name))
        if dark:
            self.go_dark()

    def listdir(self, path):
        if self.dead:
            raise PowerLossError
        return list(self.names)

    def kill(self):
        """The process is gone; the machine, and so what it wrote, is not."""
        self.files.clear()
        self.fail_at = self.error_at = None

    def lose_power(self, keeps=None):
        """The machine is off and on again; `keeps` may say which changes of names survive, instead of a coin."""
        self.kill()
        self.dead = False
        names = dict(self.safe_names)
        for c in self.changes:
            if not (keeps(c) if keeps is not None else self.rng.random() < 0.5):
                continue
            match c:
                case Made():
                    names[c.name] = c.inode
                case Removed():
                    names.pop(c.name, None)
                case Renamed():
                    names.pop(c.name, None)
                    names[c.to] = c.inode
        self.names, self.safe_names, self.changes = names, dict(names), []
        for inode in {id(i): i for i in names.values()}.values():
            inode.lose(self.rng)
