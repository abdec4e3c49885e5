"""Evacuation keys are read with the configuration, in the same calls.

Guards against losing them to a malformed configuration, to a malformed key, or to a listing that
broke off between two pages.
"""

import pytest

from gladedrum.errors import KVUnavailableError
from gladedrum.platform import wire
from gladedrum.platform.feeds import MAX_HALLS, ConfigurationFeed
from gladedrum.platform.tests.store_case import StoreCase
from gladedrum.standins import store as standin
from gladedrum.utils.validation import MAX_HALL_LENGTH

A, B = (f"{wire.EVACUATION_PREFIX}{name}" for name in "ab")


class EvacuationKeysTest(StoreCase):
    """The feed, against the stand-in of the store."""

    # Guards against a key that boxes can't name to each other, which ended the task that follows
    # the configuration, and against odd keys that take the places of those that count.
    async def test_keys_that_name_no_hall_take_the_place_of_no_other(self):
        for name in ("\ud800", "a\nb", *(f"\0{number:02}" for number in range(MAX_HALLS))):
            self.service.write(wire.EVACUATION_PREFIX + name, b"1")
        self.service.write(A, b"")
        assert (await ConfigurationFeed(self.store()).read()).evacuated == {"a"}

    async def test_a_read_and_a_watch_name_the_halls_also_beside_malformed_items(self):
        self.service.write(wire.CONFIGURATION_KEY, b"{")
        self.service.write(A, b"")
        for name in ("", "x" * (MAX_HALL_LENGTH + 1)):
            self.service.write(wire.EVACUATION_PREFIX + name, b"1")
        feed = ConfigurationFeed(self.store())
        with self.assertLogs("gladedrum.platform.feeds", "WARNING") as logs:
            update = await feed.read()
            await feed.read()
        assert update.evacuated == {"a"}
        assert update.malformed and update.configuration is None
        assert len(logs.records) == 2
        self.service.write(B, b"1")
        self.service.remove(A)
        self.service.write(A, b"1")
        self.service.remove(A)
        later = await feed.watch(update.revision, 1.0)
        assert (later.evacuated, later.ended) == ({"b"}, {"a"})
        assert later.revision > update.revision

    async def test_a_listing_that_breaks_off_names_nothing(self):
        self.patch(standin, "PAGE_ITEMS", 1)
        for key in (A, B):
            self.service.write(key, b"1")
        store = self.store()
        read, pages = store._read, []

        async def read_page(path, timeout_s=None):
            pages.append(path)
            self.service.switches.outage = len(pages) == 2
            return await read(path, timeout_s)

        store._read = read_page
        feed = ConfigurationFeed(store)
        with pytest.raises(KVUnavailableError):
            await feed.read()
        assert len(pages) == 2
        assert (await feed.read()).evacuated == {"a", "b"}

    async def test_the_operator_repeats_a_lost_removal_after_a_restore(self):
        """Guards the stand-in: a data hall would stay evacuated after a restore."""
        self.service.write(A, b"1")
        self.service.save_snapshot()
        self.service.remove(A)
        self.service.restore_snapshot(0.0)
        feed = ConfigurationFeed(self.store())
        update = await feed.read()
        while update.evacuated:
            update = await feed.read()
