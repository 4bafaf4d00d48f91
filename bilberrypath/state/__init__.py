"""State that decisions read: releases, members, requests."""
