"""Order the requests of all hosts where the servers of a plain service fill up."""
