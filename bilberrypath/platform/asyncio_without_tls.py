"""Import asyncio without TLS, which these processes do not use.

OpenSSL takes a tenth of a process's memory, and loading it delays the start. This
module must be imported before any other module that imports asyncio.
"""

import sys

_is_ssl_loaded = "ssl" in sys.modules
if not _is_ssl_loaded:
    sys.modules["ssl"] = None  # "import ssl" now fails, which asyncio tolerates

from asyncio import run  # noqa: E402

if not _is_ssl_loaded:
    del sys.modules["ssl"]  # so that a later import of ssl loads it

__all__ = ["run"]
