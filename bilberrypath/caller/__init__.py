"""The client library: requests, streams and flows to a service."""
