"""What is said of the catalogue, as JSON bodies over HTTP. Fields that are not known are passed over.
Free of I/O."""

from __future__ import annotations

import msgspec

from burlmast.catalogue.shards import Key, Shard

ASK = "/fleet/v1/catalogue/rows"  # POST SlicesAsked: SlicesGiven
CHANGE = "/fleet/v1/catalogue/change"  # POST Wanted, by operators: Changed
BATCH = "/fleet/v1/catalogue/batch"  # POST a batch, by coordinators; GET BATCH/DIGEST
STATUS = "/fleet/v1/catalogue"  # GET
FIND = "/fleet/v1/catalogue/find/"  # GET with the title quoted
ALL = "/fleet/v1/catalogue/all"  # POST AllAsked, by operators: AllGiven
HEAD = "/fleet/v1/catalogue/head"  # GET and POST, among coordinators: the head
AGREED = "/fleet/v1/catalogue"  # the register's paths: with /prepare and /accept
ROWS_LIMIT = 2_000  # of a change
BATCH_LIMIT = 900_000  # bytes of a change, as JSON


class SliceAsked(msgspec.Struct, frozen=True, array_like=True):
    """What has changed in a slice since a revision; 0 for all of it, after a key where a piece ended."""

    place: int
    since: int = 0
    after: Key = ("", -1)


class SlicesAsked(msgspec.Struct, frozen=True):
    """A gateway, or a coordinator that is behind, asks for slices of the catalogue named `line`."""

    line: str
    slices: tuple[SliceAsked, ...]
    cut: int = 0  # into how many slices the asker's settings cut the catalogue; 0 is not told


class SliceGiven(msgspec.Struct, frozen=True, array_like=True):
    """News of a slice up to `revision`. `whole`: rows are all that there is (from the cursor on), and what is
    not among them is gone; else rows have been put and keys removed since `since`. `more`: this piece ends at
    its last row's key, and the rest is asked for after it. `digest` is the slice's at `revision`."""

    place: int
    since: int
    revision: int
    whole: bool
    more: bool
    digest: str
    shards: tuple[Shard, ...] = ()
    removed: tuple[Key, ...] = ()


class SlicesGiven(msgspec.Struct, frozen=True):
    """An answer. Of the slices asked for, those that are neither in `slices` nor in `later` have not changed
    up to `revision`; those in `later` did not fit, and are asked for again."""

    line: str
    revision: int
    slices: tuple[SliceGiven, ...] = ()
    later: tuple[int, ...] = ()


class Batch(msgspec.Struct, frozen=True):
    """Rows put in place of those with their keys, and keys taken out."""

    put: tuple[Shard, ...] = ()
    remove: tuple[Key, ...] = ()


class Wanted(msgspec.Struct, frozen=True):
    """An operator's change; the same request is one change."""

    request: str
    batch: Batch


class Changed(msgspec.Struct, frozen=True):
    """The revision by which the change is in the catalogue."""

    line: str
    revision: int
    shards: int


class AllAsked(msgspec.Struct, frozen=True):
    """Rows in the order of their slice, title and part, after such a place."""

    after: tuple[int, str, int] = (0, "", -1)


class AllGiven(msgspec.Struct, frozen=True):
    """A piece; `after` is where the next one begins, None at the end."""

    line: str
    revision: int
    shards: tuple[Shard, ...]
    after: tuple[int, str, int] | None


class Found(msgspec.Struct, frozen=True):
    """A title's rows that a coordinator has, and for each the gateways whose part it is of."""

    title: str
    line: str
    revision: int
    shards: tuple[Shard, ...]
    gateways: tuple[tuple[int, ...], ...]


class GatewayStanding(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway last told, `age` seconds ago."""

    gateway: int
    line: str
    revision: int
    lacking: int
    age: float


class Standing(msgspec.Struct, frozen=True):
    """All that a coordinator knows of the catalogue. `behind`: changes that are agreed on and not applied
    here; `given`: slices given whole in the last second."""

    coordinator: int
    voting: bool
    state: str
    why: str
    line: str
    head: int
    applied: int
    behind: int
    shards: int
    digest: str
    slices: int
    cells: int
    given: int
    counts: dict[str, int]
    gateways: tuple[GatewayStanding, ...]
