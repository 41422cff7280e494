"""Move running requests to other engines that can complete them in time."""
