"""State that the coordination layer reads: releases, routes, members and requests."""
