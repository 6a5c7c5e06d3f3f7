"""The binaries: thin entry points that parse, call and report."""
