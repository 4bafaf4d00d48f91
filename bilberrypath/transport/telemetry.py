"""The HTTP endpoints for metrics and readiness of a daemon, and its log format."""

from __future__ import annotations

import sys
import threading
from typing import TYPE_CHECKING
from wsgiref.simple_server import WSGIRequestHandler, make_server

import structlog
from prometheus_client import make_wsgi_app

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from typing import Any
    from wsgiref.types import StartResponse, WSGIEnvironment

    from bilberrypath.transport.metrics import Metrics
    from bilberrypath.types import Address


class _QuietRequestHandler(WSGIRequestHandler):
    def log_message(self, *_args: Any) -> None:
        """Write no access log."""


class MetricsServer:
    """A server of ``/metrics`` and ``/healthz``, in a background thread.

    ``/healthz`` returns 200 while ``is_ready`` returns true, otherwise 503. Every other
    path returns the metrics.
    """

    def __init__(
        self, address: Address, metrics: Metrics, is_ready: Callable[[], bool]
    ) -> None:
        self._is_ready = is_ready
        self._metrics_app = make_wsgi_app(metrics.registry)
        self._server = make_server(
            *address, self._serve_request, handler_class=_QuietRequestHandler
        )
        self._thread = threading.Thread(target=self._server.serve_forever, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop the server and close its socket."""
        self._server.shutdown()
        self._server.server_close()

    def _serve_request(
        self, environ: WSGIEnvironment, start_response: StartResponse
    ) -> Iterable[bytes]:
        if environ["PATH_INFO"] != "/healthz":
            return self._metrics_app(environ, start_response)
        ready = self._is_ready()
        status = "200 OK" if ready else "503 Service Unavailable"
        start_response(status, [("Content-Type", "text/plain")])
        return [b"ready\n" if ready else b"not ready\n"]


def configure_logging() -> None:
    """Write the log to standard error, one JSON line for each change of state."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
    )
