"""asyncio without TLS, which these processes do not speak.

OpenSSL is a tenth of what a process holds, and loading it delays its start.
Imported before anything else that imports asyncio.
"""

import sys

_is_loaded = "ssl" in sys.modules
if not _is_loaded:
    sys.modules["ssl"] = None  # asyncio goes without what can't be imported

from asyncio import run  # noqa: E402

if not _is_loaded:
    del sys.modules["ssl"]  # whoever needs it later loads it

__all__ = ["run"]
