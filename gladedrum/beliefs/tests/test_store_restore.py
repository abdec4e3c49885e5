"""Restore of the store from a backup some seconds old, against the stand-in for the store.

A restored store reissues revisions and leases. Guards against missing a configuration written under
a reissued revision, against lists that omit boxes started after the restore, and against renewing
a reissued lease that belongs to another box.
"""

import json
import random

from twisted.internet import reactor

from gladedrum.beliefs.configuration import ConfigurationFollower
from gladedrum.beliefs.membership import BOXES_PREFIX, BoxRegistry
from gladedrum.beliefs.store_pace import StorePace
from gladedrum.beliefs.target_list import REAPPEAR_GRACE_S, TargetListFollower
from gladedrum.platform.feeds import ConfigurationFeed, TargetFeed
from gladedrum.platform.tests.store_case import StoreCase
from gladedrum.routes import Configuration, Organisation
from gladedrum.standins.operator import CONFIGURATION_KEY, configuration_bytes
from gladedrum.utils import sleep, start

WAIT_S = 8.0


class RestoreCase(StoreCase):
    """Runs parts of boxes against one stand-in."""

    def run_part(self, part, store):
        """Run a part of a box and notify it of restores, as a box does."""
        store.on_restored.append(lambda _before, _era: part.note_store_restored())
        self.running.append(start(part.run()))
        return part

    def box(self, name, port):
        address, store = ("127.0.0.1", port), self.store()
        registry = BoxRegistry(reactor, store, name, address, random.Random(port))
        return self.run_part(registry, store)

    def configuration(self):
        pace, store = (
            StorePace(reactor, random.Random(1), lambda: False, lambda: False),
            self.store(),
        )
        return self.run_part(
            ConfigurationFollower(reactor, ConfigurationFeed(store), 2.0, pace), store
        )

    def targets(self):
        pace, store = (
            StorePace(reactor, random.Random(1), lambda: False, lambda: False),
            self.store(),
        )
        follower = TargetListFollower(reactor, TargetFeed(store), 2.0, lambda _entry: None, pace)
        return self.run_part(follower, store)

    def write_version(self, version, *keys):
        owners = {key: Organisation("org", None) for key in keys}
        configuration = Configuration(version, (), {}, owners)
        self.service.write(CONFIGURATION_KEY, configuration_bytes(configuration))

    def write_target(self, name, state="ready"):
        row = {
            "service": "s", "address": "10.0.0.1:1", "zone": "h", "version": "v", "slots": 8,
            "state": state, "coldLeftMs": 0, "seq": 1,
        }  # fmt: skip
        self.service.write(f"servers/{name}", json.dumps(row).encode())

    async def until(self, condition, within_s=WAIT_S):
        for _ in range(round(within_s / 0.02)):
            if condition():
                return True
            await sleep(reactor, 0.02)
        return False

    def entry_names(self):
        prefix = BOXES_PREFIX
        return {k.removeprefix(prefix) for k in self.service._entries if k.startswith(prefix)}


class ConfigurationRestoreTest(RestoreCase):
    """The operator's configuration."""

    async def test_a_version_under_a_reissued_revision_is_seen(self):
        self.write_version(1)
        self.service.save_snapshot()
        for number in range(5):
            self.service.write("other", b"%d" % number)
        configuration = self.configuration()
        assert await self.until(lambda: configuration.in_force is not None)
        self.service.restore_snapshot(None)
        self.write_version(2)
        for number in range(20):
            self.service.write("other", b"%d" % number)
        assert await self.until(lambda: configuration.in_force.version == 2, 4.0)

    async def test_the_configuration_in_force_stays_until_the_store_has_caught_up(self):
        self.write_version(1, "old")
        self.service.save_snapshot()
        self.write_version(2, "new")
        configuration = self.configuration()
        assert await self.until(lambda: configuration.in_force is not None)
        self.service.restore_snapshot(2.5)
        confirmed_s = configuration._confirmed_s
        for _ in range(40):
            await sleep(reactor, 0.05)
            assert configuration.in_force.version == 2
            # The backup lacks changes made since it was taken, so reads of it confirm nothing.
        assert configuration._confirmed_s <= confirmed_s + 1.3
        assert await self.until(lambda: configuration.age_s < 0.5, 4.0)


class MembershipRestoreTest(RestoreCase):
    """Entries and leases of boxes."""

    async def test_boxes_started_before_and_after_the_restore_know_each_other(self):
        first = self.box("a.1", 1)
        assert await self.until(lambda: "a.1" in self.entry_names())
        self.service.save_snapshot()
        for number in range(20):
            self.service.write("other", b"%d" % number)
        assert await self.until(lambda: first.revision != -1)
        await first._list()
        self.service.restore_snapshot(None)
        second = self.box("b.1", 2)
        assert await self.until(lambda: "b.1" in first.entries and "a.1" in second.entries)

    async def test_a_reissued_lease_of_another_box_is_not_renewed_or_ended(self):
        first = self.box("a.1", 1)
        self.service.save_snapshot()
        assert await self.until(lambda: "a.1" in self.entry_names())
        self.service.restore_snapshot(None)
        second = self.box("b.1", 2)
        assert await self.until(lambda: "b.1" in self.entry_names())
        assert await self.until(lambda: "a.1" in self.entry_names(), 6.0)
        await first.leave()
        await sleep(reactor, 0.2)
        assert "b.1" in self.entry_names()
        assert second.is_registered


class TargetListRestoreTest(RestoreCase):
    """The target list."""

    async def test_targets_missing_from_the_copy_may_reappear(self):
        self.write_target("t1")
        self.service.save_snapshot()
        self.write_target("t2")
        targets = self.targets()
        assert await self.until(lambda: "t2" in targets.entries)
        self.service.restore_snapshot(None)
        for _ in range(round((REAPPEAR_GRACE_S - 1.0) / 0.05)):
            await sleep(reactor, 0.05)
            assert targets.accepts_requests("t2")
        self.write_target("t2")
        await sleep(reactor, 3.0)
        assert targets.accepts_requests("t2")

    async def test_leaving_targets_stay_leaving_and_gone_ones_stay_gone(self):
        self.write_target("t1")
        self.write_target("t2")
        self.service.save_snapshot()
        targets = self.targets()
        assert await self.until(lambda: len(targets.entries) == 2)
        self.write_target("t1", "draining")
        self.service.remove("servers/t2")
        assert await self.until(
            lambda: not targets.accepts_requests("t1") and "t2" not in targets.entries
        )
        self.service.restore_snapshot(None)
        for _ in range(60):
            await sleep(reactor, 0.05)
            assert not targets.accepts_requests("t1")
            assert not targets.accepts_requests("t2")
