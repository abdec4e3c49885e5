"""A store that comes back from a copy some seconds old, against the stand-in.

Seen with boxes as they were: a configuration written between two watches was passed over, since its
revision had been given out before; a box that started after the store went back wasn't listed by
those that ran before; a box renewed the lease of another one, which had been given out again, for
its own, and its entry was gone for good. Cause: a revision and a lease were a number that means the
same for ever.
"""

import json
import random

from twisted.internet import reactor

from gladedrum.beliefs.configuration import ConfigurationKeeper
from gladedrum.beliefs.membership import BOXES_PREFIX, BoxRegistry
from gladedrum.beliefs.store_pace import StorePace
from gladedrum.beliefs.target_list import REAPPEAR_GRACE_S, TargetKeeper
from gladedrum.platform.feeds import ConfigurationFeed, TargetFeed
from gladedrum.platform.tests.store_case import StoreCase
from gladedrum.routes import Organisation, RouteTable
from gladedrum.standins.operator import CONFIGURATION_KEY, configuration_bytes
from gladedrum.utils import sleep, start

WAIT_S = 8.0


class FromCopyCase(StoreCase):
    """Parts of boxes against one stand-in."""

    def run_part(self, part, store):
        """Run a part of a box, which is told of a new era as boxes tell theirs."""
        store.on_era.append(lambda _before, _era: part.note_era())
        self.running.append(start(part.run()))
        return part

    def box(self, name, port):
        place, store = ("127.0.0.1", port), self.store()
        registry = BoxRegistry(reactor, store, name, place, random.Random(port))
        return self.run_part(registry, store)

    def configuration(self):
        pace, store = (
            StorePace(reactor, random.Random(1), lambda: False, lambda: False),
            self.store(),
        )
        return self.run_part(
            ConfigurationKeeper(reactor, ConfigurationFeed(store), 2.0, pace), store
        )

    def targets(self):
        pace, store = (
            StorePace(reactor, random.Random(1), lambda: False, lambda: False),
            self.store(),
        )
        keeper = TargetKeeper(reactor, TargetFeed(store), 2.0, lambda _entry: None, pace)
        return self.run_part(keeper, store)

    def write_version(self, version, *keys):
        owners = {key: Organisation("org", None) for key in keys}
        table = RouteTable(version, (), {}, owners)
        self.service.write(CONFIGURATION_KEY, configuration_bytes(table))

    def write_target(self, name, state="ready"):
        row = {
            "service": "s", "address": "10.0.0.1:1", "zone": "h", "version": "v", "slots": 8,
            "state": state, "coldLeftMs": 0, "seq": 1,
        }  # fmt: skip
        self.service.write(f"servers/{name}", json.dumps(row).encode())

    async def until(self, holds, within_s=WAIT_S):
        for _ in range(round(within_s / 0.02)):
            if holds():
                return True
            await sleep(reactor, 0.02)
        return False

    def entry_names(self):
        prefix = BOXES_PREFIX
        return {k.removeprefix(prefix) for k in self.service._entries if k.startswith(prefix)}


class ConfigurationFromCopyTest(FromCopyCase):
    """The configuration."""

    async def test_a_version_whose_revision_was_given_out_before_is_seen(self):
        self.write_version(1)
        self.service.keep_copy()
        for number in range(5):
            self.service.write("other", b"%d" % number)
        kept = self.configuration()
        assert await self.until(lambda: kept.table is not None)
        self.service.go_back(None)
        self.write_version(2)
        for number in range(20):
            self.service.write("other", b"%d" % number)
        assert await self.until(lambda: kept.table.version == 2, 4.0)

    async def test_what_is_in_force_stays_until_as_new_a_version_is_read(self):
        self.write_version(1, "old")
        self.service.keep_copy()
        self.write_version(2, "new")
        kept = self.configuration()
        assert await self.until(lambda: kept.table is not None)
        self.service.go_back(2.5)
        vouched_s = kept._confirmed_s
        for _ in range(40):
            await sleep(reactor, 0.05)
            assert kept.table.version == 2
        # What a copy says is no word on what was changed since.
        assert kept._confirmed_s <= vouched_s + 1.3
        assert await self.until(lambda: kept.age_s < 0.5, 4.0)


class BoxesFromCopyTest(FromCopyCase):
    """The boxes' entries and leases."""

    async def test_boxes_that_start_later_and_those_that_ran_before_know_each_other(self):
        first = self.box("a.1", 1)
        assert await self.until(lambda: "a.1" in self.entry_names())
        self.service.keep_copy()
        for number in range(20):
            self.service.write("other", b"%d" % number)
        assert await self.until(lambda: first.revision != -1)
        await first._list()
        self.service.go_back(None)
        second = self.box("b.1", 2)
        assert await self.until(lambda: "b.1" in first.entries and "a.1" in second.entries)

    async def test_a_lease_that_is_given_out_again_is_not_taken_for_ones_own(self):
        first = self.box("a.1", 1)
        self.service.keep_copy()
        assert await self.until(lambda: "a.1" in self.entry_names())
        self.service.go_back(None)
        second = self.box("b.1", 2)
        assert await self.until(lambda: "b.1" in self.entry_names())
        assert await self.until(lambda: "a.1" in self.entry_names(), 6.0)
        await first.leave()
        await sleep(reactor, 0.2)
        assert "b.1" in self.entry_names()
        assert second.is_registered


class TargetsFromCopyTest(FromCopyCase):
    """The list of targets."""

    async def test_what_the_copy_lacks_may_come_back(self):
        self.write_target("t1")
        self.service.keep_copy()
        self.write_target("t2")
        kept = self.targets()
        assert await self.until(lambda: "t2" in kept.entries)
        self.service.go_back(None)
        for _ in range(round((REAPPEAR_GRACE_S - 1.0) / 0.05)):
            await sleep(reactor, 0.05)
            assert kept.may_get_work("t2")
        self.write_target("t2")
        await sleep(reactor, 3.0)
        assert kept.may_get_work("t2")

    async def test_what_leaves_goes_on_leaving_and_what_was_gone_is_not_brought_back(self):
        self.write_target("t1")
        self.write_target("t2")
        self.service.keep_copy()
        kept = self.targets()
        assert await self.until(lambda: len(kept.entries) == 2)
        self.write_target("t1", "draining")
        self.service.remove("servers/t2")
        assert await self.until(lambda: not kept.may_get_work("t1") and "t2" not in kept.entries)
        self.service.go_back(None)
        for _ in range(60):
            await sleep(reactor, 0.05)
            assert not kept.may_get_work("t1")
            assert not kept.may_get_work("t2")
