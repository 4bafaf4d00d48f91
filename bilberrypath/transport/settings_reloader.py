"""Changes of a process's settings file while it runs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from attrs import define, evolve

from bilberrypath.settings_reader import SettingsError

if TYPE_CHECKING:
    from collections.abc import Callable

    from bilberrypath.flow_settings import FlowNodeSettings
    from bilberrypath.types import Address, Seconds

# The seeds in use lag changes of the fleet by at most 3 s.
SETTINGS_RELOAD_PERIOD: Seconds = 2.0


@define
class SettingsReloader:
    """Read the settings file again, on request and periodically.

    ``load_settings`` reads the file. ``set_seeds`` applies changed seeds; other changes
    require a restart, and ``write_log`` is called with what was found.
    """

    settings: FlowNodeSettings
    load_settings: Callable[[], FlowNodeSettings]
    set_seeds: Callable[[tuple[Address, ...]], None]
    write_log: Callable[..., None]

    def reload(self) -> None:
        """Apply changed seeds; log whether other changes require a restart."""
        try:
            settings = self.load_settings()
        except SettingsError as error:
            self.write_log("settings_refused", error=str(error))
            return
        if settings == self.settings:
            return
        self.set_seeds(settings.seeds)
        only_seeds_differ = evolve(settings, seeds=self.settings.seeds) == self.settings
        self.settings = evolve(self.settings, seeds=settings.seeds)
        self.write_log(
            "settings_changed", seeds=len(settings.seeds), restart=not only_seeds_differ
        )

    async def reload_forever(self) -> None:
        """Reload each ``SETTINGS_RELOAD_PERIOD`` until cancelled."""
        while True:
            await asyncio.sleep(SETTINGS_RELOAD_PERIOD)
            self.reload()
